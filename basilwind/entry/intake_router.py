"""Stores submissions and cancellations through this daemon or through a peer.

Load pattern: the platform's store turns some daemons away and serves the others, while
a burst goes on. The balancer keeps sending callers to these daemons as long as fewer
than half of their zone are ready. A daemon without the store therefore has a peer that
reaches it store the record. The key makes this idempotent: whoever stores a job, and
however often, it stays one job.
"""

from itertools import islice

import anyio

from basilwind.errors import NotStarted, OutcomeUnknown
from basilwind.logs import log

MIN_PATIENCE_S = 0.02  # an append takes 10 ms
REFUSAL_MARGIN_S = 0.05  # before the caller's deadline; until then a refusal is of use
MAX_RELAYS = 2  # a third peer would answer too late for most callers
SETTLE_AFTER_S = 1.2  # an append is sent or withdrawn within 1 s


class IntakeRouter:
    """Stores records of callers in a pool's intake topic.

    Args:
        get_intake: Returns the ``Intake`` of a pool.
        store_monitor: ``StoreMonitor``.
        get_relays: Returns the ``Claim`` of each peer that reaches the store.
        relay: Coroutine function that has a peer store a record. Takes its claim, the
            pool, the queue, the key and the value; raises as ``store``.
    """

    def __init__(self, get_intake, store_monitor, get_relays, relay):
        self._get_intake = get_intake
        self._store_monitor = store_monitor
        self._get_relays = get_relays
        self._relay = relay

    async def store(self, pool, queue, key, value, patience_s):
        """Stores a record; waits for as long as its outcome is open.

        Args:
            pool: Name of the pool.
            queue: ``Queue`` that the record belongs to.
            key: Key of the record.
            value: Value of the record.
            patience_s: How long the caller waits, seconds. A record that was not sent
                until shortly before that is refused, since that is certain then.

        Raises:
            NotStarted: The record was not stored and never will be.
            OutcomeUnknown: The record may be stored.
        """
        if patience_s < MIN_PATIENCE_S:
            raise NotStarted("the caller does not wait long enough")
        started_at = anyio.current_time()
        if self._store_monitor.is_suspected and await self._store_at_peer(
            pool, queue, key, value
        ):
            return
        patience_s -= anyio.current_time() - started_at
        attempt = _LocalAttempt(self._get_intake(pool))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(attempt.run, key, value, patience_s - REFUSAL_MARGIN_S)
            with anyio.move_on_after(SETTLE_AFTER_S):
                await attempt.ended.wait()
            if not attempt.ended.is_set() and await self._settle(
                pool, queue, key, value
            ):
                tasks.cancel_scope.cancel()
                return
        if attempt.refusal is not None:
            raise attempt.refusal

    async def _settle(self, pool, queue, key, value):
        """Returns whether a peer stored a record whose append has no answer here.

        Otherwise the outcome stays open until the append is answered.
        """
        try:
            return await self._store_at_peer(pool, queue, key, value)
        except OutcomeUnknown as error:
            log("record unsettled", key=key, error=str(error))
            return False

    async def _store_at_peer(self, pool, queue, key, value):
        """Returns whether a peer stored a record.

        Raises:
            OutcomeUnknown: A peer may have stored it.
        """
        for claim in islice(self._get_relays(), MAX_RELAYS):
            try:
                await self._relay(claim, pool, queue, key, value)
            except NotStarted:
                continue
            return True
        return False


class _LocalAttempt:
    """An attempt to store a record through this daemon's own intake.

    Attributes:
        ended: Set once the record is stored or certainly never will be.
        refusal: ``NotStarted`` if it never will be.
    """

    def __init__(self, intake):
        self._intake = intake
        self.ended = anyio.Event()
        self.refusal = None

    async def run(self, key, value, patience_s):
        """Stores the record."""
        try:
            await self._intake.store(key, value, patience_s)
        except NotStarted as error:
            self.refusal = error
        self.ended.set()
