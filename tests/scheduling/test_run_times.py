"""Estimates of run times: their mean, their tail, and how far declared times count."""

import random
import sys
import unittest

from hypothesis import given
from hypothesis import strategies as st

from basilwind.scheduling.run_times import (
    BUCKETS,
    DEFAULT_DECLARED_WEIGHT,
    MAX_OUTLIER_RATIO,
    MIN_SAMPLES,
    RunTimes,
    _Distribution,
)

TAIL_SHARE = 0.03
TAIL_RATIO = 7.0


def learn(count, measure, seed=1):
    """Returns ``RunTimes`` of a queue.

    Args:
        count: Number of samples.
        measure: Returns the measured run time from the declared one and
            ``random.Random``.
        seed: Seed.
    """
    times, rng = RunTimes(), random.Random(seed)
    for _ in range(count):
        declared_s = rng.uniform(0.5, 1.5)
        times.record("q", declared_s, measure(declared_s, rng), "image")
    return times


def with_tail(declared_s, rng):
    """Returns a run time of which 3% take 7 times as long."""
    return rng.uniform(0.9, 1.1) * (TAIL_RATIO if rng.random() < TAIL_SHARE else 1.0)


class TestMean(unittest.TestCase):
    def test_end_that_is_reported_late_does_not_inflate_estimates(self):
        # Regression (fleetbench kivimagi-inv trouble-3): a pool demanded 600 hosts.
        times = RunTimes()
        for _ in range(10):
            times.record("q", 1.0, 1.0)
        times.record("q", 0.1, 60.0)
        self.assertLess(times.expected_s("q", 5.0), 2 * MAX_OUTLIER_RATIO)

    def test_mean_does_not_depend_on_how_long_the_tail_is(self):
        # Guards against a tail that makes jobs count as late and be refused.
        def measure(ratio):
            return lambda _, rng: ratio if rng.random() < TAIL_SHARE else 1.0

        near = learn(1000, measure(MAX_OUTLIER_RATIO * 1.5))
        far = learn(1000, measure(100.0))
        self.assertAlmostEqual(near.expected_s("q", 0), far.expected_s("q", 0), 6)


class TestDeclaredTimes(unittest.TestCase):
    def test_useless_declared_times_are_ignored(self):
        # Guards against ranking tasks by what callers guess.
        times = learn(400, lambda _, rng: rng.uniform(0.8, 1.2))
        short_s, long_s = times.expected_s("q", 0.5), times.expected_s("q", 1.5)
        self.assertLess(long_s / short_s, 1.25)

    def test_exact_declared_times_are_believed(self):
        # Guards against a constant weight that halves a known difference.
        times = learn(400, lambda declared_s, _: 2 * declared_s)
        for declared_s in (0.5, 1.0, 1.5):
            expected_s = times.expected_s("q", declared_s)
            self.assertAlmostEqual(expected_s / (2 * declared_s), 1.0, delta=0.2)

    def test_few_samples_leave_the_default_weight(self):
        # Guards against a slope that a handful of samples make up.
        times = learn(MIN_SAMPLES - 1, lambda declared_s, _: declared_s)
        mean_s, declared_mean_s = times.expected_s("q", 0), 1.0
        difference = times.expected_s("q", 2.0) - times.expected_s("q", 1.0)
        steep = mean_s / declared_mean_s
        self.assertAlmostEqual(difference / steep, DEFAULT_DECLARED_WEIGHT, delta=0.2)

    def test_equal_declared_times_keep_a_finite_weight(self):
        # Guards against a division by the variance of declared times, which is 0.
        times = RunTimes()
        for number in range(100):
            times.record("q", 1.0, 1.0 + number % 3)
        self.assertLess(times.expected_s("q", 2.0), 6.0)

    def test_weight_follows_a_queue_that_changes(self):
        # Guards against callers' habits of an earlier hour.
        times = learn(1000, lambda declared_s, _: declared_s)
        rng = random.Random(2)
        for _ in range(500):
            times.record("q", rng.uniform(0.5, 1.5), 1.0, "image")
        self.assertLess(times.expected_s("q", 1.5) / times.expected_s("q", 0.5), 1.25)


class TestRemainingTime(unittest.TestCase):
    def test_it_grows_with_the_elapsed_time_for_a_heavy_tail(self):
        # Guards against waiting behind a run that counts as nearly done for seconds.
        times = learn(2000, with_tail)
        at_start_s = times.remaining_s("q", "image", 1.0, 0.0)
        overdue_s = times.remaining_s("q", "image", 1.0, 2.0)
        self.assertAlmostEqual(at_start_s, 1.2, delta=0.3)
        self.assertGreater(overdue_s, 3.0)
        self.assertLess(overdue_s, 7.0)

    def test_it_shrinks_with_the_elapsed_time_for_a_narrow_queue(self):
        # Guards against a spread that only comes from the buckets.
        times = learn(2000, lambda _, rng: rng.uniform(0.9, 1.1))
        remaining = [times.remaining_s("q", "image", 1.0, t / 10) for t in range(10)]
        self.assertEqual(remaining, sorted(remaining, reverse=True))
        self.assertLess(remaining[-1], 0.3)

    def test_run_beyond_all_measured_ones_is_not_nearly_done(self):
        # Guards against a wait behind a run that hangs.
        times = learn(2000, lambda _, rng: rng.uniform(0.9, 1.1))
        self.assertGreater(times.remaining_s("q", "image", 1.0, 20.0), 2.0)

    def test_few_samples_give_what_is_left_of_the_mean(self):
        # Guards against a distribution of a handful of samples.
        times = learn(5, lambda *_: 1.0)
        self.assertAlmostEqual(times.remaining_s("q", "image", 0, 0.4), 0.6)
        self.assertAlmostEqual(RunTimes().remaining_s("x", "", 3.0, 1.0), 2.0)

    def test_images_have_distributions_of_their_own(self):
        # Guards against the tail of one image that counts for another.
        times = learn(2000, with_tail)
        for _ in range(300):
            times.record("q", 1.0, 1.0, "other")
        tail_s = times.remaining_s("q", "image", 1.0, 2.0)
        self.assertLess(times.remaining_s("q", "other", 1.0, 2.0), tail_s / 3)

    def test_quantile_knows_the_tail(self):
        # Guards against a tail that the cap on outliers hides.
        times = learn(2000, with_tail)
        self.assertLess(times.quantile_s("q", "image", 1.0, 0.9), 1.6)
        self.assertGreater(times.quantile_s("q", "image", 1.0, 0.995), 4.0)

    def test_old_samples_decay(self):
        # Guards against a weight that overflows, and a tail of an earlier version.
        times = learn(2000, with_tail)
        for _ in range(20_000):
            times.record("q", 1.0, 1.0, "image")
        self.assertLess(times.quantile_s("q", "image", 1.0, 0.995), 1.6)

    @given(
        st.lists(st.tuples(*[st.floats(0, 1e12)] * 2), max_size=60),
        st.floats(0, 1e12),
        st.floats(0, 1e12),
        st.floats(0, 1),
    )
    def test_any_times_give_finite_estimates(
        self, samples, declared_s, elapsed_s, share
    ):
        # Guards against a scheduling round that ends with an error.
        times = RunTimes()
        for sample in samples:
            times.record("q", *sample)
        remaining_s = times.remaining_s("q", "", declared_s, elapsed_s)
        quantile_s = times.quantile_s("q", "", declared_s, share)
        for value in (remaining_s, quantile_s):
            self.assertGreaterEqual(value, 0.0)
            self.assertLess(value, float("inf"))

    def test_distribution_takes_less_than_1_kb(self):
        # Guards against 512 images that exceed the daemon's memory.
        distribution = _Distribution()
        size = sys.getsizeof(distribution) + sys.getsizeof(distribution._counts)
        self.assertEqual(len(distribution._counts), BUCKETS)
        self.assertLess(size, 1000)
