"""Confirm that a host with a disk may go: nothing that must last lives on it."""

from collections.abc import Awaitable, Callable

from eliot import log_message

from ..errors import StoreError
from ..leases import Lease
from ..mirrors import Mirror, Record

Complete = Callable[[Record], Awaitable[None]]


class RetireDuty:
    """Complete the retirements that operators ask for."""

    def __init__(
        self,
        name: str,
        mirror: Mirror,
        completed: Callable[[Record], bool],
        complete: Complete,
        step_down: Callable[[], Awaitable[None]],
    ) -> None:
        self.name = name
        self.mirror = mirror
        self.completed = completed
        self.complete = complete
        self.step_down = step_down

    async def run_once(self, lease: Lease) -> None:
        """Complete each open retirement; the holder itself gives its duties up first."""
        for record in list(self.mirror.records.values()):
            if self.completed(record):
                continue
            if record.name == self.name:
                log_message(message_type="retire:stepping_down", host=self.name)
                await self.step_down()
                return
            try:
                await self.complete(record)
            except StoreError as error:
                log_message(message_type="retire:failed", host=record.name, reason=error.message)
                continue
            log_message(message_type="retire:completed", host=record.name)
