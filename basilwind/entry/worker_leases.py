"""Renews the leases of a pool's workers with hold calls.

A hold call extends a worker's lease and returns its running and ended tasks.
"""

from functools import partial

import anyio

from basilwind.errors import (
    CallRefused,
    CallTimedOut,
    CallUnanswered,
    ProducerFenced,
    WorkerCallFailed,
    WorkerReplaced,
)
from basilwind.scheduling.jobs import TaskState
from basilwind.scheduling.run_events import age_s, worker_evidence

HOLD_WAIT_S = 1.5  # short enough that a lease survives two lost answers
SUSPECT_HOLD_WAIT_S = 0.5  # tasks on probation are cleared by a report
UNCONFIRMED_HOLD_WAIT_S = 0.5  # lost starts of services are revoked after a report
PACED_HOLD_WAIT_S = 0.5  # period over which serving tasks report tail latency
REVOKING_HOLD_WAIT_S = 0.1  # a stop is answered within milliseconds
JOURNAL_WAIT_S = 0.4  # a slow store takes 0.24 s; leases of 4.5 s need hold calls
RECONNECT_DELAY_S = 0.3  # workers restart within seconds


class WorkerLeaseRenewer:
    """Sends hold calls to one pool's workers, one at a time to each worker.

    Args:
        services: ``Services``.
        state: ``PoolState``.
        journal: ``JobJournal``.
        lease_s: Duration of the leases, in seconds.
        schedule_event: ``AutoResetEvent`` that triggers scheduling.
        on_fenced: Called with a worker that has seen a higher fencing token.
        send_stops: Called with a worker and the boot time after each of its reports.

    Attributes:
        extended_at: Boot time at which a hold that extends leases was last sent, or
            None.
    """

    def __init__(
        self, services, state, journal, lease_s, schedule_event, on_fenced, send_stops
    ):
        self._services = services
        self._worker_control = services.worker_control
        self._clock = services.clock
        self._report = partial(services.report, pool=state.name)
        self._state = state
        self._journal = journal
        self._lease_s = lease_s
        self._schedule_event = schedule_event
        self._on_fenced = on_fenced
        self._send_stops = send_stops
        self.extended_at = None
        # ``anyio.CancelScope`` of the hold call under way, by the worker's id.
        self._holds = {}

    def hold_anew(self, worker):
        """Has a worker report itself at once, as another incarnation has answered.

        Until then it gets neither leases nor tasks.
        """
        self._mark_unreachable(worker, self._clock(), "restarted")
        hold = self._holds.get(worker.worker_id)
        if hold is not None:
            hold.cancel()

    async def run(self, worker):
        """Sends hold calls to a worker until it has left the pool.

        Connections for its starts are prepared meanwhile.
        """
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._worker_control.prepare_starts, worker.worker_id)
                while self._state.workers.get(worker.worker_id) is worker:
                    await self._renew(worker)
                tasks.cancel_scope.cancel()
        finally:
            self._holds.pop(worker.worker_id, None)
            await self._worker_control.forget(worker.worker_id)

    async def _renew(self, worker):
        """Sends a hold call, and pauses if it fails."""
        sent_at = self._clock()
        try:
            await self._renew_once(worker, sent_at)
        except WorkerReplaced:
            self._mark_unreachable(worker, sent_at, "replaced")
            self._state.mark_replaced(worker, self._clock())
            await anyio.sleep(RECONNECT_DELAY_S)
        except CallRefused:
            # A worker may stop listening before its runs have ended.
            self._mark_unreachable(worker, sent_at, "refused")
            await anyio.sleep(RECONNECT_DELAY_S)
        except (CallTimedOut, WorkerCallFailed):
            self._mark_unreachable(worker, sent_at, "silent")
            await anyio.sleep(RECONNECT_DELAY_S / 10)
        except CallUnanswered:
            self._mark_unreachable(worker, sent_at, "broken")
            await anyio.sleep(RECONNECT_DELAY_S / 10)
        except ProducerFenced:
            self._on_fenced(worker)
            await anyio.sleep(RECONNECT_DELAY_S)

    def _mark_unreachable(self, worker, sent_at, cause):
        if worker.unanswered_since is None:
            self._report(
                "worker lost",
                worker=worker.worker_id,
                cause=cause,
                **worker_evidence(worker, self._clock()),
            )
        worker.mark_unanswered(sent_at, cause == "broken", self._clock())

    async def _renew_once(self, worker, sent_at):
        lease_end_s = None
        if self._services.may_extend_leases(sent_at):
            lease_end_s = worker.extend_lease(self._lease_s, sent_at)
        if lease_end_s is not None:
            self.extended_at = sent_at
        with anyio.CancelScope() as hold:
            self._holds[worker.worker_id] = hold
            report = await self._worker_control.hold(
                worker.entry.address,
                worker.worker_id,
                self._state.token,
                worker.acknowledged_sequence,
                lease_end_s,
                self._hold_wait_s(worker, lease_end_s is not None),
                worker.incarnation_started_ms,
            )
        if hold.cancel_called:
            return
        if self._state.workers.get(worker.worker_id) is not worker:
            # The worker left during the call; if it returned, it has a new
            # ``WorkerView``.
            return
        now = self._clock()
        silent_s = age_s(worker.unanswered_since, now)
        last_applied_sequence = self._state.apply_report(worker, report, sent_at, now)
        self._send_stops(worker, now)
        if silent_s is not None:
            self._report(
                "worker regained",
                worker=worker.worker_id,
                silent_s=silent_s,
                **worker_evidence(worker, now),
            )
        self._schedule_event.set()
        if last_applied_sequence > worker.acknowledged_sequence:
            await self._acknowledge_ends(worker, last_applied_sequence)

    async def _acknowledge_ends(self, worker, last_applied_sequence):
        """Acknowledges a worker's ended runs once they are durable.

        While the store is unavailable, hold calls continue without acknowledging ends,
        so that no lease expires.
        """
        if worker.pending_ack is None:
            worker.pending_ack = (last_applied_sequence, self._journal.pending_batch())
        pending = worker.pending_ack
        last_applied_sequence, batch = pending
        with anyio.move_on_after(JOURNAL_WAIT_S):
            await self._journal.wait_for(batch)
        # After a restart the worker numbers its ended runs from the start.
        if worker.pending_ack is pending and self._journal.has_written(batch):
            worker.acknowledged_sequence = last_applied_sequence
            worker.pending_ack = None

    def _hold_wait_s(self, worker, is_extending):
        """Returns how long a hold call may wait.

        Less while starts are revoked, for suspects on probation, for long-running tasks
        whose start got no answer and where filler tasks are paced.
        """
        if not is_extending:
            return REVOKING_HOLD_WAIT_S if worker.revoked_starts else 0.0
        if any(
            task.state is TaskState.UNCONFIRMED and task.spec.is_lasting
            for task in worker.tasks.values()
        ):
            return UNCONFIRMED_HOLD_WAIT_S
        if any(task in task.job.suspects for task in worker.tasks.values()):
            return SUSPECT_HOLD_WAIT_S
        has_fillers = any(task.spec.is_filler for task in worker.tasks.values())
        return PACED_HOLD_WAIT_S if has_fillers else HOLD_WAIT_S
