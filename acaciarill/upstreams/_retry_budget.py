"""Bound retries to a share of recent successes, so that an outage makes no retry storm."""

from .const import RETRY_LIMIT, RETRY_RESERVE, RETRY_SHARE


class RetryBudget:
    """Earn a share of a retry by each success and spend one whole for each retry."""

    def __init__(
        self,
        share: float = RETRY_SHARE,
        reserve: float = RETRY_RESERVE,
        limit: float = RETRY_LIMIT,
    ) -> None:
        self.share = share
        self.limit = limit
        self.balance = reserve

    def deposit(self) -> None:
        """Note one success."""
        self.balance = min(self.limit, self.balance + self.share)

    def try_withdraw(self) -> bool:
        """Take one retry if the budget holds it."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True
