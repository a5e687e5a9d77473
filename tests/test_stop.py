"""Test that SIGTERM drains active requests, even when it is sent twice."""

import signal
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

import httpx

from tests.fakes.fleet import bearer_header, example_config, running_fleet, wait_for


class StopTest(unittest.TestCase):
    """Send SIGTERM during a streamed response."""

    def test_second_sigterm_does_not_interrupt_drain(self) -> None:
        with (
            running_fleet(example_config("almaty"), ["almaty-1"]) as fleet,
            ThreadPoolExecutor(1) as pool,
        ):
            daemon = fleet.daemons[0]
            body = {"prompt": "x", "max_tokens": 600, "stream": True}
            url = daemon.callers + "/almaty/ledger"
            headers = bearer_header("filers-sample")
            pending_response = pool.submit(httpx.post, url, json=body, headers=headers, timeout=60)
            wait_for(lambda: daemon.status()["running"] == 1)
            daemon.send_signal(signal.SIGTERM)
            time.sleep(0.3)
            daemon.send_signal(signal.SIGTERM)
            response = pending_response.result()
            self.assertIn(b'"done":true', response.content)
            self.assertEqual(daemon.process.wait(30), 0)
