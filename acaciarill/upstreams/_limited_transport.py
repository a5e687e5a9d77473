"""Limit the bodies of responses that are read whole."""

from collections.abc import AsyncIterator

import httpx


class LimitedTransport(httpx.AsyncHTTPTransport):
    """Raise ReadError once the body of a response is longer than `max_bytes`."""

    def __init__(self, max_bytes: int, **options: object) -> None:
        super().__init__(**options)  # type: ignore[arg-type]
        self.max_bytes = max_bytes

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request and return its response, whose body is not read yet."""
        response = await super().handle_async_request(request)
        assert isinstance(response.stream, httpx.AsyncByteStream)
        response.stream = _LimitedStream(response.stream, self.max_bytes)
        return response


class _LimitedStream(httpx.AsyncByteStream):
    def __init__(self, stream: httpx.AsyncByteStream, max_bytes: int) -> None:
        self.stream = stream
        self.max_bytes = max_bytes

    async def __aiter__(self) -> AsyncIterator[bytes]:
        received_bytes = 0
        async for chunk in self.stream:
            received_bytes += len(chunk)
            if received_bytes > self.max_bytes:
                raise httpx.ReadError(f"response body is longer than {self.max_bytes} bytes")
            yield chunk

    async def aclose(self) -> None:
        await self.stream.aclose()
