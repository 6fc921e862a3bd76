"""Shares of customers in a pool's capacity, and the rates of their jobs.

Load pattern: one customer sends several times what it usually does, and its jobs would
fill the pool for everyone. Start-time fair queueing gives each customer with waiting
jobs capacity in proportion to its weight, whatever the others send.
"""

from dataclasses import dataclass

MIN_WEIGHT = 0.01  # a customer with weight 0 is served last, but it is served
BUCKET_DEPTH_S = 5.0  # jobs that a customer may send at once, in seconds of its rate
ONE_JOB = 1.0 - 1e-6  # tokens; a refill computed in floating point may be this short
FORGET_AFTER_S = 60.0  # bounds memory; buckets of most weights are full long before


class FairShares:
    """Start-time fair queueing over the customers of a priority class in a pool.

    A customer's tag is its virtual time: core-seconds started divided by its weight.
    The pool's virtual time is the highest tag at which a waiting customer was served. A
    customer that starts to wait has at least this tag, so being idle earns no credit,
    and one whose steps fit nowhere does not hold the virtual time back. Once no
    customer waits, all start anew.
    """

    def __init__(self):
        self._tags = {}
        self._virtual_time = 0.0
        self._waiting = frozenset()
        # Highest tag at which a waiting customer was served since the last tagging.
        self._served_tag = 0.0

    def __len__(self):
        return len(self._tags)

    def charge(self, customer, weight, core_seconds):
        """Charges a customer for work that was started.

        Args:
            customer: Name of the customer.
            weight: Its weight.
            core_seconds: Expected work, core-seconds.
        """
        tag = max(self._tags.get(customer, 0.0), self._virtual_time)
        if customer in self._waiting:
            tag = self._tags[customer]
            self._served_tag = max(self._served_tag, tag)
        self._tags[customer] = tag + core_seconds / max(weight, MIN_WEIGHT)

    def refund(self, customer, weight, core_seconds):
        """Takes back the charge for work whose start a worker did not accept."""
        if customer in self._tags:
            self._tags[customer] -= core_seconds / max(weight, MIN_WEIGHT)

    def start_tags(self, waiting):
        """Returns the start tags of new steps and notes which customers wait.

        Args:
            waiting: By customer, its weight and the work of each of its new steps in
                the order in which they go, core-seconds.

        Returns:
            List of start tags by customer.
        """
        self._advance(waiting)
        tags = {}
        for customer, (weight, works) in waiting.items():
            tag = self._tags[customer]
            tags[customer] = []
            for work in works:
                tags[customer].append(tag)
                tag += work / max(weight, MIN_WEIGHT)
        return tags

    def _advance(self, waiting):
        """Advances the pool's virtual time and drops customers that it has passed."""
        if not waiting:
            self._tags.clear()
            self._virtual_time = 0.0
        else:
            self._virtual_time = max(self._virtual_time, self._served_tag)
        self._served_tag = 0.0
        for customer in waiting:
            if customer not in self._waiting:
                tag = self._tags.get(customer, 0.0)
                self._tags[customer] = max(tag, self._virtual_time)
        self._waiting = frozenset(waiting)
        for customer, tag in list(self._tags.items()):
            if customer not in waiting and tag <= self._virtual_time:
                del self._tags[customer]


@dataclass(slots=True)
class _Bucket:
    tokens: float
    filled_at: float
    taken_at: float
    keep_s: float


class JobRates:
    """A token bucket for each customer, which fills at its weight in jobs per second.

    Methods take the customer as ``Customer`` and the boot time as ``now``, in seconds.
    """

    def __init__(self):
        self._buckets = {}
        self._dropped_at = 0.0

    def __len__(self):
        return len(self._buckets)

    def take(self, customer, now):
        """Takes a token for a job; returns whether the job is excess."""
        self._drop_idle(now)
        rate = max(customer.weight, MIN_WEIGHT)
        bucket = self._buckets.get(customer.name)
        if bucket is None:
            bucket = _Bucket(_depth(rate), now, now, FORGET_AFTER_S)
            self._buckets[customer.name] = bucket
        bucket.tokens = _tokens(bucket, rate, now)
        bucket.filled_at = bucket.taken_at = now
        bucket.keep_s = max(FORGET_AFTER_S, 1.0 / rate)
        if bucket.tokens < ONE_JOB:
            return True
        bucket.tokens = max(0.0, bucket.tokens - 1.0)
        return False

    def refill_s(self, customer, now):
        """Returns the seconds until a job would not be excess; 0 if it is not now."""
        bucket = self._buckets.get(customer.name)
        if bucket is None:
            return 0.0
        rate = max(customer.weight, MIN_WEIGHT)
        tokens = _tokens(bucket, rate, now)
        return 0.0 if tokens >= ONE_JOB else (1.0 - tokens) / rate

    def _drop_idle(self, now):
        """Drops the buckets of idle customers, at most once a second.

        A bucket that needs longer to fill is kept for as long, as a new one is full.
        """
        if now - self._dropped_at < 1.0:
            return
        self._dropped_at = now
        for name, bucket in list(self._buckets.items()):
            if now - bucket.taken_at >= bucket.keep_s:
                del self._buckets[name]


def _depth(rate):
    return max(1.0, rate * BUCKET_DEPTH_S)


def _tokens(bucket, rate, now):
    filled = bucket.tokens + max(0.0, now - bucket.filled_at) * rate
    return min(_depth(rate), filled)
