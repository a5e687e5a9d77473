"""Drive a fleet by the command line, and its edges by raw bytes."""

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

from acaciarill.dev import CALLERS_OFFSET
from tests.fakes.fleet import ROOT, Fleet, bearer_header, example_config, wait_for

FILINGS, LEDGER, LOOKUP = "/almaty/filings/x", "/almaty/ledger", "/almaty/lookup"


JSON = st.none() | st.booleans() | st.integers(-9, 9) | st.text(max_size=5)


def _nested(inner):
    names = st.sampled_from(
        ["prompt", "max_tokens", "stream", "model", "groups", "cursor", "limit"]
    )
    return st.lists(inner, max_size=3) | st.dictionaries(names, inner, max_size=4)


class FleetTestCase(unittest.TestCase):
    """Share one fleet among the tests of a class."""

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
    """Call the commands of the operators' pages."""

    def test_a_granted_key_works_and_a_withdrawn_one_does_not(self) -> None:
        text = self.run_command("key", "grant", "filers").stdout.strip()
        key_id = text.rpartition(".")[0]
        headers = {"authorization": f"Bearer {text}"}
        for daemon in self.fleet.daemons:
            url = daemon.callers + FILINGS
            wait_for(lambda u=url: httpx.post(u, headers=headers).status_code == 200)
        done = self.run_command("key", "withdraw", key_id, daemon=1)
        self.assertEqual(done.returncode, 0, done.stderr)
        self.assertIn("in force everywhere", done.stdout)
        for daemon in self.fleet.daemons:
            answer = httpx.post(daemon.callers + FILINGS, headers=headers)
            self.assertEqual((answer.status_code, answer.json()["outcome"]), (401, "not-run"))
        self.assertIn(f"{key_id}  filers  withdrawn", self.run_command("key", "list").stdout)

    def test_a_configuration_is_applied_everywhere_and_shown(self) -> None:
        path = self.folder / "edited.toml"
        path.write_text(self.run_command("config", "show").stdout)
        edited = path.read_text().replace("share = 2", "share = 3")
        path.write_text(edited)
        base = self.folder / "base.json"
        base.write_text(self.run_command("config", "show", "--json").stdout)
        done = self.run_command(
            "config", "apply", str(path), "--based-on", str(base), "--wait", "--json"
        )
        self.assertEqual(done.returncode, 0, done.stderr)
        answer = orjson.loads(done.stdout)
        self.assertEqual(answer["in_force"], ["h1", "h2"])
        again = self.run_command("config", "apply", str(path), "--based-on", str(base))
        self.assertEqual(again.returncode, 4, again.stderr)
        revision = answer["revision"]
        self.assertIn(f"{revision}  ", self.run_command("config", "history").stdout)
        shown = self.run_command("config", "diff", str(revision - 1), str(revision)).stdout
        self.assertRegex(shown, r"\n\+.*share = 3")

    def test_faults_exit_with_3_and_name_file_section_and_key(self) -> None:
        path = self.folder / "faulty.toml"
        path.write_text('[almaty]\n[[almaty.customers]]\nname = "X y"\n')
        for command in ("check", "apply"):
            done = self.run_command("config", command, str(path))
            self.assertEqual(done.returncode, 3)
            self.assertIn("faulty.toml: [almaty.customers.0] name:", done.stderr)

    def test_status_and_upstreams(self) -> None:
        status = orjson.loads(self.run_command("status", "--json").stdout)
        self.assertTrue(status["ready"] and status["fresh"])
        self.assertIn("ledger-1", self.run_command("upstreams").stdout)

    def test_an_unreachable_daemon_exits_with_5(self) -> None:
        done = self.run_command("--daemon", "http://127.0.0.1:9", "status")
        self.assertEqual(done.returncode, 5)

    def test_dev_names_an_address_that_is_taken_in_one_line(self) -> None:
        for offset in (CALLERS_OFFSET, 2):  # one of the daemon's, one of a stand-in's
            with socket.socket() as taken:
                taken.bind(("127.0.0.1", 0))
                taken.listen()
                port = taken.getsockname()[1]
                done = self.run_command("dev", "--base-port", str(port - offset))
            self.assertEqual(done.returncode, 3)
            lines = done.stderr.strip().splitlines()
            self.assertEqual(len(lines), 1, done.stderr)
            self.assertIn(f"127.0.0.1:{port}", lines[0])

    def test_every_command_shows_an_example(self) -> None:
        commands = ["serve", "dev", "config check", "config apply", "config show", "status"]
        commands += ["config history", "config diff", "key grant", "key withdraw", "key list"]
        for command in commands:
            done = self.run_command(*command.split(), "--help")
            self.assertIn("Example: acaciarill", done.stdout)

    def test_metrics_and_logs_hold_no_key_and_no_prompt(self) -> None:
        body = {"prompt": "very secret prompt", "max_tokens": 4}
        url = self.fleet.daemons[0].callers + LEDGER
        self.assertEqual(
            httpx.post(url, json=body, headers=bearer_header("filers-sample")).status_code, 200
        )
        metrics = httpx.get(self.fleet.daemons[0].operators + "/metrics").text
        self.assertIn('acaciarill_requests_total{customer="filers"', metrics)
        logs = "".join(daemon.log.read_text() for daemon in self.fleet.daemons)
        for text in (metrics, logs):
            self.assertNotIn("sample-secret", text)
            self.assertNotIn("very secret prompt", text)


class WithdrawalEdgeTest(FleetTestCase):
    """Withdraw keys in the middle of requests."""

    def new_key(self) -> str:
        answer = httpx.post(
            self.fleet.daemons[0].operators + "/keys/grant", json={"customer": "trainers"}
        )
        text = answer.json()["key"]
        headers = {"authorization": f"Bearer {text}"}
        url = self.fleet.daemons[0].callers + FILINGS
        wait_for(lambda: httpx.post(url, headers=headers).status_code == 200)
        return text

    def withdraw(self, key: str) -> None:
        url = self.fleet.daemons[0].operators + "/keys/withdraw"
        answer = httpx.post(url, json={"id": key.rpartition(".")[0]}, timeout=30)
        self.assertTrue(answer.json()["in_force"], answer.text)

    def test_a_key_withdrawn_while_the_body_arrives(self) -> None:
        key = self.new_key()
        host, port = self.fleet.daemons[0].callers.removeprefix("http://").split(":")
        head = f"POST {FILINGS} HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n"
        with socket.create_connection((host, int(port)), timeout=10) as sock:
            sock.sendall(f"{head}authorization: Bearer {key}\r\n\r\n12345".encode())
            self.withdraw(key)
            sock.sendall(b"67890")
            self.assertIn(b" 401 ", sock.recv(65_536))

    def test_a_key_withdrawn_while_a_pull_waits(self) -> None:
        key = self.new_key()
        headers = {"authorization": f"Bearer {key}"}
        url = self.fleet.daemons[0].callers + "/v1/steps/t/waits"
        step = {"model": "ledger", "groups": [{"prompt": "x", "max_tokens": 4000}]}
        cursor = httpx.post(url, json=step, headers=headers).json()["cursors"][0]
        body = {"cursor": cursor, "wait_ms": 20_000}
        with ThreadPoolExecutor(1) as pool:
            waiting = pool.submit(httpx.post, url + "/pull", json=body, headers=headers, timeout=30)
            time.sleep(1)
            self.withdraw(key)
            self.assertEqual(waiting.result().status_code, 401)


class EdgeTest(FleetTestCase):
    """Send what no well-behaved caller sends."""

    def upstream_runs(self) -> int:
        patterns = ("portal-*", "ledger-*")
        return sum(r["event"] == "run" for p in patterns for r in self.fleet.records(p))

    def raw(self, data: bytes) -> bytes:
        host, port = self.fleet.daemons[0].callers.removeprefix("http://").split(":")
        with socket.create_connection((host, int(port)), timeout=10) as sock:
            sock.sendall(data)
            received = b""
            while chunk := sock.recv(65_536):
                received += chunk
                if b"\r\n\r\n" in received:
                    break
            return received

    def test_broken_framing_and_long_headers_are_refused(self) -> None:
        before = self.upstream_runs()
        self.assertIn(b" 400 ", self.raw(b"nonsense\r\n\r\n"))
        long = b"GET /almaty/lookup HTTP/1.1\r\nhost: x\r\nx-long: " + b"a" * 70_000 + b"\r\n\r\n"
        self.assertRegex(self.raw(long), rb" 4\d\d ")
        twice = b"POST /almaty/lookup HTTP/1.1\r\nhost: x\r\ncontent-length: x\r\n\r\n"
        self.assertIn(b" 400 ", self.raw(twice))
        self.assertEqual(self.upstream_runs(), before)

    def test_wrong_requests_get_a_clear_4xx_and_run_nothing(self) -> None:
        before = self.upstream_runs()
        base, headers = self.fleet.daemons[0].callers, bearer_header("filers-sample")
        step = base + "/v1/steps/t/s"
        cases = [
            (base + "/none", b"", 404, "unknown-route"),
            (base + LEDGER, b"{", 400, "bad-json"),
            (base + LEDGER, b"[]", 400, "bad-request"),
            (base + LEDGER, b'{"prompt": 7}', 400, "bad-request"),
            (base + LEDGER, b'{"prompt": "x", "max_tokens": 0}', 400, "bad-request"),
            (base + LEDGER, b'{"prompt": "x", "stream": "yes"}', 400, "bad-request"),
            (base + FILINGS, b"x" * (8 * 1024 * 1024 + 1), 413, "too-large"),
            (step, b'{"model": "none"}', 404, "unknown-model"),
            (step, b'{"model": "ledger", "groups": []}', 400, "bad-request"),
            (step, b'{"model": "ledger", "groups": [{"prompt": ""}]}', 400, "bad-request"),
            (step + "/pull", b'{"cursor": "AAAA"}', 400, "bad-cursor"),
            (step + "/push", b"{}", 404, "unknown-route"),
        ]
        for url, content, status, code in cases:
            answer = httpx.post(url, content=content, headers=headers)
            with self.subTest(url=url, content=content[:40]):
                self.assertEqual((answer.status_code, answer.json()["code"]), (status, code))
                self.assertEqual(answer.json()["outcome"], "not-run")
        self.assertEqual(self.upstream_runs(), before)

    @settings(max_examples=60, derandomize=True, deadline=None)
    @given(
        st.sampled_from(["GET", "POST", "PUT", "DELETE", "PATCH"]),
        st.sampled_from([LEDGER, "/v1/steps/a/b", "/v1/steps/a/b/pull", "/v1/steps", "/%00", "/"]),
        st.binary(max_size=80) | st.recursive(JSON, _nested, max_leaves=6).map(orjson.dumps),
    )
    def test_any_request_gets_an_answer_in_json(self, method, path, content) -> None:
        url = self.fleet.daemons[0].callers + path
        answer = httpx.request(method, url, content=content, headers=bearer_header("filers-sample"))
        self.assertLess(answer.status_code, 500)
        if answer.status_code >= 400:
            self.assertEqual(answer.json()["outcome"], "not-run")

    def test_keys_that_do_not_hold(self) -> None:
        url = self.fleet.daemons[0].callers + FILINGS
        for shown in ("", "Bearer", "Bearer x", "Bearer filers-sample.wrong", "Basic YTpi"):
            answer = httpx.post(url, headers={"authorization": shown})
            self.assertEqual(answer.status_code, 401)

    def test_a_deadline_is_kept_and_told_truthfully(self) -> None:
        base = self.fleet.daemons[0].callers
        headers = bearer_header("filers-sample") | {"x-deadline-ms": "200"}
        answer = httpx.post(base + FILINGS + "?delay_s=5", headers=headers)
        self.assertEqual((answer.status_code, answer.json()["outcome"]), (504, "unknown"))
        answer = httpx.post(base + FILINGS, headers=headers | {"x-deadline-ms": "soon"})
        self.assertEqual(answer.status_code, 400)

    def test_a_declared_refusal_says_not_run_and_when_to_come_back(self) -> None:
        url = self.fleet.daemons[0].callers + FILINGS + "?refuse=1"
        answer = httpx.post(url, headers=bearer_header("filers-sample"))
        self.assertEqual((answer.status_code, answer.json()["outcome"]), (503, "not-run"))
        self.assertIn("retry-after", answer.headers)

    def test_a_resend_with_an_idempotency_key_runs_once(self) -> None:
        headers = bearer_header("filers-sample") | {
            "idempotency-key": "k1",
            "x-request-id": "twice",
        }
        answers = [httpx.post(d.callers + FILINGS, headers=headers) for d in self.fleet.daemons]
        self.assertEqual([answer.status_code for answer in answers], [200, 409])
        runs = [r for r in self.fleet.records("portal-*") if "twice" in r["request_id"]]
        self.assertEqual(len(runs), 1)

    def test_a_step_of_one_name_keeps_its_contents(self) -> None:
        base, headers = self.fleet.daemons[0].callers, bearer_header("trainers-sample")
        body = {"model": "ledger", "groups": [{"prompt": "a", "max_tokens": 4}]}
        url = base + "/v1/steps/t/same"
        first = httpx.post(url, json=body, headers=headers)
        self.assertEqual(first.json(), httpx.post(url, json=body, headers=headers).json())
        body["groups"][0]["prompt"] = "b"
        other = httpx.post(url, json=body, headers=headers)
        self.assertEqual((other.status_code, other.json()["code"]), (409, "step-differs"))
