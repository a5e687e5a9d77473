"""Hold responses, and read their bodies within the limits of their size."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

from ..errors import Step, UpstreamError
from .const import MAX_BUFFERED_BYTES, MAX_RESPONSE_BYTES, UNRESTRICTED_RESPONSE_BYTES


@dataclass(slots=True)
class ResponseHead:
    """Hold the status and the headers of a response; header names are in lower case."""

    status: int
    headers: list[tuple[bytes, bytes]]

    def get(self, name: bytes) -> str | None:
        """Return the first value of a header by its lower-case name, or None if it is missing."""
        for key, value in self.headers:
            if key == name:
                return value.decode("latin-1")
        return None


@dataclass(slots=True)
class HttpResponse:
    """Hold a complete response."""

    head: ResponseHead
    body: bytes


@dataclass(slots=True)
class ResponseBuffers:
    """Count the bytes of the response bodies that are being read."""

    total_bytes: int = 0

    def is_full(self) -> bool:
        """Return whether only short responses may grow further."""
        return self.total_bytes > MAX_BUFFERED_BYTES


class BodyReader:
    """Read a response body whole, within the limits of its size."""

    def __init__(self, buffers: ResponseBuffers) -> None:
        self.buffers = buffers
        self.response_complete = False

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body in chunks as they arrive; raise UpstreamError if it is incomplete."""
        raise NotImplementedError

    def build_error(self, message: str, step: Step, code: str | None = None) -> UpstreamError:
        """Return an error with what is known of the outcome."""
        raise NotImplementedError

    async def read_body(self) -> bytes:
        """Return the complete body; raise UpstreamError if it is incomplete or too long."""
        body = bytearray()
        try:
            async for chunk in self.chunks():
                body += chunk
                self.buffers.total_bytes += len(chunk)
                if len(body) > MAX_RESPONSE_BYTES:
                    raise self.build_error(
                        f"response body is longer than {MAX_RESPONSE_BYTES} bytes", Step.RECEIVE
                    )
                if len(body) > UNRESTRICTED_RESPONSE_BYTES and self.buffers.is_full():
                    raise self.build_error(
                        f"all response bodies are longer than {MAX_BUFFERED_BYTES} bytes",
                        Step.RECEIVE,
                    )
        finally:
            self.buffers.total_bytes -= len(body)
        return bytes(body)
