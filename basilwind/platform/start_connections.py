"""Connections for starts, confirmed before they are needed.

Load pattern: a burst comes every few seconds, and starts several tasks at once on each
worker. A new connection is asked for the worker's incarnation first, which takes the
start a round trip more. One connection is therefore confirmed when a worker joins, and
the next one when a start takes the last idle one. Connections are priced, so there are
never more than were lately in use at the same time.
"""

from contextlib import contextmanager
from dataclasses import dataclass, field

import anyio

from basilwind.errors import (
    CallRefused,
    CallUnanswered,
    ProducerFenced,
    WorkerCallFailed,
    WorkerReplaced,
)
from basilwind.platform.worker_connections import WorkerConnections

PEAK_PERIOD_S = (
    10.0  # bursts come every few seconds; servers close idle ones after 15 s
)
PREPARATION_WAIT_S = 0.25  # a call over a slow link to a slow worker takes 0.2 s


class RecentPeak:
    """The highest value of the last one to two periods of ``PEAK_PERIOD_S``."""

    def __init__(self):
        self._period = 0
        self._current = 0
        self._previous = 0

    def record(self, value, now):
        """Records a value.

        Args:
            value: The value.
            now: Time in seconds.
        """
        self._advance(now)
        self._current = max(self._current, value)

    def value(self, now):
        """Returns the highest recent value, or 0 if there is none."""
        self._advance(now)
        return max(self._current, self._previous)

    def _advance(self, now):
        period = int(now / PEAK_PERIOD_S)
        if period == self._period:
            return
        is_next = period == self._period + 1
        self._previous = self._current if is_next else 0
        self._current = 0
        self._period = period


@dataclass(eq=False)
class _Preparation:
    """A connection that is being opened and confirmed.

    Attributes:
        address: HOST:PORT of the worker.
        token: Fencing token of the pool's owner.
        is_awaited: Whether a start waits for it.
        ended: Set once the connection is idle, or there is none.
        scope: Cancels the preparation.
    """

    address: str
    token: int
    is_awaited: bool = False
    ended: anyio.Event = field(default_factory=anyio.Event)
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)


@dataclass(eq=False)
class _WorkerUse:
    """How a worker's connections are used.

    Attributes:
        requests: Stream of each ``_Preparation`` to carry out.
        in_use: Number of starts that have or open a connection.
        peak: ``RecentPeak`` of ``in_use``.
        preparation: The ``_Preparation`` that has not ended, or None.
        has_reported: Whether the worker has reported itself.
        incarnation_started_ms: Incarnation that last reported, Unix milliseconds.
    """

    requests: object
    in_use: int = 0
    peak: RecentPeak = field(default_factory=RecentPeak)
    preparation: _Preparation | None = None
    has_reported: bool = False
    incarnation_started_ms: int = 0


class StartConnections(WorkerConnections):
    """Keeps the idle connections for starts, and prepares further ones.

    Args:
        transport: ``Transport`` that creates connections.
    """

    def __init__(self, transport):
        super().__init__(transport)
        # ``_WorkerUse`` of the workers for which ``prepare`` is running.
        self._uses = {}

    async def prepare(self, worker_id, connect):
        """Opens the requested connections, one at a time, until cancelled.

        Args:
            worker_id: Id of the worker.
            connect: Coroutine function that takes an address and a fencing token, and
                returns a ``WorkerConnection`` on which the worker has reported itself.
        """
        send, receive = anyio.create_memory_object_stream(1)
        use = self._uses[worker_id] = _WorkerUse(send)
        self._idle_of(worker_id)
        try:
            with send, receive:
                async for preparation in receive:
                    await self._carry_out(worker_id, use, preparation, connect)
        finally:
            if use.preparation is not None:
                self._end_preparation(use)
            if self._uses.get(worker_id) is use:
                del self._uses[worker_id]

    async def _carry_out(self, worker_id, use, preparation, connect):
        """Puts a prepared connection with the idle ones; a failure is not retried."""
        try:
            with preparation.scope:
                connection = await connect(preparation.address, preparation.token)
                await self.put_back(worker_id, connection)
        except (
            CallRefused,
            CallUnanswered,
            ProducerFenced,
            WorkerCallFailed,
            WorkerReplaced,
        ):
            # The next start opens a connection itself, and learns what is wrong.
            pass
        finally:
            self._end_preparation(use)

    @staticmethod
    def _end_preparation(use):
        use.preparation.ended.set()
        use.preparation = None

    def note_report(self, worker_id, address, token, incarnation_started_ms):
        """Requests the first connection to an incarnation that has reported itself."""
        use = self._uses.get(worker_id)
        if use is None:
            return
        is_known = (
            use.has_reported and use.incarnation_started_ms == incarnation_started_ms
        )
        use.has_reported = True
        use.incarnation_started_ms = incarnation_started_ms
        if not is_known and not use.in_use:
            self._request(worker_id, use, address, token, incarnation_started_ms)

    @contextmanager
    def count_use(self, worker_id):
        """Counts a start that has or opens a connection."""
        use = self._uses.get(worker_id)
        if use is None:
            yield
            return
        use.in_use += 1
        use.peak.record(use.in_use, anyio.current_time())
        try:
            yield
        finally:
            use.in_use -= 1

    async def take_confirmed(self, worker_id, address, token, incarnation_started_ms):
        """Returns a connection to an incarnation, idle or in preparation, or None.

        Requests the next one, see ``request_next``.

        Args:
            worker_id: Id of the worker.
            address: HOST:PORT of the worker.
            token: Fencing token.
            incarnation_started_ms: Start of the incarnation, Unix milliseconds.
        """
        use = self._uses.get(worker_id)
        connection = await self.take(worker_id, incarnation_started_ms)
        if use is None:
            return connection
        preparation = use.preparation
        if connection is None and preparation and not preparation.is_awaited:
            await self._await_preparation(preparation)
            connection = await self.take(worker_id, incarnation_started_ms)
        if connection is not None:
            self.request_next(worker_id, address, token, incarnation_started_ms)
        return connection

    def request_next(self, worker_id, address, token, incarnation_started_ms):
        """Requests a connection if more were lately in use at the same time than now.

        The permits of the starts limit how many are in use.

        Args:
            worker_id: Id of the worker.
            address: HOST:PORT of the worker.
            token: Fencing token.
            incarnation_started_ms: Start of the incarnation, Unix milliseconds.
        """
        use = self._uses.get(worker_id)
        if use is None:
            return
        if use.in_use < use.peak.value(anyio.current_time()):
            self._request(worker_id, use, address, token, incarnation_started_ms)

    @staticmethod
    async def _await_preparation(preparation):
        """Waits for a preparation, and cancels it if it takes too long."""
        preparation.is_awaited = True
        with anyio.move_on_after(PREPARATION_WAIT_S):
            await preparation.ended.wait()
        if not preparation.ended.is_set():
            # The start opens a connection in its place, not beside it.
            preparation.scope.cancel()
            await preparation.ended.wait()

    def _request(self, worker_id, use, address, token, incarnation_started_ms):
        """Requests a connection unless one is idle or in preparation."""
        has_idle = any(
            connection.incarnation_started_ms == incarnation_started_ms
            for connection in self._idle_of(worker_id).connections
        )
        if has_idle or use.preparation is not None:
            return
        use.preparation = _Preparation(address, token)
        use.requests.send_nowait(use.preparation)
