import unittest

from basilwind.scheduling.jobs import JobState
from basilwind.scheduling.reports import EndKind
from tests.scheduling.model import PoolModel, make_job

TICK_S = 0.05
RUN_S = 0.8
DOWN_S = 3.3  # workers that a task crashed are back after 3.0 s to 3.5 s
MAX_STARTS = 5  # a task is not started three times more after three crashes


class CrashingPool(PoolModel):
    """A pool in which some tasks crash each worker that starts them.

    Args:
        fail: Called with a message if an invariant is violated.
        workers: Number of workers.
        deadly: Names of the tasks that crash their workers.
        delay_s: Time from their start to the crash, seconds.
    """

    def __init__(self, fail, workers, deadly, delay_s=0.0):
        super().__init__(fail, workers)
        self.deadly = deadly
        self.crashes = 0
        self._delay_s = delay_s
        self._started_at = {}
        self._back_at = {}

    def play(self, seconds):
        """Runs the pool; crashed workers come back under other ids."""
        for _ in range(round(seconds / TICK_S)):
            self.hold()
            self.schedule()
            self._end_due_runs()
            for name, at in list(self._back_at.items()):
                if self.now >= at:
                    del self._back_at[name]
                    self.replace(name)
            self.advance(TICK_S)

    def _end_due_runs(self):
        for name, worker in list(self.workers.items()):
            for task, run in list(worker.runs.items()):
                started_at = self._started_at.setdefault((task, run), self.now)
                if task in self.deadly:
                    if self.now - started_at >= self._delay_s:
                        self.crashes += 1
                        self._back_at[name] = self.now + DOWN_S
                        self.crash(name)
                        break
                elif self.now - started_at >= RUN_S and not self._is_lasting(task):
                    worker.end(task, EndKind.DONE)

    def _is_lasting(self, task):
        job_id, _, step, _ = task.split(".")
        return self.submitted[job_id].steps[int(step)].is_lasting

    def job_state(self, job_id):
        """Returns the ``JobState`` of a job."""
        return self.state.jobs[job_id].state


class TestCrashingTasks(unittest.TestCase):
    def test_task_that_crashes_each_worker_is_given_up(self):
        # Regression (fleetbench cordillera-flota deploy/days/deadly.toml --seed 3): one
        # task was started eleven times and crashed eleven workers.
        model = CrashingPool(self.fail, 4, {"bad.0.0.0"})
        for job_id in ("good-1", "bad", "good-2"):
            model.submit(job_id, make_job(count=6))
        model.play(40)
        self.assertLessEqual(model.starts["bad.0.0.0"], MAX_STARTS)
        self.assertIs(model.job_state("bad"), JobState.FAILED)
        for job_id in ("good-1", "good-2"):
            self.assertIs(model.job_state(job_id), JobState.COMPLETED, job_id)


if __name__ == "__main__":
    unittest.main()
