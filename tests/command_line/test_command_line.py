"""Test the command line and the callers' endpoints against a fleet of two daemons."""

import os
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import httpx
import orjson
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciarill.dev import CALLERS_PORT_OFFSET
from tests.fakes.fleet import (
    ROOT,
    Fleet,
    bearer_header,
    example_config,
    reserve_ports,
    wait_for,
)

FILINGS_PATH, LEDGER_PATH, LOOKUP_PATH = "/almaty/filings/x", "/almaty/ledger", "/almaty/lookup"


JSON_SCALARS = st.none() | st.booleans() | st.integers(-9, 9) | st.text(max_size=5)


def _json_containers(inner):
    names = st.sampled_from(
        ["prompt", "max_tokens", "stream", "model", "groups", "cursor", "limit"]
    )
    return st.lists(inner, max_size=3) | st.dictionaries(names, inner, max_size=4)


class FleetTestCase(unittest.TestCase):
    """Run one fleet for all tests of a class."""

    @classmethod
    def setUpClass(cls) -> None:
        folder = tempfile.TemporaryDirectory(prefix="acaciarill-test-")
        cls.addClassCleanup(folder.cleanup)
        cls.folder = Path(folder.name)
        cls.fleet = Fleet(example_config("almaty"), ["almaty-1", "almaty-2"], cls.folder)
        cls.addClassCleanup(cls.fleet.stop)

    def run_command(self, *arguments: str, daemon: int = 0) -> subprocess.CompletedProcess:
        url = self.fleet.daemons[daemon].operators
        environment = os.environ | {"ACACIARILL_DAEMON": url}
        return subprocess.run(
            [sys.executable, "-m", "acaciarill", *arguments],
            capture_output=True,
            text=True,
            cwd=ROOT,
            env=environment,
        )


class CommandLineTest(FleetTestCase):
    """Run the commands that operators use."""

    def test_granted_key_is_accepted_until_withdrawn(self) -> None:
        key = self.run_command("key", "grant", "filers").stdout.strip()
        key_id = key.rpartition(".")[0]
        headers = {"authorization": f"Bearer {key}"}
        for daemon in self.fleet.daemons:
            url = daemon.callers + FILINGS_PATH
            wait_for(lambda u=url: httpx.post(u, headers=headers).status_code == 200)
        process = self.run_command("key", "withdraw", key_id, daemon=1)
        self.assertEqual(process.returncode, 0, process.stderr)
        self.assertIn("in force everywhere", process.stdout)
        for daemon in self.fleet.daemons:
            response = httpx.post(daemon.callers + FILINGS_PATH, headers=headers)
            self.assertEqual((response.status_code, response.json()["outcome"]), (401, "not-run"))
        self.assertIn(f"{key_id}  filers  withdrawn", self.run_command("key", "list").stdout)

    def test_configuration_is_applied_on_all_daemons_and_shown(self) -> None:
        path = self.folder / "edited.toml"
        path.write_text(self.run_command("config", "show").stdout)
        edited = path.read_text().replace("share = 2", "share = 3")
        path.write_text(edited)
        base = self.folder / "base.json"
        base.write_text(self.run_command("config", "show", "--json").stdout)
        process = self.run_command(
            "config", "apply", str(path), "--based-on", str(base), "--wait", "--json"
        )
        self.assertEqual(process.returncode, 0, process.stderr)
        response = orjson.loads(process.stdout)
        self.assertEqual(response["in_force"], ["h1", "h2"])
        second_apply = self.run_command("config", "apply", str(path), "--based-on", str(base))
        self.assertEqual(second_apply.returncode, 4, second_apply.stderr)
        revision = response["revision"]
        self.assertIn(f"{revision}  ", self.run_command("config", "history").stdout)
        diff = self.run_command("config", "diff", str(revision - 1), str(revision)).stdout
        self.assertRegex(diff, r"\n\+.*share = 3")

    def test_invalid_configuration_exits_with_3_and_reports_file_section_and_key(self) -> None:
        path = self.folder / "faulty.toml"
        path.write_text('[almaty]\n[[almaty.customers]]\nname = "X y"\n')
        for command in ("check", "apply"):
            process = self.run_command("config", command, str(path))
            self.assertEqual(process.returncode, 3)
            self.assertIn("faulty.toml: [almaty.customers.0] name:", process.stderr)

    def test_status_and_upstreams_are_shown(self) -> None:
        status = orjson.loads(self.run_command("status", "--json").stdout)
        self.assertTrue(status["ready"] and status["fresh"])
        self.assertIn("ledger-1", self.run_command("upstreams").stdout)

    def test_unreachable_daemon_exits_with_5(self) -> None:
        process = self.run_command("--daemon", "http://127.0.0.1:9", "status")
        self.assertEqual(process.returncode, 5)

    def test_dev_reports_an_occupied_address_in_one_line(self) -> None:
        for offset in (CALLERS_PORT_OFFSET, 2):  # a port of the daemon, a port of a stand-in
            base_port, reservation = reserve_ports()
            port = base_port + offset
            with reservation, socket.socket() as occupied_socket:
                # Closed connections of an earlier fleet do not keep the port from being used.
                occupied_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                occupied_socket.bind(("127.0.0.1", port))
                occupied_socket.listen()
                process = self.run_command("dev", "--base-port", str(base_port))
            self.assertEqual(process.returncode, 3)
            lines = process.stderr.strip().splitlines()
            self.assertEqual(len(lines), 1, process.stderr)
            self.assertIn(f"127.0.0.1:{port}", lines[0])

    def test_help_of_every_command_shows_an_example(self) -> None:
        commands = ["serve", "dev", "config check", "config apply", "config show", "status"]
        commands += ["config history", "config diff", "key grant", "key withdraw", "key list"]
        for command in commands:
            process = self.run_command(*command.split(), "--help")
            self.assertIn("Example: acaciarill", process.stdout)

    def test_metrics_and_logs_contain_no_secret_and_no_prompt(self) -> None:
        body = {"prompt": "very secret prompt", "max_tokens": 4}
        url = self.fleet.daemons[0].callers + LEDGER_PATH
        self.assertEqual(
            httpx.post(url, json=body, headers=bearer_header("filers-sample")).status_code, 200
        )
        metrics = httpx.get(self.fleet.daemons[0].operators + "/metrics").text
        self.assertIn('acaciarill_requests_total{customer="filers"', metrics)
        logs = "".join(daemon.log.read_text() for daemon in self.fleet.daemons)
        for text in (metrics, logs):
            self.assertNotIn("sample-secret", text)
            self.assertNotIn("very secret prompt", text)


class WithdrawalDuringRequestTest(FleetTestCase):
    """Withdraw a key while a request that it authenticated is in progress."""

    def grant_key(self) -> str:
        response = httpx.post(
            self.fleet.daemons[0].operators + "/keys/grant", json={"customer": "trainers"}
        )
        key = response.json()["key"]
        headers = {"authorization": f"Bearer {key}"}
        url = self.fleet.daemons[0].callers + FILINGS_PATH
        wait_for(lambda: httpx.post(url, headers=headers).status_code == 200)
        return key

    def withdraw(self, key: str) -> None:
        url = self.fleet.daemons[0].operators + "/keys/withdraw"
        response = httpx.post(url, json={"id": key.rpartition(".")[0]}, timeout=30)
        self.assertTrue(response.json()["in_force"], response.text)

    def test_withdrawal_while_the_body_is_received_gives_401(self) -> None:
        key = self.grant_key()
        host, port = self.fleet.daemons[0].callers.removeprefix("http://").split(":")
        head = f"POST {FILINGS_PATH} HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n"
        with socket.create_connection((host, int(port)), timeout=10) as sock:
            sock.sendall(f"{head}authorization: Bearer {key}\r\n\r\n12345".encode())
            self.withdraw(key)
            sock.sendall(b"67890")
            self.assertIn(b" 401 ", sock.recv(65_536))

    def test_withdrawal_while_a_pull_waits_gives_401(self) -> None:
        key = self.grant_key()
        headers = {"authorization": f"Bearer {key}"}
        url = self.fleet.daemons[0].callers + "/v1/steps/t/waits"
        step = {"model": "ledger", "groups": [{"prompt": "x", "max_tokens": 4000}]}
        cursor = httpx.post(url, json=step, headers=headers).json()["cursors"][0]
        body = {"cursor": cursor, "wait_ms": 20_000}
        with ThreadPoolExecutor(1) as pool:
            pull = pool.submit(httpx.post, url + "/pull", json=body, headers=headers, timeout=30)
            time.sleep(1)
            self.withdraw(key)
            self.assertEqual(pull.result().status_code, 401)


class InvalidRequestTest(FleetTestCase):
    """Send invalid, repeated, expired and random requests."""

    def count_upstream_runs(self) -> int:
        patterns = ("portal-*", "ledger-*")
        return sum(r["event"] == "run" for p in patterns for r in self.fleet.records(p))

    def send_raw(self, data: bytes) -> bytes:
        host, port = self.fleet.daemons[0].callers.removeprefix("http://").split(":")
        with socket.create_connection((host, int(port)), timeout=10) as sock:
            sock.sendall(data)
            received = b""
            while chunk := sock.recv(65_536):
                received += chunk
                if b"\r\n\r\n" in received:
                    break
            return received

    def test_malformed_http_and_long_headers_are_rejected(self) -> None:
        before = self.count_upstream_runs()
        self.assertIn(b" 400 ", self.send_raw(b"nonsense\r\n\r\n"))
        long_header = (
            b"GET /almaty/lookup HTTP/1.1\r\nhost: x\r\nx-long: " + b"a" * 70_000 + b"\r\n\r\n"
        )
        self.assertRegex(self.send_raw(long_header), rb" 4\d\d ")
        bad_length = b"POST /almaty/lookup HTTP/1.1\r\nhost: x\r\ncontent-length: x\r\n\r\n"
        self.assertIn(b" 400 ", self.send_raw(bad_length))
        self.assertEqual(self.count_upstream_runs(), before)

    def test_invalid_requests_get_a_4xx_and_reach_no_upstream(self) -> None:
        before = self.count_upstream_runs()
        base, headers = self.fleet.daemons[0].callers, bearer_header("filers-sample")
        step = base + "/v1/steps/t/s"
        cases = [
            (base + "/none", b"", 404, "unknown-route"),
            (base + LEDGER_PATH, b"{", 400, "bad-json"),
            (base + LEDGER_PATH, b"[]", 400, "bad-request"),
            (base + LEDGER_PATH, b'{"prompt": 7}', 400, "bad-request"),
            (base + LEDGER_PATH, b'{"prompt": "x", "max_tokens": 0}', 400, "bad-request"),
            (base + LEDGER_PATH, b'{"prompt": "x", "stream": "yes"}', 400, "bad-request"),
            (base + FILINGS_PATH, b"x" * (8 * 1024 * 1024 + 1), 413, "too-large"),
            (step, b'{"model": "none"}', 404, "unknown-model"),
            (step, b'{"model": "ledger", "groups": []}', 400, "bad-request"),
            (step, b'{"model": "ledger", "groups": [{"prompt": ""}]}', 400, "bad-request"),
            (step + "/pull", b'{"cursor": "AAAA"}', 400, "bad-cursor"),
            (step + "/push", b"{}", 404, "unknown-route"),
        ]
        for url, content, status, code in cases:
            response = httpx.post(url, content=content, headers=headers)
            with self.subTest(url=url, content=content[:40]):
                self.assertEqual((response.status_code, response.json()["code"]), (status, code))
                self.assertEqual(response.json()["outcome"], "not-run")
        self.assertEqual(self.count_upstream_runs(), before)

    @settings(max_examples=60, derandomize=True, deadline=None)
    @given(
        st.sampled_from(["GET", "POST", "PUT", "DELETE", "PATCH"]),
        st.sampled_from(
            [LEDGER_PATH, "/v1/steps/a/b", "/v1/steps/a/b/pull", "/v1/steps", "/%00", "/"]
        ),
        st.binary(max_size=80)
        | st.recursive(JSON_SCALARS, _json_containers, max_leaves=6).map(orjson.dumps),
    )
    def test_random_requests_cause_no_server_error(self, method, path, content) -> None:
        url = self.fleet.daemons[0].callers + path
        response = httpx.request(
            method, url, content=content, headers=bearer_header("filers-sample")
        )
        self.assertLess(response.status_code, 500)
        if response.status_code >= 400:
            self.assertEqual(response.json()["outcome"], "not-run")

    def test_invalid_keys_get_401(self) -> None:
        url = self.fleet.daemons[0].callers + FILINGS_PATH
        for authorization in ("", "Bearer", "Bearer x", "Bearer filers-sample.wrong", "Basic YTpi"):
            response = httpx.post(url, headers={"authorization": authorization})
            self.assertEqual(response.status_code, 401)

    def test_expired_deadline_gives_504_with_unknown_outcome(self) -> None:
        base = self.fleet.daemons[0].callers
        headers = bearer_header("filers-sample") | {"x-deadline-ms": "200"}
        response = httpx.post(base + FILINGS_PATH + "?delay_s=5", headers=headers)
        self.assertEqual((response.status_code, response.json()["outcome"]), (504, "unknown"))
        response = httpx.post(base + FILINGS_PATH, headers=headers | {"x-deadline-ms": "soon"})
        self.assertEqual(response.status_code, 400)

    def test_upstream_refusal_gives_503_not_run_with_retry_after(self) -> None:
        url = self.fleet.daemons[0].callers + FILINGS_PATH + "?refuse=1"
        response = httpx.post(url, headers=bearer_header("filers-sample"))
        self.assertEqual((response.status_code, response.json()["outcome"]), (503, "not-run"))
        self.assertIn("retry-after", response.headers)

    def test_repeated_idempotency_key_runs_once(self) -> None:
        headers = bearer_header("filers-sample") | {
            "idempotency-key": "k1",
            "x-request-id": "twice",
        }
        responses = [
            httpx.post(d.callers + FILINGS_PATH, headers=headers) for d in self.fleet.daemons
        ]
        self.assertEqual([response.status_code for response in responses], [200, 409])
        runs = [r for r in self.fleet.records("portal-*") if "twice" in r["request_id"]]
        self.assertEqual(len(runs), 1)

    def test_step_cannot_be_repeated_with_other_contents(self) -> None:
        base, headers = self.fleet.daemons[0].callers, bearer_header("trainers-sample")
        body = {"model": "ledger", "groups": [{"prompt": "a", "max_tokens": 4}]}
        url = base + "/v1/steps/t/same"
        first = httpx.post(url, json=body, headers=headers)
        self.assertEqual(first.json(), httpx.post(url, json=body, headers=headers).json())
        body["groups"][0]["prompt"] = "b"
        other = httpx.post(url, json=body, headers=headers)
        self.assertEqual((other.status_code, other.json()["code"]), (409, "step-differs"))
