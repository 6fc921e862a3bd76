"""Length-prefixed frames over a TCP stream."""

import struct

import anyio
from anyio.streams.buffered import BufferedByteReceiveStream

from basilwind.errors import PeerUnreachable, ProtocolError
from basilwind.peers import messages

MAX_FRAME_BYTES = 20 * 1024 * 1024
SEND_TIMEOUT_S = 2.0
_LENGTH = struct.Struct("!I")


class FramedStream:
    """Sends and receives peer messages on one connection.

    Args:
        stream: The TCP stream.
    """

    def __init__(self, stream):
        self._stream = stream
        self._buffered = BufferedByteReceiveStream(stream)
        self._send_lock = anyio.Lock()
        self.bytes_sent = 0
        self.bytes_received = 0

    async def send(self, message, call_id=0):
        """Sends a message whole.

        Raises:
            PeerUnreachable: The connection failed or stalled; a part of the
                message may have been sent, so the connection is closed.
        """
        data = messages.encode(message, call_id)
        try:
            with anyio.fail_after(SEND_TIMEOUT_S):
                async with self._send_lock:
                    await self._stream.send(_LENGTH.pack(len(data)) + data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as error:
            await self.aclose()
            raise PeerUnreachable("connection to the peer failed") from error
        self.bytes_sent += len(data) + _LENGTH.size

    async def receive(self, timeout_s):
        """Receives a message.

        Args:
            timeout_s: Longest silence, in seconds.

        Raises:
            PeerUnreachable: The connection failed, ended or stayed silent.
            ProtocolError: The peer sent something else.
        """
        try:
            with anyio.fail_after(timeout_s):
                header = await self._buffered.receive_exactly(_LENGTH.size)
                (length,) = _LENGTH.unpack(header)
                if length > MAX_FRAME_BYTES:
                    raise ProtocolError(f"frame of {length} bytes is too large")
                data = await self._buffered.receive_exactly(length)
        except TimeoutError as error:
            raise PeerUnreachable("the peer stayed silent") from error
        except (
            anyio.IncompleteRead,
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            OSError,
        ) as error:
            raise PeerUnreachable("connection to the peer ended") from error
        self.bytes_received += length + _LENGTH.size
        return messages.decode(data)

    async def aclose(self):
        """Closes the connection at once."""
        await anyio.aclose_forcefully(self._stream)
