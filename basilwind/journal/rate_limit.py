"""Paces appends, so that a zone stays within its part of the log's rate."""


class AppendRateLimiter:
    """A token bucket: appends go at once after a pause, and evenly under load.

    Args:
        rate: Appends a second over a longer time.
        burst: Appends that may follow each other at once after a pause.
        least_wait_s: Least wait before each append, in seconds.
    """

    def __init__(self, rate, burst, least_wait_s=0.0):
        self._rate = rate
        self._burst = burst
        self._least_wait_s = least_wait_s
        self._tokens = float(burst)
        self._filled_at = None

    def delay_s(self, now):
        """Takes an append and returns how long it has to wait, in seconds.

        Args:
            now: Present time on the monotonic clock, in seconds.
        """
        if self._filled_at is not None:
            gained = (now - self._filled_at) * self._rate
            self._tokens = min(self._tokens + gained, self._burst)
        self._filled_at = now
        self._tokens -= 1.0
        return max(self._least_wait_s, -self._tokens / self._rate)
