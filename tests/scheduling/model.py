"""A pool's owner and its workers in one process, with faults on demand.

The workers are as strict as the platform's: leases, fences, incarnations, and
orders that are carried out late. The model checks on every start that no other
run of the task is at work and that no end ``done`` was noted before.
"""

from basilwind.scheduling.fleet import Queue, WorkerEntry
from basilwind.scheduling.jobs import Job, JobState, TaskState
from basilwind.scheduling.pool import PoolState
from basilwind.scheduling.records import decode_job_record, encode_job, restore_job
from basilwind.scheduling.reports import (
    EndedTask,
    EndKind,
    RunningTask,
    StartOutcome,
    WorkerReport,
)
from basilwind.scheduling.specs import JobSpec, StepSpec

LEASE_S = 4.5
QUEUE = Queue("q", "host", "/q/", "pool", 3.0, 0.6, 1.6, 0, 3, False)


def make_entry(worker_id, cpu=8000, memory=64000, rack="r1", **fields):
    """Returns a registry entry."""
    values = dict(
        worker_id=worker_id,
        pool="pool",
        address="127.0.0.1:1",
        zone="a",
        is_draining=False,
        remaining_s=0.0,
        cpu=cpu,
        memory=memory,
        gpu=0,
        labels=frozenset(("a", rack)),
        rack=rack,
        incarnation_started_ms=1,
        host="",
    )
    return WorkerEntry(**(values | fields))


def make_job(count=2, steps=1, **fields):
    """Returns a job spec of equal steps, each after the last."""
    values = dict(count=count, cpu=1000, memory=1000, estimate_s=1.0)
    spec = values | fields
    return JobSpec(
        "text",
        tuple(
            StepSpec(**spec, after=(number - 1,) if number else ())
            for number in range(steps)
        ),
    )


class ModelWorker:
    """A worker; its clock is the model's."""

    def __init__(self, entry):
        self.entry = entry
        self.born = 1
        self.is_reachable = True
        self.restart()

    def restart(self):
        """Begins a new incarnation, which knows nothing."""
        self.born += 1
        self.runs = {}
        self.rejected = {}
        self.ended = []
        self.count = 0
        self.fence = 0
        self.lease = 0.0

    def start(self, name, run, expires, token, now):
        """Carries out a start order; returns a ``StartOutcome``."""
        if token < self.fence:
            return StartOutcome.FENCED
        self.fence = token
        if name in self.runs and self.runs[name] == run:
            return StartOutcome.STARTED
        if run <= self.rejected.get(name, 0) or name in self.runs:
            return StartOutcome.OLD
        if expires <= now:
            return StartOutcome.LATE
        self.lease = max(self.lease, expires)
        self.runs[name] = run
        return StartOutcome.STARTED

    def stop(self, name, run, token):
        """Carries out a stop order; returns whether it was taken."""
        if token < self.fence:
            return False
        self.fence = token
        self.rejected[name] = max(run, self.rejected.get(name, 0))
        if self.runs.get(name, run + 1) <= run:
            self.end(name, EndKind.STOPPED)
        return True

    def end(self, name, kind):
        """Ends a run."""
        run = self.runs.pop(name)
        self.rejected[name] = max(run, self.rejected.get(name, 0))
        self.count += 1
        self.ended.append(EndedTask(self.count, name, run, kind, ""))

    def hold(self, token, noted, expires, rows, now):
        """Carries out a hold; returns a report, or None for a lower token."""
        if token < self.fence:
            return None
        self.fence = token
        if expires is not None and self.runs:
            self.lease = max(self.lease, expires)
        self.ended = [end for end in self.ended if end.number > noted]
        running = tuple(
            RunningTask(name, run, "", *rows.get(name, (100, -1)))
            for name, run in self.runs.items()
        )
        return WorkerReport(now, self.born, running, tuple(self.ended))

    def expire(self, now):
        """Ends runs whose lease has run out."""
        if now > self.lease:
            for name in list(self.runs):
                self.end(name, EndKind.LAPSED)


class PoolModel:
    """An owner with workers; ``fail`` is called on a broken promise."""

    def __init__(self, fail, workers=3):
        self._fail = fail
        self.now = 1000.0
        self.workers = {
            f"w{n}": ModelWorker(make_entry(f"w{n}")) for n in range(workers)
        }
        self.submitted = {}
        self.journal = {}
        self.noted_done = set()
        self.late_orders = []
        self.is_store_away = False
        # Percent and load that workers report, by task.
        self.rows = {}
        self.state = self._make_state(1)
        self.refresh()

    def _make_state(self, token):
        return PoolState("pool", token, lambda name: QUEUE, 120.0, lambda *a, **k: None)

    def refresh(self, listed=None):
        """Tells the owner which workers are registered."""
        names = self.workers if listed is None else listed
        entries = {name: self.workers[name].entry for name in names}
        self.state.set_workers(entries, self.now)

    def submit(self, job_id, spec):
        """Accepts a job."""
        self.submitted[job_id] = spec
        self.state.submit(job_id, "q", spec, self.now, self.now, self.now)

    def flush(self):
        """Makes dirty jobs durable, if the store is there."""
        if self.is_store_away:
            return
        for job_id in self.state.dirty:
            self.journal[job_id] = encode_job(self.state.jobs[job_id])
        self.state.dirty.clear()

    def schedule(self, fate=lambda: "answered"):
        """Places tasks; ``fate`` tells what becomes of each order."""
        orders = self.state.schedule(self.now, self.now)
        self.flush()
        for order in orders:
            self._send(order, fate())
        self.flush()

    def _send(self, order, fate):
        worker = self.workers[order.worker.worker_id]
        name, run, token = order.task.name, order.run, self.state.token
        expires = order.worker.grant_lease(LEASE_S, self.now)
        if not worker.is_reachable or fate == "unreachable":
            self.state.apply_start_outcome(order, StartOutcome.UNREACHABLE, self.now)
        elif fate == "late":
            born = worker.born
            self.late_orders.append((worker, born, name, run, expires, token))
            self.state.apply_unanswered_start(order)
        else:
            outcome = self._start(worker, name, run, expires, token)
            if fate == "answer lost":
                self.state.apply_unanswered_start(order)
            else:
                self.state.apply_start_outcome(order, outcome, self.now)

    def _start(self, worker, name, run, expires, token):
        is_there = worker.runs.get(name) == run
        outcome = worker.start(name, run, expires, token, self.now)
        if outcome is StartOutcome.STARTED and not is_there:
            if sum(name in other.runs for other in self.workers.values()) > 1:
                self._fail(f"two runs of {name} at the same time")
            if name in self.noted_done:
                self._fail(f"{name} was started after its end was noted")
        return outcome

    def deliver_late(self):
        """Carries out orders that were held up; the same incarnation must live."""
        orders, self.late_orders = self.late_orders, []
        for worker, born, *order in orders:
            if worker.is_reachable and worker.born == born:
                self._start(worker, *order)

    def hold(self):
        """Touches every worker once and sends the stops that are due."""
        for name, view in list(self.state.workers.items()):
            worker = self.workers[name]
            expires = view.extend_lease(LEASE_S, self.now)
            if not worker.is_reachable:
                view.unanswered_since = view.unanswered_since or self.now
                continue
            sent_at, self.now = self.now, self.now + 0.001
            report = worker.hold(
                self.state.token, view.acknowledged_end, expires, self.rows, self.now
            )
            if report is None:
                self._fail(f"{name} has seen a higher token")
            last = self.state.apply_report(view, report, sent_at, self.now)
            self.flush()
            if self.is_store_away:
                continue
            view.acknowledged_end = last
            for end in report.ended:
                if end.kind is EndKind.DONE:
                    self.noted_done.add(end.task)
        for order in self.state.stop_orders(self.now):
            worker = self.workers[order.worker.worker_id]
            if worker.is_reachable and worker.stop(
                order.task_name, order.run, self.state.token
            ):
                self.state.apply_stop_answer(order, self.now)

    def pass_time(self, seconds):
        """Lets time go by; leases may run out."""
        self.now += seconds
        for worker in self.workers.values():
            worker.expire(self.now)
        self.state.expire_leases(self.now)
        self.flush()

    def finish_some(self, kind=EndKind.DONE, share=1):
        """Ends every ``share``-th run that does not last."""
        for worker in self.workers.values():
            for name in list(worker.runs)[::share]:
                spec = self.submitted[name.split(".")[0]]
                if not spec.steps[int(name.split(".")[2])].is_lasting:
                    worker.end(name, kind)

    def take_over(self, former_leases_s=LEASE_S * 1.05):
        """A successor reads the journal and goes on."""
        state = self._make_state(self.state.token + 1)
        self.is_store_away = False
        for job_id, spec in self.submitted.items():
            job = Job(job_id, "q", spec, self.now)
            if job_id in self.journal:
                restore_job(job, decode_job_record(self.journal[job_id]), self.now)
            state.restore(job, self.now)
        state.previous_leases_until = self.now + former_leases_s
        state.unrecorded_runs_until = self.now + former_leases_s
        self.state = state
        self.refresh()

    def settle(self, rounds=60):
        """Runs without faults until everything should be at rest."""
        for worker in self.workers.values():
            worker.is_reachable = True
        self.is_store_away = False
        self.flush()
        self.deliver_late()
        self.refresh()
        for _ in range(rounds):
            self.hold()
            self.schedule()
            self.pass_time(0.4)
            self.finish_some()

    def all_tasks(self):
        """Returns the tasks of all jobs."""
        return [task for job in self.state.jobs.values() for task in job.tasks()]

    def check_settled(self):
        """Fails unless all jobs ended and all lasting tasks run."""
        for job in self.state.jobs.values():
            if job.state in (JobState.COMPLETED, JobState.CANCELLED, JobState.FAILED):
                continue
            for task in job.tasks():
                if not task.spec.is_lasting:
                    self._fail(f"{task.name} is {task.state} and never ended")
                elif task.state is not TaskState.RUNNING:
                    self._fail(f"{task.name} lasts and is {task.state}")
