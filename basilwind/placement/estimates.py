"""Measured run times and resource usage, in place of those declared."""

from collections import deque
from dataclasses import dataclass, replace

SMOOTHING = 0.1
USAGE_SAMPLES = 50
MIN_SAMPLES = 10
USAGE_QUANTILE = 0.9


@dataclass
class RunTimeEstimate:
    """Run time of one queue's tasks, as an exponential moving average.

    Attributes:
        mean_s: The moving average, in seconds.
    """

    mean_s: float

    def record(self, run_time_s):
        """Adds the run time of a task, in seconds."""
        self.mean_s += SMOOTHING * (run_time_s - self.mean_s)


class RunTimes:
    """Run time estimates of a shard's queues.

    A queue's estimate starts from the run time that the request declares.
    """

    def __init__(self):
        self._estimates = {}
        self._overall = None

    def record(self, spec, run_time_s):
        """Adds the run time of a request's task, in seconds."""
        self._estimate(spec).record(run_time_s)
        if self._overall is None:
            self._overall = RunTimeEstimate(run_time_s)
        self._overall.record(run_time_s)

    def expected_s(self, spec):
        """Returns the expected run time of a request, in seconds."""
        return self._estimate(spec).mean_s

    def expected_wait_s(self, spec, waiting, slots):
        """Returns the expected wait for a slot, in seconds.

        Args:
            spec: The request that would wait.
            waiting: Number of requests ahead of it.
            slots: Number of slots that serve the waiting requests.
        """
        if waiting == 0 or slots == 0:
            return 0.0
        mean_s = self._overall.mean_s if self._overall else self.expected_s(spec)
        return waiting * mean_s / slots

    def _estimate(self, spec):
        queue = f"{spec.team}/{spec.queue}"
        if queue not in self._estimates:
            self._estimates[queue] = RunTimeEstimate(spec.expected_s)
        return self._estimates[queue]


class ResourceEstimates:
    """Processors and memory that the tasks of a shard's queues really use.

    Declared demands are far too large or too small. Once ``MIN_SAMPLES`` tasks
    of a queue are measured, the ``USAGE_QUANTILE`` of what its latest
    ``USAGE_SAMPLES`` tasks used is reserved instead. Slots stay as declared,
    since they are what a worker counts.
    """

    def __init__(self):
        self._samples = {}

    def record(self, spec, usage):
        """Adds the ``TaskUsage`` of a task; None if its worker reports none."""
        if usage is None:
            return
        queue = f"{spec.team}/{spec.queue}"
        samples = self._samples.setdefault(queue, deque(maxlen=USAGE_SAMPLES))
        samples.append(usage)

    def demand_for(self, spec):
        """Returns the ``Demand`` to reserve for a request, from its queue's usage."""
        samples = self._samples.get(f"{spec.team}/{spec.queue}", ())
        if len(samples) < MIN_SAMPLES:
            return spec.demand
        return replace(
            spec.demand,
            cpus=_usage_quantile([usage.cpus for usage in samples]),
            memory_gb=_usage_quantile([usage.memory_gb for usage in samples]),
        )


def _usage_quantile(values):
    ordered = sorted(values)
    return ordered[min(int(USAGE_QUANTILE * len(ordered)), len(ordered) - 1)]
