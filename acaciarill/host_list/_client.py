"""Define the HTTP client of the platform's host list."""

import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import httpx
import orjson
from eliot import log_message

from ..addresses import check_address
from ..const import DIGEST_MASK
from ..errors import AcaciarillError, Step
from ..untrusted_json import require_list, require_string
from .const import CALL_TIMEOUT_S, STATE_LIVE

MAX_LOGGED_CHARACTERS = 200


@dataclass(slots=True, frozen=True, order=True)
class HostEntry:
    """Describe a host of the host list.

    A host with the role `entry` runs a daemon, and `address` is the address of this daemon.
    """

    name: str
    role: str
    data_centre: str
    state: str = STATE_LIVE
    address: str = ""

    @property
    def is_live(self) -> bool:
        """Return whether the host may receive new requests."""
        return self.state == STATE_LIVE


def digest_hosts(hosts: Iterable[HostEntry]) -> int:
    """Return a checksum of a host list, by which daemons detect that their lists differ."""
    rows = (f"{h.name} {h.role} {h.data_centre} {h.state} {h.address}" for h in sorted(hosts))
    return zlib.crc32("\n".join(rows).encode()) & DIGEST_MASK


class HostListClient:
    """Fetch the host list, unless it is unchanged according to its ETag."""

    def __init__(self, base_url: str, client: httpx.AsyncClient) -> None:
        self.base_url = base_url
        self.client = client
        self.etag = ""

    async def fetch(self) -> list[HostEntry] | None:
        """Return the hosts, or None if the list is unchanged since the last call.

        Raise AcaciarillError if the list cannot be fetched or parsed.
        """
        headers = {"if-none-match": self.etag} if self.etag else {}
        try:
            response = await self.client.get(
                self.base_url + "/hosts", headers=headers, timeout=CALL_TIMEOUT_S
            )
            if response.status_code == httpx.codes.NOT_MODIFIED:
                return None
            response.raise_for_status()
            hosts = _decode_hosts(require_list(orjson.loads(response.content)["hosts"]))
            self.etag = response.headers.get("etag", "")
            return hosts
        except (httpx.HTTPError, ValueError, KeyError, TypeError) as error:
            raise AcaciarillError(
                "cannot fetch the host list", step=Step.CONFIGURE, peer=self.base_url
            ) from error


def _decode_hosts(items: list[Any]) -> list[HostEntry]:
    """Return the valid entries of a host list; log the others."""
    hosts = []
    for item in items:
        try:
            host = HostEntry(**{name: require_string(text) for name, text in item.items()})
            if host.address:
                check_address(host.address)
        except (AttributeError, TypeError, ValueError) as error:
            log_message(
                message_type="hosts:entry_unreadable",
                entry=repr(item)[:MAX_LOGGED_CHARACTERS],
                reason=repr(error)[:MAX_LOGGED_CHARACTERS],
                action="leave it out of the host list",
            )
            continue
        hosts.append(host)
    return hosts
