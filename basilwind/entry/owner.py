"""Runs one pool: accepts jobs, starts their tasks and renews the workers' leases."""

import traceback

import anyio
import msgspec

from basilwind.entry.auto_reset_event import AutoResetEvent
from basilwind.entry.cancel_forwarder import CancelForwarder
from basilwind.entry.duties import POOL_PREFIX
from basilwind.entry.follower import PLATFORM_RETRY_S, KeyedFollower
from basilwind.entry.intake import (
    decode_cancellation,
    decode_submitted_job,
    intake_topic,
)
from basilwind.entry.journal import JobJournal
from basilwind.entry.quota_client import QuotaClient
from basilwind.entry.registry import REAPPEAR_S
from basilwind.entry.takeover import (
    report_foreign_submission,
    restore_jobs,
)
from basilwind.entry.worker_leases import WorkerLeaseRenewer
from basilwind.errors import (
    CallRefused,
    CallUnanswered,
    NotOwner,
    NotStarted,
    PlatformError,
)
from basilwind.platform.store import encode_keyed_record
from basilwind.scheduling.evidence import IntakeRead
from basilwind.scheduling.jobs import Job, JobState, JobStatus, is_foreign
from basilwind.scheduling.ownership import MAX_STORE_SILENCE_S, has_reached_store
from basilwind.scheduling.pool import PoolState
from basilwind.scheduling.quota import UNBOUNDED, QuotaBook, has_limit
from basilwind.scheduling.quota_use import measure_used, measure_uses
from basilwind.scheduling.records import decode_submission
from basilwind.scheduling.reports import StartOutcome
from basilwind.scheduling.run_events import age_s, order_row
from basilwind.scheduling.where import (
    TRIAL_JOB_ID,
    QuotaUse,
    Trial,
    explain_placement,
)
from basilwind.scheduling.workers import WorkerLimits

LEASE_S = 4.5  # outlasts 1.7 s of silence, 1 s of takeover and a hold call of 1.5 s
POLICY_CHECK_S = 0.02  # steps become ready within milliseconds
OUTAGE_CHECK_S = 0.1  # an outage is confirmed every 0.2 s
SCHEDULE_DELAY_S = 0.003  # submitted jobs and ended tasks arrive in bursts
# Scheduling uses at most a quarter of the CPU, as serving requests comes first.
SCHEDULE_PAUSE_FACTOR = 3.0
HOUSEKEEPING_S = 0.25  # scheduled steps must start within 0.25 s of their due time


class PoolOwner:
    """Owns one pool until its fencing token is replaced by a later one.

    Args:
        pool: Name of the pool.
        token: Fencing token.
        services: ``Services`` that all duties of the daemon share.
        previous_claim: ``Claim`` of a previous owner that may still extend leases,
            or None.
        is_handed_over: Whether the previous owner recorded all that it started.
    """

    def __init__(
        self, pool, token, services, previous_claim=None, is_handed_over=False
    ):
        self._services = services
        self._previous_claim = previous_claim
        self._is_handed_over = is_handed_over
        self._store = services.store
        self._worker_control = services.worker_control
        self._clock = services.clock
        self._wall_clock = services.wall_clock
        self._worker_limits = WorkerLimits(
            services.settings.max_lease_s, services.settings.max_stop_s
        )
        self._state = PoolState(
            pool,
            token,
            services.configuration.find_queue,
            services.settings.finished_job_retention_s,
            self._report,
            self._worker_limits,
            remote_factor=services.settings.remote_factor,
            find_customer=services.configuration.find_customer,
            quota=QuotaBook(
                services.configuration.find_customer,
                services.configuration.customer_names,
                services.may_use_quota,
                self._report_quota,
            ),
        )
        self._journal = JobJournal(
            services.store,
            self._state,
            intake_topic(pool),
            services.settings.store_record_bytes,
        )
        self._lease_s = min(LEASE_S, services.settings.max_lease_s)
        self._schedule_event = AutoResetEvent()
        self._leases = WorkerLeaseRenewer(
            services,
            self._state,
            self._journal,
            self._lease_s,
            self._schedule_event,
            self._handle_fenced,
            self._send_stops_of,
        )
        self._quota_client = QuotaClient(
            self._state,
            self._journal,
            services.request_grants,
            self._clock,
            self._schedule_event.set,
            lambda: len(services.configuration.pool_names()),
        )
        self._cancels = CancelForwarder(services.store, self._state, self._report)
        self._tasks = None
        # Journal's batch of the latest start that was sent before it was recorded.
        self._unrecorded_batch = 0
        # Whether a later owner has asked about unrecorded runs.
        self._is_superseded = False
        self._intake = KeyedFollower(
            services.store,
            intake_topic(pool),
            self._apply_intake_records,
            self._apply_intake_records,
            services.clock,
        )
        self._is_loaded = False
        # Restored submissions that other pools get.
        self._to_forward = []
        # Rows of the sent orders that are not logged yet, by step.
        self._sent_rows = {}
        # Highest fencing token of a planner that has called.
        self._planner_token = 0

    @property
    def pool(self):
        """Name of the pool."""
        return self._state.name

    @property
    def token(self):
        """Fencing token."""
        return self._state.token

    @property
    def state(self):
        """The ``PoolState``."""
        return self._state

    @property
    def is_loaded(self):
        """Whether the jobs of previous owners have been restored."""
        return self._is_loaded

    @property
    def knows_all_runs(self):
        """Whether no run of a previous owner can be unknown here."""
        return self._is_loaded and self._state.knows_all_runs(self._clock())

    async def run(self):
        """Owns the pool until cancelled or fenced.

        Raises:
            ProducerFenced: A later owner has taken over.
        """
        await self._load()
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                for record in self._to_forward:
                    tasks.start_soon(self._forward, record)
                for job_id in self._state.jobs_with_cancels_to_pass_on():
                    tasks.start_soon(self._cancels.pass_on_until_stored, job_id)
                tasks.start_soon(self._rule_out_unrecorded_runs)
                tasks.start_soon(self._journal.run)
                tasks.start_soon(self._journal.run_forgetting)
                tasks.start_soon(self._intake.run)
                tasks.start_soon(self._schedule)
                tasks.start_soon(self._run_housekeeping)
                tasks.start_soon(self._query_policy)
                if self._services.request_grants is not None:
                    tasks.start_soon(self._quota_client.run)
                self.update_workers()
        finally:
            if self._has_recorded_all:
                self._services.fully_recorded_pools[self.pool] = self.token
            self._report(
                "pool given up",
                token=self.token,
                runs=self._state.count_active_runs(),
                extension_age_s=age_s(self._leases.extended_at, self._clock()),
                authority_age_s=self._authority_age_s(),
            )

    async def job_state(self, job_id, must_confirm=False):
        """Returns a job's durable ``JobStatus``, or None if it is unknown.

        Args:
            job_id: Id of the job.
            must_confirm: Whether a caller will be told that an unknown job does not
                exist.

        Raises:
            NotOwner: The job is unknown here, but it may exist, or a later owner may
                know it.
        """
        job = self._state.jobs.get(job_id)
        if job is None:
            if not has_reached_store(
                self._services.store_monitor.confirmed_at, self._clock()
            ):
                # A daemon that the store serves may have accepted it meanwhile.
                raise NotOwner(f"pool {self.pool!r}: the store did not answer lately")
            if must_confirm:
                await self._confirm_intake()
                job = self._state.jobs.get(job_id)
        if job is None:
            return None
        if not job.is_live:
            await self._journal.flush()
        queue = self._services.configuration.find_queue(job.queue)
        return JobStatus(job.state, job.customer, queue.path if queue else None)

    @property
    def _intake_read(self):
        """The latest ``IntakeRead``."""
        return IntakeRead(self._intake.confirmed_at)

    async def _confirm_intake(self):
        """Makes sure that the intake was read recently.

        Raises:
            NotOwner: It could not be read, so unknown jobs may exist.
        """
        if not self._intake_read.denies_jobs(self._clock()):
            await self._intake.confirm(self._clock())
        if not self._intake_read.denies_jobs(self._clock()):
            raise NotOwner(f"pool {self.pool!r}: the intake was not read lately")

    async def flush(self):
        """Waits until all changes made so far are durable."""
        await self._journal.flush()

    def request_scheduling(self):
        """Requests a scheduling round."""
        self._schedule_event.set()

    def apply_configuration(self):
        """Applies the current configuration, of which no version may be left out."""
        self._state.quota.note_limits(self._clock())
        self._schedule_event.set()

    def update_workers(self):
        """Applies the current entries of the worker registry."""
        if self._tasks is None or not self._services.registry.is_loaded:
            return
        entries = self._services.registry.entries_of_pool(self.pool)
        for worker in self._state.set_workers(entries, self._clock()):
            self._tasks.start_soon(self._leases.run, worker)
        self._schedule_event.set()

    def _require_no_successor(self, now):
        """Raises ``NotOwner`` if another daemon may have taken over the pool."""
        if not self._services.is_sole_holder(now):
            raise NotOwner(f"pool {self.pool!r} may have a later owner by now")

    def _authority_age_s(self):
        """Returns for how long leases may have been extended without confirmation."""
        return age_s(self._services.duties.confirmed_at, self._clock())

    def _report_quota(self, event, **fields):
        configuration_age_s = age_s(
            self._services.configuration.confirmed_at, self._clock()
        )
        self._report(event, configuration_age_s=configuration_age_s, **fields)

    def _report(self, event, **fields):
        self._services.report(event, pool=self.pool, **fields)

    # Takeover

    async def _load(self):
        """Restores the jobs and computes how long previous owners' runs may last."""
        started_at = self._clock()
        await self._journal.fence()
        async with anyio.create_task_group() as tasks:
            if self._previous_claim is not None:
                # The leases of previous owners count from here on.
                tasks.start_soon(self._services.duties.announce_claims)
            read_sent_at = self._clock()
            intake_end, elsewhere = await restore_jobs(
                self._state,
                self._store,
                self._services.configuration.remember_queue,
                self._clock,
                self._wall_clock,
                self._report,
                self._journal.note_parts,
            )
        self._intake.resume(intake_end, read_sent_at)
        self._to_forward = elsewhere
        now = self._clock()
        previous_lease_s = self._worker_limits.longest_run_s(self._lease_s)
        if self._previous_claim is not None:
            previous_lease_s += MAX_STORE_SILENCE_S
        self._state.previous_leases_until = now + previous_lease_s
        self._state.expect_withheld_workers(now)
        if not self._is_handed_over:
            self._state.unrecorded_runs_until = now + previous_lease_s
            self._state.registry_complete_at = (
                self._services.store_monitor.silence_ended_at + REAPPEAR_S
            )
        self._is_loaded = True
        self._state.report_restored_runs()
        previous = self._previous_claim
        self._report(
            "pool taken over",
            token=self.token,
            jobs=len(self._state.jobs),
            runs=self._state.count_active_runs(),
            may_lack_runs=self._state.unrecorded_runs_until > 0.0,
            expected_workers=len(self._state.workers_to_record()),
            previous_holder=previous.holder if previous else None,
            previous_token=previous.token if previous else None,
            is_handed_over=self._is_handed_over,
            previous_leases_s=round(self._state.previous_leases_until - now, 3),
            seconds=round(now - started_at, 3),
        )

    async def _rule_out_unrecorded_runs(self):
        """Stops expecting unrecorded runs if no previous owner can have started any."""
        if self._is_handed_over:
            return
        duty = POOL_PREFIX + self.pool
        if await self._has_previous_owner_recorded_all() or (
            await self._services.outage_witnesses.rule_out_outage(duty)
        ):
            self._state.unrecorded_runs_until = 0.0
            self._schedule_event.set()

    async def _has_previous_owner_recorded_all(self):
        """Asks the previous owner, which often only the store does not reach."""
        previous = self._previous_claim
        if previous is None or not previous.address:
            return False
        has_recorded_all = await self._services.has_previous_owner_recorded_all(
            previous, self.pool
        )
        self._report(
            "previous owner asked",
            token=self.token,
            previous_holder=previous.holder,
            has_recorded_all=has_recorded_all,
        )
        return has_recorded_all

    def yield_to_successor(self):
        """Starts nothing without a record any more, as there is a later owner.

        Returns:
            Whether the journal has each run that may execute. What this owner records
            from now on is refused, as the successor has raised the journal's epoch.
        """
        self._is_superseded = True
        return self._has_recorded_all

    @property
    def _has_recorded_all(self):
        return (
            self._is_loaded
            and self._journal.has_written(self._unrecorded_batch)
            and self._journal.has_written_found_runs
            and not self._state.has_unrecorded_runs(self._clock())
        )

    # Intake

    def _apply_intake_records(self, records):
        for record in records:
            try:
                self._apply_intake_record(record)
            except Exception as error:
                # A new owner would fail on the same record.
                self._report(
                    "submission damaged",
                    job=record.key,
                    error="".join(traceback.format_exception(error)),
                )
        if records:
            self._schedule_event.set()

    def _apply_intake_record(self, record):
        cancellation = decode_cancellation(record, self._report)
        if cancellation is not None:
            job_id, cancel = cancellation
            self._state.cancel(job_id, self._clock(), cancel.customer, cancel.version)
            if self._state.cancels_to_pass_on(job_id)[1]:
                self._tasks.start_soon(self._cancels.pass_on_until_stored, job_id)
        known = self._state.jobs.get(record.key)
        if known is not None and not known.customer:
            return
        submitted = decode_submitted_job(
            record, self._services.configuration.remember_queue, self._report
        )
        if submitted is None:
            return
        job, version = submitted
        if known is not None:
            if is_foreign(known.customer, job.customer):
                report_foreign_submission(
                    job.job_id, known.customer, job.customer, self._report
                )
            return
        if self._state.find_decline(record.key, version):
            self._tasks.start_soon(self._forward, record)
        else:
            self._state.submit(
                job.job_id,
                job.queue,
                job.spec,
                job.accepted_at,
                self._clock(),
                self._wall_clock(),
                job.customer,
            )

    async def _forward(self, record):
        """Submits a declined job to the pool that gets it, unless another has it."""
        while True:
            submission = decode_submission(record.value)
            declined = self._state.find_decline(record.key, submission.version)
            if declined is None:
                return
            submission.version = declined.version
            queue = (
                submission.accepted_queue
                or self._services.configuration.find_queue(submission.queue)
            )
            try:
                if queue is None or not await self._services.arbiter.is_in_other_pool(
                    queue,
                    declined.target,
                    record.key,
                    declined.version,
                    self._clock(),
                ):
                    value = msgspec.json.encode(submission)
                    await self._store.append(
                        intake_topic(declined.target),
                        [encode_keyed_record(record.key, value)],
                    )
            except (PlatformError, NotOwner, NotStarted):
                await anyio.sleep(PLATFORM_RETRY_S)
                continue
            self._report("job forwarded", job=record.key, target=declined.target)
            return

    async def decline(self, job_id, version, target):
        """Leaves a job to another pool unless this one has it.

        Args:
            job_id: Id of the job.
            version: Version of the configuration by which its path leads to the other.
            target: Name of the other pool.

        Returns:
            The job's ``JobState`` if this pool has it, or None if it never will, except
            by a later configuration.

        Raises:
            NotOwner: The other pool may lack a cancellation of the job.
        """
        if job_id not in self._state.jobs:
            self._state.decline(job_id, version, target, self._wall_clock())
            await self._journal.flush()
            try:
                await self._cancels.pass_on(job_id)
            except PlatformError as error:
                raise NotOwner(f"cancellation not passed on: {error}") from error
        job = self._state.jobs.get(job_id)
        return job.state if job else None

    # Scheduling

    async def _schedule(self):
        """Schedules when requested, at intervals otherwise, and sends the orders."""
        schedule_s = 0.0
        while True:
            await self._schedule_event.wait(HOUSEKEEPING_S)
            await anyio.sleep(max(SCHEDULE_DELAY_S, schedule_s * SCHEDULE_PAUSE_FACTOR))
            now = self._clock()
            if self._services.may_extend_leases(now):
                orders = self._state.schedule(now, self._wall_clock())
                schedule_s = self._clock() - now
                for stop in self._state.stop_orders(now):
                    self._tasks.start_soon(self._send_stop, stop)
                if orders:
                    self._tasks.start_soon(self._send_starts, orders)
                if self._state.quota.take_call_due():
                    self._quota_client.request_call()
            if self._state.dirty or self._state.quota.is_record_due:
                self._journal.request_write()

    async def _send_starts(self, orders):
        """Sends start orders once they may be sent.

        That is when they are journalled, or when the store is down for all daemons:
        then none can take over the pool, so tasks may start before the journal has
        them.
        """
        batch = self._journal.pending_batch()
        while orders and not self._journal.has_written(batch):
            if (
                self._services.outage.is_confirmed
                and self._services.may_extend_leases(self._clock())
                and not self._is_superseded
            ):
                orders = self._send_unrecorded(orders, batch)
            with anyio.move_on_after(OUTAGE_CHECK_S):
                await self._journal.wait_for(batch)
        for order in orders:
            self._tasks.start_soon(self._send_start, order)

    def _send_unrecorded(self, orders, batch):
        """Sends the orders that need no record, and returns the others.

        Args:
            orders: ``StartOrder`` objects.
            batch: Number of the journal's batch that will contain them.
        """
        sendable, kept = [], []
        for order in orders:
            may_start = self._state.may_start_unrecorded(order)
            (sendable if may_start else kept).append(order)
        if sendable:
            self._unrecorded_batch = max(self._unrecorded_batch, batch)
            self._report(
                "starts not recorded",
                reason="the store is away",
                starts=len(sendable),
                runs=[
                    [order.task.name, order.run, order.worker.worker_id]
                    for order in sendable
                ],
            )
        for order in sendable:
            self._tasks.start_soon(self._send_start, order)
        return kept

    async def _send_start(self, order):
        task, worker = order.task, order.worker
        now = self._clock()
        if task.run != order.run or not task.is_active:
            self._report(
                "start withdrawn",
                task=task.name,
                run=order.run,
                worker=worker.worker_id,
                token=self.token,
                ordered_age_s=age_s(task.ordered_at, now),
                known_run=task.run,
                state=task.state.value,
            )
            return
        # This process may have been paused since the order was journalled.
        if not self._services.may_extend_leases(now) or not self._state.may_send(
            order, now
        ):
            self._state.apply_start_outcome(order, StartOutcome.NOT_SENT, now)
            return
        ticket = (task.step.tickets or {}).get(worker.worker_id)
        lease_end_s = worker.grant_lease(self._lease_s, now)
        self._note_sent(order, lease_end_s, now)
        worker.pending_starts[task.name] = now
        incarnation = worker.incarnation_started_ms
        try:
            outcome, worker_clock_s = await self._worker_control.start(
                worker.entry.address,
                worker.worker_id,
                task.name,
                order.run,
                task.job.spec.text,
                lease_end_s,
                self.token,
                task.checkpoint,
                ticket.text if ticket else "",
                incarnation,
            )
        except CallUnanswered:
            worker.unanswered_start_sent_at = now
            self._state.apply_unanswered_start(order)
            return
        finally:
            worker.pending_starts.pop(task.name, None)
        if worker_clock_s is not None:
            # The clock may be that of another incarnation than the last report's.
            worker.record_answer(self._clock())
        if outcome is StartOutcome.FENCED:
            self._handle_fenced(worker)
        elif outcome is StartOutcome.UNREACHABLE:
            worker.unanswered_start_sent_at = now
        elif outcome is StartOutcome.WRONG_INCARNATION:
            if worker.incarnation_started_ms == incarnation:
                self._leases.hold_anew(worker)
        self._state.apply_start_outcome(order, outcome, self._clock())
        if outcome is not StartOutcome.STARTED:
            self._schedule_event.set()

    def _note_sent(self, order, lease_end_s, now):
        """Has a sent order logged, with those that are sent at the same time."""
        if not self._sent_rows:
            self._tasks.start_soon(self._report_sent)
        rows = self._sent_rows.setdefault(order.task.step.name, [])
        rows.append(order_row(order, lease_end_s, now))

    async def _report_sent(self):
        sent_rows, self._sent_rows = self._sent_rows, {}
        authority_age_s = self._authority_age_s()
        for step, rows in sent_rows.items():
            self._report(
                "runs ordered",
                step=step,
                token=self.token,
                lease_s=self._lease_s,
                authority_age_s=authority_age_s,
                runs=rows,
            )

    async def _query_policy(self):
        """Queries the placement policy, one step at a time as the service requires."""
        while True:
            query = self._state.next_policy_query(self._clock(), self._wall_clock())
            if query is None:
                await anyio.sleep(POLICY_CHECK_S)
                continue
            step, worker_ids = query
            asked_at = self._clock()
            try:
                advice = await self._services.advice_client.advise(
                    step.name, worker_ids
                )
            except PlatformError as error:
                self._report("policy unavailable", step=step.name, error=str(error))
                await anyio.sleep(PLATFORM_RETRY_S)
                continue
            valid_until = asked_at + advice.validity_s
            self._state.apply_policy_answer(
                step, worker_ids, advice.tickets, valid_until
            )
            self._schedule_event.set()

    async def _send_pace(self, order):
        worker = order.worker
        try:
            is_accepted = await self._worker_control.pace(
                worker.entry.address,
                worker.worker_id,
                order.task.name,
                order.run,
                order.pace_percent,
                self.token,
            )
        except (CallRefused, CallUnanswered):
            # The next round of housekeeping decides again.
            return
        if is_accepted:
            self._state.apply_pace(order, self._clock())
            self._report("task paced", task=order.task.name, percent=order.pace_percent)

    async def _send_stop(self, order):
        worker = order.worker
        try:
            is_accepted = await self._worker_control.stop(
                worker.entry.address,
                worker.worker_id,
                order.task_name,
                order.run,
                self.token,
            )
        except (CallRefused, CallUnanswered):
            return
        if is_accepted:
            self._state.apply_stop_answer(order, self._clock())

    def _send_stops_of(self, worker, now):
        if self._services.may_extend_leases(now):
            for stop in self._state.stop_orders_of(worker, now):
                self._tasks.start_soon(self._send_stop, stop)

    def _handle_fenced(self, worker):
        self._report("order fenced", worker=worker.worker_id, token=self.token)
        self._services.on_fenced(self.pool, self.token)

    # Housekeeping

    async def _run_housekeeping(self):
        while True:
            await anyio.sleep(HOUSEKEEPING_S)
            now = self._clock()
            self._services.registry.expire_missing(now)
            self._state.expire_leases(now)
            self._state.drop_ended_jobs(now)
            self._state.drop_declines(self._wall_clock())
            for order in self._state.pace_orders(now):
                self._tasks.start_soon(self._send_pace, order)
            if self._state.dirty:
                self._journal.request_write()

    def withhold(self, worker_ids, planner_token, at_risk=()):
        """Keeps new tasks off the given workers, and only off those.

        Args:
            worker_ids: Ids of the workers.
            planner_token: Fencing token of the planner that wants it.
            at_risk: Ids of workers whose runs an order may still end.

        Returns:
            ``PoolReport`` after the change.

        Raises:
            NotOwner: Another daemon may have taken over the pool, so workers that are
                empty here may run its tasks; or a later planner has called.
        """
        now = self._clock()
        self._require_no_successor(now)
        if planner_token < self._planner_token:
            raise NotOwner(f"pool {self.pool!r} follows a later planner")
        is_new_planner = planner_token > self._planner_token > 0
        self._planner_token = planner_token
        wall_time = self._wall_clock()
        self._state.withhold(worker_ids, now, wall_time, at_risk, is_new_planner)
        self._schedule_event.set()
        return self._state.pool_report(now, wall_time)

    def count_waiting(self, queue):
        """Returns how many accepted jobs of a queue have not started any task."""
        return self._state.count_waiting_jobs(queue)

    def refuse_for_s(self, queue):
        """Returns for how many seconds a queue refuses new jobs; 0 to accept them."""
        return self._state.refuse_for_s(queue, self._clock(), self._wall_clock())

    def explain_placement(self, queue, spec, customer):
        """Returns the ``Reason`` list that tells where a job would go.

        Changes nothing.

        Args:
            queue: ``Queue``.
            spec: ``JobSpec``.
            customer: Name of the customer; empty for none.
        """
        now, wall_time = self._clock(), self._wall_clock()
        return explain_placement(
            Trial(
                self._state.snapshot(now, wall_time),
                self._services.configuration.current,
                queue,
                Job(TRIAL_JOB_ID, queue.name, spec, wall_time, customer),
                now,
                wall_time,
                self._quota_use(customer, now),
            )
        )

    def _quota_use(self, name, now):
        """Returns the ``QuotaUse`` of a customer, or None if it has no maximum."""
        customer = self._services.configuration.find_customer(name) if name else None
        if customer is None or not has_limit(customer):
            return None
        book = self._state.quota
        used = measure_used(self._state, now)[name]
        may_start = book.may_start(name, now)
        return QuotaUse(used, book.grant(name), customer.maximum, may_start)

    def admit(self, queue, customer):
        """Returns the ``Admission`` of a customer's new job."""
        return self._state.admit(queue, customer, self._clock(), self._wall_clock())

    def find_customer_of(self, job_id):
        """Returns the customer's name of a known job, or None for an unknown one."""
        job = self._state.jobs.get(job_id)
        return None if job is None else job.customer

    def summary(self):
        """Returns the numbers of live jobs, active tasks and workers, for metrics."""
        live = sum(job.state is not JobState.COMPLETED for job in self._live_jobs())
        active = sum(len(worker.tasks) for worker in self._state.workers.values())
        return live, active, len(self._state.workers)

    def quota_summary(self):
        """Returns customer, granted, used and needed CPU (millicores), for metrics."""
        uses = measure_uses(self._state, self._clock())
        return [
            (name, self._state.quota.grant(name).cpu, use.used.cpu, use.need.cpu)
            for name, use in uses.items()
            if self._state.quota.limit(name).cpu < UNBOUNDED
        ]

    def _live_jobs(self):
        return (job for job in self._state.jobs.values() if job.is_live)
