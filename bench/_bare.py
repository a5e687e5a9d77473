"""Forward requests with only hypercorn and httpx, as the baseline of the request cost."""

import sys
from typing import Any

import anyio
import httpx
from hypercorn.asyncio import serve
from hypercorn.config import Config


class BareProxy:
    """Proxy each request to one upstream without any further logic."""

    def __init__(self, upstream: str) -> None:
        self.upstream = upstream
        self.client = httpx.AsyncClient(trust_env=False, timeout=None)

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Serve one ASGI scope."""
        if scope["type"] != "http":
            return
        body = b""
        while True:
            message = await receive()
            body += message.get("body", b"")
            if not message.get("more_body"):
                break
        response = await self.client.request(
            scope["method"], self.upstream + scope["path"], content=body
        )
        headers = [(b"content-length", str(len(response.content)).encode())]
        status = response.status_code
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": response.content})


def main() -> None:
    """Serve on the address in the first argument; forward to the upstream URL in the second."""
    config = Config()
    config.bind = [sys.argv[1]]
    config.accesslog = config.errorlog = None
    anyio.run(serve, BareProxy(sys.argv[2]), config)


if __name__ == "__main__":
    main()
