"""Test that a planned stop ends what runs, also when it is asked for twice."""

import signal
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

import httpx

from tests.fakes.fleet import bearer_header, example_config, running_fleet, wait_for


class StopTest(unittest.TestCase):
    """Send SIGTERM while a stream runs."""

    def test_a_second_signal_does_not_end_a_drain(self) -> None:
        with (
            running_fleet(example_config("almaty"), ["almaty-1"]) as fleet,
            ThreadPoolExecutor(1) as pool,
        ):
            daemon = fleet.daemons[0]
            body = {"prompt": "x", "max_tokens": 600, "stream": True}
            url = daemon.callers + "/almaty/ledger"
            headers = bearer_header("filers-sample")
            running = pool.submit(httpx.post, url, json=body, headers=headers, timeout=60)
            wait_for(lambda: daemon.status()["running"] == 1)
            daemon.send_signal(signal.SIGTERM)
            time.sleep(0.3)
            daemon.send_signal(signal.SIGTERM)
            answer = running.result()
            self.assertIn(b'"done":true', answer.content)
            self.assertEqual(daemon.process.wait(30), 0)
