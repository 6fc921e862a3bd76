"""Bounded pool of connections to one worker."""

import anyio
import httpcore


class WorkerConnections:
    """Pool of ``httpcore`` connections to one worker.

    The most recently used connection is handed out first, so that surplus ones expire.
    A connection whose exchange did not end cleanly is not reused.

    Args:
        origin: ``httpcore.Origin`` of the worker.
        limit: Maximum number of connections in use at once.
        keepalive_s: How long an idle connection is kept, in seconds.
        socket_options: Options for each socket.
    """

    def __init__(self, origin, limit, keepalive_s, socket_options):
        self._origin = origin
        self._keepalive_s = keepalive_s
        self._socket_options = socket_options
        self._limiter = anyio.Semaphore(limit)
        self._idle = []

    async def acquire(self, use_new_connection=False):
        """Takes a connection from the pool; waits while all are in use.

        Args:
            use_new_connection: Whether to open a new connection instead of reusing one.
        """
        await self._limiter.acquire()
        while self._idle and not use_new_connection:
            connection = self._idle.pop()
            if not connection.has_expired():
                return connection
            await _close(connection)
        return httpcore.AsyncHTTPConnection(
            self._origin,
            keepalive_expiry=self._keepalive_s,
            socket_options=self._socket_options,
        )

    async def release(self, connection):
        """Returns a connection to the pool, or closes it if it cannot be reused."""
        self._limiter.release()
        if connection.is_idle():
            self._idle.append(connection)
        else:
            await _close(connection)

    async def close_idle(self):
        """Closes all idle connections."""
        idle, self._idle = self._idle, []
        for connection in idle:
            await _close(connection)

    async def close_expired(self):
        """Closes idle connections that are past their keep-alive time."""
        for connection in [c for c in self._idle if c.has_expired()]:
            self._idle.remove(connection)
            await _close(connection)


async def _close(connection):
    with anyio.CancelScope(shield=True):
        await connection.aclose()
