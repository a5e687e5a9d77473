"""Relay TCP connections until the test disconnects them."""

import contextlib
import socket
import threading


class Relay:
    """Listen on a port and relay each connection to the target port, unless disconnected."""

    def __init__(self, listen_port: int, target_port: int) -> None:
        self.target_port = target_port
        self.is_disconnected = False
        self.sockets: list[socket.socket] = []
        self.listener = socket.create_server(("127.0.0.1", listen_port))
        threading.Thread(target=self._accept, daemon=True).start()

    def disconnect(self) -> None:
        """Close every connection and refuse new ones."""
        self.is_disconnected = True
        for sock in self.sockets:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        self.sockets.clear()

    def reconnect(self) -> None:
        """Accept connections again."""
        self.is_disconnected = False

    def close(self) -> None:
        """Stop listening and close every connection."""
        self.disconnect()
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def _accept(self) -> None:
        while True:
            try:
                client_socket, _ = self.listener.accept()
            except OSError:
                return
            if self.is_disconnected:
                client_socket.close()
                continue
            try:
                target_socket = socket.create_connection(("127.0.0.1", self.target_port), timeout=2)
            except OSError:
                client_socket.close()
                continue
            target_socket.settimeout(None)
            self.sockets += [client_socket, target_socket]
            for source, target in ((client_socket, target_socket), (target_socket, client_socket)):
                threading.Thread(target=_pump, args=(source, target), daemon=True).start()


def _pump(source: socket.socket, target: socket.socket) -> None:
    with contextlib.suppress(OSError):
        while data := source.recv(65_536):
            target.sendall(data)
    for sock in (source, target):
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)
        sock.close()
