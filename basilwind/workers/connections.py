"""Kept connections to one worker, bounded in number."""

import anyio
import httpcore


class WorkerConnections:
    """Hands out connections of httpcore to one worker.

    The connection used last is handed out first, so that the others go idle
    and are closed. One whose exchange did not end cleanly is never kept.

    Args:
        origin: ``httpcore.Origin`` of the worker.
        limit: Most connections at once.
        keepalive_s: How long an idle connection is kept, in seconds.
        socket_options: Options of each socket.
    """

    def __init__(self, origin, limit, keepalive_s, socket_options):
        self._origin = origin
        self._keepalive_s = keepalive_s
        self._socket_options = socket_options
        self._limiter = anyio.Semaphore(limit)
        self._idle = []

    async def take(self, is_fresh=False):
        """Takes a connection, waiting while all are in use.

        Args:
            is_fresh: Whether a new connection is wanted.
        """
        await self._limiter.acquire()
        while self._idle and not is_fresh:
            connection = self._idle.pop()
            if not connection.has_expired():
                return connection
            await _close(connection)
        return httpcore.AsyncHTTPConnection(
            self._origin,
            keepalive_expiry=self._keepalive_s,
            socket_options=self._socket_options,
        )

    async def give_back(self, connection):
        """Keeps a connection if its exchange ended cleanly; else closes it."""
        self._limiter.release()
        if connection.is_idle():
            self._idle.append(connection)
        else:
            await _close(connection)

    async def drop_idle(self):
        """Closes all idle connections."""
        idle, self._idle = self._idle, []
        for connection in idle:
            await _close(connection)

    async def drop_expired(self):
        """Closes idle connections whose time is over."""
        for connection in [c for c in self._idle if c.has_expired()]:
            self._idle.remove(connection)
            await _close(connection)


async def _close(connection):
    with anyio.CancelScope(shield=True):
        await connection.aclose()
