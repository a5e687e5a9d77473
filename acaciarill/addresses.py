"""Take apart the addresses that settings and messages hold."""


def split_address(address: str) -> tuple[str, int]:
    """Split a checked `ip:port` into its two parts."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
