"""Steps that can't start now must not hold back others that can."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from basilwind.scheduling.eligibility import can_be_placed_later
from basilwind.scheduling.jobs import JobState
from basilwind.scheduling.place_waits import MAX_WAIT_S
from basilwind.scheduling.pool import GROWTH_PATIENCE_S
from basilwind.scheduling.reports import EndKind
from basilwind.scheduling.specs import JobSpec, StepSpec
from tests.scheduling.model import PoolModel, make_entry, make_job

LATE_S = 20.0  # after which all jobs of these tests are late
HUGE = 2**62


class TestUnplaceableSteps(unittest.TestCase):
    """Four workers of 8 cores, two in each of two racks."""

    def _model(self, remote_factor=1.0):
        model = PoolModel(self.fail, workers=4, remote_factor=remote_factor)
        for number, worker in enumerate(model.workers.values()):
            name = worker.entry.worker_id
            worker.entry = make_entry(name, rack=f"r{number // 2}")
        model.refresh()
        model.hold()
        return model

    def _completed_late_jobs(self, model):
        """Returns how many of four late jobs of two cores a task are completed."""
        model.advance(LATE_S)
        model.hold()
        jobs = [f"late{n}" for n in range(4)]
        for job_id in jobs:
            model.submit(job_id, make_job(count=2, cpu=2000))
            model.state.jobs[job_id].accepted_at -= LATE_S
        model.settle(rounds=10)
        states = [model.state.jobs[job_id].state for job_id in jobs]
        return states.count(JobState.COMPLETED)

    def test_gang_that_is_larger_than_its_pool_holds_nobody_back(self):
        # Regression (review/4): 12 of 30 jobs never began.
        model = self._model()
        model.submit("gang", make_job(count=40, cpu=1000, is_gang=True))
        model.schedule()
        self.assertEqual(self._completed_late_jobs(model), 4)

    def test_gang_that_fits_only_beside_no_service_holds_nobody_back(self):
        model = self._model()
        model.submit("service", make_job(count=4, cpu=4000, is_lasting=True))
        model.schedule()
        model.submit("gang", make_job(count=8, cpu=3000, is_gang=True))
        model.schedule()
        self.assertEqual(self._completed_late_jobs(model), 4)

    def test_accelerator_that_no_worker_has_holds_nobody_back(self):
        model = self._model()
        model.submit("gpu", make_job(count=1, cpu=100, memory=10, gpu=1))
        model.schedule()
        self.assertEqual(self._completed_late_jobs(model), 4)

    def test_service_that_never_fits_keeps_no_worker_free(self):
        model = self._model()
        model.submit("service", make_job(count=4, cpu=6000, is_lasting=True))
        model.schedule()
        for number in range(4):
            spec = make_job(count=1, cpu=4000, is_lasting=True)
            model.submit(f"other{number}", spec)
        model.schedule()
        self.assertEqual(self._completed_late_jobs(model), 4)

    def test_gang_gets_its_turn_before_tasks_of_its_size(self):
        model = self._model()
        model.submit("first", make_job(count=4, cpu=5000))
        model.schedule()
        model.submit("gang", make_job(count=4, cpu=8000, is_gang=True))
        model.schedule()
        model.submit("later", make_job(count=4, cpu=8000))
        model.state.jobs["gang"].accepted_at -= 2 * LATE_S
        model.state.jobs["later"].accepted_at -= LATE_S
        worker = model.workers["w0"]
        worker.end(next(iter(worker.runs)), EndKind.DONE)
        model.hold()
        model.schedule()
        self.assertEqual({name.split(".")[0] for name in model.starts}, {"first"})
        model.end_runs()
        model.hold()
        model.schedule()
        self.assertIn("gang.0.0.0", model.starts)

    def test_step_that_no_rack_can_hold_runs_on_several(self):
        model = self._model()
        model.submit("job", make_job(count=3, cpu=8000, needs_one_rack=True))
        model.settle(rounds=10)
        self.assertIs(model.state.jobs["job"].state, JobState.COMPLETED)

    def test_step_waits_a_while_for_a_rack(self):
        model = self._model(remote_factor=3.0)
        for worker in ("w0", "w2"):
            model.workers[worker].is_reachable = False
        model.submit("first", make_job(count=2, cpu=5000))
        model.schedule()
        for worker in ("w0", "w2"):
            model.workers[worker].is_reachable = True
        model.hold()
        model.submit("job", make_job(count=2, cpu=8000, needs_one_rack=True))
        model.schedule()
        self.assertNotIn("job.0.0.0", model.starts)
        model.advance(MAX_WAIT_S)
        model.hold()
        model.schedule()
        self.assertIn("job.0.0.0", model.starts)

    def test_large_late_job_keeps_no_callers_away(self):
        # Regression (issue 31): 429 with Retry-After 50 s from an otherwise idle pool.
        model = self._model()
        spec = make_job(count=5000, cpu=7500, estimate_s=10.0)
        model.submit("large", spec)
        model.schedule()
        self.assertEqual(model.state.refuse_for_s("q", model.now, model.now), 0.0)
        model.advance(LATE_S)
        model.hold()
        self.assertEqual(model.state.refuse_for_s("q", model.now, model.now), 0.0)

    def test_job_that_no_worker_can_hold_keeps_no_callers_away(self):
        # Regression (issue 31): 429 with Retry-After 8 x 10^11 s.
        model = self._model()
        model.submit("huge", make_job(count=1, cpu=HUGE))
        model.schedule()
        self.assertEqual(model.state.refuse_for_s("q", model.now, model.now), 0.0)

    def test_backlog_of_jobs_in_time_is_refused(self):
        model = self._model()
        for number in range(400):
            spec = make_job(count=8, cpu=8000, estimate_s=1.0)
            model.submit(f"{number:016x}", spec)
        model.schedule()
        self.assertGreater(model.state.refuse_for_s("q", model.now, model.now), 0.0)

    def test_work_that_no_host_can_run_draws_no_hosts(self):
        model = self._model()
        model.submit("huge", make_job(count=1, cpu=HUGE))
        model.submit("gang", make_job(count=5000, cpu=6000, is_gang=True))
        model.submit("service", make_job(count=1, cpu=90_000, is_lasting=True))
        model.schedule()
        model.advance(1.0)
        report = model.state.pool_report(model.now, model.now)
        self.assertEqual(report.urgent_work + report.late_work, 0.0)
        self.assertEqual((report.lasting_waiting, report.lasting_cpu), (0, 0))

    def test_gang_that_a_larger_pool_could_run_draws_hosts_for_a_while(self):
        model = self._model()
        model.submit("gang", make_job(count=40, cpu=1000, is_gang=True))
        model.schedule()
        model.advance(1.0)
        model.hold()
        report = model.state.pool_report(model.now, model.now)
        self.assertGreater(report.urgent_work + report.late_work, 0.0)
        model.advance(GROWTH_PATIENCE_S)
        model.hold()
        report = model.state.pool_report(model.now, model.now)
        self.assertEqual(report.urgent_work + report.late_work, 0.0)


STEPS = st.builds(
    StepSpec,
    count=st.integers(1, 12),
    cpu=st.sampled_from([100, 1000, 4000, 8000, 9000, HUGE]),
    memory=st.sampled_from([10, 1000, 70_000]),
    gpu=st.sampled_from([0, 0, 0, 1]),
    is_gang=st.booleans(),
    needs_one_rack=st.booleans(),
    required_label=st.sampled_from(["", "", "", "a", "none"]),
    data_rack=st.sampled_from(["", "r0", "r9"]),
    most_per_worker=st.sampled_from([0, 0, 1, 3]),
    is_lasting=st.sampled_from([False, False, False, True]),
)


class TestEveryStepThatCanStartStarts(unittest.TestCase):
    @given(st.lists(STEPS, min_size=1, max_size=8), st.sampled_from([1.0, 3.0]))
    def test_steps_that_can_be_placed_begin_beside_any_others(
        self, specs, remote_factor
    ):
        model = PoolModel(self.fail, workers=4, remote_factor=remote_factor)
        for number, worker in enumerate(model.workers.values()):
            name = worker.entry.worker_id
            worker.entry = make_entry(name, rack=f"r{number // 2}")
        model.refresh()
        model.hold()
        lasting = [spec for spec in specs if spec.is_lasting]
        finite = [spec for spec in specs if not spec.is_lasting]
        for number, spec in enumerate(lasting):
            model.submit(f"service{number}", JobSpec("", (spec,)))
        model.settle(rounds=5)
        for number, spec in enumerate(finite):
            model.submit(f"job{number}", JobSpec("", (spec,)))
        model.settle(rounds=200)
        workers = model.state.workers.values()
        for job in model.state.jobs.values():
            if not job.job_id.startswith("job") or job.state is JobState.COMPLETED:
                continue
            (step,) = job.occurrences[0]
            self.assertFalse(can_be_placed_later(step, workers), step.spec)
