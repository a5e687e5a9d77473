"""Test TLS towards callers and operators and between daemons, with a reload."""

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
    """Run daemons with certificates of a private authority."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory(prefix="acaciarill-test-")
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.authority = trustme.CA()
        self.authority.cert_pem.write_to_path(str(self.folder / "authority.pem"))
        self.issue()
        self.tls = {
            "certificate": str(self.folder / "cert.pem"),
            "private_key": str(self.folder / "key.pem"),
            "authority": str(self.folder / "authority.pem"),
        }

    def issue(self) -> None:
        issued = self.authority.issue_cert("127.0.0.1")
        issued.private_key_pem.write_to_path(str(self.folder / "key.pem"))
        pem = b"".join(blob.bytes() for blob in issued.cert_chain_pems)
        (self.folder / "cert.pem").write_bytes(pem)

    def test_a_new_certificate_is_loaded_and_a_faulty_one_is_not(self) -> None:
        settings = Settings(*("x",) * 10, **self.tls)
        contexts = TlsContexts(settings)
        first = contexts.loaded_at
        self.run_reload(contexts)
        self.assertEqual(contexts.loaded_at, first)
        self.issue()
        os.utime(self.folder / "cert.pem", (1, time.time() + 5))
        self.run_reload(contexts)
        self.assertNotEqual(contexts.loaded_at, first)
        good = contexts.loaded_at
        (self.folder / "cert.pem").write_text("damaged")
        self.run_reload(contexts)
        self.assertEqual(contexts.loaded_at, good)

    def run_reload(self, contexts: TlsContexts) -> None:
        with self.assertRaises(StopIteration):
            contexts.reload().send(None)

    def test_daemons_serve_and_spread_by_tls(self) -> None:
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

        def both_known() -> bool:
            url = daemons[0].operators.replace("http:", "https:")
            status = httpx.get(url + "/status", verify=verify).json()
            coverage = httpx.get(url + "/config/coverage?revision=1", verify=verify).json()
            return status["daemons"] == ["h1", "h2"] and coverage["in_force"] == ["h1", "h2"]

        wait_for(both_known)
        url = daemons[1].callers.replace("http:", "https:") + "/almaty/lookup"
        self.assertEqual(httpx.post(url, verify=verify).status_code, 200)
        with self.assertRaises(httpx.HTTPError):
            httpx.post(url.replace("https:", "http:")).raise_for_status()
