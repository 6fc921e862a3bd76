"""A TCP relay that can be cut or frozen."""

import anyio


class Relay:
    """Forwards connections to a target until told otherwise.

    Args:
        port: Port on loopback to listen on.
        target: Port on loopback to forward to.
    """

    def __init__(self, port, target):
        self.port = port
        self._target = target
        self._is_cut = False
        self._thaw = anyio.Event()
        self._thaw.set()
        self._streams = set()

    async def run(self):
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=self.port
        )
        await listener.serve(self._serve)

    async def cut(self):
        """Closes all connections and refuses new ones."""
        self._is_cut = True
        for stream in list(self._streams):
            await anyio.aclose_forcefully(stream)

    def freeze(self):
        """Keeps open connections, but forwards nothing on them for good."""
        self._thaw = anyio.Event()

    def heal(self):
        """Lets new connections through; frozen ones stay silent."""
        self._is_cut = False
        if not self._thaw.is_set():
            self._thaw = anyio.Event()
            self._thaw.set()

    async def _serve(self, near):
        if self._is_cut:
            await anyio.aclose_forcefully(near)
            return
        thaw = self._thaw
        try:
            far = await anyio.connect_tcp("127.0.0.1", self._target)
        except OSError:
            await anyio.aclose_forcefully(near)
            return
        self._streams |= {near, far}
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._pump, near, far, thaw, tasks)
            tasks.start_soon(self._pump, far, near, thaw, tasks)
        self._streams -= {near, far}

    async def _pump(self, source, sink, thaw, tasks):
        try:
            async for chunk in source:
                if thaw is not self._thaw or not thaw.is_set():
                    # Silent for good, though new connections may work.
                    await anyio.sleep_forever()
                await sink.send(chunk)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        tasks.cancel_scope.cancel()
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(source)
            await anyio.aclose_forcefully(sink)
