"""Account for what each connection holds, and let the worst give way when that is too much."""

from collections.abc import Callable, Iterable
from typing import Any

from eliot import log_message

from ._decisions import ConnectionLimits, choose_yielding
from .const import (
    CLOSING_ALLOWANCE,
    FREED_SHARE,
    LARGE_BODY_BYTES,
    MIN_PROGRESS_BYTES,
    SOCKET_BUFFER_BYTES,
    STALLED_AFTER_S,
)

KIND_CALLERS = "callers"
KIND_READINESS = "readiness"
KIND_OPERATORS = "operators"
KIND_DAEMONS = "daemons"
REASON_CONNECTIONS = "connections"
REASON_CONTENT = "content"
REASON_LARGE_BODIES = "large bodies"
REASON_UNREAD_RESPONSE = "unread response"


class ConnectionAccount:
    """Account for what one connection makes the process hold.

    While `is_running` is set, a request of the connection runs, and the connection gives way only
    while it sends, or while `is_overfull` says that its client has sent more ahead than is read.
    `is_ending` is set before `give_way` is called, which has to end the connection; an account that
    is ending counts no content any more. `measure_unsent` returns the bytes that the client's host
    has not confirmed.
    """

    __slots__ = (
        "body_bytes",
        "budget",
        "is_ending",
        "give_way",
        "held_bytes",
        "is_overfull",
        "is_running",
        "kind",
        "measure_unsent",
        "progress_at",
        "progress_bytes",
        "send_timeout_s",
        "sending_since",
        "unsent_bytes",
    )

    def __init__(
        self, budget: "ConnectionBudget", kind: str, give_way: Callable[[], None], now: float
    ) -> None:
        self.budget = budget
        self.kind = kind
        self.give_way = give_way
        self.held_bytes = 0
        self.body_bytes = 0
        self.progress_at = now
        self.progress_bytes = 0
        self.is_running = False
        self.is_overfull = False
        self.is_ending = False
        self.sending_since: float | None = None
        self.send_timeout_s = 0.0
        self.unsent_bytes = 0
        self.measure_unsent: Callable[[], int] = lambda: 0

    @property
    def may_yield(self) -> bool:
        """Return whether the connection may give way."""
        return not self.is_running or self.sending_since is not None or self.is_overfull

    def hold(self, size: int) -> None:
        """Account for bytes that are held; other connections, or this one, may give way."""
        if self.is_ending:
            return
        self.held_bytes += size
        self.budget.held_bytes += size
        if self.budget.held_bytes > self.budget.content_limit:
            self.budget.free_content(self)

    def release(self, size: int) -> None:
        """Account for bytes that are no longer held."""
        if self.is_ending:
            return
        self.held_bytes -= size
        self.budget.held_bytes -= size

    def resize_body(self, size: int) -> bool:
        """Account for the body of a request; return False if there is no room for it."""
        if self.is_ending:
            return False
        if size > max(self.body_bytes, LARGE_BODY_BYTES) and not self.budget.admit_body(self, size):
            return False
        previous_size, self.body_bytes = self.body_bytes, size
        self.budget.large_body_bytes += _large(size) - _large(previous_size)
        if size > previous_size:
            self.hold(size - previous_size)
        else:
            self.release(previous_size - size)
        return not self.is_ending

    def record_progress(self, size: int, now: float) -> None:
        """Record that bytes were received or sent; few of them are no progress."""
        self.progress_bytes += size
        if self.progress_bytes >= MIN_PROGRESS_BYTES:
            self.record_step(now)

    def record_step(self, now: float) -> None:
        """Record that a request or a frame is complete, or that a connection is new."""
        self.progress_at, self.progress_bytes = now, 0

    def start_sending(self, timeout_s: float, now: float) -> None:
        """Let the connection give way while it sends, and once nothing was read for `timeout_s`."""
        self.sending_since, self.send_timeout_s = now, timeout_s
        self.record_step(now)

    def finish_sending(self) -> None:
        """Account for the end of `start_sending`."""
        self.sending_since = None

    def close(self) -> None:
        """Account for the end of the connection."""
        if self.budget.accounts.pop(id(self), None) is None:
            return
        self.budget.caller_count -= self.kind == KIND_CALLERS
        if self.is_ending:
            self.budget.ending_count -= 1
        else:
            self.budget.forget_content(self)


def _large(size: int) -> int:
    return size if size > LARGE_BODY_BYTES else 0


class ConnectionBudget:
    """Bound what all connections that a process accepts hold together, at any of its listeners.

    When it is used up, what holds most for longest without going on gives way. `on_yield` is called
    with the reason for each connection that does, and `on_refuse` for each body without room.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        limits: ConnectionLimits | None = None,
        on_yield: Callable[[str], None] = lambda reason: None,
        on_refuse: Callable[[str], None] = lambda reason: None,
    ) -> None:
        self.clock = clock
        self.limits = limits or ConnectionLimits()
        self.on_yield = on_yield
        self.on_refuse = on_refuse
        self.accounts: dict[int, ConnectionAccount] = {}
        self.held_bytes = 0
        self.large_body_bytes = 0
        self.ending_count = 0
        self.caller_count = 0

    @property
    def content_limit(self) -> int:
        """Return how many bytes may be held, more for a single body beyond the share of bodies."""
        excess = self.large_body_bytes - self.limits.large_body_bytes
        return self.limits.content_bytes + max(0, excess)

    def open(self, kind: str, give_way: Callable[[], None]) -> ConnectionAccount | None:
        """Return the account of a new connection, or None if it has to be closed."""
        count = len(self.accounts) + 1
        is_full = count > self.limits.max_connections * CLOSING_ALLOWANCE
        if is_full or not self._free_connections(kind):
            self.on_refuse(REASON_CONNECTIONS)
            return None
        account = ConnectionAccount(self, kind, give_way, self.clock())
        self.accounts[id(account)] = account
        self.caller_count += kind == KIND_CALLERS
        return account

    def is_crowded(self) -> bool:
        """Return whether connections that give way should be gone at once."""
        return len(self.accounts) > self.limits.max_connections

    def forget_content(self, account: ConnectionAccount) -> None:
        """Account for a connection that ends and holds nothing more."""
        self.held_bytes -= account.held_bytes
        self.large_body_bytes -= _large(account.body_bytes)
        account.is_ending = True

    def free_content(self, account: ConnectionAccount) -> None:
        """Let connections give way until the limit of all content is kept.

        If none can, the account that asks does unless its request runs already.
        """
        limit = self.content_limit
        excess = self.held_bytes - int(limit * (1 - FREED_SHARE))
        holdings = [item for item in self._open_accounts() if item.held_bytes]
        yielding = choose_yielding(holdings, excess, self.clock()) or choose_yielding(
            holdings, self.held_bytes - limit, self.clock()
        )
        if not yielding and account.may_yield:
            yielding = [account]
        self._let_yield(yielding, REASON_CONTENT)

    def admit_body(self, account: ConnectionAccount, size: int) -> bool:
        """Return whether a large body finds room; bodies that have stalled give way to it.

        A single one always does, whatever the memory: the configuration allows it.
        """
        others = self.large_body_bytes - _large(account.body_bytes)
        excess = others + size - self.limits.large_body_bytes
        if excess <= 0 or not others:
            return True
        holdings = [
            item
            for item in self._open_accounts()
            if item is not account and _large(item.body_bytes)
        ]
        yielding = choose_yielding(holdings, min(excess, others), self.clock(), STALLED_AFTER_S)
        if not yielding:
            self.on_refuse(REASON_LARGE_BODIES)
            return False
        self._let_yield(yielding, REASON_LARGE_BODIES)
        return True

    def close_stalled(self) -> None:
        """Close the connections whose client reads nothing of its response for too long."""
        now = self.clock()
        stalled = []
        for account in self._open_accounts():
            if account.sending_since is None:
                continue
            unsent_bytes = account.measure_unsent()
            if unsent_bytes != account.unsent_bytes:
                account.unsent_bytes, account.sending_since = unsent_bytes, now
            elif now - max(account.sending_since, account.progress_at) > account.send_timeout_s:
                stalled.append(account)
        self._let_yield(stalled, REASON_UNREAD_RESPONSE)

    def _open_accounts(self) -> list[ConnectionAccount]:
        return [account for account in self.accounts.values() if not account.is_ending]

    def _free_connections(self, kind: str) -> bool:
        """Let connections give way to one more of a kind; return whether there is room."""
        limits = self.limits
        open_count = len(self.accounts) + 1 - self.ending_count
        if kind == KIND_CALLERS and self.caller_count + 1 > limits.max_caller_connections:
            holdings = [item for item in self._open_accounts() if item.kind == KIND_CALLERS]
            excess = len(holdings) + 1 - limits.max_caller_connections
        else:
            holdings, excess = self._open_accounts(), open_count - limits.max_connections
        if excess <= 0:
            return True
        yielding = choose_yielding(
            holdings,
            excess * SOCKET_BUFFER_BYTES,
            self.clock(),
            bytes_each=SOCKET_BUFFER_BYTES,
        )
        self._let_yield(yielding, REASON_CONNECTIONS)
        return bool(yielding)

    def _let_yield(self, accounts: Iterable[ConnectionAccount], reason: str) -> None:
        now = self.clock()
        for account in accounts:
            log_message(
                message_type="clients:gave_way",
                kind=account.kind,
                reason=reason,
                held_bytes=account.held_bytes,
                stalled_s=round(now - account.progress_at, 3),
                action="close the connection",
            )
            self.forget_content(account)
            self.ending_count += 1
            self.on_yield(reason)
            account.give_way()

    def status(self) -> dict[str, Any]:
        """Return what the connections hold and their limits, for operators."""
        return {
            "connections": len(self.accounts),
            "max_connections": self.limits.max_connections,
            "held_bytes": self.held_bytes,
            "large_body_bytes": self.large_body_bytes,
            "max_content_bytes": self.limits.content_bytes,
        }
