"""Wakes a loop when there is something to do."""

import anyio


class Signal:
    """An event that is reset by waiting for it."""

    def __init__(self):
        self._event = anyio.Event()

    def set(self):
        """Wakes the waiter, or lets its next wait return at once."""
        self._event.set()

    async def wait(self, timeout_s=None):
        """Waits until the signal is set, or for a time."""
        with anyio.move_on_after(timeout_s):
            await self._event.wait()
        self._event = anyio.Event()
