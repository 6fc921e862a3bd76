"""Runs a program's services, with hooks for start and graceful stop."""

import signal

import anyio


class Application:
    """Starts a program's services and stops them gracefully.

    The life cycle has four steps: the start hooks run in order; the services run
    until a signal arrives or ``stop`` is called; the stop hooks run in reverse order
    while the services still run; the services are cancelled.

    Attributes:
        tasks: Task group of the services, for further tasks; None before ``run``.
    """

    def __init__(self):
        self._start_hooks = []
        self._stop_hooks = []
        self._services = []
        self._stopping = anyio.Event()
        self.tasks = None

    def on_start(self, hook):
        """Adds an async function that runs before the services are started."""
        self._start_hooks.append(hook)

    def on_stop(self, hook):
        """Adds an async function that runs at a graceful stop."""
        self._stop_hooks.append(hook)

    def add_service(self, function, *args):
        """Adds an async function that runs until the application has stopped."""
        self._services.append((function, args))

    def stop(self):
        """Starts a graceful stop; returns without waiting for its end."""
        self._stopping.set()

    async def run(self, handle_signals=True):
        """Runs the application until it has stopped.

        Args:
            handle_signals: Whether SIGTERM and SIGINT start a graceful stop.
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
