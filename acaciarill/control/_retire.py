"""Complete the retirement of hosts at once: even a host with a disk stores no durable data."""

from collections.abc import Awaitable, Callable

from eliot import log_message

from ..errors import StoreError
from ..leases import Lease
from ..mirrors import Mirror, Record

CompleteRetirement = Callable[[Record], Awaitable[None]]


class RetireDuty:
    """Complete the retirements that operators request."""

    def __init__(
        self,
        name: str,
        mirror: Mirror,
        is_completed: Callable[[Record], bool],
        complete_retirement: CompleteRetirement,
        step_down: Callable[[], Awaitable[None]],
    ) -> None:
        self.name = name
        self.mirror = mirror
        self.is_completed = is_completed
        self.complete_retirement = complete_retirement
        self.step_down = step_down

    async def run_once(self, lease: Lease) -> None:
        """Complete the open retirements.

        If this host is to be retired, only release its duties: the next holder completes the
        retirement.
        """
        for record in list(self.mirror.records.values()):
            if self.is_completed(record):
                continue
            if record.name == self.name:
                log_message(message_type="retire:stepping_down", host=self.name)
                await self.step_down()
                return
            try:
                await self.complete_retirement(record)
            except StoreError as error:
                log_message(message_type="retire:failed", host=record.name, reason=error.message)
                continue
            log_message(message_type="retire:completed", host=record.name)
