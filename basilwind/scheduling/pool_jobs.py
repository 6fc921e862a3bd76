"""The jobs of a pool: submitted, ready to run, and ended."""

from basilwind.scheduling.crashes import CrashTracker
from basilwind.scheduling.customer_queues import CustomerQueues
from basilwind.scheduling.jobs import Job, JobState, TaskState, is_foreign
from basilwind.scheduling.place_waits import PlaceWaits
from basilwind.scheduling.quota import QuotaBook
from basilwind.scheduling.records import DeclineRecord
from basilwind.scheduling.run_events import MAX_ROWS, identity_row, requeue_row
from basilwind.scheduling.run_times import RunTimes

DECLINE_VALID_S = 60.0  # callers repeat a submission within seconds


class PoolJobs:
    """Jobs of one pool and the steps that are ready to run.

    Methods take the boot time as ``now`` and the Unix time as ``wall_time``, in
    seconds.

    Args:
        name: Name of the pool.
        token: Fencing token of its owner.
        find_queue: Returns the ``Queue`` of a name, or None.
        finished_job_retention_s: How long an ended job is kept, seconds.
        report: Called with an event's name and fields, for logs and metrics.
        worker_limits: ``WorkerLimits``.
        remote_factor: Factor by which tasks take longer away from their rack.
        find_customer: Returns the ``Customer`` of a name, or None.
        quota: ``QuotaBook``, or None if there are no customers.

    Attributes:
        quota: ``QuotaBook`` with the grants of customers that have a maximum.
        jobs: ``Job`` by id.
        workers: ``WorkerView`` by worker id.
        run_times: ``RunTimes`` learned from finished tasks.
        dirty: Ids of jobs to write to the journal.
        has_found_runs: Whether the journal lacks runs of a previous owner that workers
            have reported since its last write began.
        dropped: Ids of ended jobs to delete from the store.
        declined: ``DeclineRecord`` by id of jobs that another pool may have.
        previous_leases_until: Boot time until which runs may execute under leases of
            previous owners on workers that cannot be reached.
        unrecorded_runs_until: Boot time until which runs may exist that the previous
            owner could not record.
        registry_complete_at: Boot time until which the registry may lack live workers.
        recorded_workers: Workers that a successor would know of; see
            ``workers_to_record``.
    """

    def __init__(
        self,
        name,
        token,
        find_queue,
        finished_job_retention_s,
        report,
        worker_limits,
        remote_factor=1.0,
        find_customer=lambda name: None,
        quota=None,
    ):
        self.name = name
        self.token = token
        self.quota = QuotaBook() if quota is None else quota
        self.jobs = {}
        self.workers = {}
        self.run_times = RunTimes()
        self._place_waits = PlaceWaits(
            self.run_times, remote_factor, find_queue, report
        )
        self.dirty = set()
        self.has_found_runs = False
        self.dropped = []
        self.declined = {}
        self.previous_leases_until = 0.0
        self.unrecorded_runs_until = 0.0
        self.registry_complete_at = 0.0
        self.recorded_workers = {}
        # The previous owner's workers that have not reported here.
        self._unreported_workers = {}
        # Ids of jobs that a previous owner recorded, which may have unrecorded runs.
        self._jobs_known_before = set()
        self._find_queue = find_queue
        self._finished_job_retention_s = finished_job_retention_s
        self._report = report
        self._worker_limits = worker_limits
        self._withheld_until = 0.0
        self._withholding_unknown_until = 0.0
        # Ids of workers that the previous planner withheld.
        self._withheld_before = frozenset()
        self._withheld_before_until = 0.0
        self._arrived_work = 0.0
        self._arrived_jobs = 0
        # Steps that may have waiting tasks; a dict keeps their order.
        self._ready = {}
        # Cancellations that arrived before the submission, by id: version of the
        # decline by which each was passed on last (0 if by none), by customer.
        self._early_cancels = {}
        # Ids of live jobs whose occurrences have due times.
        self._timed_jobs = set()
        self._crashes = CrashTracker()
        self._customers = CustomerQueues(find_customer)
        # Starts to revoke on workers that were dropped, and the boot time of that, by
        # worker id.
        self._revoked_starts = {}
        # Stops of runs that no task needs.
        self._pending_stops = []
        # Work of waiting tasks at the last ranking, core-seconds.
        self._urgent_waiting = 0.0
        self._late_waiting = 0.0
        self._is_overloaded = False
        self._cached_backlog = 0.0
        self._backlog_measured_at = 0.0

    def submit(
        self, job_id, queue_name, spec, accepted_at, now, wall_time, customer=""
    ):
        """Adds a newly submitted job; does nothing if the job is known."""
        if job_id in self.jobs:
            return
        job = Job(job_id, queue_name, spec, accepted_at, customer)
        job.is_excess = self._customers.count_job(customer, now)
        self.add_job(job, wall_time)
        self.dirty.add(job_id)
        work = self._unfinished_work(job)
        if work and not self._customers.is_at_quota(customer):
            self._arrived_work += work
            self._arrived_jobs += 1
        for canceller in self._early_cancels.pop(job_id, ()):
            self.cancel(job_id, now, canceller)

    def decline(self, job_id, version, target, wall_time):
        """Leaves a job to another pool unless it is known here.

        A path leads to one pool in each version of the configuration. A pool that a
        later version sends a job to has all others decline it, so only one has it.

        Args:
            job_id: Id of the job.
            version: Version of the configuration by which its path leads elsewhere.
            target: Name of the pool to which it leads.
            wall_time: Unix time in seconds.
        """
        known = self.declined.get(job_id)
        if job_id in self.jobs or (known is not None and known.version >= version):
            return
        self.declined[job_id] = DeclineRecord(version, target, wall_time)
        self.dirty.add(job_id)

    def find_decline(self, job_id, version):
        """Returns the ``DeclineRecord`` that excludes a submission, or None.

        Args:
            job_id: Id of the job.
            version: Version of the configuration by which it was submitted.
        """
        declined = self.declined.get(job_id)
        if declined is None or version > declined.version or job_id in self.jobs:
            return None
        return declined

    def drop_declines(self, wall_time):
        """Drops the records of jobs that were declined long ago."""
        for job_id, declined in list(self.declined.items()):
            if abs(wall_time - declined.declined_at) > DECLINE_VALID_S:
                del self.declined[job_id]
                # Their records are deleted with those of the declined job.
                self._early_cancels.pop(job_id, None)
                if job_id not in self.jobs:
                    self.dropped.append(job_id)

    def restore(self, job, wall_time):
        """Adds a job that was submitted to a previous owner.

        That owner may have started it without a record, but only if it had recorded
        that it knew the job; see ``may_start_unrecorded``.
        """
        if job.is_recorded:
            self._jobs_known_before.add(job.job_id)
        else:
            self.dirty.add(job.job_id)
        self.add_job(job, wall_time)

    def add_job(self, job, wall_time):
        """Adds a job and marks its runnable steps as ready."""
        self.jobs[job.job_id] = job
        if not job.is_live:
            return
        self._crashes.add_job(job)
        if job.spec.is_timed:
            self._timed_jobs.add(job.job_id)
        for step in job.start_due_occurrences(wall_time):
            self._ready[step] = None
        for steps in job.occurrences.values():
            for step in steps:
                if not step.is_done and all(steps[n].is_done for n in step.spec.after):
                    self._ready[step] = None

    def cancels_to_pass_on(self, job_id):
        """Returns the ``DeclineRecord`` of a job and the customers that cancelled it.

        Only cancellations that were not passed on by this decline or a later one
        count, so that they end where two pools decline a job in each other's favour.

        Args:
            job_id: Id of the job.
        """
        declined = self.declined.get(job_id)
        if declined is None:
            return None, []
        cancels = self._early_cancels.get(job_id, {})
        return declined, [
            customer
            for customer, version in cancels.items()
            if version < declined.version
        ]

    def note_cancel_passed_on(self, job_id, customer, version):
        """Notes that the pool that gets a job has a cancellation of it.

        Args:
            job_id: Id of the job.
            customer: Name of the customer that cancelled it.
            version: Version of the configuration by which the job was declined.
        """
        cancels = self._early_cancels.get(job_id, {})
        if customer in cancels:
            cancels[customer] = max(version, cancels[customer])

    def jobs_with_cancels_to_pass_on(self):
        """Returns the ids of declined jobs with cancellations to pass on."""
        return [name for name in self.declined if self.cancels_to_pass_on(name)[1]]

    def cancel(self, job_id, now, customer="", version=0):
        """Cancels a job; an unknown job is cancelled once it is submitted.

        Args:
            job_id: Id of the job.
            now: Boot time in seconds.
            customer: Name of the customer that cancels it. Another customer's job is
                not cancelled.
            version: See ``CancelRecord``.
        """
        job = self.jobs.get(job_id)
        if job is None:
            versions = self._early_cancels.setdefault(job_id, {})
            versions[customer] = max(version, versions.get(customer, 0))
        elif is_foreign(job.customer, customer):
            self._report(
                "cancel ignored",
                job=job_id,
                customer=job.customer,
                caller=customer,
                reason="the job belongs to another customer",
            )
        elif job.is_live:
            self._end_job(job, JobState.CANCELLED, now)

    def count_waiting_jobs(self, queue_name):
        """Returns how many jobs of a queue have not started any task."""
        return sum(
            job.queue == queue_name
            and job.is_live
            and not job.has_started
            and not job.spec.is_timed
            for job in self.jobs.values()
        )

    def count_active_runs(self):
        """Returns how many runs may exist on workers."""
        return sum(task.is_active for job in self.jobs.values() for task in job.tasks())

    def drop_ended_jobs(self, now):
        """Drops jobs that ended longer ago than the retention time."""
        for job_id, job in list(self.jobs.items()):
            if (
                job.ended_at is None
                or now - job.ended_at < self._finished_job_retention_s
            ):
                continue
            if any(task.is_active for task in job.tasks()):
                continue
            del self.jobs[job_id]
            self.dropped.append(job_id)

    def _end_job(self, job, state, now):
        job.state = state
        job.ended_at = now
        self._timed_jobs.discard(job.job_id)
        self._crashes.remove_job(job)
        self.dirty.add(job.job_id)
        for task in job.tasks():
            if task.is_active:
                task.is_stopping = True
            self._ready.pop(task.step, None)
        self._report("job ended", job=job.job_id, queue=job.queue, state=state.value)

    def _finish_task(self, task, now):
        """Marks a task as done, and with it the other tasks of a gang.

        Readies the steps that depended on it, and completes the job with its last step.
        """
        if task.state is TaskState.DONE:
            return
        tasks = task.step.tasks if task.spec.is_gang else (task,)
        step, job = task.step, task.job
        for member in tasks:
            if member.state is TaskState.DONE:
                continue
            if member.is_active:
                worker = self.workers.get(member.worker_id)
                if worker is not None:
                    worker.revoke_start(member, self.token)
                self._unassign(member)
            member.state = TaskState.DONE
            self._crashes.clear(member)
            step.unfinished -= 1
        self.dirty.add(job.job_id)
        if not job.is_live or not step.is_done:
            return
        self._ready.pop(step, None)
        for later in job.unblocked_steps(step):
            self._ready[later] = None
        steps = job.occurrences[step.occurrence]
        if all(other.is_done for other in steps):
            if job.finish_occurrence(step.occurrence):
                self._end_job(job, JobState.COMPLETED, now)

    def _find_task(self, name):
        """Returns a live job's task by name, or None."""
        job = self.jobs.get(name.partition(".")[0])
        if job is None or not job.is_live:
            return None
        return next((task for task in job.tasks() if task.name == name), None)

    def _find_spec(self, task_name):
        """Returns the ``StepSpec`` of a task by name, or None if there is none."""
        try:
            job_id, _, step, _ = task_name.split(".")
            return self.jobs[job_id].spec.steps[int(step)]
        except (ValueError, KeyError, IndexError):
            return None

    def _unassign(self, task):
        """Releases a task's capacity on its worker and resets the task."""
        worker = self.workers.get(task.worker_id)
        if worker is not None:
            worker.release(task)
        task.reset()

    def ready_steps(self):
        """Returns the ``StepRun`` objects that may have waiting tasks."""
        return list(self._ready)

    def may_have_unrecorded_run(self, task):
        """Returns whether the previous owner may have started a waiting task.

        It has not if the task's last run was still executing after the takeover.
        """
        return (
            task.state is TaskState.WAITING
            and task.token < self.token
            and task.job.job_id in self._jobs_known_before
        )

    def report_restored_runs(self):
        """Logs the runs that a previous owner's records tell of."""
        rows = [
            identity_row(task)
            for job in self.jobs.values()
            if job.is_live
            for task in job.tasks()
            if task.run and task.state is not TaskState.DONE
        ]
        self._report_runs("runs restored", rows, owner_token=self.token)

    def _report_runs(self, event, rows, **fields):
        """Logs an event that concerns several runs, in lines of limited length."""
        for start in range(0, len(rows), MAX_ROWS):
            self._report(event, runs=rows[start : start + MAX_ROWS], **fields)

    def _requeue(self, tasks, reason, now, **evidence):
        """Gives up the runs of tasks, and logs why.

        Args:
            tasks: Tasks with a run.
            reason: ``RequeueReason``.
            now: Boot time in seconds.
            **evidence: Further fields of the log line: what the decision rests on.
        """
        rows = [requeue_row(task, now) for task in tasks]
        self._report_requeued(rows, reason, **evidence)
        for task in tasks:
            self._make_waiting(task)

    def _report_requeued(self, rows, reason, **evidence):
        self._report_runs(reason.value, rows, owner_token=self.token, **evidence)

    def _make_waiting(self, task):
        """Makes a task wait for a worker again, if its job is live."""
        self._unassign(task)
        self.dirty.add(task.job.job_id)
        if task.job.is_live:
            self._ready[task.step] = None

    def _task_work(self, queue, step):
        """Returns the expected work of one task, core-seconds; 0 if long-running."""
        if step.is_lasting:
            return 0.0
        return step.cpu / 1000 * self.run_times.expected_s(queue, step.estimate_s)

    def _unfinished_work(self, job, can_fit=lambda spec: True):
        """Returns the work that is left of a job, core-seconds.

        Args:
            job: ``Job``.
            can_fit: Returns whether tasks of a ``StepSpec`` count.
        """
        return sum(
            step.unfinished * self._task_work(job.queue, step.spec)
            for steps in job.occurrences.values()
            for step in steps
            if can_fit(step.spec)
        )

    def _running_work(self):
        """Returns the work of tasks that occupy workers, core-seconds by job id."""
        running = {}
        for worker in self.workers.values():
            for task in worker.tasks.values():
                job = task.job
                work = self._task_work(job.queue, task.spec)
                running[job.job_id] = running.get(job.job_id, 0.0) + work
        return running
