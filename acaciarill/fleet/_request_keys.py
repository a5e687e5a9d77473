"""Name requests alike that are the same in all but their ids."""

from hashlib import blake2b

KEY_BYTES = 8


def compute_request_key(method: str, host: str, target: str, customer: str, body: bytes) -> str:
    """Return a key that all attempts of all clients to send the same request share."""
    digest = blake2b(digest_size=KEY_BYTES)
    for part in (method.encode(), host.encode(), target.encode(), customer.encode(), body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()
