"""Tell and ask the other daemons which software versions began streams."""

from collections.abc import Callable

from ..errors import BadRequestError, PeerError
from ..fleet import StreamRecord, StreamVersions, bound_stream_key
from ..fleet.const import (
    MAX_STREAM_TTL_S,
    PING_TIMEOUT_S,
    STREAM_LOOKUP_TIMEOUT_S,
    STREAM_VERSION_TTL_S,
)
from ..peers import CallHandler, PeerLinks, messages


class StreamCalls:
    """Make and answer the calls about streams that clients may take up.

    `address_of` returns the address of a daemon by its name, or raises PeerError.
    """

    def __init__(
        self, links: PeerLinks, address_of: Callable[[str], str], incarnation: str
    ) -> None:
        self.links = links
        self.address_of = address_of
        self.incarnation = incarnation
        self.versions: StreamVersions | None = None

    def handlers(self) -> dict[str, CallHandler]:
        """Return the handlers of the calls of others, by frame member."""
        return {
            "stream_begun": self._on_stream_begun,
            "streams_begun": self._on_streams_begun,
            "find_stream": self._on_find_stream,
        }

    async def tell(self, holder: str, records: list[StreamRecord]) -> None:
        """Tell a daemon which software versions began streams; raise PeerError."""
        address = self.address_of(holder)
        streams = [
            messages.StreamBegun(
                stream=record.stream_key,
                software_version=record.software_version,
                remaining_s=record.remaining_s,
            )
            for record in records
        ]
        if len(streams) > 1:
            call = messages.StreamsBegun(streams=streams, teller=self.incarnation)
            try:
                await self.links.call(address, PING_TIMEOUT_S, streams_begun=call)
                return
            except PeerError as error:
                if error.code != BadRequestError.code:
                    raise  # else it runs an earlier build, which takes one stream at a time
        for stream in streams:
            stream.teller = self.incarnation
            await self.links.call(address, PING_TIMEOUT_S, stream_begun=stream)

    async def _on_stream_begun(self, call: messages.StreamBegun) -> dict[str, messages.Done]:
        self._store_streams([call], call.teller or "")
        return {"done": messages.Done()}

    async def _on_streams_begun(self, call: messages.StreamsBegun) -> dict[str, messages.Done]:
        self._store_streams(call.streams or [], call.teller or "")
        return {"done": messages.Done()}

    def _store_streams(self, streams: list[messages.StreamBegun], teller: str) -> None:
        if self.versions is None:
            return
        for stream in streams:
            key = bound_stream_key(stream.stream or "")
            ttl_s = _stream_ttl_s(stream.remaining_s)
            self.versions.store(key, stream.software_version or "", ttl_s, teller)

    async def find(self, holder: str, stream: str) -> StreamRecord | None:
        """Ask a daemon which software version began a stream; raise PeerError."""
        call = messages.FindStream(stream=stream)
        address = self.address_of(holder)
        frame = await self.links.call(address, STREAM_LOOKUP_TIMEOUT_S, find_stream=call)
        found = frame.found_stream
        if found.software_version is None:
            return None
        return StreamRecord(stream, found.software_version, _stream_ttl_s(found.remaining_s))

    async def _on_find_stream(self, call: messages.FindStream) -> dict[str, messages.FoundStream]:
        found = messages.FoundStream()
        if self.versions is not None:
            record = self.versions.get_record(bound_stream_key(call.stream or ""))
            if record is not None:
                found.software_version = record.software_version
                found.remaining_s = record.remaining_s
        return {"found_stream": found}


def _stream_ttl_s(remaining_s: float | None) -> float:
    """Return for how long a stream is to be known that another daemon told of, in seconds."""
    if remaining_s is None:  # earlier builds do not tell it
        return STREAM_VERSION_TTL_S
    return min(max(0.0, remaining_s), MAX_STREAM_TTL_S)
