"""Jobs: accepted in the journal, run by the shard's owner, finished once."""

from functools import partial

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
from basilwind.placement.executor import AttemptHistory

ACCEPT_TIMEOUT_S = 2.0
LOG_RETRY_AFTER_S = 2.0
RETRY_INTERVAL_S = 0.5
RECOVER_INTERVAL_S = 0.5
RETRIED_REASONS = frozenset({Reason.LOG_UNAVAILABLE, Reason.NO_OWNER})
MAX_JOB_BYTES = 64 * 1024


class JobAccepted(msgspec.Struct):
    """Body of the answer to an accepted job."""

    job_id: str


def make_job_id(pool, zone, request_id):
    """Returns a job id, which contains the pool and zone of the job's shard."""
    return f"{pool}~{zone}~{request_id}"


class JobService:
    """Accepts, runs, recovers and cancels the jobs of one shard.

    Args:
        service: ``ShardService`` of the shard.
        zone_context: ``ZoneContext`` of the zone.
    """

    def __init__(self, service, zone_context):
        self._service = service
        self._zone_context = zone_context
        self._running = {}

    @property
    def running_count(self):
        """Number of jobs that run on workers now."""
        return sum(
            execution.state is ExecutionState.STARTED
            for execution in self._running.values()
        )

    async def accept(self, spec, job_id, deadline):
        """Accepts a job by recording it in the journal.

        Args:
            spec: The request.
            job_id: Id of the job.
            deadline: Its deadline, on the monotonic clock in seconds.

        Returns:
            An ``Outcome``: done with status 202 and the job's id; refused; or
            unknown if the entry may still reach the log.
        """
        if len(spec.body) > MAX_JOB_BYTES:
            return refused(Reason.JOB_TOO_LARGE)
        existing = self._existing_job(spec)
        if existing is not None:
            return existing
        epoch = await self._service.wait_for_epoch(deadline)
        if epoch is None:
            return self._not_accepted(spec)
        existing = self._existing_job(spec)
        if existing is not None:
            return existing
        shard = self._service.shard
        refusal = shard.refusal(spec, deadline, self._zone_context.clock())
        if refusal is not None:
            return refusal
        entry = self._accepted_entry(spec, job_id, deadline, epoch)
        return await self._append(entry, spec)

    def reply(self, job_id, team):
        """Returns a ``JobReply`` with the state of a team's job."""
        work_item = self._find_work(job_id)
        if work_item is None or not _belongs_to(work_item, team):
            return JobReply(found=False)
        if work_item.finished is not None:
            return JobReply(True, "finished", outcome_of(work_item.finished))
        execution = self._running.get(work_item.identity)
        if execution is not None and execution.state is ExecutionState.FINISHED:
            return JobReply(True, "finished", execution.outcome)
        is_running = execution is not None and execution.state is ExecutionState.STARTED
        return JobReply(True, "running" if is_running else "waiting")

    async def cancel(self, job_id, team):
        """Cancels a job that is not finished.

        Returns:
            A ``JobReply``.
        """
        work_item = self._find_work(job_id)
        if work_item is None or not _belongs_to(work_item, team):
            return JobReply(found=False)
        execution = self._running.get(work_item.identity)
        if execution is None or work_item.finished is not None:
            return self.reply(job_id, team)
        await self._cancel_execution(execution)
        return JobReply(True, "cancelling", cancelled=1)

    async def cancel_label(self, team, label):
        """Cancels every unfinished job of a team that has a label.

        Returns:
            How many were cancelled.
        """
        chosen = [
            execution
            for execution in list(self._running.values())
            if execution.spec.team == team and label in execution.spec.labels
        ]
        for execution in chosen:
            await self._cancel_execution(execution)
        return len(chosen)

    async def run(self):
        """Starts unfinished jobs and resolves unfinished requests, until cancelled."""
        while True:
            self._service.drop_journaled()
            if self._service.pool in self._zone_context.ownership.owned:
                self._start_open_work()
            await anyio.sleep(RECOVER_INTERVAL_S)

    def _start_open_work(self):
        state = self._zone_context.journal.state
        for work_item in state.open_work_items(self._service.pool):
            is_running_here = work_item.identity in self._running
            if is_running_here or work_item.identity in self._service.in_flight:
                continue
            if work_item.job is not None:
                self._start_job(work_item)
            elif work_item.started is not None:
                self._start_resolving(work_item)

    def _start_job(self, work_item):
        try:
            spec = decode_spec(work_item.job.spec)
        except ProtocolError:
            return
        execution = Execution(work_item.identity, spec=spec)
        self._running[work_item.identity] = execution
        self._zone_context.tasks.start_soon(self._run_job, work_item, spec, execution)

    def _start_resolving(self, work_item):
        pending = self._service.register_work_item(work_item)
        self._zone_context.tasks.start_soon(self._resolve_request, work_item, pending)

    async def _resolve_request(self, work_item, pending):
        outcome = None
        try:
            outcome = await self._service.resolve(work_item)
        finally:
            if outcome is None:
                outcome = refused(Reason.OWNER_UNREACHABLE, LOG_RETRY_AFTER_S)
            self._service.settle_work_item(work_item, pending, outcome)

    async def _run_job(self, work_item, spec, execution):
        try:
            outcome = await self._job_outcome(work_item, spec, execution)
            if outcome is not None:
                self._record(spec, execution, outcome)
                await self._wait_until_recorded(work_item)
        finally:
            self._running.pop(work_item.identity, None)

    async def _job_outcome(self, work_item, spec, execution):
        deadline = (
            self._zone_context.clock()
            + work_item.job.deadline
            - self._zone_context.wall_clock()
        )
        while True:
            epoch = await self._service.wait_for_epoch(float("inf"))
            if epoch is None:
                if self._service.pool not in self._zone_context.ownership.owned:
                    return None
                await anyio.sleep(RETRY_INTERVAL_S)
                continue
            if work_item.started is not None and not spec.idempotent:
                known = await self._service.outcome_from_journal(spec, float("inf"))
                if known is not None:
                    return known
            outcome = await self._attempt(work_item, spec, deadline, execution, epoch)
            if outcome.reason not in RETRIED_REASONS:
                return outcome
            await anyio.sleep(RETRY_INTERVAL_S)

    async def _attempt(self, work_item, spec, deadline, execution, epoch):
        guard = None if spec.idempotent else self._service.guard(spec, epoch)
        if execution.is_cancelled:
            return Outcome(OutcomeKind.CANCELLED, Reason.CANCELLED_BY_CALLER)
        history = AttemptHistory(
            failures=work_item.job.lost_attempts,
            last=unknown(Reason.WORKER_ANSWER_LOST),
            record_lost=partial(self._record_lost, work_item, epoch),
        )
        return await self._service.run_attempts(
            spec, deadline, execution, guard, history
        )

    async def _record_lost(self, work_item, epoch, lost_attempts):
        """Records that an attempt was lost with its worker.

        From the second one on the job waits until that is durable: it may be the cause,
        and a next owner that did not know would start it as often again.
        """
        journal = self._zone_context.journal
        entry = msgspec.structs.replace(
            work_item.job, epoch=epoch, lost_attempts=lost_attempts
        )
        while True:
            try:
                if lost_attempts < 2:
                    journal.append_nowait(entry)
                else:
                    await journal.append(entry, ACCEPT_TIMEOUT_S)
                return
            except EntryFenced:
                # Another owner has taken over, or the job has ended.
                return
            except JournalUnavailable:
                if lost_attempts < 2:
                    return
                await anyio.sleep(RETRY_INTERVAL_S)

    def _record(self, spec, execution, outcome):
        owned = self._zone_context.ownership.owned.get(self._service.pool)
        epoch = owned.epoch if owned is not None else 0
        self._service.guard(spec, epoch).record_finish(outcome)
        execution.state = ExecutionState.FINISHED
        execution.outcome = outcome

    async def _wait_until_recorded(self, work_item):
        while work_item.finished is None and self._is_in_journal(work_item):
            await self._zone_context.journal.follower.polled.wait()

    def _is_in_journal(self, work_item):
        return (
            self._zone_context.journal.state.work_items.get(work_item.identity)
            is work_item
        )

    async def _cancel_execution(self, execution):
        if execution.cancel():
            return
        client = self._zone_context.workers.client(execution.worker)
        if client is None:
            return
        try:
            await client.stop_task(execution.task_id)
        except WorkerUnreachable:
            pass

    def _existing_job(self, spec):
        work_item = self._zone_context.journal.state.work_items.get(spec.identity)
        if work_item is None:
            return None
        if work_item.job is None:
            return refused(Reason.KEY_REUSED)
        if work_item.digest != digest_of(spec):
            return refused(Reason.KEY_REUSED)
        return _accepted(work_item.job.job_id)

    def _accepted_entry(self, spec, job_id, deadline, epoch):
        return Accepted(
            pool=spec.pool,
            epoch=epoch,
            identity=spec.identity,
            job_id=job_id,
            team=spec.team,
            spec=encode_spec(spec),
            digest=digest_of(spec),
            deadline=self._zone_context.wall_clock()
            + deadline
            - self._zone_context.clock(),
        )

    async def _append(self, entry, spec):
        try:
            await self._zone_context.journal.append(entry, ACCEPT_TIMEOUT_S)
        except JournalUnavailable as error:
            if error.is_certain:
                return self._not_accepted(spec)
            return unknown(Reason.LOG_UNAVAILABLE, LOG_RETRY_AFTER_S)
        except EntryFenced:
            return self._existing_job(spec) or self._not_accepted(spec)
        self._start_open_work()
        return _accepted(entry.job_id)

    def _not_accepted(self, spec):
        if spec.key:
            return unknown(Reason.LOG_UNAVAILABLE, LOG_RETRY_AFTER_S)
        return refused(Reason.LOG_UNAVAILABLE, LOG_RETRY_AFTER_S)

    def _find_work(self, job_id):
        state = self._zone_context.journal.state
        return state.work_items.get(state.jobs.get(job_id, ""))


def _belongs_to(work_item, team):
    return work_item.job is not None and work_item.job.team == team


def _accepted(job_id):
    body = msgspec.json.encode(JobAccepted(job_id))
    return Outcome(OutcomeKind.DONE, status=202, body=body)
