"""Takes workers that fail what they start out of use for a while."""

from collections import deque
from dataclasses import dataclass, field

WINDOW = 20
MIN_RESULTS = 5
FAILURE_RATE = 0.6
SHORTEST_EJECTION_S = 5.0
LONGEST_EJECTION_S = 120.0
LARGEST_EJECTED_SHARE = 0.34


@dataclass
class WorkerRecord:
    """What is known of a worker's reliability.

    Attributes:
        results: Latest results, true for success.
        ejected_until: End of the ejection, on the monotonic clock.
        ejections: Ejections in a row.
        is_on_trial: Whether it is being probed back in, one task at a time.
    """

    results: deque = field(default_factory=lambda: deque(maxlen=WINDOW))
    ejected_until: float = 0.0
    ejections: int = 0
    is_on_trial: bool = False

    @property
    def failure_rate(self):
        """Share of failures among the latest results."""
        if not self.results:
            return 0.0
        return 1.0 - sum(self.results) / len(self.results)


class Ejector:
    """Decides which workers of a shard are out of use."""

    def __init__(self):
        self._records = {}

    def record(self, worker):
        """Returns a worker's ``WorkerRecord``."""
        return self._records.setdefault(worker, WorkerRecord())

    def is_ejected(self, worker, now):
        """Whether a worker gets no work now."""
        return now < self.record(worker).ejected_until

    def is_on_trial(self, worker):
        """Whether a worker gets one task at a time."""
        return self.record(worker).is_on_trial

    def ejected(self, now):
        """Returns the names of the workers that are out of use."""
        return [name for name in self._records if self.is_ejected(name, now)]

    def note(self, worker, is_success, workers, now):
        """Takes in the result of a task.

        Args:
            worker: Worker that ran the task.
            is_success: Whether it succeeded.
            workers: Names of all workers of the shard.
            now: Present time on the monotonic clock, in seconds.
        """
        record = self.record(worker)
        record.results.append(is_success)
        if is_success:
            record.is_on_trial = False
            record.ejections = 0
            return
        if record.is_on_trial or self._is_outlier(worker, workers):
            self._eject(worker, workers, now)

    def _is_outlier(self, worker, workers):
        record = self.record(worker)
        if len(record.results) < MIN_RESULTS or record.failure_rate < FAILURE_RATE:
            return False
        others = [self.record(name) for name in workers if name != worker]
        rates = [other.failure_rate for other in others if other.results]
        if not rates:
            return False
        # If most of them fail, the fault lies in the work and not in a worker.
        return sorted(rates)[len(rates) // 2] < record.failure_rate / 2

    def _eject(self, worker, workers, now):
        record = self.record(worker)
        others = [name for name in self.ejected(now) if name in workers]
        allowed = max(1, int(len(workers) * LARGEST_EJECTED_SHARE))
        if len(workers) < 2 or len(others) >= allowed:
            return
        duration_s = SHORTEST_EJECTION_S * 2**record.ejections
        record.ejected_until = now + min(duration_s, LONGEST_EJECTION_S)
        record.ejections = min(record.ejections + 1, 8)
        record.is_on_trial = True
        record.results.clear()
