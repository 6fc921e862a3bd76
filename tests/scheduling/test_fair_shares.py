import unittest

from hypothesis import given
from hypothesis import strategies as st

from basilwind.scheduling.fair_shares import (
    BUCKET_DEPTH_S,
    FORGET_AFTER_S,
    FairShares,
    JobRates,
)
from basilwind.scheduling.fleet import Customer, Resources

WEIGHTS = st.floats(0.05, 50.0)


def serve(shares, weights, works, rounds):
    """Starts one step per round, that with the lowest start tag.

    Args:
        shares: ``FairShares``.
        weights: Weight of each customer that always has steps waiting.
        works: Work of a step of each customer, core-seconds.
        rounds: Number of steps to start.

    Returns:
        Work that was started, core-seconds by customer.
    """
    served = dict.fromkeys(weights, 0.0)
    waiting = {name: (weights[name], [works[name]] * 3) for name in weights}
    for _ in range(rounds):
        tags = shares.start_tags(waiting)
        name = min(tags, key=lambda name: (tags[name][0], name))
        shares.charge(name, weights[name], works[name])
        served[name] += works[name]
    return served


class TestFairShares(unittest.TestCase):
    """Guards against a customer that gets more than its weight, or less."""

    @given(st.lists(WEIGHTS, min_size=2, max_size=6), st.randoms())
    def test_long_run_shares_follow_weights(self, weights, randomness):
        weights = {str(n): weight for n, weight in enumerate(weights)}
        works = {name: randomness.uniform(0.1, 2.0) for name in weights}
        shares = FairShares()
        # Enough for a customer of the lowest weight to have started 20 steps.
        total, lowest = sum(weights.values()), min(weights.values())
        rounds = min(4000, int(40 * max(works.values()) / 0.1 * total / lowest))
        served = serve(shares, weights, works, rounds)
        all_served = sum(served.values())
        for name, weight in weights.items():
            expected = all_served * weight / total
            # Start tags of any two differ by at most one step of each.
            bound = max(0.1 * expected, 2 * works[name] + 2 * weight * len(weights))
            slack = max(works[other] / weights[other] for other in weights) * weight
            self.assertLessEqual(abs(served[name] - expected), bound + slack)

    def test_shares_of_steady_customers_are_within_a_tenth(self):
        weights = {"a": 1.0, "b": 2.0, "c": 5.0}
        works = {"a": 3.0, "b": 1.0, "c": 0.5}
        served = serve(FairShares(), weights, works, 4000)
        for name, weight in weights.items():
            share = served[name] / sum(served.values())
            self.assertAlmostEqual(share, weight / 8, delta=0.1 * weight / 8)

    @given(st.integers(1, 500))
    def test_idle_customer_earns_no_credit(self, idle_rounds):
        # A customer that was idle must not get all starts until it has caught up.
        shares = FairShares()
        both = {"busy": 1.0, "idle": 1.0}
        works = {"busy": 1.0, "other": 1.0, "idle": 1.0}
        serve(shares, both, works, 20)
        serve(shares, {"busy": 1.0, "other": 1.0}, works, idle_rounds)
        served = serve(shares, both | {"other": 1.0}, works, 30)
        self.assertLessEqual(served["idle"], 12.0)

    def test_blocked_customer_does_not_hold_back_virtual_time(self):
        # A customer whose step fits nowhere keeps the lowest tag; customers that come
        # later must not start from there.
        shares = FairShares()
        step = (1.0, [1.0])
        for _ in range(100):
            shares.start_tags({"blocked": step, "served": step})
            shares.charge("served", 1.0, 1.0)
        tags = shares.start_tags({"blocked": step, "served": step, "new": step})
        self.assertEqual(tags["blocked"], [0.0])
        self.assertGreaterEqual(tags["new"][0], tags["served"][0] - 1.0)

    def test_rejected_start_costs_nothing(self):
        shares = FairShares()
        waiting = {"a": (2.0, [1.0, 1.0]), "b": (1.0, [1.0])}
        before = shares.start_tags(waiting)
        shares.charge("a", 2.0, 1.0)
        shares.refund("a", 2.0, 1.0)
        self.assertEqual(shares.start_tags(waiting), before)

    def test_customers_that_left_are_forgotten(self):
        shares = FairShares()
        for number in range(1000):
            name = str(number)
            shares.start_tags({name: (1.0, [1.0]), "steady": (1.0, [1.0])})
            shares.charge(name, 1.0, 1.0)
            shares.charge("steady", 1.0, 1.0)
        self.assertLess(len(shares), 20)
        shares.start_tags({})
        self.assertEqual(len(shares), 0)


class TestJobRates(unittest.TestCase):
    """Guards against a hot customer whose excess is not noticed."""

    def _customer(self, weight, name="a"):
        return Customer(name, weight, Resources())

    @given(st.floats(0.0, 50.0), st.lists(st.floats(0.0, 3.0), max_size=200))
    def test_accepted_jobs_stay_within_rate_and_depth(self, weight, pauses):
        rates, customer, now, taken = JobRates(), self._customer(weight), 100.0, 0
        for pause_s in pauses:
            now += pause_s
            taken += not rates.take(customer, now)
        depth = max(1.0, weight * BUCKET_DEPTH_S)
        rate = max(weight, 0.01)
        self.assertLessEqual(taken, depth + rate * (now - 100.0) + 1e-3)

    @given(WEIGHTS)
    def test_job_after_the_refill_is_not_excess(self, weight):
        rates, customer, now = JobRates(), self._customer(weight), 100.0
        self.assertEqual(rates.refill_s(customer, now), 0.0)
        while not rates.take(customer, now):
            pass
        refill_s = rates.refill_s(customer, now)
        self.assertGreater(refill_s, 0.0)
        self.assertFalse(rates.take(customer, now + refill_s))

    def test_customer_within_its_rate_is_never_excess(self):
        rates, customer = JobRates(), self._customer(2.0)
        self.assertFalse(any(rates.take(customer, n / 2) for n in range(500)))

    def test_idle_customers_are_forgotten(self):
        rates = JobRates()
        for number in range(1000):
            rates.take(self._customer(1.0, str(number)), 100.0 + number)
        self.assertLessEqual(len(rates), FORGET_AFTER_S + 2)

    def test_forgetting_does_not_refill_the_bucket_of_a_low_weight(self):
        # A customer with 0.01 jobs/s is idle for longer than a minute between jobs.
        rates, low = JobRates(), self._customer(0.01)
        rates.take(low, 100.0)
        rates.take(self._customer(1.0, "b"), 170.0)
        self.assertTrue(rates.take(low, 170.0))
