"""Run coroutines on an event loop whose time passes only while all of them wait."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class _SkippingSelector(selectors.SelectSelector):
    """Skip each wait, and count the time that it would have taken."""

    skipped_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("all tasks wait for an event that nothing sets")
        self.skipped_s += max(0.0, timeout)
        return super().select(0)


class _VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.skipping_selector = _SkippingSelector()
        super().__init__(self.skipping_selector)

    def time(self) -> float:
        return self.skipping_selector.skipped_s


def run_in_virtual_time(work: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine that uses no network, without waiting for its timers."""
    with asyncio.Runner(loop_factory=_VirtualLoop) as runner:
        return runner.run(work)
