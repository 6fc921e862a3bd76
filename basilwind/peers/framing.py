"""Length-prefixed messages on a TCP connection."""

import struct

import anyio

from basilwind.errors import PeerUnreachable, ProtocolError
from basilwind.peers import codec

MAX_FRAME_BYTES = 20 * 1024 * 1024
CHUNK_BYTES = 64 * 1024
SEND_TIMEOUT_S = 2.0
_SEND_ERRORS = (
    TimeoutError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)
_LENGTH = struct.Struct("!I")


class FramedStream:
    """Sends and receives peer messages on one connection.

    Args:
        stream: The TCP stream.

    Attributes:
        bytes_sent: Number of bytes sent so far.
        bytes_received: Number of bytes received so far.
    """

    def __init__(self, stream):
        self._stream = stream
        self._buffer = bytearray()
        self._received_since_check = True
        self._send_lock = anyio.Lock()
        self.bytes_sent = 0
        self.bytes_received = 0

    async def send(self, message, call_id=0):
        """Sends a message.

        Args:
            message: The message, as for ``codec.encode``.
            call_id: Number that matches a call with its reply; 0 for other messages.

        Raises:
            PeerUnreachable: The connection failed or stalled. It is closed, since
                only a part of the message may have been sent.
        """
        data = codec.encode(message, call_id)
        try:
            with anyio.fail_after(SEND_TIMEOUT_S):
                async with self._send_lock:
                    await self._stream.send(_LENGTH.pack(len(data)) + data)
        except _SEND_ERRORS as error:
            await self.aclose()
            raise PeerUnreachable("connection to the peer failed") from error
        self.bytes_sent += len(data) + _LENGTH.size

    async def receive(self):
        """Receives a message, a ``DecodedMessage``.

        Raises:
            PeerUnreachable: The connection failed or was closed.
            ProtocolError: The peer sent an invalid message.
        """
        while True:
            data = self._next_frame()
            if data is not None:
                return codec.decode(data)
            try:
                chunk = await self._stream.receive(CHUNK_BYTES)
            except (
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
                OSError,
            ) as error:
                raise PeerUnreachable("connection to the peer was closed") from error
            self.bytes_received += len(chunk)
            self._received_since_check = True
            self._buffer += chunk

    def check_silence(self):
        """Returns whether nothing was received since the last call of this method."""
        is_silent = not self._received_since_check
        self._received_since_check = False
        return is_silent

    def _next_frame(self):
        if len(self._buffer) < _LENGTH.size:
            return None
        (length,) = _LENGTH.unpack_from(self._buffer)
        if length > MAX_FRAME_BYTES:
            raise ProtocolError(f"frame of {length} bytes is too large")
        end = _LENGTH.size + length
        if len(self._buffer) < end:
            return None
        data = bytes(self._buffer[_LENGTH.size : end])
        del self._buffer[:end]
        return data

    async def aclose(self):
        """Closes the connection without waiting for data that is being sent."""
        await anyio.aclose_forcefully(self._stream)
