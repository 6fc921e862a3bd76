"""An owner's view of a worker: capacity, lease, clock and runs."""

from dataclasses import dataclass

from basilwind.scheduling.jobs import TaskState

MAX_CLOCK_DRIFT = 0.02  # share by which a worker's clock may be slow
DRIFT_ALLOWANCE = 1.05  # also covers drift since a lease's owner read the clock
LAPSE_NOTICE_S = 0.4  # for a busy worker to notice that a lease has expired
MAX_CALL_S = 2.5  # from a call that grants a lease until it arrives or is given up
MAX_ORDER_DELAY_S = 5.0  # from the arrival of an order until it is executed


@dataclass(frozen=True, slots=True)
class WorkerLimits:
    """Limits that all workers keep.

    Attributes:
        max_lease_s: Longest lease that a worker grants, seconds.
        max_stop_s: Longest time that a worker takes to end a run, seconds.
    """

    max_lease_s: float
    max_stop_s: float

    @property
    def lapse_s(self):
        """Time after a lease's end by which a worker has ended its runs, seconds."""
        return LAPSE_NOTICE_S + self.max_stop_s

    def longest_run_s(self, lease_s):
        """Returns for how long a run may execute after a lease was granted, seconds.

        Args:
            lease_s: Duration of the lease, seconds.
        """
        return lease_s * DRIFT_ALLOWANCE + self.lapse_s


class WorkerView:
    """A worker as its pool's owner sees it.

    Attributes:
        entry: ``WorkerEntry`` from the registry.
        free_cpu: Unreserved CPU, millicores.
        free_memory: Unreserved memory, megabytes.
        free_gpu: Unreserved accelerators.
        tasks: Tasks by name that have or may have a run on the worker.
        unwanted_runs: ``StepSpec`` of runs that no task needs and that are being
            stopped, by task name and run. They take capacity until they have ended.
        incarnation_started_ms: Start of the incarnation that last answered, Unix
            milliseconds, or 0.
        last_applied_sequence: Sequence number of the last ended run that was applied
            to the pool.
        acknowledged_sequence: Sequence number of the last ended run that is durable,
            which the next hold acknowledges.
        pending_ack: Sequence number of an ended run that waits for the journal, and
            the number of the journal's batch that contains it; or None.
        has_reported_fully: Whether all its runs, executing and ended, were reported to
            this owner at least once.
        report_asked_at: Boot time at which the call for its last report was sent, or
            None. The report may be as old, if this process was paused.
        reported_at: Boot time at which its last report was read, or None.
        alive_until: Boot time until which the worker is known to have run without a
            break; None while it answers.
        is_withheld: Whether the fleet planner wants it to run no tasks.
        is_at_risk: Whether an order for its host may still end its runs.
        is_listed: Whether the registry lists it.
        replaced_address: Address at which another worker answered in its place; empty
            if there is none.
        isolated_job_id: Id of the job whose suspects it was last kept for.
        answered_at: Boot time of its last answer, or None.
        unanswered_since: Boot time at which the first unanswered call was sent, or
            None.
        ejected_until: Boot time until which it gets no tasks because of failures.
        ejection_s: Length of its last ejection in seconds, which doubles each time; 0
            after a success.
        consecutive_failures: Failed runs since the last successful one, or since one
            that has executed for a while.
        failed_at: Boot time of the last failed run, or 0.
        paced_at: Boot time at which the pace of one of its tasks was last changed.
        run_time_ratio: Moving average of measured run times over expected ones.
        pending_starts: Boot times at which starts without an answer yet were sent, by
            task name.
        unanswered_start_sent_at: Boot time at which the last start that got no answer
            was sent, or None.
        revoked_starts: Starts that got no answer and were given up with their lease, as
            task names and runs, and the boot time at which a stop was last sent for
            each, or None. They may arrive late, so the worker gets neither leases nor
            tasks before it has accepted these stops.
    """

    __slots__ = (
        "entry",
        "free_cpu",
        "free_memory",
        "free_gpu",
        "tasks",
        "unwanted_runs",
        "incarnation_started_ms",
        "last_applied_sequence",
        "acknowledged_sequence",
        "pending_ack",
        "has_reported_fully",
        "report_asked_at",
        "reported_at",
        "alive_until",
        "is_withheld",
        "is_at_risk",
        "is_listed",
        "replaced_address",
        "isolated_job_id",
        "answered_at",
        "unanswered_since",
        "ejected_until",
        "ejection_s",
        "consecutive_failures",
        "failed_at",
        "paced_at",
        "run_time_ratio",
        "pending_starts",
        "unanswered_start_sent_at",
        "revoked_starts",
        "_last_worker_clock_s",
        "_clock_read_at",
        "_latest_lease_end_s",
        "_granted_at",
    )

    def __init__(self, entry):
        self.entry = entry
        self.free_cpu = entry.cpu
        self.free_memory = entry.memory
        self.free_gpu = entry.gpu
        self.tasks = {}
        self.unwanted_runs = {}
        self.incarnation_started_ms = 0
        self.last_applied_sequence = 0
        self.acknowledged_sequence = 0
        self.pending_ack = None
        self.has_reported_fully = False
        self.report_asked_at = None
        self.reported_at = None
        self.alive_until = None
        self.is_withheld = False
        self.is_at_risk = False
        self.is_listed = True
        self.replaced_address = ""
        self.isolated_job_id = ""
        self.answered_at = None
        self.unanswered_since = None
        self.ejected_until = 0.0
        self.ejection_s = 0.0
        self.consecutive_failures = 0
        self.failed_at = 0.0
        self.paced_at = 0.0
        self.run_time_ratio = 1.0
        self.pending_starts = {}
        self.unanswered_start_sent_at = None
        self.revoked_starts = {}
        self._last_worker_clock_s = None
        self._clock_read_at = None
        # Latest end of a lease granted here, on the worker's clock.
        self._latest_lease_end_s = 0.0
        # Boot time at which the last lease was granted, or None.
        self._granted_at = None

    @property
    def worker_id(self):
        """Id of the worker."""
        return self.entry.worker_id

    @property
    def is_leaving(self):
        """Whether its end is planned."""
        return self.entry.is_draining or self.is_withheld

    @property
    def is_replaced(self):
        """Whether another worker has its address; its runs may go on."""
        return self.replaced_address == self.entry.address

    @property
    def _has_answered_starts(self):
        """Whether each start that was sent to it got an answer."""
        return not self.pending_starts and not any(
            task.state is TaskState.UNCONFIRMED for task in self.tasks.values()
        )

    @property
    def is_clock_known(self):
        """Whether its clock has been read since it started."""
        return self._last_worker_clock_s is not None

    def reserve(self, task):
        """Reserves capacity for a task; does nothing if it is reserved."""
        if task.name in self.tasks:
            return
        self.tasks[task.name] = task
        self._add_free_capacity(task.spec, -1)

    def release(self, task):
        """Releases a task's capacity; does nothing if none is reserved."""
        if self.tasks.pop(task.name, None) is None:
            return
        self._add_free_capacity(task.spec, 1)

    def set_unwanted_runs(self, runs):
        """Replaces ``unwanted_runs`` and adjusts the free capacity."""
        for spec in self.unwanted_runs.values():
            self._add_free_capacity(spec, 1)
        for spec in runs.values():
            self._add_free_capacity(spec, -1)
        self.unwanted_runs = runs

    def _add_free_capacity(self, spec, sign):
        self.free_cpu += sign * spec.reserved_cpu
        self.free_memory += sign * spec.memory
        self.free_gpu += sign * spec.gpu

    def has_capacity_for(self, spec):
        """Returns whether a task of a step fits into the free capacity."""
        return (
            self.free_cpu >= spec.reserved_cpu
            and self.free_memory >= spec.memory
            and self.free_gpu >= spec.gpu
        )

    @property
    def is_over_capacity(self):
        """Whether its tasks no longer fit, as its capacity has shrunk."""
        return self.free_cpu < 0 or self.free_memory < 0 or self.free_gpu < 0

    def update_entry(self, entry):
        """Applies a changed registry entry."""
        self.free_cpu += entry.cpu - self.entry.cpu
        self.free_memory += entry.memory - self.entry.memory
        self.free_gpu += entry.gpu - self.entry.gpu
        self.entry = entry

    def set_clock(self, worker_clock_s, now):
        """Records the worker's clock from a report, which tells the incarnation.

        Args:
            worker_clock_s: The worker's clock when it answered, seconds.
            now: Boot time when the answer was read, seconds.
        """
        self._last_worker_clock_s = worker_clock_s
        self._clock_read_at = now
        self.record_answer(now)

    def record_answer(self, now):
        """Records that the worker answered a call.

        Args:
            now: Boot time when the answer was read, seconds.
        """
        self.answered_at = now
        self.unanswered_since = None
        self.alive_until = None

    def mark_unanswered(self, sent_at, is_broken, now):
        """Records that a call got no answer; only the first one counts.

        Args:
            sent_at: Boot time when the call was sent.
            is_broken: Whether its connection broke, which tells when the worker or the
                path to it failed.
            now: Boot time in seconds.
        """
        if self.unanswered_since is None:
            self.unanswered_since = sent_at
            self.alive_until = now if is_broken else self.answered_at

    def grant_lease(self, lease_s, now):
        """Returns the end of a lease of ``lease_s`` on the worker's clock.

        Records that end for ``has_lapsed``. The worker's clock counts as read
        when its answer arrived. It was read earlier, so the estimate lags it and,
        apart from drift, a lease is never longer than ``lease_s``.
        """
        lease_end_s = self._last_worker_clock_s + (now - self._clock_read_at) + lease_s
        self._latest_lease_end_s = max(self._latest_lease_end_s, lease_end_s)
        self._granted_at = now
        return lease_end_s

    def revoke_start(self, task, token):
        """Has a task's start revoked if an owner sent it and it may still arrive.

        Args:
            task: ``Task`` that is given up.
            token: Fencing token of the owner.
        """
        is_open = task.state is TaskState.UNCONFIRMED or (
            task.state is TaskState.STARTING and task.name in self.pending_starts
        )
        if is_open and task.token == token:
            self.revoked_starts[task.name, task.run] = None

    def extend_lease(self, lease_s, now):
        """Returns the end of a lease for the next hold, or None; see ``grant_lease``.

        A worker that does not answer gets no extension: each one might have arrived
        and would delay the time at which its leases have certainly expired.
        """
        if self._last_worker_clock_s is None or self.unanswered_since is not None:
            return None
        if self.revoked_starts:
            return None
        return self.grant_lease(lease_s, now)

    def has_lapsed(self, limits, now):
        """Returns whether every run has certainly ended with the leases granted here.

        A worker begins to end its runs when their lease expires.

        Args:
            limits: ``WorkerLimits``.
            now: Boot time in seconds.
        """
        if self._last_worker_clock_s is None:
            return False
        worker_clock_s = self._last_worker_clock_s + (now - self._clock_read_at) * (
            1 - MAX_CLOCK_DRIFT
        )
        return worker_clock_s > self._latest_lease_end_s + limits.lapse_s

    def lease_evidence(self, now):
        """Returns log fields with the latest lease and the worker's estimated clock."""
        if self._last_worker_clock_s is None:
            return {"lease_end_s": None, "worker_clock_s": None}
        worker_clock_s = self._last_worker_clock_s + now - self._clock_read_at
        return {
            "lease_end_s": round(self._latest_lease_end_s, 3),
            "worker_clock_s": round(worker_clock_s, 3),
        }

    def reset_incarnation(self, report, sent_at, limits):
        """Resets the state that belongs to one incarnation of the worker.

        A call for the previous incarnation may have reached the new one, whose clock
        starts anew, so that only the worker's own limit bounds the lease.

        Args:
            report: ``WorkerReport`` of the new incarnation.
            sent_at: Boot time when the call for the report was sent.
            limits: ``WorkerLimits``.
        """
        self.set_unwanted_runs({})
        self.last_applied_sequence = 0
        self.acknowledged_sequence = 0
        self.pending_ack = None
        self.has_reported_fully = False
        self.report_asked_at = None
        self.reported_at = None
        self._last_worker_clock_s = None
        self._clock_read_at = None
        self.answered_at = None
        self._latest_lease_end_s = 0.0
        started_at = sent_at - report.worker_clock_s / (1 - MAX_CLOCK_DRIFT)
        if self._granted_at is not None and started_at - self._granted_at < MAX_CALL_S:
            delay_s = 0.0 if self._has_answered_starts else MAX_ORDER_DELAY_S
            self._latest_lease_end_s = (
                report.worker_clock_s + delay_s + limits.max_lease_s
            )

    def expect_previous_lease(self, report, limits):
        """Takes into account what a previous owner may have granted an incarnation.

        A call for the incarnation before it may have reached it soon after its start.

        Args:
            report: First ``WorkerReport`` to this owner.
            limits: ``WorkerLimits``.
        """
        if report.worker_clock_s < MAX_CALL_S + limits.max_lease_s:
            self._latest_lease_end_s = report.worker_clock_s + limits.max_lease_s
