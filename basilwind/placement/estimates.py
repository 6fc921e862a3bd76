"""Run times and sizes as measured, in place of those declared."""

from collections import deque
from dataclasses import dataclass, replace

SMOOTHING = 0.1
SIZE_SAMPLES = 50
LEAST_SAMPLES = 10
SIZE_QUANTILE = 0.9


@dataclass
class RunTimeEstimate:
    """Smoothed run time of one queue.

    Attributes:
        mean_s: Smoothed mean, in seconds.
    """

    mean_s: float

    def note(self, run_time_s):
        """Takes in the run time of a task, in seconds."""
        self.mean_s += SMOOTHING * (run_time_s - self.mean_s)


class RunTimes:
    """Run time estimates of a shard's queues."""

    def __init__(self):
        self._estimates = {}
        self._overall = None

    def note(self, spec, run_time_s):
        """Takes in the run time of a request's task."""
        self._of(spec).note(run_time_s)
        if self._overall is None:
            self._overall = RunTimeEstimate(run_time_s)
        self._overall.note(run_time_s)

    def expected_s(self, spec):
        """Returns the expected run time of a request, in seconds."""
        return self._of(spec).mean_s

    def expected_wait_s(self, spec, waiting, slots):
        """Returns the expected wait behind a queue, in seconds.

        Args:
            spec: The request that would wait.
            waiting: Requests ahead of it.
            slots: Slots that serve the queue.
        """
        if waiting == 0 or slots == 0:
            return 0.0
        mean_s = self._overall.mean_s if self._overall else self.expected_s(spec)
        return waiting * mean_s / slots

    def _of(self, spec):
        name = f"{spec.team}/{spec.queue}"
        if name not in self._estimates:
            self._estimates[name] = RunTimeEstimate(spec.expected_s)
        return self._estimates[name]


class Sizes:
    """Sizes of a shard's queues, as their tasks really used them.

    Declared sizes are far off either way. After some tasks a quantile of what
    they used is reserved instead; slots stay as declared, since they are what
    a worker counts.
    """

    def __init__(self):
        self._samples = {}

    def note(self, spec, usage):
        """Takes in what a task used; None if its worker does not report it."""
        if usage is None:
            return
        name = f"{spec.team}/{spec.queue}"
        samples = self._samples.setdefault(name, deque(maxlen=SIZE_SAMPLES))
        samples.append(usage)

    def corrected(self, spec):
        """Returns the ``Demand`` to reserve for a request."""
        samples = self._samples.get(f"{spec.team}/{spec.queue}", ())
        if len(samples) < LEAST_SAMPLES:
            return spec.demand
        return replace(
            spec.demand,
            cpus=_quantile([usage.cpus for usage in samples]),
            memory_gb=_quantile([usage.memory_gb for usage in samples]),
        )


def _quantile(values):
    ordered = sorted(values)
    return ordered[min(int(SIZE_QUANTILE * len(ordered)), len(ordered) - 1)]
