"""An event loop whose time passes only while nothing can be done."""

import asyncio
import selectors

import anyio

START_S = 1000.0


class _Selector(selectors.SelectSelector):
    def __init__(self):
        super().__init__()
        self.now = START_S

    def select(self, timeout=None):
        events = super().select(0)
        if not events:
            if timeout is None:
                raise RuntimeError("nothing will ever happen")
            self.now += timeout
        return events


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop that skips the time until the next timer."""

    def __init__(self):
        self._virtual_selector = _Selector()
        super().__init__(self._virtual_selector)

    def time(self):
        """Returns the virtual time in seconds."""
        return self._virtual_selector.now


def run_in_virtual_time(main, *args):
    """Runs a coroutine function; its sleeps take no real time."""
    return anyio.run(main, *args, backend_options={"loop_factory": VirtualLoop})
