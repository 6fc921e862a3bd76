"""Connections to workers of which it is known to which incarnation they lead.

Load pattern: a worker crashes behind a partition and starts again under its id. Calls
for the incarnation before then arrive at the new one, on new connections: its clock and
the numbers of its ended runs start anew, so an acknowledgement or a lease of before
means something else to it. A connection that exists leads to one process.
"""

from dataclasses import dataclass, field

import anyio
import msgspec

from basilwind.errors import ConnectionGone
from basilwind.platform.transport import JSON_HEADERS

MAX_CONNECTIONS = 8  # for starts, of the 64 that a worker accepts from all daemons
CONFIRMED_S = 0.05  # no process starts again within this time


class WorkerConnection:
    """A connection to one incarnation of a worker.

    Args:
        connection: ``SingleConnection``.

    Attributes:
        incarnation_started_ms: Start of the incarnation that has reported itself on
            the connection, Unix milliseconds; None before a report.
    """

    def __init__(self, connection):
        self._connection = connection
        self._answered_at = None
        self.incarnation_started_ms = None

    async def post(self, address, worker_id, path, order, timeout_s):
        """Sends an order, on the connection that exists once there was a report.

        A worker may close the connection after each of its answers, so another one is
        opened immediately after an answer, but not later.

        Returns:
            Status and body.

        Raises:
            ConnectionGone: The connection was closed, so nothing was sent.
            CallRefused: See ``Transport.call``, also for the further errors.
        """
        request = (
            "POST",
            f"http://{address}{path}",
            timeout_s,
            msgspec.json.encode(order),
            worker_headers(worker_id),
        )
        is_new = self.incarnation_started_ms is None
        try:
            answer = await self._connection.call(*request, may_connect=is_new)
        except ConnectionGone:
            if anyio.current_time() - self._answered_at > CONFIRMED_S:
                raise
            answer = await self._connection.call(*request, may_connect=True)
        self._answered_at = anyio.current_time()
        return answer

    async def close(self):
        """Closes the connection."""
        with anyio.CancelScope(shield=True):
            await self._connection.close()


@dataclass
class _Idle:
    """Idle connections to a worker, and permits for those in use."""

    connections: list = field(default_factory=list)
    permits: anyio.Semaphore = field(
        default_factory=lambda: anyio.Semaphore(MAX_CONNECTIONS)
    )


class WorkerConnections:
    """Keeps the idle connections to workers.

    Args:
        transport: ``Transport`` that creates connections.
    """

    def __init__(self, transport):
        self._transport = transport
        self._idle = {}

    def permits(self, worker_id):
        """Returns the ``anyio.Semaphore`` that limits a worker's connections."""
        return self._idle_of(worker_id).permits

    async def take(self, worker_id, incarnation_started_ms):
        """Returns an idle connection to an incarnation of a worker, or None.

        Args:
            worker_id: Id of the worker.
            incarnation_started_ms: Start of the incarnation, Unix milliseconds.
        """
        idle = self._idle_of(worker_id).connections
        while idle:
            connection = idle.pop()
            if connection.incarnation_started_ms == incarnation_started_ms:
                return connection
            await connection.close()
        return None

    def create(self):
        """Returns a ``WorkerConnection`` to an incarnation that is not known yet."""
        return WorkerConnection(self._transport.create_connection())

    async def put_back(self, worker_id, connection):
        """Keeps a connection for the next call, unless the worker is forgotten."""
        if worker_id in self._idle:
            self._idle[worker_id].connections.append(connection)
        else:
            await connection.close()

    async def drop_idle(self, worker_id):
        """Closes the idle connections to a worker, which may be silent."""
        if worker_id in self._idle:
            idle = self._idle[worker_id]
            connections, idle.connections = idle.connections, []
            for connection in connections:
                await connection.close()

    async def forget(self, worker_id):
        """Closes the idle connections to a worker that has left."""
        idle = self._idle.pop(worker_id, None)
        for connection in idle.connections if idle else ():
            await connection.close()

    async def close(self):
        """Closes all idle connections."""
        for worker_id in list(self._idle):
            await self.forget(worker_id)

    def _idle_of(self, worker_id):
        return self._idle.setdefault(worker_id, _Idle())


def worker_headers(worker_id):
    """Returns the headers of a call that only one worker carries out."""
    return JSON_HEADERS | {"X-Expect-Instance": worker_id}
