"""Build the TLS contexts of a daemon and reload their certificate without a restart."""

import ssl
from pathlib import Path

from eliot import log_message

from .settings import Settings

CERTIFICATE_RELOAD_PERIOD_S = 10.0


class TlsContexts:
    """Provide TLS contexts for clients and operators, and mutual TLS between daemons.

    A context is None if the settings don't configure its files. New connections use a reloaded
    certificate; an invalid one is logged and the previous one stays in use.
    """

    def __init__(self, settings: Settings) -> None:
        self.certificate = settings.certificate
        self.private_key = settings.private_key
        self.frontend: ssl.SSLContext | None = None
        self.peer_server: ssl.SSLContext | None = None
        self.peer_client: ssl.SSLContext | None = None
        if not self.certificate:
            return
        self.frontend = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        self.frontend.set_alpn_protocols(["http/1.1"])
        if settings.authority:
            self._build_peer_contexts(settings.authority)
        self._load_certificate()
        self.loaded_mtimes = self._file_mtimes()

    def _build_peer_contexts(self, authority: str) -> None:
        self.peer_server = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH, cafile=authority)
        self.peer_server.verify_mode = ssl.CERT_REQUIRED
        self.peer_client = ssl.create_default_context(ssl.Purpose.SERVER_AUTH, cafile=authority)
        # A certificate of the private authority identifies a daemon; host names are not checked.
        self.peer_client.check_hostname = False

    def _load_certificate(self) -> None:
        for context in (self.frontend, self.peer_server, self.peer_client):
            if context is not None:
                context.load_cert_chain(self.certificate, self.private_key)

    def _file_mtimes(self) -> tuple[float, float]:
        return (
            Path(self.certificate).stat().st_mtime,
            Path(self.private_key).stat().st_mtime,
        )

    async def reload(self) -> None:
        """Reload the certificate if the modification time of one of its files has changed."""
        if self.frontend is None:
            return
        try:
            mtimes = self._file_mtimes()
            if mtimes == self.loaded_mtimes:
                return
            self._load_certificate()
        except (OSError, ssl.SSLError) as error:
            log_message(message_type="tls:reload_failed", reason=str(error))
            return
        self.loaded_mtimes = mtimes
        log_message(message_type="tls:reloaded")
