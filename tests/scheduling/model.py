"""In-process model of a pool's owner and its workers, with fault injection.

The workers enforce what those of the platform enforce: leases, fencing tokens and
incarnations; an order may be executed late. A run executes until its worker has ended
it, a while after its lease expired or its stop arrived. On every start the model checks
that no other run of the task is executing and that no successful end has been
acknowledged; whenever leases may have expired, that no task is given up while its run
executes; on every end by an order, that no more tasks of a long-running step are
interrupted than it allows.
"""

import os
from collections import Counter

from basilwind.scheduling.fleet import Queue, WorkerEntry
from basilwind.scheduling.jobs import Job, JobState, TaskState
from basilwind.scheduling.pool import PoolState
from basilwind.scheduling.quota_use import measure_ending
from basilwind.scheduling.records import decode_job_record, encode_job, restore_job
from basilwind.scheduling.reports import (
    EndedRun,
    EndKind,
    ReportedRun,
    StartOutcome,
    WorkerReport,
)
from basilwind.scheduling.specs import JobSpec, StepSpec
from basilwind.scheduling.workers import WorkerLimits

LEASE_S = 4.5
FIRST_CLOCK_S = 500.0  # of workers that had run for some time before
MAX_LEASE_S = 10.0
MAX_STOP_S = 0.9
WORKER_LIMITS = WorkerLimits(MAX_LEASE_S, MAX_STOP_S)
LONGEST_RUN_S = WORKER_LIMITS.longest_run_s(LEASE_S)
HOUSEKEEPING_S = 0.25
NOTICE_S = 4.5  # a task that has not run for as long counts as interrupted
MAX_EMPTY_AGE_S = 1.0  # age of the report for which the planner moves a host
QUEUE = Queue("q", "host", "/q/", "pool", 3.0, 0.6, 1.6, 0, 3, False)


def make_entry(worker_id, cpu=8000, memory=64000, rack="r1", **fields):
    """Returns a registry entry."""
    values = dict(
        worker_id=worker_id,
        pool="pool",
        address=worker_id.rstrip("+") + ":1",
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
    """Returns a job spec with identical steps that run in sequence."""
    values = dict(count=count, cpu=1000, memory=1000, estimate_s=1.0)
    spec = values | fields
    return JobSpec(
        "text",
        tuple(
            StepSpec(**spec, after=(number - 1,) if number else ())
            for number in range(steps)
        ),
    )


def seeds_to_play(count):
    """Returns the first seeds, or those of the environment variable SEEDS (0-22000)."""
    first, last = os.environ.get("SEEDS", f"0-{count}").split("-")
    return range(int(first), int(last))


class ModelWorker:
    """A simulated worker.

    Args:
        entry: ``WorkerEntry``.
        time: Returns the model's time in seconds.
        page_size: Most ended runs that a report lists.
        clock_rate: Seconds that its clock advances in a second.
        stop_s: Time that it takes to end a run, seconds.
        is_strict: Whether the clock of each incarnation starts anew, and a lease also
            applies to a start that arrives late.

    Attributes:
        entry: ``WorkerEntry``.
        incarnation: Number of its incarnation.
        is_reachable: Whether calls reach it.
        is_crashed: Whether its process has ended.
        runs: Number of the executing run, by task name.
        rejected_runs: Highest run number that it will not start, by task name.
        ended: ``EndedRun`` objects that are not acknowledged.
        end_count: Number of runs that ended in this incarnation.
        void_count: Number of those that ended before the lease lapsed, which count as
            acknowledged no more.
        highest_token: Highest fencing token that it has seen.
        lease_until: End of its lease, on its own clock.
        page_size: Most ended runs that a report lists.
    """

    def __init__(
        self,
        entry,
        time,
        page_size=500,
        clock_rate=1.0,
        stop_s=0.0,
        is_strict=False,
    ):
        self.entry = entry
        self.page_size = page_size
        self.incarnation = 1
        self.is_reachable = True
        self.is_crashed = False
        self._time = time
        self._clock_rate = clock_rate
        self._stop_s = stop_s
        self._is_strict = is_strict
        self.restart()
        self._clock_start = time() - FIRST_CLOCK_S / clock_rate

    def restart(self):
        """Starts a new incarnation without any state."""
        self.incarnation += 1
        if self._is_strict:
            self._clock_start = self._time()
        # Time at which a run will have been ended, and how, by task name.
        self._ending = {}
        self.runs = {}
        self.rejected_runs = {}
        self.ended = []
        self.end_count = self.void_count = 0
        self.highest_token = 0
        self.lease_until = 0.0

    @property
    def clock_s(self):
        """Its own clock, seconds."""
        return (self._time() - self._clock_start) * self._clock_rate

    @property
    def _has_lease(self):
        """Whether a start with an old lease is executed under a later one."""
        return self._is_strict and self.lease_until > self.clock_s

    def start(self, name, run, expires, token):
        """Executes a start order; returns a ``StartOutcome``."""
        self.end_runs()
        if token < self.highest_token:
            return StartOutcome.FENCED
        self.highest_token = token
        if name in self.runs and self.runs[name] == run:
            return StartOutcome.STARTED
        if run <= self.rejected_runs.get(name, 0) or name in self.runs:
            return StartOutcome.SUPERSEDED
        if expires <= self.clock_s and not self._has_lease:
            return StartOutcome.LEASE_EXPIRED
        self._extend_lease(expires)
        self.runs[name] = run
        return StartOutcome.STARTED

    def stop(self, name, run, token):
        """Executes a stop order; returns whether it was accepted."""
        if token < self.highest_token:
            return False
        self.highest_token = token
        self.rejected_runs[name] = max(run, self.rejected_runs.get(name, 0))
        if self.runs.get(name, run + 1) <= run:
            self._begin_end(name, EndKind.STOPPED, self._time())
        self.end_runs()
        return True

    def end(self, name, kind):
        """Ends a run."""
        run = self.runs.pop(name)
        self._ending.pop(name, None)
        self.rejected_runs[name] = max(run, self.rejected_runs.get(name, 0))
        self.end_count += 1
        self.ended.append(EndedRun(self.end_count, name, run, kind, ""))

    def hold(self, token, acknowledged, expires, reported_progress):
        """Executes a hold; returns a report, or None for a lower token."""
        self.end_runs()
        if token < self.highest_token:
            return None
        self.highest_token = token
        if expires is not None and (self.runs or self._is_strict):
            self._extend_lease(expires)
        self.ended = [end for end in self.ended if end.sequence > acknowledged]
        running = tuple(
            ReportedRun(name, run, "", *reported_progress.get(name, (100, -1)))
            for name, run in self.runs.items()
        )
        listed = tuple(self.ended[: self.page_size])
        is_complete = len(listed) < self.page_size
        return WorkerReport(
            self.clock_s, self.incarnation, running, listed, is_complete
        )

    def acknowledged_by(self, sequence):
        """Returns the names of tasks whose end as done a sequence number confirms."""
        return {
            end.task_name
            for end in self.ended
            if self.void_count < end.sequence <= sequence and end.kind is EndKind.DONE
        }

    def end_runs(self):
        """Ends the runs that a stop or the expiry of the lease has ended by now."""
        now = self._time()
        if self.clock_s > self.lease_until:
            self.void_count = self.end_count
            expired_at = self._clock_start + self.lease_until / self._clock_rate
            for name in self.runs:
                self._begin_end(name, EndKind.LEASE_EXPIRED, expired_at)
        for name, (ended_at, kind) in list(self._ending.items()):
            if ended_at <= now:
                self.end(name, kind)

    def _begin_end(self, name, kind, begun_at):
        self._ending.setdefault(name, (begun_at + self._stop_s, kind))

    def _extend_lease(self, expires):
        longest = self.clock_s + MAX_LEASE_S
        self.lease_until = max(self.lease_until, min(expires, longest))


class PoolModel:
    """A pool's owner with simulated workers, a journal and a clock.

    Args:
        fail: Called with a message if an invariant is violated.
        workers: Number of workers.
        cpu: CPU of each worker, millicores.
        startup_s: Time from a run's start until it is up, seconds.
        page_size: Most ended runs that a worker's report lists.
        clock_rates: Rates of the workers' clocks, which are assigned in turn.
        stop_s: Time that workers take to end a run, seconds.
        is_strict: As for ``ModelWorker``. A restart then breaks the connection to the
            worker, so that the owner notices it.
        make_quota: Function that returns a ``QuotaBook`` for each owner, or None if
            there are no customers.
        max_running_cpu: What customer "c", to which all jobs belong, may have running,
            millicores; None if there are no customers.
        names_incarnations: Whether calls that depend on an incarnation reach no other
            one, as with the client of the workers.
        remote_factor: Factor by which tasks take longer away from their rack.
        find_customer: Returns the ``Customer`` of a name, or None.
    """

    def __init__(
        self,
        fail,
        workers=3,
        cpu=8000,
        startup_s=0.0,
        page_size=500,
        clock_rates=(1.0,),
        stop_s=0.0,
        is_strict=False,
        names_incarnations=False,
        remote_factor=1.0,
        find_customer=lambda name: None,
        make_quota=lambda: None,
        max_running_cpu=None,
    ):
        self._remote_factor = remote_factor
        self._find_customer = find_customer
        # Pairs of name and fields of the events that the owner reported.
        self.events = []
        self._make_quota = make_quota
        self._max_running_cpu = max_running_cpu
        self._names_incarnations = names_incarnations
        self._fail = fail
        self._stop_s = stop_s
        self._is_strict = is_strict
        self._startup_s = startup_s
        self.now = 1000.0
        # Names of tasks whose last run was ended by an order.
        self._ended_by_order = set()
        # Time at which the last run of each task started, by name.
        self._started_at = {}
        # Time at which each long-running task last executed, by name.
        self._last_executed = {}
        # Time at which the owner last reported a worker as empty, by name.
        self._reported_empty = {}
        self.workers = {
            f"w{n}": ModelWorker(
                make_entry(f"w{n}", cpu),
                self._time,
                page_size,
                clock_rates[n % len(clock_rates)],
                stop_s,
                is_strict,
            )
            for n in range(workers)
        }
        self.submitted = {}
        self.journal = {}
        self.quota_record = None
        self.acknowledged_done = set()
        self.delayed_orders = []
        # Pairs of order and delivery that wait for the store to record their jobs.
        self.unrecorded_orders = []
        self.is_store_unavailable = False
        # Workers that the journal has.
        self.recorded_workers = {}
        # Number of started runs, by task name.
        self.starts = Counter()
        # Pairs of progress (percent) and load that workers report, by task name.
        self.reported_progress = {}
        self.state = self._make_state(1)
        self.refresh()

    def _time(self):
        return self.now

    def _make_state(self, token):
        return PoolState(
            "pool",
            token,
            lambda name: QUEUE,
            120.0,
            lambda event, **fields: self.events.append((event, fields)),
            WORKER_LIMITS,
            remote_factor=self._remote_factor,
            find_customer=self._find_customer,
            quota=self._make_quota(),
        )

    def refresh(self, listed=None):
        """Updates the owner's registry; without ``listed`` all workers are listed."""
        names = self.workers if listed is None else listed
        entries = {name: self.workers[name].entry for name in names}
        self.state.set_workers(entries, self.now)

    def submit(self, job_id, spec, customer=""):
        """Submits a job to the owner."""
        self.submitted[job_id] = spec
        customer = customer or self._customer
        self.state.submit(job_id, "q", spec, self.now, self.now, self.now, customer)

    @property
    def _customer(self):
        return "" if self._max_running_cpu is None else "c"

    def _check_quota(self):
        """Fails if the runs, also those being stopped, exceed the grant."""
        if self._max_running_cpu is None:
            return
        running = sum(
            self._step_of(name).cpu
            for worker in self.workers.values()
            for name in worker.runs
        )
        if running > self._max_running_cpu:
            self._fail(f"{running} run with a grant of {self._max_running_cpu}")

    def flush(self):
        """Writes dirty jobs to the journal, if the store is available."""
        if self.is_store_unavailable:
            return
        quota = self.state.quota.begin_record(measure_ending(self.state))
        if quota is not None:
            self.quota_record = quota
            self.state.quota.finish_record()
        for job_id in self.state.dirty:
            self.journal[job_id] = encode_job(self.state.jobs[job_id])
            self.state.jobs[job_id].is_recorded = True
        if self.state.dirty:
            # The list of workers is written along with jobs only.
            self.recorded_workers = self.state.workers_to_record()
            self.state.recorded_workers = self.recorded_workers
        self.state.dirty.clear()
        orders, self.unrecorded_orders = self.unrecorded_orders, []
        for order, delivery in orders:
            if order.task.run == order.run and order.task.is_active:
                self._send(order, delivery)

    def schedule(self, delivery=lambda: "answered"):
        """Places tasks and sends the start orders.

        Args:
            delivery: Returns for each order what happens to it: "answered", "delayed",
                "answer lost" or "unreachable".
        """
        orders = self.state.schedule(self.now, self.now)
        self.flush()
        for order in orders:
            if self.is_store_unavailable and not self.state.may_start_unrecorded(order):
                self.unrecorded_orders.append((order, delivery()))
            else:
                self._send(order, delivery())
        self.flush()

    def _send(self, order, delivery):
        worker = self.workers.get(order.worker.worker_id)
        if worker is None:
            outcome = StartOutcome.WRONG_INCARNATION
            self.state.apply_start_outcome(order, outcome, self.now)
            return
        if not self.state.may_send(order, self.now):
            self.state.apply_start_outcome(order, StartOutcome.NOT_SENT, self.now)
            return
        name, run, token = order.task.name, order.run, self.state.token
        expires = order.worker.grant_lease(LEASE_S, self.now)
        if self._is_unheard(worker, order.worker):
            if worker.is_reachable:
                order.worker.mark_unanswered(self.now, False, self.now)
            outcome = StartOutcome.WRONG_INCARNATION
            self.state.apply_start_outcome(order, outcome, self.now)
        elif not worker.is_reachable or delivery == "unreachable":
            self.state.apply_start_outcome(order, StartOutcome.UNREACHABLE, self.now)
        elif delivery == "delayed":
            incarnation = worker.incarnation
            self.delayed_orders.append(
                (worker, incarnation, worker.entry.cpu, name, run, expires, token)
            )
            self.state.apply_unanswered_start(order)
        else:
            cpu = worker.entry.cpu
            outcome = self._deliver_start(worker, cpu, name, run, expires, token)
            if delivery == "answer lost":
                self.state.apply_unanswered_start(order)
            else:
                self.state.apply_start_outcome(order, outcome, self.now)

    def _is_unheard(self, worker, view):
        """Returns whether calls for the incarnation that a view knows do not arrive."""
        return (
            self._names_incarnations
            and view.incarnation_started_ms != worker.incarnation
        )

    def _deliver_start(self, worker, cpu_when_sent, name, run, expires, token):
        """Executes a start order on a worker and checks the invariants."""
        is_repeated = worker.runs.get(name) == run
        outcome = worker.start(name, run, expires, token)
        if outcome is StartOutcome.STARTED and not is_repeated:
            self.starts[name] += 1
            self._started_at[name] = self.now
            self._last_executed[name] = self.now
            self._check_capacity(worker, cpu_when_sent)
            self._check_quota()
            if sum(name in other.runs for other in self.workers.values()) > 1:
                self._fail(f"two runs of {name} at the same time")
            if name in self.acknowledged_done:
                self._fail(f"{name} was started after its end was acknowledged")
        return outcome

    def _check_capacity(self, worker, cpu_when_sent):
        """Fails if a worker's runs, also those being stopped, exceed its CPU.

        A worker may execute an order after it has shrunk, which no owner can prevent.
        """
        used = sum(
            self.submitted[name.split(".")[0]].steps[int(name.split(".")[2])].cpu
            for name in worker.runs
        )
        if used > max(worker.entry.cpu, cpu_when_sent):
            self._fail(f"{worker.entry.worker_id} runs {used} of {worker.entry.cpu}")

    def _step_of(self, name):
        job_id, _, step, _ = name.split(".")
        return self.submitted[job_id].steps[int(step)]

    def _check_interruption(self, worker, name):
        """Fails if an order must not end a run that is executing on a worker now."""
        try:
            step = self._step_of(name)
        except (KeyError, ValueError):
            return
        job_id, _, number, index = name.split(".")
        job = self.state.jobs.get(job_id)
        if not step.may_miss or worker.entry.is_draining or not (job and job.is_live):
            return
        if not self._is_up(name):
            return
        self._record_executing()
        interrupted = [
            other
            for other in (f"{job_id}.0.{number}.{n}" for n in range(step.count))
            if other != name and self._is_interrupted(other)
        ]
        self._ended_by_order.add(name)
        if len(interrupted) >= step.may_miss:
            self._fail(f"{name} is ended while {interrupted} are interrupted")

    def _is_up(self, name):
        is_executing = any(name in worker.runs for worker in self.workers.values())
        return (
            is_executing
            and self.now - self._started_at.get(name, 0.0) >= self._startup_s
        )

    def _is_interrupted(self, name):
        if self._is_up(name):
            return False
        if name in self._ended_by_order:
            return True
        return self.now - self._last_executed.get(name, self.now) >= NOTICE_S

    def _record_executing(self):
        for worker in self.workers.values():
            for name in worker.runs:
                self._last_executed[name] = self.now
                if self._is_up(name):
                    self._ended_by_order.discard(name)

    def deliver_delayed_orders(self):
        """Executes delayed orders whose worker still has the same incarnation."""
        orders, self.delayed_orders = self.delayed_orders, []
        for worker, incarnation, *order in orders:
            if worker.is_reachable and worker.incarnation == incarnation:
                self._deliver_start(worker, *order)

    def hold(self, names=None, stops="answered"):
        """Holds every worker, or the given ones, and sends the stops that are due.

        Args:
            names: Names of the workers; all if None.
            stops: What happens to the stops; see ``send_stops``.
        """
        self._record_executing()
        for name, view in list(self.state.workers.items()):
            if names is not None and name not in names:
                continue
            worker = self.workers[name]
            expires = view.extend_lease(LEASE_S, self.now)
            if not worker.is_reachable:
                view.mark_unanswered(self.now, worker.is_crashed, self.now)
                continue
            sent_at, self.now = self.now, self.now + 0.001
            starting = {run: (0, -1) for run in worker.runs if not self._is_up(run)}
            acknowledged = view.acknowledged_sequence
            if self._is_unheard(worker, view):
                acknowledged, expires = 0, None
            if self._names_incarnations:
                worker.end_runs()
                self.acknowledged_done |= worker.acknowledged_by(acknowledged)
            report = worker.hold(
                self.state.token,
                acknowledged,
                expires,
                starting | self.reported_progress,
            )
            if report is None:
                self._fail(f"{name} has seen a higher token")
            last = self.state.apply_report(view, report, sent_at, self.now)
            self.flush()
            if self.is_store_unavailable:
                continue
            view.acknowledged_sequence = last
            for end in report.ended:
                if end.kind is EndKind.DONE:
                    self.acknowledged_done.add(end.task_name)
        self.send_stops(stops)

    def send_stops(self, delivery="answered"):
        """Sends the stops that are due, without new reports.

        Args:
            delivery: What happens to them: "answered", "answer lost" or "lost".
        """
        for order in self.state.stop_orders(self.now):
            worker = self.workers[order.worker.worker_id]
            if not worker.is_reachable or delivery == "lost":
                continue
            name, run, token = order.task_name, order.run, self.state.token
            if token >= worker.highest_token and worker.runs.get(name, run + 1) <= run:
                self._check_interruption(worker, name)
            is_accepted = worker.stop(name, run, token)
            if is_accepted and delivery == "answered":
                self.state.apply_stop_answer(order, self.now)

    def withhold(self, name):
        """Has the owner empty a worker, as the planner does before it moves a host."""
        self.state.withhold([name], self.now, self.now)
        report = self.state.pool_report(self.now, self.now)
        # The planner orders only hosts that its last call withheld.
        self._reported_empty.clear()
        for load in report.workers:
            if load.worker_id == name and not load.tasks:
                self._reported_empty[name] = self.now

    def move_empty_host(self):
        """Ends the runs on a worker that was reported as empty a short time ago."""
        for name, reported_at in self._reported_empty.items():
            if self.now - reported_at < MAX_EMPTY_AGE_S:
                worker = self.workers[name]
                for run in list(worker.runs):
                    self._check_interruption(worker, run)
                    del worker.runs[run]
                worker.restart()
        self._reported_empty.clear()

    def advance(self, seconds):
        """Advances the clock; leases may expire."""
        self._record_executing()
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + HOUSEKEEPING_S)
            for worker in self.workers.values():
                worker.end_runs()
            self._expire_leases()
        self.flush()

    def _expire_leases(self):
        """Has the owner give up tasks, and fails if a run of one is executing."""
        active = [task for task in self.all_tasks() if task.is_active]
        runs = {task.name: (task.worker_id, task.run) for task in active}
        self.state.expire_leases(self.now)
        for task in active:
            worker_id, run = runs[task.name]
            worker = self.workers.get(worker_id)
            if not task.is_active and worker and worker.runs.get(task.name) == run:
                self._fail(f"{task.name} is given up while it executes on {worker_id}")

    def end_runs(self, kind=EndKind.DONE, share=1):
        """Ends every ``share``-th run that is not long-running."""
        for worker in self.workers.values():
            for name in list(worker.runs)[::share]:
                spec = self.submitted[name.split(".")[0]]
                if not spec.steps[int(name.split(".")[2])].is_lasting:
                    worker.end(name, kind)

    def take_over(self, previous_leases_s=LONGEST_RUN_S, listed=None):
        """Replaces the owner by a successor that restores the journal.

        Args:
            previous_leases_s: How long leases of the previous owner may last, seconds.
            listed: Names of the workers that the registry lists, or None for all.
        """
        state = self._make_state(self.state.token + 1)
        self.is_store_unavailable = False
        # The previous owner can't send them any more.
        self.unrecorded_orders = []
        for job_id, spec in self.submitted.items():
            job = Job(job_id, "q", spec, self.now, self._customer)
            if job_id in self.journal:
                job.is_recorded = True
                restore_job(job, decode_job_record(self.journal[job_id]), self.now)
            state.restore(job, self.now)
        state.previous_leases_until = self.now + previous_leases_s
        state.unrecorded_runs_until = self.now + previous_leases_s
        state.expect_workers(self.recorded_workers)
        state.expect_withheld_workers(self.now)
        if self.quota_record is not None:
            state.quota.restore(self.quota_record)
        self.state = state
        self.refresh(listed)

    def restart(self, name):
        """Starts a worker's next incarnation."""
        worker, view = self.workers[name], self.state.workers.get(name)
        worker.restart()
        if self._is_strict and worker.is_reachable and view is not None:
            view.mark_unanswered(self.now, True, self.now)

    def crash(self, name):
        """Ends a worker's process, and all of its runs with it."""
        worker = self.workers[name]
        worker.restart()
        worker.is_crashed = True
        worker.is_reachable = False

    def replace(self, name):
        """Starts a host's next worker, under a new id at the same address."""
        del self.workers[name]
        view = self.state.workers.get(name)
        if view is not None:
            self.state.remove_worker(view, self.now)
        successor = f"{name}+"
        self.workers[successor] = ModelWorker(
            make_entry(successor),
            self._time,
            stop_s=self._stop_s,
            is_strict=self._is_strict,
        )
        self.refresh()

    def settle(self, rounds=60):
        """Runs without faults for long enough to finish all jobs."""
        for worker in self.workers.values():
            worker.is_reachable = True
        self.is_store_unavailable = False
        self.flush()
        self.deliver_delayed_orders()
        self.refresh()
        for _ in range(rounds):
            self.hold()
            self.schedule()
            self.advance(0.4)
            self.end_runs()

    def all_tasks(self):
        """Returns the tasks of all jobs."""
        return [task for job in self.state.jobs.values() for task in job.tasks()]

    def check_all_finished(self):
        """Fails unless all jobs ended and all long-running tasks run."""
        for job in self.state.jobs.values():
            if job.state in (JobState.COMPLETED, JobState.CANCELLED, JobState.FAILED):
                continue
            for task in job.tasks():
                if not task.spec.is_lasting:
                    self._fail(f"{task.name} is {task.state} and never ended")
                elif task.state is not TaskState.RUNNING:
                    self._fail(f"{task.name} is long-running and {task.state}")
