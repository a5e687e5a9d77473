"""Test TLS for clients and operators, mutual TLS between daemons, and certificate reloads."""

import os
import ssl
import tempfile
import time
import unittest
from pathlib import Path

import httpx
import trustme

from acaciarill.settings import Settings
from acaciarill.tls import TlsContexts
from tests.fakes.fleet import DaemonProcess, Fleet, example_config, wait_for


class TlsTest(unittest.TestCase):
    """Run daemons with certificates of a private certificate authority."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory(prefix="acaciarill-test-")
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.authority = trustme.CA()
        self.authority.cert_pem.write_to_path(str(self.folder / "authority.pem"))
        self.issue_certificate()
        self.tls = {
            "certificate": str(self.folder / "cert.pem"),
            "private_key": str(self.folder / "key.pem"),
            "authority": str(self.folder / "authority.pem"),
        }

    def issue_certificate(self) -> None:
        issued = self.authority.issue_cert("127.0.0.1")
        issued.private_key_pem.write_to_path(str(self.folder / "key.pem"))
        pem = b"".join(blob.bytes() for blob in issued.cert_chain_pems)
        (self.folder / "cert.pem").write_bytes(pem)

    def test_reload_applies_valid_and_ignores_invalid_certificate(self) -> None:
        settings = Settings(*("x",) * 10, **self.tls)
        contexts = TlsContexts(settings)
        initial_mtimes = contexts.loaded_mtimes
        self.run_reload(contexts)
        self.assertEqual(contexts.loaded_mtimes, initial_mtimes)
        self.issue_certificate()
        os.utime(self.folder / "cert.pem", (1, time.time() + 5))
        self.run_reload(contexts)
        self.assertNotEqual(contexts.loaded_mtimes, initial_mtimes)
        valid_mtimes = contexts.loaded_mtimes
        (self.folder / "cert.pem").write_text("damaged")
        self.run_reload(contexts)
        self.assertEqual(contexts.loaded_mtimes, valid_mtimes)

    def run_reload(self, contexts: TlsContexts) -> None:
        with self.assertRaises(StopIteration):
            contexts.reload().send(None)

    def test_daemons_serve_and_replicate_config_over_tls(self) -> None:
        fleet = Fleet(example_config("almaty"), [], self.folder)
        self.addCleanup(fleet.stop)
        verify = ssl.create_default_context(cafile=self.tls["authority"])
        daemons = []
        for number in (1, 2):
            base = fleet.base_port + 60 + 4 * number
            daemon = DaemonProcess(
                f"h{number}",
                "almaty-1",
                base,
                fleet.platform_addresses(),
                self.folder,
                tls=self.tls,
            )
            fleet.daemons.append(daemon)
            daemons.append(daemon)
            fleet.set_host(
                daemon.name,
                role="entry",
                data_centre="almaty-1",
                state="live",
                address=daemon.address,
            )

        def config_is_replicated() -> bool:
            url = daemons[0].operators.replace("http:", "https:")
            status = httpx.get(url + "/status", verify=verify).json()
            coverage = httpx.get(url + "/config/coverage?revision=1", verify=verify).json()
            return status["daemons"] == ["h1", "h2"] and coverage["in_force"] == ["h1", "h2"]

        wait_for(config_is_replicated)
        url = daemons[1].callers.replace("http:", "https:") + "/almaty/lookup"
        self.assertEqual(httpx.post(url, verify=verify).status_code, 200)
        with self.assertRaises(httpx.HTTPError):
            httpx.post(url.replace("https:", "http:")).raise_for_status()
