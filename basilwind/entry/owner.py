"""Runs one pool: takes jobs in, starts their tasks, holds the workers' leases."""

import anyio

from basilwind.entry.follower import RETRY_S
from basilwind.entry.holds import UNCONFIRMED_S, WorkerHolds
from basilwind.entry.intake import cancelled_job, decode_submitted_job, intake_topic
from basilwind.entry.journal import JobJournal
from basilwind.entry.registry import RETURN_S
from basilwind.entry.signals import Signal
from basilwind.entry.takeover import read_newest, restore_jobs
from basilwind.errors import (
    CallRefused,
    CallUnanswered,
    PlatformError,
    RetentionGap,
)
from basilwind.scheduling.jobs import JobState
from basilwind.scheduling.pool import PoolState
from basilwind.scheduling.reports import StartOutcome

LEASE_S = 4.5  # a successor needs 1.7 s of silence and 1 s; a hold takes 1.5 s
DRIFT_ALLOWANCE = 1.05  # workers' clocks may be 2% slow
POLICY_CHECK_S = 0.02  # steps become ready within milliseconds
OUTAGE_CHECK_S = 0.1  # an outage is confirmed each 0.2 s
GATHER_S = 0.003  # jobs and ends come in bursts
SCHEDULE_PAUSE = 3.0  # a quarter of the processor for placing; answers come first
TICK_S = 0.25  # the shortest bound that ticks serve is 0.25 s for due times
READ_WAIT_S = 1.5  # a connection that went silent is noticed within 3 s


class PoolOwner:
    """Owner of one pool for the time of one token.

    Args:
        pool: Name of the pool.
        token: Fencing token.
        services: ``Services`` that all duties of the daemon share.
        former: ``Claim`` of a former owner that may extend leases still, or None.
        is_handed_over: Whether the former owner recorded all that it started.
    """

    def __init__(self, pool, token, services, former=None, is_handed_over=False):
        self._services = services
        self._former = former
        self._is_handed_over = is_handed_over
        self._store = services.store
        self._calls = services.worker_calls
        self._clock = services.clock
        self._wall = services.wall
        self._state = PoolState(
            pool,
            token,
            services.configuration.find_queue,
            services.settings.finished_job_retention_s,
            self._report,
        )
        self._journal = JobJournal(services.store, self._state, intake_topic(pool))
        self._lease_s = min(LEASE_S, services.settings.max_lease_s)
        self._wake = Signal()
        self._holds = WorkerHolds(
            services,
            self._state,
            self._journal,
            self._lease_s,
            self._wake,
            self._fenced,
        )
        self._tasks = None
        self._intake_from = 0
        self._is_loaded = False

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
        """Whether the jobs of former owners are known."""
        return self._is_loaded

    async def run(self):
        """Owns the pool until cancelled or fenced.

        Raises:
            ProducerFenced: A later owner has taken over.
        """
        await self._load()
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._journal.run)
            tasks.start_soon(self._follow_intake)
            tasks.start_soon(self._schedule)
            tasks.start_soon(self._tick)
            tasks.start_soon(self._ask_policy)
            self.refresh_workers()

    async def job_state(self, job_id):
        """Returns a job's durable ``JobState``, or None if there is no such job."""
        job = self._state.jobs.get(job_id)
        if job is None:
            return None
        if not job.is_live:
            await self._journal.durable()
        return job.state

    async def flush(self):
        """Waits until all that was decided here is durable."""
        await self._journal.durable()

    def wake(self):
        """Looks for work to place soon."""
        self._wake.set()

    def refresh_workers(self):
        """Takes over the registry's entries."""
        if self._tasks is None or not self._services.registry.is_known:
            return
        entries = self._services.registry.of_pool(self.pool)
        for worker in self._state.set_workers(entries, self._clock()):
            self._tasks.start_soon(self._holds.run, worker)
        self._wake.set()

    def _report(self, event, **fields):
        self._services.report(event, pool=self.pool, **fields)

    # Taking over

    async def _load(self):
        started_at = self._clock()
        await self._journal.fence()
        self._intake_from = await restore_jobs(
            self._state, self._store, self._clock, self._wall, self._report
        )
        now = self._clock()
        former_s = self._lease_s * DRIFT_ALLOWANCE
        if self._former is not None:
            former_s += UNCONFIRMED_S
        self._state.previous_leases_until = now + former_s
        watch = self._services.store_watch
        if watch.was_away_lately and not self._is_handed_over:
            self._state.unrecorded_runs_until = now + former_s
            self._state.registry_complete_at = watch.doubt_ended_at + RETURN_S
        self._is_loaded = True
        self._report(
            "pool taken over",
            token=self.token,
            jobs=len(self._state.jobs),
            seconds=round(now - started_at, 3),
        )

    # Taking jobs in

    async def _follow_intake(self):
        topic = intake_topic(self.pool)
        while True:
            try:
                records = await self._store.read(topic, self._intake_from, READ_WAIT_S)
            except RetentionGap:
                records, self._intake_from = await read_newest(self._store, topic)
            except PlatformError:
                await anyio.sleep(RETRY_S)
                continue
            for record in records:
                self._intake_from = max(self._intake_from, record.offset + 1)
                self._take_in(record)
            if records:
                self._wake.set()

    def _take_in(self, record):
        cancelled = cancelled_job(record)
        if cancelled is not None:
            self._state.cancel(cancelled, self._clock())
        if record.key in self._state.jobs:
            return
        job = decode_submitted_job(record, self._report)
        if job is not None:
            self._state.submit(
                job.job_id,
                job.queue,
                job.spec,
                job.accepted_at,
                self._clock(),
                self._wall(),
            )

    # Placing work

    async def _schedule(self):
        taken_s = 0.0
        while True:
            await self._wake.wait(TICK_S)
            await anyio.sleep(max(GATHER_S, taken_s * SCHEDULE_PAUSE))
            now = self._clock()
            orders = self._state.schedule(now, self._wall())
            taken_s = self._clock() - now
            for stop in self._state.stop_orders(now):
                self._tasks.start_soon(self._send_stop, stop)
            if orders:
                self._tasks.start_soon(self._send_starts, orders)
            if self._state.dirty:
                self._journal.wake()

    async def _send_starts(self, orders):
        await self._until_sendable()
        for order in orders:
            self._tasks.start_soon(self._send_start, order)

    async def _until_sendable(self):
        """Waits until the journal has what is dirty, or nobody could read it."""
        mark = self._journal.mark()
        while not self._journal.has_written(mark):
            if self._services.outage.is_confirmed and self._holds.may_extend(
                self._clock()
            ):
                self._report("starts not recorded", reason="the store is away")
                return
            with anyio.move_on_after(OUTAGE_CHECK_S):
                await self._journal.wait_for(mark)

    async def _send_start(self, order):
        task, worker = order.task, order.worker
        if task.run != order.run or not task.is_active:
            return
        if task.is_stopping or not task.job.is_live or not worker.is_clock_known:
            self._state.apply_start_outcome(order, StartOutcome.NOT_SENT, self._clock())
            return
        ticket = (task.step.tickets or {}).get(worker.worker_id)
        try:
            outcome, clock_s = await self._calls.start(
                worker.entry.address,
                worker.worker_id,
                task.name,
                order.run,
                task.job.spec.text,
                worker.grant_lease(self._lease_s, self._clock()),
                self.token,
                task.checkpoint,
                ticket.text if ticket else "",
            )
        except CallUnanswered:
            self._state.apply_unanswered_start(order)
            return
        if clock_s is not None:
            worker.set_clock(clock_s, self._clock())
        if outcome is StartOutcome.FENCED:
            self._fenced(worker)
        self._state.apply_start_outcome(order, outcome, self._clock())
        if outcome is not StartOutcome.STARTED:
            self._wake.set()

    async def _ask_policy(self):
        """Asks about one step at a time, as the service takes them."""
        while True:
            question = self._state.next_policy_query(self._clock(), self._wall())
            if question is None:
                await anyio.sleep(POLICY_CHECK_S)
                continue
            step, worker_ids = question
            asked_at = self._clock()
            try:
                advice = await self._services.advice_calls.advise(step.name, worker_ids)
            except PlatformError as error:
                self._report("policy unavailable", step=step.name, error=str(error))
                await anyio.sleep(RETRY_S)
                continue
            until = asked_at + advice.validity_s
            self._state.apply_policy_answer(step, worker_ids, advice.tickets, until)
            self._wake.set()

    async def _send_pace(self, order):
        worker = order.worker
        try:
            is_taken = await self._calls.pace(
                worker.entry.address,
                worker.worker_id,
                order.task.name,
                order.run,
                order.percent,
                self.token,
            )
        except (CallRefused, CallUnanswered):
            # The next tick decides again.
            return
        if is_taken:
            self._state.apply_pace(order, self._clock())
            self._report("task paced", task=order.task.name, percent=order.percent)

    async def _send_stop(self, order):
        worker = order.worker
        try:
            is_taken = await self._calls.stop(
                worker.entry.address,
                worker.worker_id,
                order.task_name,
                order.run,
                self.token,
            )
        except (CallRefused, CallUnanswered):
            return
        if is_taken:
            self._state.apply_stop_answer(order, self._clock())

    def _fenced(self, worker):
        self._report("order fenced", worker=worker.worker_id, token=self.token)
        self._services.duties_changed(self.pool, self.token)

    # Housekeeping

    async def _tick(self):
        while True:
            await anyio.sleep(TICK_S)
            now = self._clock()
            self._services.registry.drop_missing(now)
            self._state.expire_leases(now)
            self._state.drop_ended_jobs(now)
            for order in self._state.pace_orders(now):
                self._tasks.start_soon(self._send_pace, order)
            if self._state.dirty or self._state.dropped:
                self._journal.wake()

    def withhold(self, worker_ids):
        """Keeps tasks off some workers, and only off those; returns a report."""
        now = self._clock()
        wall = self._wall()
        self._state.withhold(worker_ids, now, wall)
        self._wake.set()
        return self._state.pool_report(now, wall)

    def waiting(self, queue):
        """Returns how many accepted jobs of a queue have started nothing."""
        return self._state.count_waiting_jobs(queue)

    def refuse_for_s(self, queue):
        """Returns for how long new jobs of a queue are refused; 0 to accept them."""
        return self._state.refuse_for_s(queue, self._clock(), self._wall())

    def summary(self):
        """Returns counts for metrics: live jobs, active tasks, workers."""
        live = sum(job.state is not JobState.COMPLETED for job in self._jobs())
        active = sum(len(worker.tasks) for worker in self._state.workers.values())
        return live, active, len(self._state.workers)

    def _jobs(self):
        return (job for job in self._state.jobs.values() if job.is_live)
