"""Run times learned from finished tasks.

Declared run times are off by up to nine tenths, in either direction, so they
only rank the tasks of a queue; their level comes from what was measured.
"""

from dataclasses import dataclass

WEIGHT = 0.1  # of a new sample: about the last ten tasks count
DECLARED_SHARE = 0.5  # declared times are right to within a factor of two at best
DEFAULT_S = 1.0  # before anything is known
MAX_RATIO = 3.0  # a task away from its data takes 3 times as long, as do outliers


@dataclass(slots=True)
class _Level:
    measured_s: float
    declared_s: float


class RunTimes:
    """Mean run times by queue."""

    def __init__(self):
        self._levels = {}

    def observe(self, queue, declared_s, measured_s):
        """Learns from a task that is done."""
        level = self._levels.get(queue)
        if level is None:
            self._levels[queue] = _Level(measured_s, declared_s)
            return
        measured_s = min(measured_s, MAX_RATIO * level.measured_s)
        level.measured_s += WEIGHT * (measured_s - level.measured_s)
        level.declared_s += WEIGHT * (declared_s - level.declared_s)

    def estimate(self, queue, declared_s):
        """Returns the expected run time of a task, seconds."""
        level = self._levels.get(queue)
        if level is None:
            return declared_s or DEFAULT_S
        if declared_s <= 0 or level.declared_s <= 0:
            return level.measured_s
        ratio = min(MAX_RATIO, declared_s / level.declared_s)
        scaled = ratio * level.measured_s
        return DECLARED_SHARE * scaled + (1 - DECLARED_SHARE) * level.measured_s

    def chain(self, queue, steps, is_done=lambda number: False):
        """Returns the run time of the longest chain of steps, seconds.

        Args:
            queue: Name of the queue.
            steps: ``StepSpec`` by number.
            is_done: Tells of a step's number whether it is done.
        """
        ends = []
        for number, step in enumerate(steps):
            begin = max((ends[earlier] for earlier in step.after), default=0.0)
            own = 0.0 if is_done(number) else self.estimate(queue, step.estimate_s)
            ends.append(begin + own)
        return max(ends, default=0.0)
