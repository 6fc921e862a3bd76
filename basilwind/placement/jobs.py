"""Jobs: accepted on the log, run by the shard's owner, finished once."""

import anyio
import msgspec

from basilwind.errors import (
    EntryFenced,
    JournalUnavailable,
    ProtocolError,
    WorkerUnreachable,
)
from basilwind.journal.entries import Accepted
from basilwind.journal.state import outcome_of
from basilwind.models import Outcome, OutcomeKind, Reason, refused, unknown
from basilwind.peers.codec import decode_spec, encode_spec
from basilwind.peers.messages import JobReply
from basilwind.placement.at_most_once import digest_of
from basilwind.placement.executions import Execution, ExecutionState

ACCEPT_TIMEOUT_S = 2.0
LOG_RETRY_AFTER_S = 2.0
RETRY_PAUSE_S = 0.5
RECOVER_INTERVAL_S = 0.5
RETRIED_REASONS = frozenset({Reason.LOG_UNAVAILABLE, Reason.NO_OWNER})
MAX_JOB_BYTES = 64 * 1024


class JobAccepted(msgspec.Struct):
    """Body of the answer to an accepted job."""

    job_id: str


def make_job_id(pool, zone, request_id):
    """Returns a job id, which names the job's shard."""
    return f"{pool}~{zone}~{request_id}"


class JobService:
    """Accepts, runs, recovers and cancels the jobs of one shard.

    Args:
        service: ``ShardService`` of the shard.
        zone: ``ZoneParts`` of the zone.
    """

    def __init__(self, service, zone):
        self._service = service
        self._zone = zone
        self._running = {}

    @property
    def running(self):
        """How many jobs run on workers now."""
        return sum(c.state is ExecutionState.STARTED for c in self._running.values())

    async def accept(self, spec, job_id, deadline):
        """Accepts a job, durably, before its caller is told.

        Args:
            spec: The request.
            job_id: Id of the job.
            deadline: Its deadline, on the monotonic clock in seconds.

        Returns:
            An ``Outcome``: done with status 202 and the job's id; refused; or
            unknown if the log may still take it.
        """
        if len(spec.body) > MAX_JOB_BYTES:
            return refused(Reason.JOB_TOO_LARGE)
        earlier = self._earlier(spec)
        if earlier is not None:
            return earlier
        epoch = await self._service.usable_epoch(deadline)
        if epoch is None:
            return self._not_accepted(spec)
        earlier = self._earlier(spec)
        if earlier is not None:
            return earlier
        shard = self._service.shard
        refusal = shard.refusal(spec, deadline, self._zone.clock())
        if refusal is not None:
            return refusal
        entry = self._entry(spec, job_id, deadline, epoch)
        return await self._append(entry, spec)

    def reply(self, job_id, team):
        """Returns a ``JobReply`` on a job."""
        work = self._work(job_id)
        if work is None or not _belongs_to(work, team):
            return JobReply(found=False)
        if work.finished is not None:
            return JobReply(True, "finished", outcome_of(work.finished))
        custody = self._running.get(work.identity)
        if custody is not None and custody.state is ExecutionState.FINISHED:
            return JobReply(True, "finished", custody.outcome)
        is_running = custody is not None and custody.state is ExecutionState.STARTED
        return JobReply(True, "running" if is_running else "waiting")

    async def cancel(self, job_id, team):
        """Cancels a job that is not finished.

        Returns:
            A ``JobReply``.
        """
        work = self._work(job_id)
        if work is None or not _belongs_to(work, team):
            return JobReply(found=False)
        custody = self._running.get(work.identity)
        if custody is None or work.finished is not None:
            return self.reply(job_id, team)
        await self._cancel_custody(custody)
        return JobReply(True, "cancelling", cancelled=1)

    async def cancel_label(self, team, label):
        """Cancels every unfinished job of a team that bears a label.

        Returns:
            How many were cancelled.
        """
        chosen = [
            custody
            for custody in list(self._running.values())
            if custody.spec.team == team and label in custody.spec.labels
        ]
        for custody in chosen:
            await self._cancel_custody(custody)
        return len(chosen)

    async def run(self):
        """Starts every open job of the owned shard, until cancelled."""
        while True:
            self._service.forget_journaled()
            if self._service.pool in self._zone.ownership.owned:
                self._start_open()
            await anyio.sleep(RECOVER_INTERVAL_S)

    def _start_open(self):
        state = self._zone.journal.state
        for work in state.open_work_items(self._service.pool):
            is_here = work.identity in self._running
            if is_here or work.identity in self._service.in_flight:
                continue
            if work.job is not None:
                self._start(work)
            elif work.started is not None:
                self._start_resolving(work)

    def _start(self, work):
        try:
            spec = decode_spec(work.job.spec)
        except ProtocolError:
            return
        custody = Execution(work.identity, spec=spec)
        self._running[work.identity] = custody
        self._zone.tasks.start_soon(self._run_job, work, spec, custody)

    def _start_resolving(self, work):
        flight = self._service.take_off_work(work)
        self._zone.tasks.start_soon(self._resolve_request, work, flight)

    async def _resolve_request(self, work, flight):
        outcome = None
        try:
            outcome = await self._service.resolve(work)
        finally:
            if outcome is None:
                outcome = refused(Reason.OWNER_UNREACHABLE, LOG_RETRY_AFTER_S)
            self._service.land_work(work, flight, outcome)

    async def _run_job(self, work, spec, custody):
        try:
            outcome = await self._job_outcome(work, spec, custody)
            if outcome is not None:
                self._record(spec, custody, outcome)
                await self._wait_recorded(work)
        finally:
            self._running.pop(work.identity, None)

    async def _job_outcome(self, work, spec, custody):
        deadline = self._zone.clock() + work.job.deadline - self._zone.wall()
        while True:
            epoch = await self._service.usable_epoch(float("inf"))
            if epoch is None:
                if self._service.pool not in self._zone.ownership.owned:
                    return None
                await anyio.sleep(RETRY_PAUSE_S)
                continue
            if work.started is not None and not spec.idempotent:
                known = await self._service.outcome_from_journal(spec, float("inf"))
                if known is not None:
                    return known
            outcome = await self._attempt(spec, deadline, custody, epoch)
            if outcome.reason not in RETRIED_REASONS:
                return outcome
            await anyio.sleep(RETRY_PAUSE_S)

    async def _attempt(self, spec, deadline, custody, epoch):
        guard = None if spec.idempotent else self._service.guard(spec, epoch)
        if custody.is_cancelled:
            return Outcome(OutcomeKind.CANCELLED, Reason.CANCELLED_BY_CALLER)
        return await self._service.run_attempts(spec, deadline, custody, guard)

    def _record(self, spec, custody, outcome):
        owned = self._zone.ownership.owned.get(self._service.pool)
        epoch = owned.epoch if owned is not None else 0
        self._service.guard(spec, epoch).record_finish(outcome)
        custody.state = ExecutionState.FINISHED
        custody.outcome = outcome

    async def _wait_recorded(self, work):
        while work.finished is None and self._is_kept(work):
            await self._zone.journal.follower.polled.wait()

    def _is_kept(self, work):
        return self._zone.journal.state.work_items.get(work.identity) is work

    async def _cancel_custody(self, custody):
        if custody.cancel():
            return
        client = self._zone.workers.client(custody.worker)
        if client is None:
            return
        try:
            await client.stop_task(custody.task_id)
        except WorkerUnreachable:
            pass

    def _earlier(self, spec):
        work = self._zone.journal.state.work_items.get(spec.identity)
        if work is None:
            return None
        if work.job is None:
            return refused(Reason.KEY_REUSED)
        if work.digest != digest_of(spec):
            return refused(Reason.KEY_REUSED)
        return _accepted(work.job.job_id)

    def _entry(self, spec, job_id, deadline, epoch):
        return Accepted(
            pool=spec.pool,
            epoch=epoch,
            identity=spec.identity,
            job_id=job_id,
            team=spec.team,
            spec=encode_spec(spec),
            digest=digest_of(spec),
            deadline=self._zone.wall() + deadline - self._zone.clock(),
        )

    async def _append(self, entry, spec):
        try:
            await self._zone.journal.append(entry, ACCEPT_TIMEOUT_S)
        except JournalUnavailable as error:
            if error.is_certain:
                return self._not_accepted(spec)
            return unknown(Reason.LOG_UNAVAILABLE, LOG_RETRY_AFTER_S)
        except EntryFenced:
            return self._earlier(spec) or self._not_accepted(spec)
        self._start_open()
        return _accepted(entry.job_id)

    def _not_accepted(self, spec):
        if spec.key:
            return unknown(Reason.LOG_UNAVAILABLE, LOG_RETRY_AFTER_S)
        return refused(Reason.LOG_UNAVAILABLE, LOG_RETRY_AFTER_S)

    def _work(self, job_id):
        state = self._zone.journal.state
        return state.work_items.get(state.jobs.get(job_id, ""))


def _belongs_to(work, team):
    return work.job is not None and work.job.team == team


def _accepted(job_id):
    body = msgspec.json.encode(JobAccepted(job_id))
    return Outcome(OutcomeKind.DONE, status=202, body=body)
