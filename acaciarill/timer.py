"""Call subscribers periodically from one timer service."""

import heapq
import itertools
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
import anyio.abc
from eliot import log_message

TimerCallback = Callable[[], Awaitable[None]]
Unsubscribe = Callable[[], None]

JITTER_SHARE = 0.1
"""Width of the random variation of a period, as a share of the period."""


def boot_time() -> float:
    """Return the seconds since boot, including the time that the host was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(slots=True, order=True)
class _Subscription:
    """Hold one subscription; `sequence` orders those that are due at the same time."""

    due_at: float
    sequence: int
    period_s: float = field(compare=False)
    callback: TimerCallback = field(compare=False)
    active: bool = field(compare=False, default=True)
    running: bool = field(compare=False, default=False)


class TimerService:
    """Call subscribers periodically; `clock` returns the time in seconds."""

    def __init__(self, clock: Callable[[], float] = boot_time, seed: int | None = None) -> None:
        self.clock = clock
        self.rng = random.Random(seed)
        self._subscriptions: list[_Subscription] = []
        self._sequence = itertools.count()
        self._wakeup = anyio.Event()

    def now(self) -> float:
        """Return the current time in seconds."""
        return self.clock()

    def subscribe(
        self, period_s: float, callback: TimerCallback, first_delay_s: float | None = None
    ) -> Unsubscribe:
        """Call `callback` every `period_s` seconds with jitter; return the unsubscribe function.

        The first call is after `first_delay_s` seconds, by default a random part of the period.
        """
        delay_s = period_s * self.rng.random() if first_delay_s is None else first_delay_s
        subscription = _Subscription(self.now() + delay_s, next(self._sequence), period_s, callback)
        heapq.heappush(self._subscriptions, subscription)
        self._wakeup.set()

        def unsubscribe() -> None:
            subscription.active = False

        return unsubscribe

    async def run(self) -> None:
        """Call subscribers until cancelled; skip a call while the previous one is running."""
        async with anyio.create_task_group() as task_group:
            while True:
                for subscription in self._pop_due():
                    task_group.start_soon(_call, subscription)
                self._wakeup = anyio.Event()
                wait_s = self._subscriptions[0].due_at - self.now() if self._subscriptions else None
                with anyio.move_on_after(wait_s):
                    await self._wakeup.wait()

    def _pop_due(self) -> list[_Subscription]:
        now = self.now()
        due: list[_Subscription] = []
        while self._subscriptions and self._subscriptions[0].due_at <= now:
            subscription = heapq.heappop(self._subscriptions)
            if not subscription.active:
                continue
            if not subscription.running:
                due.append(subscription)
            jitter = 1 + JITTER_SHARE * (self.rng.random() - 0.5)
            subscription.due_at = now + subscription.period_s * jitter
            heapq.heappush(self._subscriptions, subscription)
        return due


class VirtualTimer(TimerService):
    """Run on a virtual clock that `advance` moves, for tests and simulations."""

    def __init__(self, start: float = 1000.0, seed: int = 1) -> None:
        self.time = start
        super().__init__(lambda: self.time, seed)

    async def advance(self, seconds: float) -> None:
        """Move the clock forward by `seconds` and call the subscribers that are due, in order."""
        end = self.time + seconds
        while self._subscriptions and self._subscriptions[0].due_at <= end:
            self.time = max(self.time, self._subscriptions[0].due_at)
            for subscription in self._pop_due():
                await _call(subscription)
        self.time = end


async def _call(subscription: _Subscription) -> None:
    subscription.running = True
    try:
        await subscription.callback()
    except Exception as error:  # one failing subscriber must not stop the others
        log_message(
            message_type="timer:subscriber_failed",
            subscriber=getattr(subscription.callback, "__qualname__", ""),
            error=repr(error),
        )
    finally:
        subscription.running = False
