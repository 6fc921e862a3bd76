"""Temporary ejection of workers that fail far more tasks than the others."""

from collections import deque
from dataclasses import dataclass, field

RESULT_WINDOW = 20
MIN_RESULTS = 5
MIN_FAILURE_RATE = 0.6
MIN_EJECTION_S = 5.0
MAX_EJECTION_S = 120.0
MAX_EJECTED_FRACTION = 0.34


@dataclass
class WorkerStats:
    """Recent reliability of a worker.

    Attributes:
        results: The latest ``RESULT_WINDOW`` results, true for success.
        ejected_until: End of the latest ejection, on the monotonic clock in
            seconds.
        ejections: Ejections since its latest success, at most 8.
        is_on_probation: Whether it gets one task at a time after an ejection; one
            success ends the probation, one failure ejects it again.
    """

    results: deque = field(default_factory=lambda: deque(maxlen=RESULT_WINDOW))
    ejected_until: float = 0.0
    ejections: int = 0
    is_on_probation: bool = False

    @property
    def failure_rate(self):
        """Fraction of failures among the latest results."""
        if not self.results:
            return 0.0
        return 1.0 - sum(self.results) / len(self.results)


class Ejector:
    """Ejects workers of a shard that fail far more tasks than the others."""

    def __init__(self):
        self._stats = {}

    def stats(self, worker):
        """Returns a worker's ``WorkerStats``."""
        return self._stats.setdefault(worker, WorkerStats())

    def is_ejected(self, worker, now):
        """Whether a worker is ejected at ``now``."""
        return now < self.stats(worker).ejected_until

    def is_on_probation(self, worker):
        """Whether a worker gets one task at a time after an ejection."""
        return self.stats(worker).is_on_probation

    def ejected(self, now):
        """Returns the names of the ejected workers."""
        return [name for name in self._stats if self.is_ejected(name, now)]

    def record_result(self, worker, is_success, workers, now):
        """Records the result of a task and ejects its worker if need be.

        Args:
            worker: Worker that ran the task.
            is_success: Whether it succeeded.
            workers: Names of all workers of the shard.
            now: Current time on the monotonic clock, in seconds.
        """
        stats = self.stats(worker)
        stats.results.append(is_success)
        if is_success:
            stats.is_on_probation = False
            stats.ejections = 0
            return
        if stats.is_on_probation or self._is_outlier(worker, workers):
            self._eject(worker, workers, now)

    def _is_outlier(self, worker, workers):
        stats = self.stats(worker)
        if len(stats.results) < MIN_RESULTS or stats.failure_rate < MIN_FAILURE_RATE:
            return False
        others = [self.stats(name) for name in workers if name != worker]
        rates = [other.failure_rate for other in others if other.results]
        if not rates:
            return False
        # If most workers fail, the cause is the work and not one worker.
        return sorted(rates)[len(rates) // 2] < stats.failure_rate / 2

    def _eject(self, worker, workers, now):
        stats = self.stats(worker)
        others = [name for name in self.ejected(now) if name in workers]
        allowed = max(1, int(len(workers) * MAX_EJECTED_FRACTION))
        if len(workers) < 2 or len(others) >= allowed:
            return
        duration_s = MIN_EJECTION_S * 2**stats.ejections
        stats.ejected_until = now + min(duration_s, MAX_EJECTION_S)
        stats.ejections = min(stats.ejections + 1, 8)
        stats.is_on_probation = True
        stats.results.clear()
