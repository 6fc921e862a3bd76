"""Cancels requests whose callers disconnect."""

from dataclasses import dataclass, field

import anyio

CHECK_INTERVAL_S = 0.25


@dataclass(eq=False)
class OpenRequest:
    """A request that is being served.

    Attributes:
        receive: ASGI receive function.
        opened_at: Start of the request, monotonic clock in seconds.
        scope: Cancelled when the caller disconnects.
        is_watched: Whether a task waits for the caller to disconnect.
    """

    receive: object
    opened_at: float
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    is_watched: bool = False


class DisconnectWatcher:
    """Watches the callers of open requests.

    Only requests that take longer than ``CHECK_INTERVAL_S`` get a watching task.

    Args:
        clock: Monotonic clock, in seconds.
    """

    def __init__(self, clock):
        self._clock = clock
        self._open_requests = set()

    async def run(self):
        """Starts watching tasks until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(CHECK_INTERVAL_S)
                now = self._clock()
                for request in self._open_requests:
                    if (
                        not request.is_watched
                        and now - request.opened_at > CHECK_INTERVAL_S
                    ):
                        request.is_watched = True
                        tasks.start_soon(self._watch, request)

    async def call(self, receive, function, *args):
        """Calls an async function and cancels it if the caller disconnects.

        Returns:
            What the function returns, or None if the caller disconnected.
        """
        request = OpenRequest(receive, self._clock())
        self._open_requests.add(request)
        try:
            with request.scope:
                return await function(*args)
        finally:
            self._open_requests.discard(request)
        return None

    async def _watch(self, request):
        while request in self._open_requests:
            with anyio.move_on_after(CHECK_INTERVAL_S * 8):
                message = await request.receive()
                if message["type"] == "http.disconnect":
                    request.scope.cancel()
                    return
