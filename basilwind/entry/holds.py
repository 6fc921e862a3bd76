"""Holds the leases of a pool's workers and reads what ran there."""

from functools import partial

import anyio

from basilwind.errors import (
    CallRefused,
    CallUnanswered,
    ProducerFenced,
    WorkerCallFailed,
    WorkerReplaced,
)

UNCONFIRMED_S = 3.5  # time without the store after which leases are not extended
HOLD_WAIT_S = 1.5  # a lease survives two lost answers
PACED_HOLD_WAIT_S = 0.5  # the span of the tail that serving tasks report
NOTE_WAIT_S = 0.4  # a slow store takes 0.24 s; holds keep leases of 4.5 s alive
REACH_RETRY_S = 0.3  # workers restart within seconds


class WorkerHolds:
    """Holds of one pool's workers, one call after the other for each.

    Args:
        services: ``Services``.
        state: ``PoolState``.
        journal: ``JobJournal``.
        lease_s: Length of the leases.
        wake: ``Signal`` that work may be placed.
        on_fenced: Called with a worker that has seen a higher token.
    """

    def __init__(self, services, state, journal, lease_s, wake, on_fenced):
        self._calls = services.worker_calls
        self._store_watch = services.store_watch
        self._clock = services.clock
        self._report = partial(services.report, pool=state.name)
        self._state = state
        self._journal = journal
        self._lease_s = lease_s
        self._wake = wake
        self._on_fenced = on_fenced

    def may_extend(self, now):
        """Tells whether no successor can count on this owner's leases' end."""
        return now - self._store_watch.answered_at < UNCONFIRMED_S

    async def run(self, worker):
        """Holds a worker until it has left."""
        while self._state.workers.get(worker.worker_id) is worker:
            sent_at = self._clock()
            try:
                await self._hold_once(worker, sent_at)
            except WorkerReplaced:
                self._report("worker replaced", worker=worker.worker_id)
                self._state.remove_worker(worker)
                self._wake.set()
            except CallRefused:
                self._note_silence(worker, sent_at)
                if worker.entry.is_draining and not worker.is_listed:
                    self._state.remove_worker(worker)
                    self._wake.set()
                await anyio.sleep(REACH_RETRY_S)
            except (CallUnanswered, WorkerCallFailed):
                self._note_silence(worker, sent_at)
                await anyio.sleep(REACH_RETRY_S / 10)
            except ProducerFenced:
                self._on_fenced(worker)
                await anyio.sleep(REACH_RETRY_S)

    def _note_silence(self, worker, sent_at):
        if worker.unanswered_since is None:
            worker.unanswered_since = sent_at
            self._report("worker lost", worker=worker.worker_id)

    async def _hold_once(self, worker, sent_at):
        expires_s = None
        if self.may_extend(sent_at):
            expires_s = worker.extend_lease(self._lease_s, sent_at)
        report = await self._calls.hold(
            worker.entry.address,
            worker.worker_id,
            self._state.token,
            worker.acknowledged_end,
            expires_s,
            self._hold_wait_s(worker) if expires_s is not None else 0.0,
        )
        if self._state.workers.get(worker.worker_id) is not worker:
            # The worker left and was listed anew meanwhile, with another view.
            return
        was_silent = worker.unanswered_since is not None
        last = self._state.apply_report(worker, report, sent_at, self._clock())
        if was_silent:
            self._report("worker regained", worker=worker.worker_id)
        self._wake.set()
        if last > worker.acknowledged_end:
            await self._note_ends(worker, last)

    async def _note_ends(self, worker, last):
        """Notes a worker's ends once they are durable.

        While the store is away holds go on without it, so that no lease lapses.
        """
        if worker.pending_ack is None:
            worker.pending_ack = (last, self._journal.mark())
        pending = worker.pending_ack
        last, mark = pending
        with anyio.move_on_after(NOTE_WAIT_S):
            await self._journal.wait_for(mark)
        # A new incarnation numbers its ends anew.
        if worker.pending_ack is pending and self._journal.has_written(mark):
            worker.acknowledged_end = last
            worker.pending_ack = None

    def _hold_wait_s(self, worker):
        """Returns how long a hold may wait: briefly where fillers are paced."""
        has_fillers = any(task.spec.is_filler for task in worker.tasks.values())
        return PACED_HOLD_WAIT_S if has_fillers else HOLD_WAIT_S
