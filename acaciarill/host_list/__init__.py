"""Read the platform's list of live and leaving hosts."""

from ._client import HostEntry, HostListClient, digest_hosts

__all__ = ["HostEntry", "HostListClient", "digest_hosts"]
