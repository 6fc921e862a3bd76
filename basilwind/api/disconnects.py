"""Notices callers that hang up while their requests run."""

from dataclasses import dataclass, field

import anyio

SWEEP_S = 0.25


@dataclass(eq=False)
class OpenRequest:
    """A request whose caller waits.

    Attributes:
        receive: The server's receive function.
        opened_at: When it was opened, on the monotonic clock in seconds.
        scope: Cancelled when the caller hangs up.
        is_watched: Whether a task waits for the caller to hang up.
    """

    receive: object
    opened_at: float
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    is_watched: bool = False


class DisconnectWatcher:
    """Open requests; only those that last are given a watching task.

    Args:
        clock: Monotonic clock, in seconds.
    """

    def __init__(self, clock):
        self._clock = clock
        self._open = set()

    async def run(self):
        """Watches until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(SWEEP_S)
                now = self._clock()
                for request in self._open:
                    if not request.is_watched and now - request.opened_at > SWEEP_S:
                        request.is_watched = True
                        tasks.start_soon(self._watch, request)

    async def call(self, receive, function, *args):
        """Calls a function, cancelled if the caller hangs up.

        Returns:
            What the function returns, or None if the caller hung up.
        """
        request = OpenRequest(receive, self._clock())
        self._open.add(request)
        try:
            with request.scope:
                return await function(*args)
        finally:
            self._open.discard(request)
        return None

    async def _watch(self, request):
        while request in self._open:
            with anyio.move_on_after(SWEEP_S * 8):
                message = await request.receive()
                if message["type"] == "http.disconnect":
                    request.scope.cancel()
                    return
