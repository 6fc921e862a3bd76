"""Workers that failed recent runs get work again once they are sound."""

import unittest

from basilwind.scheduling.health import SOUND_RUN_S, is_on_probation
from basilwind.scheduling.reports import EndKind
from tests.scheduling.model import PoolModel, make_job

FAULT_S = 4.0  # time for which a worker fails all that it runs
CALM_S = 7.0  # after which a task that lasts has to run
ROUND_S = 0.3
# A worker that fails everything for a minute fails its first tasks at the same time,
# then one after each ejection of 3, 6 and 12 s.
MAX_FAILED_STARTS = 12


class TestProbation(unittest.TestCase):
    def _play(self, model, seconds, failing=()):
        """Holds and schedules for some seconds while some workers fail all runs."""
        end = model.now + seconds
        while model.now < end:
            model.hold()
            model.schedule()
            model.advance(ROUND_S)
            for name in failing:
                worker = model.workers[name]
                for task in list(worker.runs):
                    worker.end(task, EndKind.FAILED)

    def _running(self, model, job):
        return [
            name
            for worker in model.workers.values()
            for name in worker.runs
            if name.startswith(job)
        ]

    def _fail_each_worker(self, model):
        for name in model.workers:
            self._play(model, FAULT_S, [name])

    def test_workers_that_ran_only_tasks_that_last_stayed_on_probation(self):
        # Regression (issue 40): they got one task at a time for good, and no others.
        model = PoolModel(self.fail, workers=5)
        model.submit("lasting", make_job(count=10, is_lasting=True, most_per_worker=3))
        self._play(model, 2.0)
        self._fail_each_worker(model)
        self._play(model, CALM_S)
        self.assertEqual(len(self._running(model, "lasting")), 10)
        model.submit("short", make_job(count=5))
        model.schedule()
        self.assertEqual(len(self._running(model, "short")), 5)

    def test_gang_never_fitted_on_workers_that_got_one_task_each(self):
        # Regression (issue 40): with nothing else to run, none of them had a success.
        model = PoolModel(self.fail, workers=2)
        model.submit("job", make_job(count=4))
        self._play(model, FAULT_S, model.workers)
        self._play(model, CALM_S)
        model.end_runs()
        for view in model.state.workers.values():
            view.consecutive_failures, view.ejection_s = 1, 3.0
        model.submit("gang", make_job(count=6, is_gang=True))
        model.schedule()
        self.assertEqual(len(self._running(model, "gang")), 6)

    def test_worker_with_older_tasks_that_last_never_got_a_trial(self):
        # Regression (issue 40): the older tasks counted as the one that it may run.
        model = PoolModel(self.fail, workers=1)
        model.submit("old", make_job(count=2, is_lasting=True))
        self._play(model, 1.0)
        (view,) = model.state.workers.values()
        view.consecutive_failures, view.ejection_s, view.failed_at = 1, 3.0, model.now
        model.advance(ROUND_S)
        model.submit("new", make_job(count=3, is_lasting=True))
        model.hold()
        model.schedule()
        self.assertEqual(len(self._running(model, "new")), 1)
        self._play(model, CALM_S)
        self.assertEqual(len(self._running(model, "new")), 3)

    def test_older_runs_do_not_prove_a_worker_that_fails_new_ones(self):
        model = PoolModel(self.fail, workers=1)
        model.submit("old", make_job(count=2, is_lasting=True))
        self._play(model, 1.0)
        (view,) = model.state.workers.values()
        view.consecutive_failures, view.ejection_s, view.failed_at = 1, 3.0, model.now
        self._play(model, 2 * SOUND_RUN_S)
        self.assertTrue(is_on_probation(view))

    def test_long_task_proves_its_worker_after_its_expected_run_time(self):
        model = PoolModel(self.fail, workers=1)
        (view,) = model.state.workers.values()
        view.consecutive_failures, view.ejection_s = 1, 3.0
        model.submit("job", make_job(count=2, estimate_s=5.0))
        self._play(model, 9.0)
        self.assertEqual(len(self._running(model, "job")), 1)
        self._play(model, 2.0)
        self.assertEqual(len(self._running(model, "job")), 2)

    def test_worker_that_fails_everything_gets_next_to_nothing(self):
        for fields in ({"is_lasting": True}, {"estimate_s": 1.0}):
            with self.subTest(**fields):
                model = PoolModel(self.fail, workers=3, cpu=4000)
                # More than the two sound workers can hold, so that some always wait.
                for number in range(4):
                    model.submit(f"job{number}", make_job(count=4, **fields))
                starts = 0
                worker = model.workers["w0"]
                for _ in range(200):
                    before = set(worker.runs)
                    self._play(model, ROUND_S)
                    starts += len(set(worker.runs) - before)
                    for task in list(worker.runs):
                        worker.end(task, EndKind.FAILED)
                self.assertLessEqual(starts, MAX_FAILED_STARTS)


if __name__ == "__main__":
    unittest.main()
