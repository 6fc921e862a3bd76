"""Run time estimates learned from finished tasks.

Declared run times are off by up to 90% in either direction, so they only tell the tasks
of a queue apart; the mean comes from measurements.
"""

from dataclasses import dataclass

SAMPLE_WEIGHT = 0.1  # averages about the last ten tasks
DECLARED_WEIGHT = 0.5  # declared times are right to within a factor of two at best
DEFAULT_RUN_TIME_S = 1.0  # used before anything is known
# Outliers, and tasks in another rack than their data, take 3 times as long.
MAX_OUTLIER_RATIO = 3.0


@dataclass(slots=True)
class _MeanTimes:
    measured_s: float
    declared_s: float


class RunTimes:
    """Moving averages of run times by queue."""

    def __init__(self):
        self._means = {}

    def record(self, queue, declared_s, measured_s):
        """Adds the run time of a finished task.

        Args:
            queue: Name of the queue.
            declared_s: Declared run time, seconds.
            measured_s: Measured run time, seconds.
        """
        mean = self._means.get(queue)
        if mean is None:
            self._means[queue] = _MeanTimes(measured_s, declared_s)
            return
        measured_s = min(measured_s, MAX_OUTLIER_RATIO * mean.measured_s)
        mean.measured_s += SAMPLE_WEIGHT * (measured_s - mean.measured_s)
        mean.declared_s += SAMPLE_WEIGHT * (declared_s - mean.declared_s)

    def expected_s(self, queue, declared_s):
        """Returns the expected run time of a task, seconds.

        Args:
            queue: Name of the queue.
            declared_s: Declared run time, seconds; 0 if none was declared.
        """
        mean = self._means.get(queue)
        if mean is None:
            return declared_s or DEFAULT_RUN_TIME_S
        if declared_s <= 0 or mean.declared_s <= 0:
            return mean.measured_s
        ratio = min(MAX_OUTLIER_RATIO, declared_s / mean.declared_s)
        scaled = ratio * mean.measured_s
        return DECLARED_WEIGHT * scaled + (1 - DECLARED_WEIGHT) * mean.measured_s

    def critical_path_s(self, queue, steps, is_done=lambda number: False):
        """Returns the run time of the longest chain of dependent steps, seconds.

        Args:
            queue: Name of the queue.
            steps: Sequence of ``StepSpec``.
            is_done: Returns whether the step with a given number is done.
        """
        ends = []
        for number, step in enumerate(steps):
            start = max((ends[earlier] for earlier in step.after), default=0.0)
            own = 0.0 if is_done(number) else self.expected_s(queue, step.estimate_s)
            ends.append(start + own)
        return max(ends, default=0.0)
