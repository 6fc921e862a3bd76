"""An event that wakes a waiting loop."""

import anyio


class AutoResetEvent:
    """An event that resets itself when a wait for it ends."""

    def __init__(self):
        self._event = anyio.Event()

    def set(self):
        """Wakes the waiting task, or makes its next wait return immediately."""
        self._event.set()

    async def wait(self, timeout_s=None):
        """Waits until the event is set or ``timeout_s`` seconds have passed."""
        with anyio.move_on_after(timeout_s):
            await self._event.wait()
        self._event = anyio.Event()
