"""Partition daemons from each other, from the store, or from all upstreams."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from enum import StrEnum
from typing import Any

import anyio
import anyio.abc

from acaciarill.edge import HttpPool
from acaciarill.errors import Outcome, PeerError, Step
from acaciarill.peers import PeerLinks
from acaciarill.peers.const import CALL_TIMEOUT_S, CONNECT_TIMEOUT_S
from tests.platform.test_whole_path import LocalFleet


class PartitionKind(StrEnum):
    """Name what happens to connections when the links are lost."""

    HANG = "hang"
    RESET = "reset"
    REFUSE_NEW = "refuse new"


class _GatedStream:
    """Pass everything on to a stream, whose bytes are held up while its links hang."""

    def __init__(self, links: "LostLinks", stream: anyio.abc.SocketStream) -> None:
        self.links = links
        self.stream = stream

    def __getattr__(self, name: str) -> Any:
        return getattr(self.stream, name)

    async def receive(self, max_bytes: int = 65536) -> bytes:
        data = await self.stream.receive(max_bytes)
        await self._wait_while_hanging()
        return data

    async def send(self, item: bytes) -> None:
        await self._wait_while_hanging()
        await self.stream.send(item)

    async def aclose(self) -> None:
        await self.stream.aclose()

    async def _wait_while_hanging(self) -> None:
        while self.links.kind is PartitionKind.HANG:
            if self.stream._transport.is_closing():  # type: ignore[attr-defined]
                raise anyio.BrokenResourceError
            await anyio.sleep(0.01)


class LostLinks:
    """Control the links of one daemon to everything but some addresses, which stay reachable."""

    def __init__(self, pool: HttpPool, reachable: set[str]) -> None:
        self.reachable = reachable
        self.open_stream = pool.open_stream
        self.kind: PartitionKind | None = None
        self.streams: list[_GatedStream] = []
        self.connection_attempts = 0
        pool.open_stream = self._open_stream

    def cut(self, kind: PartitionKind) -> None:
        """Lose the links."""
        self.kind = kind
        if kind is PartitionKind.RESET:
            for stream in self.streams:
                stream.stream._transport.abort()  # type: ignore[attr-defined]
            self.streams.clear()

    def heal(self) -> None:
        """Restore the links."""
        self.kind = None

    async def _open_stream(self, address: str, timeout_s: float) -> Any:
        if address in self.reachable:
            return await self.open_stream(address, timeout_s)
        self.connection_attempts += 1
        if self.kind is PartitionKind.HANG:
            await anyio.sleep(timeout_s)
            raise TimeoutError
        if self.kind is not None:
            raise ConnectionRefusedError
        stream = _GatedStream(self, await self.open_stream(address, timeout_s))
        self.streams.append(stream)
        return stream


class Partitions:
    """Let calls between some pairs of daemons hang; responses on their way are lost."""

    def __init__(self, fleet: LocalFleet) -> None:
        self.fleet = fleet
        self.cut_pairs: set[frozenset[str]] = set()
        self.names_by_address: dict[str, str] = {}
        for name, daemon in fleet.daemons.items():
            self.names_by_address[daemon.settings.peers] = name
            links = daemon.peers.links
            links.call = self._wrap(name, links, links.call)  # type: ignore[method-assign]

    def cut(self, name: str, others: tuple[str, ...]) -> None:
        """Partition a daemon from some others."""
        self.cut_pairs |= {frozenset((name, other)) for other in others}

    def _wrap(self, name: str, links: PeerLinks, call: Callable[..., Any]) -> Callable[..., Any]:
        async def call_unless_cut(
            address: str, timeout_s: float = CALL_TIMEOUT_S, **member: Any
        ) -> Any:
            pair = frozenset((name, self.names_by_address.get(address, "")))
            is_open = address in links.links_by_address
            started_at = anyio.current_time()
            if pair not in self.cut_pairs:
                frame = await call(address, timeout_s, **member)
                if pair not in self.cut_pairs:
                    return frame
            if is_open and address in links.links_by_address:
                await links._discard(address, links.links_by_address[address])
            hang_s = timeout_s if is_open else CONNECT_TIMEOUT_S
            await anyio.sleep_until(started_at + hang_s)
            raise PeerError(
                "no response",
                step=Step.FORWARD,
                peer=address,
                outcome=Outcome.UNKNOWN if is_open else Outcome.NOT_RUN,
            )

        return call_unless_cut


async def silence_store(fleet: LocalFleet, name: str) -> None:
    """Let calls of a daemon to the store hang; return when its watch has just begun to."""
    pool = fleet.daemons[name].pool
    send = pool.exchange
    watch_hangs = anyio.Event()

    @asynccontextmanager
    async def exchange(
        address: str, method: str, target: str, *arguments: Any, **options: Any
    ) -> AsyncIterator[Any]:
        if address == fleet.store.address:
            if target.startswith("/objects/config?watch"):
                watch_hangs.set()
            await anyio.sleep_forever()
        async with send(address, method, target, *arguments, **options) as opened:
            yield opened

    pool.exchange = exchange  # type: ignore[method-assign]
    await watch_hangs.wait()
