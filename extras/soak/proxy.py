"""TCP proxies between processes that cut, reset, silence and delay connections."""

import asyncio
import socket
import struct
from contextlib import suppress

BACKLOG = 128
CHUNK_BYTES = 65536
REQUESTS, ANSWERS = "requests", "answers"
BOTH = (REQUESTS, ANSWERS)
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, 0 s


class _Connection:
    """A forwarded connection.

    Attributes:
        writers: Its two ``StreamWriter`` objects.
        is_silent: Whether everything that arrives on it is lost from now on.
    """

    def __init__(self, *writers):
        self.writers = writers
        self.is_silent = False

    def reset(self):
        """Resets both sides."""
        for writer in self.writers:
            with suppress(OSError, AttributeError):
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
            writer.transport.abort()


class Link:
    """Forwards connections from one process to a port of another one.

    Args:
        host: Address on loopback to listen on.
        port: Port to listen on, and on 127.0.0.1 to forward to.

    Attributes:
        answer_delay_s: Delay of everything that the target sends, in seconds.
    """

    def __init__(self, host, port):
        self._address = (host, port)
        self._port = port
        self._listener = None
        self._is_accepting = False
        self._filler = None
        self._connections = set()
        self._tasks = set()
        self._cuts = []
        self._healed = asyncio.Event()
        self._is_down = False
        self.answer_delay_s = 0.0

    def open(self):
        """Listens; the target need not exist yet."""
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.setblocking(False)
        self._listener.bind(self._address)
        self._listener.listen(BACKLOG)
        self._update_accepting()

    def close(self):
        """Resets all connections and stops listening."""
        self.reset()
        self._stop_accepting()
        self._listener.close()
        for task in self._tasks:
            task.cancel()

    def set_down(self, is_down):
        """Refuses connections while the target does not run."""
        if is_down == self._is_down:
            return
        self._is_down = is_down
        if is_down:
            self.close()
        else:
            self.open()

    def reset(self):
        """Resets all connections."""
        for connection in list(self._connections):
            connection.reset()

    def silence(self):
        """Loses everything that is sent on the connections there are now."""
        for connection in self._connections:
            connection.is_silent = True

    def cut(self, directions=BOTH, is_lossy=False, is_late=False):
        """Cuts the link.

        Args:
            directions: What does not arrive any more, ``REQUESTS`` or ``ANSWERS``.
            is_lossy: Whether bytes on their way are lost with their connections,
                instead of arriving after the cut.
            is_late: Whether calls on new connections arrive after the cut, instead of
                waiting for their connection.

        Returns:
            Function that ends this cut.
        """
        cut = (directions, is_late)
        self._cuts.append(cut)
        if is_lossy:
            self.silence()
        self._update_accepting()

        def heal():
            # Equal cuts are interchangeable.
            self._cuts.remove(cut)
            healed, self._healed = self._healed, asyncio.Event()
            healed.set()
            self._update_accepting()

        return heal

    def _is_cut(self, direction):
        return any(direction in directions for directions, _ in self._cuts)

    def _update_accepting(self):
        if self._is_down:
            return
        hangs = any(not is_late for _, is_late in self._cuts)
        if hangs and self._is_accepting:
            self._stop_accepting()
            # One connection fills a queue of length 0, so that others get no answer.
            self._listener.listen(0)
            self._filler = socket.socket()
            self._filler.setblocking(False)
            self._filler.connect_ex(self._address)
        elif not hangs and not self._is_accepting:
            if self._filler is not None:
                self._filler.close()
                self._filler = None
            self._listener.listen(BACKLOG)
            asyncio.get_running_loop().add_reader(self._listener, self._accept)
            self._is_accepting = True

    def _stop_accepting(self):
        if self._is_accepting:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._is_accepting = False

    def _accept(self):
        try:
            client, _ = self._listener.accept()
        except OSError:
            return
        client.setblocking(False)
        task = asyncio.ensure_future(self._serve(client))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, client):
        reader, writer = await asyncio.open_connection(sock=client)
        connection = _Connection(writer)
        try:
            while self._is_cut(REQUESTS):
                await self._healed.wait()
            target = await asyncio.open_connection("127.0.0.1", self._port)
            connection.writers = (writer, target[1])
            self._connections.add(connection)
            await asyncio.gather(
                self._forward(connection, reader, target[1], REQUESTS),
                self._forward(connection, target[0], writer, ANSWERS),
            )
        except OSError:
            pass
        finally:
            self._connections.discard(connection)
            connection.reset()

    async def _forward(self, connection, reader, writer, direction):
        while True:
            data = await reader.read(CHUNK_BYTES)
            if direction == ANSWERS and self.answer_delay_s:
                await asyncio.sleep(self.answer_delay_s)
            while self._is_cut(direction) and not connection.is_silent:
                await self._healed.wait()
            if not connection.is_silent:
                writer.write(data)
                await writer.drain()
            if data:
                continue
            if not connection.is_silent:
                writer.close()
            return
