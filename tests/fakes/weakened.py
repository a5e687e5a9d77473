"""Run a daemon with one mechanism removed, to show that its scenario detects the removal.

Usage: `python -m tests.fakes.weakened NAME serve SETTINGS`; NAME is a key of `WEAKENINGS`.
"""

import os
import signal
import sys
from pathlib import Path

import acaciarill.callers._app as callers_app
import acaciarill.callers._generate as generate
import acaciarill.callers._keys as keys
import acaciarill.config._coordinator as config_coordinator
import acaciarill.daemon as daemon
import acaciarill.daemons._heartbeats as heartbeats
import acaciarill.daemons._membership as membership
import acaciarill.errors as errors
import acaciarill.trainers._cursor as cursor
import acaciarill.trainers._producer as producer
import acaciarill.upstreams._client as upstream_client
import acaciarill.upstreams._orders as orders
import acaciarill.usage._reporter as reporter
from acaciarill.command_line import main

PAUSE_FILE = "ACACIARILL_TEST_PAUSE"
"""Environment variable with the path of a file.

A daemon that finds the file deletes it and stops itself by SIGSTOP before it writes an order of
capacity. Other orders belong to duties that another daemon may hold.
"""
CAPACITY_ORDER_START = b"PUT /orders/"


def _retry_all_errors() -> None:
    errors.AcaciarillError.is_retryable = lambda self, idempotent: True


def _report_all_failures_as_not_run() -> None:
    original = upstream_client.UpstreamError.__init__

    def init_as_not_run(self, message, **context) -> None:
        original(self, message, **context | {"outcome": errors.Outcome.NOT_RUN})

    upstream_client.UpstreamError.__init__ = init_as_not_run


def _accept_missing_final_record() -> None:
    class PermissiveStreamTail(callers_app.StreamTail):
        def final_record(self) -> dict:
            return _PermissiveRecord(super().final_record() | {"done": True})

    callers_app.StreamTail = PermissiveStreamTail


class _PermissiveRecord(dict):
    """A final record whose request id equals every other id."""

    def get(self, name, default=None):
        return _EqualToAll() if name == "request_id" else super().get(name, default)


class _EqualToAll:
    def __eq__(self, other) -> bool:
        return True

    def __ne__(self, other) -> bool:
        return False

    __hash__ = None


def _skip_freshness_check() -> None:
    heartbeats.HeartbeatService.is_fresh = lambda self: True


def _ignore_withdrawals() -> None:
    keys.Authenticator.is_withdrawn = lambda self, caller: False


def _forward_credentials() -> None:
    upstream_client.CLIENT_ONLY_HEADERS = frozenset({b"host", b"content-length"})


def _skip_owner_check() -> None:
    def find_route(self, path, headers):
        route = self.config.document.find_route(path)
        caller = self.authenticator.authenticate(headers.get(b"authorization", ""))
        return route, caller

    callers_app.CallersApp._find_route = find_route


def _skip_socket_check() -> None:
    orders.OrderSender._check_lease = lambda self, epoch: None


def _ignore_delivered_bitmap() -> None:
    cursor.Cursor.unfinished_groups = lambda self: dict.fromkeys(range(len(self.group_sizes)), 0)
    cursor.Cursor.mark_delivered = lambda self, group, index: True


def _record_first_version_only() -> None:
    original = producer.SampleProducer._read_sample

    def read_with_first_version(self, state, index, response):
        response.final_record["spans"] = [{"version": 1, "tokens": response.final_record["tokens"]}]
        return original(self, state, index, response)

    producer.SampleProducer._read_sample = read_with_first_version


def _skip_staleness_check() -> None:
    producer.is_stale = lambda sample, weight_version, bound: False


def _ignore_leaving_state() -> None:
    membership.Membership.leaving_upstreams = lambda self: set()


def _skip_drain() -> None:
    async def drain(self) -> None:
        os._exit(0)

    daemon.Daemon._drain = drain


def _accept_older_revisions() -> None:
    def offer(self, document) -> bool:
        if document.revision == self.document.revision:
            return False
        self.document = document
        self._notify_listeners()
        return True

    config_coordinator.ConfigCoordinator.update_document = offer
    config_coordinator.ConfigCoordinator.update_sections = lambda self, revision, sections: offer(
        self, config_coordinator.build_document(revision, sections)
    )
    original = heartbeats.HeartbeatService._exchange_with

    async def exchange_with(self, name, address) -> None:
        await self._pull_config(address)
        await original(self, name, address)

    heartbeats.HeartbeatService._exchange_with = exchange_with


def _reseal_windows() -> None:
    original = reporter.UsageReporter._seal

    async def seal(self, window, length):
        await self.store.delete(self._sealed_key(window))
        return await original(self, window, length)

    reporter.UsageReporter._seal = seal


def _grant_unlimited_quota() -> None:
    unlimited = daemon.Quota(1_000_000, 1_000_000)
    daemon.Daemon._customer_quota = lambda self, target, customer, demand: unlimited


def _skip_hedged_attempts() -> None:
    producer.hedge_delay_s = lambda durations, model, tokens: float("inf")


def _share_cache_salt() -> None:
    generate.cache_salt = lambda customer: "shared"


def _change_nothing() -> None:
    """Keep every mechanism, for runs that only pause before orders."""


WEAKENINGS = {
    "nothing": _change_nothing,
    "retry-rule": _retry_all_errors,
    "outcome": _report_all_failures_as_not_run,
    "closing-line": _accept_missing_final_record,
    "freshness": _skip_freshness_check,
    "withdrawal": _ignore_withdrawals,
    "header-filter": _forward_credentials,
    "owner-check": _skip_owner_check,
    "socket-check": _skip_socket_check,
    "cursor": _ignore_delivered_bitmap,
    "version-spans": _record_first_version_only,
    "staleness": _skip_staleness_check,
    "leaving": _ignore_leaving_state,
    "drain": _skip_drain,
    "revision-order": _accept_older_revisions,
    "sealing": _reseal_windows,
    "fair-share": _grant_unlimited_quota,
    "second-attempts": _skip_hedged_attempts,
    "cache-salt": _share_cache_salt,
}
"""The function that removes each mechanism, by the name that scenarios and benchmarks use."""


def _pause_before_orders() -> None:
    path = os.environ.get(PAUSE_FILE, "")
    if not path:
        return
    original = orders.LeaseCheckedStream.write

    async def write(self, buffer, timeout=None) -> None:
        if buffer.startswith(CAPACITY_ORDER_START) and Path(path).exists():
            Path(path).unlink()
            os.kill(os.getpid(), signal.SIGSTOP)
        await original(self, buffer, timeout)

    orders.LeaseCheckedStream.write = write


if __name__ == "__main__":
    WEAKENINGS[sys.argv.pop(1)]()
    _pause_before_orders()
    main()
