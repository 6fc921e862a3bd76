"""A link of limited bandwidth between a daemon and the platform's store."""

import time
from dataclasses import dataclass

import anyio

CHUNK_BYTES = 16_384
BITS_PER_BYTE = 8
REQUEST_BYTES = 200


@dataclass(eq=False)
class Connection:
    """A connection that a link forwards.

    Attributes:
        is_silent: Whether it stays open and delivers nothing any more.
        last_request: Beginning of the bytes that the daemon sent last.
        sent_at: Monotonic time of that.
    """

    is_silent: bool = False
    last_request: bytes = b""
    sent_at: float = 0.0


class Link:
    """Forwards connections and delays their bytes as a machine's own link does.

    All connections share the bandwidth of each direction.

    Args:
        port: Port to listen on, at 127.0.0.1.
        target_port: Port to forward to, at 127.0.0.1.
        mbps: Bandwidth, megabits a second.
    """

    def __init__(self, port, target_port, mbps):
        self._port = port
        self._target_port = target_port
        self._bits_per_s = mbps * 1_000_000
        self._connections = []
        # When the bytes that were taken last have been sent, by direction.
        self._free_at = {"up": 0.0, "down": 0.0}

    async def serve(self, task_status=anyio.TASK_STATUS_IGNORED):
        """Forwards until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=self._port
        )
        task_status.started()
        async with listener:
            await listener.serve(self._forward)

    def find(self, words, max_age_s):
        """Returns a ``Connection`` whose last request has just been sent, or None.

        Args:
            words: What the request contains, each as bytes.
            max_age_s: Maximum age of the request, seconds.
        """
        for connection in self._connections:
            age_s = time.monotonic() - connection.sent_at
            if age_s < max_age_s and all(
                word in connection.last_request for word in words
            ):
                return connection
        return None

    async def _forward(self, client):
        connection = Connection()
        self._connections.append(connection)
        try:
            async with (
                client,
                await anyio.connect_tcp("127.0.0.1", self._target_port) as server,
                anyio.create_task_group() as tasks,
            ):

                async def pump(source, target, direction):
                    try:
                        while True:
                            chunk = await source.receive(CHUNK_BYTES)
                            if direction == "up":
                                connection.last_request = chunk[:REQUEST_BYTES]
                                connection.sent_at = time.monotonic()
                            await self._send_time(direction, len(chunk))
                            if not connection.is_silent:
                                await target.send(chunk)
                    except (
                        anyio.EndOfStream,
                        anyio.BrokenResourceError,
                        anyio.ClosedResourceError,
                    ):
                        tasks.cancel_scope.cancel()

                tasks.start_soon(pump, client, server, "up")
                tasks.start_soon(pump, server, client, "down")
        except OSError:
            # The connection ends, as with a peer that is gone.
            return
        finally:
            self._connections.remove(connection)

    async def _send_time(self, direction, size):
        """Waits for as long as the link takes to send so many bytes."""
        now = anyio.current_time()
        begun_at = max(now, self._free_at[direction])
        duration_s = size * BITS_PER_BYTE / self._bits_per_s
        self._free_at[direction] = begun_at + duration_s
        await anyio.sleep(self._free_at[direction] - now)
