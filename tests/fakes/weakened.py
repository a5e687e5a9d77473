"""Run a daemon with one mechanism taken out, to show that a proof fails without it.

`python -m tests.fakes.weakened NAME serve SETTINGS`; NAME is a key of `WEAKENINGS`.
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
"""Names a file: while it exists, a daemon stops itself right before it writes an order."""


def _retry_everything() -> None:
    errors.AcaciarillError.is_retryable = lambda self, idempotent: True


def _call_everything_not_run() -> None:
    original = upstream_client.UpstreamError.__init__

    def always_not_run(self, message, **context) -> None:
        original(self, message, **context | {"outcome": errors.Outcome.NOT_RUN})

    upstream_client.UpstreamError.__init__ = always_not_run


def _skip_closing_line() -> None:
    class Trusting(callers_app.StreamTail):
        def final_record(self) -> dict:
            return _AnyAnswer(super().final_record() | {"done": True})

    callers_app.StreamTail = Trusting


class _AnyAnswer(dict):
    def get(self, name, default=None):
        return _Anything() if name == "request_id" else super().get(name, default)


class _Anything:
    def __eq__(self, other) -> bool:
        return True

    def __ne__(self, other) -> bool:
        return False

    __hash__ = None


def _always_fresh() -> None:
    heartbeats.HeartbeatService.is_fresh = lambda self: True


def _forget_withdrawals() -> None:
    keys.Authenticator.is_withdrawn = lambda self, caller: False


def _pass_keys_on() -> None:
    upstream_client.CLIENT_ONLY_HEADERS = frozenset({b"host", b"content-length"})


def _any_owner() -> None:
    def find_route(self, path, headers):
        route = self.config.document.find_route(path)
        caller = self.authenticator.authenticate(headers.get(b"authorization", ""))
        return route, caller

    callers_app.CallersApp._find_route = find_route


def _no_socket_check() -> None:
    orders.OrderSender._check_lease = lambda self, epoch: None


def _deliver_again() -> None:
    cursor.Cursor.unfinished_groups = lambda self: dict.fromkeys(range(len(self.group_sizes)), 0)
    cursor.Cursor.mark_delivered = lambda self, group, index: True


def _first_version_only() -> None:
    original = producer.SampleProducer._read_sample

    def read(self, held, index, answer):
        answer.final_record["spans"] = [{"version": 1, "tokens": answer.final_record["tokens"]}]
        return original(self, held, index, answer)

    producer.SampleProducer._read_sample = read


def _never_stale() -> None:
    producer.is_stale = lambda sample, weight_version, bound: False


def _ignore_leaving() -> None:
    membership.Membership.leaving_upstreams = lambda self: set()


def _no_drain() -> None:
    async def drain(self) -> None:
        os._exit(0)

    daemon.Daemon._drain = drain


def _any_revision() -> None:
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


def _no_seal() -> None:
    original = reporter.UsageReporter._seal

    async def seal(self, window, length):
        await self.store.delete(self._sealed_name(window))
        return await original(self, window, length)

    reporter.UsageReporter._seal = seal


def _no_fair_share() -> None:
    everything = daemon.Quota(1_000_000, 1_000_000)
    daemon.Daemon._allowance_of = lambda self, target, customer, demand: everything


def _no_second_attempts() -> None:
    producer.hedge_delay_s = lambda durations, model, tokens: float("inf")


def _one_salt() -> None:
    generate.cache_salt = lambda customer: "shared"


def _nothing() -> None:
    """Leave every mechanism in, for runs that only need the pause."""


WEAKENINGS = {
    "nothing": _nothing,
    "retry-rule": _retry_everything,
    "outcome": _call_everything_not_run,
    "closing-line": _skip_closing_line,
    "freshness": _always_fresh,
    "withdrawal": _forget_withdrawals,
    "header-filter": _pass_keys_on,
    "owner-check": _any_owner,
    "socket-check": _no_socket_check,
    "cursor": _deliver_again,
    "version-spans": _first_version_only,
    "staleness": _never_stale,
    "leaving": _ignore_leaving,
    "drain": _no_drain,
    "revision-order": _any_revision,
    "sealing": _no_seal,
    "fair-share": _no_fair_share,
    "second-attempts": _no_second_attempts,
    "cache-salt": _one_salt,
}


def _pause_before_orders() -> None:
    path = os.environ.get(PAUSE_FILE, "")
    if not path:
        return
    original = orders.LeaseCheckedStream.write

    async def write(self, buffer, timeout=None) -> None:
        if Path(path).exists():
            Path(path).unlink()
            os.kill(os.getpid(), signal.SIGSTOP)
        await original(self, buffer, timeout)

    orders.LeaseCheckedStream.write = write


if __name__ == "__main__":
    WEAKENINGS[sys.argv.pop(1)]()
    _pause_before_orders()
    main()
