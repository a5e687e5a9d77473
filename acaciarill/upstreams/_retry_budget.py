"""Limit retries to a fraction of recent successes, so that an outage causes no retry storm."""

from .const import INITIAL_RETRY_BALANCE, MAX_RETRY_BALANCE, RETRIES_PER_SUCCESS


class RetryBudget:
    """Hold a balance of retries: each success adds `share` of a retry, each retry costs one.

    The balance starts at `reserve` and never exceeds `limit`.
    """

    def __init__(
        self,
        share: float = RETRIES_PER_SUCCESS,
        reserve: float = INITIAL_RETRY_BALANCE,
        limit: float = MAX_RETRY_BALANCE,
    ) -> None:
        self.share = share
        self.limit = limit
        self.balance = reserve

    def deposit(self) -> None:
        """Add the share of a retry that one success allows."""
        self.balance = min(self.limit, self.balance + self.share)

    def try_withdraw(self) -> bool:
        """Withdraw one retry and return True, or return False when the balance is below one."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True
