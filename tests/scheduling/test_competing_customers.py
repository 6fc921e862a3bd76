import random
import unittest

from basilwind.scheduling.admission import RefusalReason
from tests.scheduling.load_replay import LoadReplay, started_share
from tests.scheduling.model import make_job

# Two workers of 8 cores start 8 jobs of 2 cores and 1 s per second.


class TestHotCustomer(unittest.TestCase):
    """One customer sends too many jobs; the others must not notice it."""

    QUIET = ("a", "b", "c")
    WEIGHTS = {"hot": 2.0, "a": 2.0, "b": 5.0, "c": 2.0}

    def _play(self, hot_rate, lost_s=0.0, maximum_cpu=()):
        replay = LoadReplay(self.fail, self.WEIGHTS, workers=4, maximum_cpu=maximum_cpu)

        def lose_rack(second):
            for name in ("w0", "w1"):
                is_lost = 4.0 <= second < 4.0 + lost_s
                replay.model.workers[name].is_reachable = not is_lost

        rates = {
            "hot": hot_rate,
            "a": 2.0,
            "b": lambda second: 4.6 if 3.0 <= second < 9.0 else 2.0,
            "c": 2.0,
        }
        replay.play(20.0, rates, on_step=lose_rack)
        return replay

    def _waits(self, replay):
        return [
            round(offer.started_at - offer.offered_at, 1)
            for offer in replay.of(*self.QUIET)
            if offer.started_at is not None
        ]

    def _check_quiet(self, replay):
        refused = [offer for offer in replay.of(*self.QUIET) if offer.refusals]
        self.assertEqual(refused, [])

    def test_customer_times_6_beside_a_burst_times_2_3(self):
        """Load: hot sends 12 jobs/s instead of 2, b 4.6 instead of 2 for 6 s."""
        calm, loaded = self._play(hot_rate=2.0), self._play(hot_rate=12.0)
        self._check_quiet(loaded)
        self.assertEqual(len(self._waits(loaded)), len(self._waits(calm)))
        self.assertLessEqual(max(self._waits(loaded)), max(self._waits(calm)) + 0.5)

    def test_order_of_the_others_does_not_depend_on_the_hot_one(self):
        """Load: hot times 30, so that its excess jobs fill the backlog."""
        calm, loaded = self._play(hot_rate=2.0), self._play(hot_rate=60.0)
        self._check_quiet(loaded)
        orders = [
            sorted(
                (offer.started_at, offer.customer, offer.offered_at)
                for offer in replay.of(*self.QUIET)
            )
            for replay in (calm, loaded)
        ]
        for first, second in zip(*orders, strict=True):
            self.assertLess(abs(first[0] - second[0]), 1.0)
        reasons = {r for offer in loaded.of("hot") for r in offer.refusals}
        self.assertEqual(reasons, {RefusalReason.EXCESS})

    def test_excess_jobs_do_not_make_others_go_newest_first(self):
        """Load: hot has 100 s of excess work waiting, a less than overload means.

        The first job of hot is not excess and starts whole.
        """
        replay = LoadReplay(self.fail, {"hot": 0.2, "a": 100.0})
        model = replay.model
        for number in range(51):
            spec = make_job(count=16 if number else 1, cpu=2000, memory=10)
            model.submit(f"{number:016x}", spec, "hot")
        model.schedule()
        for number in range(2):
            job_id = f"{100 + number:016x}"
            model.submit(job_id, make_job(count=1, cpu=1000, memory=10), "a")
        model.now += 0.1
        for _ in range(2):
            steps = model.state._rank_ready_steps(model.now, model.now)
            model.schedule()
        self.assertEqual([step.job.customer for step in steps[:2]], ["a", "a"])
        self.assertFalse(model.state._is_overloaded)
        now = model.now
        self.assertIs(
            model.state.admit("q", "hot", now, now).reason, RefusalReason.EXCESS
        )
        self.assertIsNone(model.state.admit("q", "a", now, now).reason)

    def test_rack_lost_for_8_s_beside_a_hot_customer(self):
        """Load: hot times 6, b times 2.3, half of the workers gone for 8 s."""
        calm, loaded = self._play(2.0, lost_s=8.0), self._play(12.0, lost_s=8.0)
        self._check_quiet(loaded)
        quiet = started_share(loaded.of(*self.QUIET))
        self.assertGreaterEqual(quiet, started_share(calm.of(*self.QUIET)) - 0.05)
        self.assertGreater(quiet, started_share(loaded.of("hot")))

    def test_customer_without_any_job_is_not_refused_for_a_huge_backlog(self):
        """Load: hot, whose weight allows it, has 400 s of work waiting at once."""
        replay = LoadReplay(self.fail, {"hot": 1e6, "a": 1.0})
        for number in range(800):
            spec = make_job(count=8, cpu=8000, memory=10, estimate_s=1.0)
            replay.model.submit(f"{number:016x}", spec, "hot")
        state, now = replay.model.state, replay.model.now
        replay.model.schedule()
        self.assertEqual(
            state.admit("q", "hot", now, now).reason, RefusalReason.BACKLOG
        )
        self.assertIsNone(state.admit("q", "a", now, now).reason)


class TestManyCustomers(unittest.TestCase):
    """Twenty customers, of which most are small, send five times the room."""

    def test_all_get_equal_parts_of_what_they_ask_for(self):
        """Load: sizes 1 to 1/20, weights like sizes, all send five times their room."""
        sizes = {f"c{n:02}": 1.0 / n for n in range(1, 21)}
        replay = LoadReplay(
            self.fail, {name: 40 * size for name, size in sizes.items()}
        )
        total = sum(sizes.values())
        replay.play(25.0, {name: 40 * size / total for name, size in sizes.items()})
        for name in sizes:
            offers = replay.of(name)
            # One job more or less matters to the smallest, which offer about 13 each.
            started = started_share(offers) * len(offers)
            self.assertAlmostEqual(started, len(offers) / 5, delta=1 + len(offers) / 50)

    def test_worst_tenth_is_served_as_well_as_the_hot_ones(self):
        """Load: sizes 1 to 1/20, weights like sizes, the two largest send double."""
        sizes = {f"c{n:02}": 1.0 / n for n in range(1, 21)}
        total = sum(sizes.values()) + sizes["c01"] + sizes["c02"]
        weights = {name: 40.0 * size for name, size in sizes.items()}
        replay = LoadReplay(self.fail, weights)
        rates = {name: 40.0 * size / total for name, size in sizes.items()}
        hot = ("c01", "c02")
        for name in hot:
            rates[name] *= 2
        replay.play(25.0, rates)
        hot_share = started_share(replay.of(*hot))
        small = sorted(
            started_share(replay.of(name)) for name in sizes if name not in hot
        )
        self.assertGreaterEqual(sum(small[:2]) / 2, hot_share)

    def test_large_jobs_keep_their_share(self):
        """Load: sizes of 1 to 40 core-seconds, two customers, twice the room."""
        sizes = random.Random(1)
        counts = [min(20, int(sizes.paretovariate(1.1))) for _ in range(2000)]

        def make_spec(number):
            return make_job(count=counts[number], cpu=2000, memory=10)

        weights = {"a": 20.0, "b": 20.0}
        replay = LoadReplay(self.fail, weights, workers=4)
        mean_count = sum(counts) / len(counts)
        rate = 2 * 16 / mean_count / 2  # 16 tasks of 2 cores run at the same time
        replay.play(30.0, {"a": rate, "b": rate}, make_spec)
        offers = sorted(
            replay.offers.values(), key=lambda offer: -offer.spec.steps[0].count
        )
        tenth = len(offers) // 10
        mean = started_share(offers)
        self.assertGreaterEqual(started_share(offers[:tenth]), mean / 2)
        self.assertGreaterEqual(started_share(offers[tenth : 3 * tenth]), mean / 2)


class TestReturningCallers(unittest.TestCase):
    """Callers that were refused return when they are told to."""

    def test_backlog_drains_and_returning_callers_are_accepted(self):
        """Load: a sends 40 large jobs/s for 2 s, b one small job per second."""
        replay = LoadReplay(self.fail, {"a": 100.0, "b": 2.0})
        small = make_job(count=1, cpu=1000, memory=10)
        large = make_job(count=8, cpu=4000, memory=10)
        replay.play(2.0, {"a": 40.0}, lambda number: large, retries=True)
        begun_at = replay.model.now
        replay.play(28.0, {"b": 1.0}, lambda number: small, retries=True)
        refused = [offer for offer in replay.of("a") if offer.refusals]
        self.assertGreater(len(refused), 10)
        for offer in refused:
            self.assertEqual(set(offer.refusals), {RefusalReason.BACKLOG})
            self.assertIsNotNone(offer.accepted_at)
            self.assertLess(offer.accepted_at, begun_at + 20.0)
        seconds = {int(offer.accepted_at) for offer in refused}
        self.assertGreater(len(seconds), 2)
        self.assertFalse(any(offer.refusals for offer in replay.of("b")))
        self.assertEqual(started_share(replay.of("b")), 1.0)

    def test_excess_callers_return_at_their_rate(self):
        """Load: a may send 2 jobs/s and offers 16 jobs/s for 5 s."""
        replay = LoadReplay(self.fail, {"a": 2.0}, workers=1)
        replay.play(5.0, {"a": 16.0}, retries=True)
        replay.play(25.0, {}, retries=True)
        refused = [offer for offer in replay.of("a") if offer.refusals]
        self.assertGreater(len(refused), 10)
        self.assertTrue(all(offer.accepted_at for offer in refused))
