"""Retry budgets and delays."""

import random
from dataclasses import dataclass

BUDGET_RATIO = 0.1
MIN_BUDGET = 10.0
MAX_BUDGET = 100.0
MAX_ATTEMPTS = 4
FIRST_DELAY_S = 0.02
LONGEST_DELAY_S = 1.0


@dataclass
class RetryBudget:
    """A team's allowance of retries: a part of its traffic.

    Attributes:
        tokens: Retries that may be made now.
    """

    tokens: float = MIN_BUDGET

    def note_request(self):
        """Takes in a first attempt."""
        self.tokens = min(self.tokens + BUDGET_RATIO, MAX_BUDGET)

    def take(self):
        """Takes one retry out of the allowance.

        Returns:
            Whether the retry may be made.
        """
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def retry_delay_s(attempt):
    """Returns the delay before a retry, in seconds, with full jitter.

    Args:
        attempt: Number of the attempt that failed, from 1.
    """
    longest_s = min(FIRST_DELAY_S * 2 ** (attempt - 1), LONGEST_DELAY_S)
    return random.uniform(longest_s / 2, longest_s)
