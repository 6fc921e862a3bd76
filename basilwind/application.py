"""An application object with life-cycle hooks."""

import signal

import anyio


class Application:
    """Runs a program's services and stops them in order.

    Start hooks run first, in order; then the services run until a signal or
    ``stop``; then the stop hooks run in reverse order while the services still
    run; then the services are cancelled.
    """

    def __init__(self):
        self._start_hooks = []
        self._stop_hooks = []
        self._services = []
        self._stopping = anyio.Event()
        self.tasks = None

    def on_start(self, hook):
        """Adds an async function that is run before the services."""
        self._start_hooks.append(hook)

    def on_stop(self, hook):
        """Adds an async function that is run at a graceful stop."""
        self._stop_hooks.append(hook)

    def add_service(self, function, *args):
        """Adds an async function that runs as long as the application."""
        self._services.append((function, args))

    def stop(self):
        """Begins a graceful stop."""
        self._stopping.set()

    async def run(self, handle_signals=True):
        """Runs until stopped.

        Args:
            handle_signals: Whether SIGTERM and SIGINT begin a graceful stop.
        """
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            for hook in self._start_hooks:
                await hook()
            for function, args in self._services:
                tasks.start_soon(function, *args)
            if handle_signals:
                tasks.start_soon(self._watch_signals)
            await self._stopping.wait()
            for hook in reversed(self._stop_hooks):
                await hook()
            tasks.cancel_scope.cancel()

    async def _watch_signals(self):
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                self.stop()
