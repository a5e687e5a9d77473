"""Partition a daemon from all upstreams, as a broken switch does."""

from enum import StrEnum
from typing import Any

import anyio
import anyio.abc

from acaciarill.edge import HttpPool


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
