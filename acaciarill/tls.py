"""Hold the TLS contexts of a daemon and reload their certificates without a restart."""

import ssl
from pathlib import Path

from eliot import log_message

from .settings import Settings

CERTIFICATE_RELOAD_PERIOD_S = 10.0


class TlsContexts:
    """Serve callers and operators by TLS, and other daemons by TLS with certificates both ways.

    Contexts are None where the settings name no files. A new certificate is used by new
    connections; a faulty one is logged and the old one stays.
    """

    def __init__(self, settings: Settings) -> None:
        self.certificate = settings.certificate
        self.private_key = settings.private_key
        self.front: ssl.SSLContext | None = None
        self.peer_server: ssl.SSLContext | None = None
        self.peer_client: ssl.SSLContext | None = None
        if not self.certificate:
            return
        self.front = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        self.front.set_alpn_protocols(["http/1.1"])
        if settings.authority:
            self._build_peer_contexts(settings.authority)
        self._load()
        self.loaded_mtimes = self._changed_at()

    def _build_peer_contexts(self, authority: str) -> None:
        self.peer_server = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH, cafile=authority)
        self.peer_server.verify_mode = ssl.CERT_REQUIRED
        self.peer_client = ssl.create_default_context(ssl.Purpose.SERVER_AUTH, cafile=authority)
        # Daemons are known by the members' own authority, not by the name in the certificate.
        self.peer_client.check_hostname = False

    def _load(self) -> None:
        for context in (self.front, self.peer_server, self.peer_client):
            if context is not None:
                context.load_cert_chain(self.certificate, self.private_key)

    def _changed_at(self) -> tuple[float, float]:
        return (
            Path(self.certificate).stat().st_mtime,
            Path(self.private_key).stat().st_mtime,
        )

    async def reload(self) -> None:
        """Load the certificate again if its files have changed."""
        if self.front is None:
            return
        try:
            changed_at = self._changed_at()
            if changed_at == self.loaded_mtimes:
                return
            self._load()
        except (OSError, ssl.SSLError) as error:
            log_message(message_type="tls:not_reloaded", reason=str(error))
            return
        self.loaded_mtimes = changed_at
        log_message(message_type="tls:reloaded")
