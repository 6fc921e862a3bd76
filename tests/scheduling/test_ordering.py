import random
import unittest
from unittest import mock

from basilwind.scheduling import ordering
from basilwind.scheduling.fleet import Customer, Resources
from basilwind.scheduling.jobs import Job
from basilwind.scheduling.ordering import ESTIMATE_MAX_AGE_S, is_late, rank_step
from basilwind.scheduling.reports import EndKind
from tests.scheduling.model import QUEUE, PoolModel, make_job

WAITING = 300
SPREAD = 0.5  # standard deviation of the logarithm of run times in the deployments


class TestObjectiveEstimate(unittest.TestCase):
    """Backlog of a burst: hundreds of steps wait, and every answer ranks them."""

    def test_backlog_is_not_estimated_again_with_each_answer(self):
        # Regression (fleetbench cordillera-flota-grown trouble-2): with 25,000
        # core-seconds waiting the owner answered no calls from 48 s on, and hosts
        # stayed idle.
        model = PoolModel(self.fail, workers=2)
        for number in range(WAITING):
            model.submit(f"{number:016x}", make_job(count=8, cpu=4000, steps=2))
        model.hold()
        model.schedule()
        model.state.refuse_for_s("q", model.now, model.now)
        with mock.patch.object(ordering, "_estimate_objective") as estimate:
            for _ in range(10):
                model.now += ESTIMATE_MAX_AGE_S / 20
                model.schedule()
                model.state.refuse_for_s("q", model.now, model.now)
        estimate.assert_not_called()

    def test_job_becomes_late_between_estimates(self):
        job = Job("a" * 16, "q", make_job(), 1000.0)
        (step,) = job.start_due_occurrences(1000.0)
        times = PoolModel(self.fail).state.run_times
        first = rank_step(step, QUEUE, times, 1000.0)
        self.assertFalse(first.is_late or is_late(job, QUEUE, times, 1000.0))
        job.has_started = True
        latest = step.objective_estimate.latest_start
        self.assertFalse(rank_step(step, QUEUE, times, latest - 0.01).is_late)
        self.assertTrue(rank_step(step, QUEUE, times, latest + 0.01).is_late)
        self.assertTrue(is_late(job, QUEUE, times, latest + 0.01))

    def test_time_of_day_that_steps_back_makes_a_new_estimate(self):
        job = Job("a" * 16, "q", make_job(), 1000.0)
        (step,) = job.start_due_occurrences(1000.0)
        times = PoolModel(self.fail).state.run_times
        rank_step(step, QUEUE, times, 1000.0)
        rank_step(step, QUEUE, times, 900.0)
        self.assertEqual(step.objective_estimate.estimated_at, 900.0)


class TestCustomers(unittest.TestCase):
    """Jobs of several customers wait; those without customer keep their order."""

    def _order(self, submissions, customers=()):
        """Returns the numbers of jobs in the order in which their steps go.

        Args:
            submissions: Pairs of customer and age in seconds.
            customers: ``Customer`` objects.
        """
        customers = {customer.name: customer for customer in customers}
        model = PoolModel(self.fail, workers=1, find_customer=customers.get)
        model.hold()
        begin = model.now
        for number, (customer, age_s) in enumerate(submissions):
            model.now = begin - age_s
            model.submit(f"{number:016x}", make_job(count=4, cpu=2000), customer)
        model.now = begin
        model.state._is_overloaded = True
        steps = model.state._rank_ready_steps(begin, begin)
        return [int(step.job.job_id, 16) for step in steps]

    def test_overload_without_customers_is_newest_first(self):
        ages = [("", age / 10) for age in range(8)]
        self.assertEqual(self._order(ages), list(range(8)))

    def test_one_customer_alone_is_ordered_as_without_customers(self):
        ages = [random.Random(3).uniform(0, 1) for _ in range(12)]
        alone = self._order([("a", age) for age in ages])
        self.assertEqual(alone, self._order([("", age) for age in ages]))

    def test_customers_take_turns_by_weight_and_keep_their_own_order(self):
        customers = [Customer(name, w, Resources()) for name, w in (("a", 2), ("b", 1))]
        submissions = [("a", n / 10) for n in range(6)]
        submissions += [("b", n / 10 + 0.05) for n in range(6)]
        order = self._order(submissions, customers)
        self.assertEqual([n for n in order if n < 6], list(range(6)))
        self.assertEqual([n for n in order if n >= 6], list(range(6, 12)))
        self.assertEqual(sum(n < 6 for n in order[:6]), 4)

    def test_excess_jobs_go_behind_all_others_even_late_ones(self):
        # The bucket holds five jobs; the sixth is excess although it is the newest.
        customers = [Customer("a", 1.0, Resources())]
        submissions = [("", 5.0)] + [("a", 0.9 - n / 10) for n in range(7)]
        order = self._order(submissions, customers)
        self.assertEqual(set(order[-2:]), {6, 7})
        self.assertEqual(order[-3], 0)


class TestOverload(unittest.TestCase):
    """First seconds of a burst: jobs arrive at twice the rate that a pool can serve."""

    def _share_in_time(self, jobs_per_s, seconds=12.0):
        """Returns the share of jobs that are done within their objective."""
        model = PoolModel(self.fail, workers=2)
        model.hold()
        submitted, ends = {}, {}
        while model.now < 1000.0 + seconds:
            due = round((model.now - 1000.0) * jobs_per_s)
            while len(submitted) < due:
                job_id = f"{len(submitted):016x}"
                submitted[job_id] = model.now
                model.submit(job_id, make_job(count=4, cpu=2000, memory=100))
            model.schedule()
            model.advance(0.1)
            self._end_old_runs(model)
            model.hold()
            for job_id, job in model.state.jobs.items():
                if not job.is_live:
                    ends.setdefault(job_id, model.now)
        objective_s = QUEUE.target_s + QUEUE.stretch * 1.0
        in_time = sum(
            job_id in ends and ends[job_id] - submitted_at <= objective_s
            for job_id, submitted_at in submitted.items()
        )
        return in_time / len(submitted)

    def _end_old_runs(self, model):
        """Ends tasks whose run time, drawn from a log-normal distribution, is over."""
        for task in model.all_tasks():
            started_at = task.confirmed_at
            if started_at is None:
                continue
            run_s = random.Random(task.name).lognormvariate(-(SPREAD**2) / 2, SPREAD)
            worker = model.workers[task.worker_id]
            if model.now - started_at >= run_s and task.name in worker.runs:
                worker.end(task.name, EndKind.DONE)

    def test_overload_by_a_quarter_keeps_over_half_of_the_jobs_in_time(self):
        # Regression (fleetbench kivimagi-inv-grown scale-2): a quarter to a half of a
        # burst's jobs were in time, because each was started when it could only just
        # meet its objective. 16 cores serve 2 jobs of 8 core-seconds per second.
        at_capacity = self._share_in_time(jobs_per_s=2.0)
        overloaded = self._share_in_time(jobs_per_s=2.5)
        self.assertGreater(overloaded, at_capacity / 2)
