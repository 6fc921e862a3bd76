"""TCP relay that simulates lost and stalled connections."""

import anyio


class Relay:
    """Forwards connections to a target port.

    Args:
        port: Port on loopback to listen on.
        target: Port on loopback to forward to.
    """

    def __init__(self, port, target):
        self.port = port
        self._target = target
        self._is_cut = False
        self._unfrozen = anyio.Event()
        self._unfrozen.set()
        self._streams = set()

    async def run(self):
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=self.port
        )
        await listener.serve(self._serve)

    async def cut(self):
        """Closes all connections, and closes new ones at once."""
        self._is_cut = True
        for stream in list(self._streams):
            await anyio.aclose_forcefully(stream)

    def freeze(self):
        """Keeps connections open, but forwards nothing on them any more.

        The same applies to new connections until ``heal`` is called.
        """
        self._unfrozen = anyio.Event()

    def heal(self):
        """Forwards new connections again; frozen ones stay silent."""
        self._is_cut = False
        if not self._unfrozen.is_set():
            self._unfrozen = anyio.Event()
            self._unfrozen.set()

    async def _serve(self, client):
        if self._is_cut:
            await anyio.aclose_forcefully(client)
            return
        unfrozen = self._unfrozen
        try:
            server = await anyio.connect_tcp("127.0.0.1", self._target)
        except OSError:
            await anyio.aclose_forcefully(client)
            return
        self._streams |= {client, server}
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._forward, client, server, unfrozen, tasks)
            tasks.start_soon(self._forward, server, client, unfrozen, tasks)
        self._streams -= {client, server}

    async def _forward(self, source, sink, unfrozen, tasks):
        try:
            async for chunk in source:
                if unfrozen is not self._unfrozen or not unfrozen.is_set():
                    # A frozen connection stays silent even after new ones work again.
                    await anyio.sleep_forever()
                await sink.send(chunk)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        tasks.cancel_scope.cancel()
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(source)
            await anyio.aclose_forcefully(sink)
