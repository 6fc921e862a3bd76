import unittest
from unittest import mock

from basilwind.scheduling import ordering
from basilwind.scheduling.jobs import Job
from basilwind.scheduling.ordering import OUTLOOK_AGE_S, is_late, rank_step
from tests.scheduling.model import QUEUE, PoolModel, make_job

WAITING = 300


class TestOutlook(unittest.TestCase):
    """A turn's backlog: hundreds of steps wait, and every answer looks at them."""

    def test_backlog_is_not_estimated_anew_with_each_answer(self):
        # fleetbench cordillera-flota-grown trouble-2: with 25,000 core-seconds
        # waiting the owner answered nobody from 48 s on, and machines stayed idle.
        model = PoolModel(self.fail, workers=2)
        for number in range(WAITING):
            model.submit(f"{number:016x}", make_job(count=8, cpu=4000, steps=2))
        model.hold()
        model.schedule()
        model.state.refuse_for_s("q", model.now, model.now)
        with mock.patch.object(ordering, "_outlook") as estimate:
            for _ in range(10):
                model.now += OUTLOOK_AGE_S / 20
                model.schedule()
                model.state.refuse_for_s("q", model.now, model.now)
        estimate.assert_not_called()

    def test_job_becomes_late_between_estimates(self):
        job = Job("a" * 16, "q", make_job(), 1000.0)
        (step,) = job.open_due_occurrences(1000.0)
        times = PoolModel(self.fail).state.run_times
        first = rank_step(step, QUEUE, times, 1000.0)
        self.assertFalse(first.is_late or is_late(job, QUEUE, times, 1000.0))
        job.has_begun = True
        latest = step.outlook.latest_begin
        self.assertFalse(rank_step(step, QUEUE, times, latest - 0.01).is_late)
        self.assertTrue(rank_step(step, QUEUE, times, latest + 0.01).is_late)
        self.assertTrue(is_late(job, QUEUE, times, latest + 0.01))

    def test_time_of_day_that_steps_back_makes_a_new_estimate(self):
        job = Job("a" * 16, "q", make_job(), 1000.0)
        (step,) = job.open_due_occurrences(1000.0)
        times = PoolModel(self.fail).state.run_times
        rank_step(step, QUEUE, times, 1000.0)
        rank_step(step, QUEUE, times, 900.0)
        self.assertEqual(step.outlook.seen_at, 900.0)
