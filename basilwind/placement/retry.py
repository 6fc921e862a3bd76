"""Retry budgets and delays."""

import random
from dataclasses import dataclass

BUDGET_RATIO = 0.1  # retries credited for each request
INITIAL_BUDGET = 10.0
MAX_BUDGET = 100.0
MAX_ATTEMPTS = 4  # per request; attempts proven not to have run do not count
BASE_DELAY_S = 0.02
MAX_DELAY_S = 1.0


@dataclass
class RetryBudget:
    """Limits a team's retries to a fraction of its requests.

    Attributes:
        tokens: Retries that may be made now.
    """

    tokens: float = INITIAL_BUDGET

    def record_request(self):
        """Credits the budget for a first attempt."""
        self.tokens = min(self.tokens + BUDGET_RATIO, MAX_BUDGET)

    def try_take(self):
        """Spends one retry, if the budget has one left.

        Returns:
            Whether the retry may be made.
        """
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def retry_delay_s(attempt):
    """Returns the delay before a retry, in seconds: exponential, half of it jitter.

    Args:
        attempt: Number of the failed attempt, from 1.
    """
    max_delay_s = min(BASE_DELAY_S * 2 ** (attempt - 1), MAX_DELAY_S)
    return random.uniform(max_delay_s / 2, max_delay_s)
