"""Limits the rate of appends, so that a zone keeps within its share of the log."""


class AppendRateLimiter:
    """A token bucket: no delay after a pause, evenly spaced appends under load.

    Args:
        rate: Tokens gained per second, that is, sustained appends per second.
        burst: Capacity of the bucket, that is, appends that need not wait after a
            pause.
        min_wait_s: Shortest wait before each append, in seconds.
    """

    def __init__(self, rate, burst, min_wait_s=0.0):
        self._rate = rate
        self._burst = burst
        self._min_wait_s = min_wait_s
        self._tokens = float(burst)
        self._refilled_at = None

    def reserve_delay_s(self, now):
        """Takes a token for one append and returns its delay, in seconds.

        Args:
            now: Current time on the monotonic clock, in seconds.
        """
        if self._refilled_at is not None:
            gained = (now - self._refilled_at) * self._rate
            self._tokens = min(self._tokens + gained, self._burst)
        self._refilled_at = now
        self._tokens -= 1.0
        return max(self._min_wait_s, -self._tokens / self._rate)
