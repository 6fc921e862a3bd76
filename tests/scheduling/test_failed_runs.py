import itertools
import unittest

from basilwind.scheduling.jobs import JobState
from basilwind.scheduling.reports import EndedRun, EndKind, WorkerReport
from tests.scheduling.model import QUEUE, PoolModel, make_job

TASK = "job.0.0.0"


class TestFailedRunsOfThePreviousOwner(unittest.TestCase):
    """An owner is lost with the store away; its task has failed too often."""

    def _take_over(self, is_first_run_recorded=False):
        """Returns the model with a successor that no worker has reported to."""
        model = PoolModel(self.fail)
        model.submit("job", make_job(count=1))
        if is_first_run_recorded:
            model.hold()
            model.schedule()
        model.state.dirty.add("job")
        model.flush()
        model.take_over()
        return model

    def _report(self, model, worker_id, ended, running=()):
        worker = model.state.workers[worker_id]
        report = WorkerReport(1.0, 1, running, tuple(ended), is_complete=True)
        now = model.now
        model.state.apply_report(worker, report, now, now)

    def _ends(self, *runs):
        return [
            EndedRun(number, TASK, run, EndKind.FAILED, "")
            for number, run in enumerate(runs, 1)
        ]

    def test_each_failure_counts_in_whatever_order_workers_report(self):
        # Regression (fleetbench etre-toll-grown trouble-3, BUDGET): runs 2 and 3 were
        # reported before run 1, which then did not count, and the task ran again.
        ends = {"w0": self._ends(1), "w1": self._ends(2, 3)}
        for order in itertools.permutations(ends):
            model = self._take_over()
            for worker_id in order:
                self._report(model, worker_id, ends[worker_id])
            self.assertEqual(model.state.jobs["job"].state, JobState.FAILED)

    def test_recorded_run_counts_after_a_later_one(self):
        model = self._take_over(is_first_run_recorded=True)
        (task,) = model.state.jobs["job"].tasks()
        first = task.worker_id
        (second, *_) = sorted(set(model.state.workers) - {first})
        self._report(model, second, self._ends(2, 3))
        self._report(model, first, self._ends(1))
        self.assertEqual(model.state.jobs["job"].state, JobState.FAILED)

    def test_failure_that_the_previous_owner_counted_does_not_count_again(self):
        model = PoolModel(self.fail)
        model.submit("job", make_job(count=1))
        model.hold()
        for _ in range(QUEUE.attempts - 1):
            model.schedule()
            model.end_runs(EndKind.FAILED)
            model.hold()
        model.flush()
        model.take_over()
        runs = range(1, QUEUE.attempts)
        self._report(model, "w0", self._ends(*runs))
        self.assertEqual(model.state.jobs["job"].state, JobState.RUNNING)
