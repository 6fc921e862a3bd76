"""Run times learned from finished tasks: the mean, the spread and the tail.

Declared run times are off by up to 90% in either direction, in some queues more than in
others, so how far they count is learned for each queue. The mean comes from
measurements with outliers capped. The tail is kept apart from it, in a histogram of
measured over expected run times for each queue and image.

``hdrhistogram`` does not fit: its smallest histogram has 1.4 KB of counts, integers
that cannot decay, and one pass over them takes 0.5 ms.
"""

import math
from array import array
from collections import OrderedDict
from dataclasses import dataclass
from operator import mul

SAMPLE_WEIGHT = 0.1  # averages about the last ten tasks
# Weight of the declared time until enough is measured; declared times are then right to
# within a factor of two at best.
DEFAULT_DECLARED_WEIGHT = 0.5
DEFAULT_RUN_TIME_S = 1.0  # used before anything is known
# Outliers, and tasks of a step that is spread over racks, take 3 times as long.
MAX_OUTLIER_RATIO = 3.0
MIN_SAMPLES = 20  # with fewer, a slope or a share is mostly chance
REGRESSION_SAMPLES = 100  # a queue's callers change within minutes
# Variance of the logarithm of declared times that counts as a sample for the default
# weight. Where declared times hardly differ, their slope is mostly chance.
PRIOR_VARIANCE = 0.01
# About nine samples of a tail of 3% are remembered.
DISTRIBUTION_SAMPLES = 300
BUCKETS_PER_DOUBLING = 3
BUCKETS = 24  # ratios of 1/8 to 32
FIRST_BUCKET = -9  # begins at a ratio of 2^(-9/3)
MAX_DISTRIBUTIONS = 512  # of 0.5 KB; images are named by callers
# The weight of new samples grows in place of the decay of all earlier ones.
MAX_SAMPLE_WEIGHT = 1e9
MIN_REMAINING_S = 0.1  # below the time that a stop takes, so it stops no task
# A run that exceeds all measured ones: the longer it has run, the longer it may take.
OVERDUE_SHARE = 0.25
MIN_RATIO_S = 1e-6
MIN_TAIL_SAMPLES = 0.5

_EDGES = array(
    "d",
    (2 ** ((FIRST_BUCKET + n) / BUCKETS_PER_DOUBLING) for n in range(BUCKETS + 1)),
)
_MIDDLES = array(
    "d", ((low + high) / 2 for low, high in zip(_EDGES, _EDGES[1:], strict=False))
)


def _bucket(ratio):
    """Returns the number of the bucket of a positive ratio."""
    number = math.floor(BUCKETS_PER_DOUBLING * math.log2(ratio)) - FIRST_BUCKET
    return min(max(number, 0), BUCKETS - 1)


class _Distribution:
    """Histogram of measured over expected run times, in which old samples decay."""

    __slots__ = ("_counts", "_total", "_weight")

    def __init__(self):
        self._counts = array("d", bytes(8 * BUCKETS))
        self._total = 0.0
        self._weight = 1.0  # of the next sample

    @property
    def samples(self):
        """Number of samples, those that have decayed counted by what is left."""
        return self._total / self._weight

    def add(self, ratio):
        """Adds a ratio."""
        self._counts[_bucket(ratio)] += self._weight
        self._total += self._weight
        self._weight *= 1 + 1 / DISTRIBUTION_SAMPLES
        if self._weight > MAX_SAMPLE_WEIGHT:
            self._counts = array("d", (n / self._weight for n in self._counts))
            self._total /= self._weight
            self._weight = 1.0

    def remaining(self, elapsed):
        """Returns the mean of the ratios above a ratio, less that; None if unknown."""
        number = _bucket(elapsed) if elapsed > 0 else 0
        low, high = _EDGES[number], _EDGES[number + 1]
        begin = max(low, elapsed)
        # The samples of a bucket count as spread evenly over it.
        part = self._counts[number] * max(0.0, high - begin) / (high - low)
        above = self._counts[number + 1 :]
        total = part + sum(above)
        if total < MIN_TAIL_SAMPLES * self._weight:
            return None
        mean = part * (begin + high) / 2 + sum(map(mul, above, _MIDDLES[number + 1 :]))
        return mean / total - elapsed

    def quantile(self, share):
        """Returns the ratio that a share of the samples does not exceed."""
        wanted = share * self._total
        for number, count in enumerate(self._counts):
            if count and count >= wanted:
                low, high = _EDGES[number], _EDGES[number + 1]
                return low + (high - low) * wanted / count
            wanted -= count
        return _EDGES[-1]


@dataclass(slots=True)
class _QueueTimes:
    """Averages of a queue's run times, and of their logarithms."""

    measured_s: float
    declared_s: float
    declared_weight: float = DEFAULT_DECLARED_WEIGHT
    samples: int = 0
    log_declared: float = 0.0
    log_measured: float = 0.0
    variance: float = 0.0
    covariance: float = 0.0

    def learn_weight(self, declared_s, measured_s):
        """Updates the weight of declared times: the slope of the logarithms."""
        if declared_s <= 0 or measured_s <= 0:
            return
        self.samples += 1
        share = 1 / min(self.samples, REGRESSION_SAMPLES)
        declared = math.log(declared_s) - self.log_declared
        measured = math.log(measured_s) - self.log_measured
        self.log_declared += share * declared
        self.log_measured += share * measured
        rest = 1 - share
        self.variance = rest * (self.variance + share * declared * declared)
        self.covariance = rest * (self.covariance + share * declared * measured)
        if self.samples >= MIN_SAMPLES:
            slope = (self.covariance + DEFAULT_DECLARED_WEIGHT * PRIOR_VARIANCE) / (
                self.variance + PRIOR_VARIANCE
            )
            self.declared_weight = min(max(slope, 0.0), 1.0)


class RunTimes:
    """Run times by queue, and their distribution by queue and image."""

    def __init__(self):
        self._queues = {}
        # By queue and image, the most recently updated last.
        self._distributions = OrderedDict()

    def record(self, queue, declared_s, measured_s, image=""):
        """Adds the run time of a finished task.

        Args:
            queue: Name of the queue.
            declared_s: Declared run time, seconds.
            measured_s: Measured run time, seconds.
            image: Image that the task ran.
        """
        times = self._queues.get(queue)
        if times is None:
            times = self._queues[queue] = _QueueTimes(measured_s, declared_s)
        else:
            expected_s = self.expected_s(queue, declared_s)
            ratio = max(measured_s, MIN_RATIO_S) / max(expected_s, MIN_RATIO_S)
            self._distribution(queue, image).add(ratio)
            capped_s = min(measured_s, MAX_OUTLIER_RATIO * times.measured_s)
            times.measured_s += SAMPLE_WEIGHT * (capped_s - times.measured_s)
            times.declared_s += SAMPLE_WEIGHT * (declared_s - times.declared_s)
        times.learn_weight(declared_s, measured_s)

    def _distribution(self, queue, image):
        """Returns the ``_Distribution`` to add a sample to."""
        key = queue, image
        distribution = self._distributions.get(key)
        if distribution is None:
            distribution = self._distributions[key] = _Distribution()
            if len(self._distributions) > MAX_DISTRIBUTIONS:
                self._distributions.popitem(last=False)
        else:
            self._distributions.move_to_end(key)
        return distribution

    def expected_s(self, queue, declared_s):
        """Returns the expected run time of a task, seconds.

        Args:
            queue: Name of the queue.
            declared_s: Declared run time, seconds; 0 if none was declared.
        """
        times = self._queues.get(queue)
        if times is None:
            return declared_s or DEFAULT_RUN_TIME_S
        if declared_s <= 0 or times.declared_s <= 0:
            return times.measured_s
        ratio = min(MAX_OUTLIER_RATIO, declared_s / times.declared_s)
        return times.measured_s * (1 + times.declared_weight * (ratio - 1))

    def remaining_s(self, queue, image, declared_s, elapsed_s):
        """Returns the expected remaining run time of a task, seconds.

        Grows with the time that the task has run if some tasks take far longer.

        Args:
            queue: Name of the queue.
            image: Image that the task runs.
            declared_s: Declared run time, seconds; 0 if none was declared.
            elapsed_s: Time for which it has run, seconds.
        """
        expected_s = max(self.expected_s(queue, declared_s), MIN_RATIO_S)
        distribution = self._distributions.get((queue, image))
        if distribution is None or distribution.samples < MIN_SAMPLES:
            return max(expected_s - elapsed_s, MIN_REMAINING_S)
        remaining = distribution.remaining(elapsed_s / expected_s)
        if remaining is None:
            return max(OVERDUE_SHARE * elapsed_s, MIN_REMAINING_S)
        return max(remaining * expected_s, MIN_REMAINING_S)

    def quantile_s(self, queue, image, declared_s, share):
        """Returns the run time that a share of the tasks does not exceed, seconds.

        Args:
            queue: Name of the queue.
            image: Image that the task runs.
            declared_s: Declared run time, seconds; 0 if none was declared.
            share: Share of the tasks, 0 to 1.
        """
        expected_s = self.expected_s(queue, declared_s)
        distribution = self._distributions.get((queue, image))
        if distribution is None or distribution.samples < MIN_SAMPLES:
            return expected_s
        return expected_s * distribution.quantile(share)

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
