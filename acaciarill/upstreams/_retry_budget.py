"""Limit retries to a fraction of recent successes, so that an outage causes no retry storm."""

from .const import INITIAL_RETRY_BALANCE, MAX_RETRY_BALANCE, RETRIES_PER_SUCCESS


class RetryBudget:
    """Hold a balance of retries: a success adds `retries_per_success`, a retry costs one.

    The balance starts at `initial_balance` and never exceeds `max_balance`.
    """

    def __init__(
        self,
        retries_per_success: float = RETRIES_PER_SUCCESS,
        initial_balance: float = INITIAL_RETRY_BALANCE,
        max_balance: float = MAX_RETRY_BALANCE,
    ) -> None:
        self.retries_per_success = retries_per_success
        self.max_balance = max_balance
        self.balance = initial_balance

    def deposit(self) -> None:
        """Add the fraction of a retry that one success allows."""
        self.balance = min(self.max_balance, self.balance + self.retries_per_success)

    def try_withdraw(self) -> bool:
        """Withdraw one retry and return True, or return False when the balance is below one."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True
