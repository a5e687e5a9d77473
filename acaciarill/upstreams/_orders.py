"""Send orders to upstreams and to the platform, checking the lease before each socket write."""

import socket
import ssl
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import urlsplit

import anyio
import httpcore
import orjson

from ..const import HEADER_FENCING_TOKEN
from ..errors import AcaciarillError, LeaseLostError, Outcome, Step
from .const import ORDER_TCP_USER_TIMEOUT_MS, ORDER_TIMEOUT_S

MAX_READ_BYTES = 65_536


class LeaseCheckedStream(httpcore.AsyncNetworkStream):
    """Write to a socket, with no await between the lease check and the system call."""

    def __init__(self, sock: socket.socket, check_lease: Callable[[], None]) -> None:
        self.sock = sock
        self.check_lease = check_lease

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read some bytes; raise httpcore.ReadError or httpcore.ReadTimeout."""
        try:
            with anyio.fail_after(timeout):
                await anyio.wait_readable(self.sock)
                return self.sock.recv(min(max_bytes, MAX_READ_BYTES))
        except TimeoutError as error:
            raise httpcore.ReadTimeout from error
        except OSError as error:
            raise httpcore.ReadError(str(error)) from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write all bytes, checking the lease before each system call.

        Raise httpcore.WriteError, httpcore.WriteTimeout, or what the lease check raises.
        """
        view = memoryview(buffer)
        try:
            with anyio.fail_after(timeout):
                while view:
                    await anyio.wait_writable(self.sock)
                    self.check_lease()
                    view = view[self.sock.send(view) :]
        except BlockingIOError as error:
            raise httpcore.WriteError(str(error)) from error
        except TimeoutError as error:
            raise httpcore.WriteTimeout from error
        except OSError as error:
            raise httpcore.WriteError(str(error)) from error

    async def aclose(self) -> None:
        """Close the socket."""
        self.sock.close()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Raise NotImplementedError: TLS buffers bytes between the lease check and the socket."""
        raise NotImplementedError("orders are sent over plain connections, without TLS")

    def get_extra_info(self, info: str) -> Any:
        """Return the socket, from which httpcore tells whether the connection is open."""
        return self.sock if info == "socket" else None


class LeaseCheckedBackend(httpcore.AsyncNetworkBackend):
    """Open connections whose unacknowledged bytes are dropped before the next lease holder acts.

    TCP_USER_TIMEOUT bounds how long the kernel resends them.
    """

    def __init__(self, check_lease: Callable[[], None]) -> None:
        self.check_lease = check_lease

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Connect; raise httpcore.ConnectError or httpcore.ConnectTimeout."""
        sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, ORDER_TCP_USER_TIMEOUT_MS)
        try:
            with anyio.fail_after(timeout):
                try:
                    sock.connect((host, port))
                except BlockingIOError:
                    await anyio.wait_writable(sock)
            error_code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error_code:
                raise OSError(error_code, "connect failed")
        except TimeoutError as error:
            sock.close()
            raise httpcore.ConnectTimeout from error
        except OSError as error:
            sock.close()
            raise httpcore.ConnectError(str(error)) from error
        except BaseException:
            sock.close()
            raise
        return LeaseCheckedStream(sock, self.check_lease)


class OrderSender:
    """Send each order over its own connection while the lease of its epoch is held.

    `is_lease_held` tells whether the lease of an epoch is held now; `on_lease_lost` is called
    for each order that is stopped because it isn't.
    """

    def __init__(
        self, is_lease_held: Callable[[int], bool], on_lease_lost: Callable[[], None] = lambda: None
    ) -> None:
        self.is_lease_held = is_lease_held
        self.on_lease_lost = on_lease_lost

    def _check_lease(self, epoch: int) -> None:
        if not self.is_lease_held(epoch):
            self.on_lease_lost()
            raise LeaseLostError("the lease expired before the order was written", step=Step.ORDER)

    async def send(self, method: str, url: str, epoch: int, order: dict[str, Any]) -> Any:
        """Send an order with its epoch as the fencing token and return the parsed response.

        Raise LeaseLostError when the lease isn't held at a write, else AcaciarillError.
        """
        peer = urlsplit(url).netloc
        timeouts = dict.fromkeys(("connect", "read", "write", "pool"), ORDER_TIMEOUT_S)
        try:
            async with httpcore.AsyncConnectionPool(
                network_backend=LeaseCheckedBackend(lambda: self._check_lease(epoch)),
                max_keepalive_connections=0,
            ) as pool:
                response = await pool.request(
                    method,
                    url,
                    headers={
                        "host": peer,
                        "content-type": "application/json",
                        "connection": "close",
                        HEADER_FENCING_TOKEN: str(epoch),
                    },
                    content=orjson.dumps(order),
                    extensions={"timeout": timeouts},
                )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise AcaciarillError(
                "cannot connect to send the order",
                step=Step.ORDER,
                peer=peer,
                outcome=Outcome.NOT_RUN,
            ) from error
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as error:
            raise AcaciarillError("no response to the order", step=Step.ORDER, peer=peer) from error
        if response.status >= 300:
            raise AcaciarillError(
                f"the order failed with HTTP status {response.status}",
                step=Step.ORDER,
                peer=peer,
                outcome=Outcome.NOT_RUN if response.status == 409 else Outcome.UNKNOWN,
                code="order-refused",
            )
        return orjson.loads(response.content)
