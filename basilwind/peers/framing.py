"""Length-prefixed frames over a TCP stream."""

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
    """

    def __init__(self, stream):
        self._stream = stream
        self._buffer = bytearray()
        self._has_received = True
        self._send_lock = anyio.Lock()
        self.bytes_sent = 0
        self.bytes_received = 0

    async def send(self, message, call_id=0):
        """Sends a message whole.

        Raises:
            PeerUnreachable: The connection failed or stalled; a part of the
                message may have been sent, so the connection is closed.
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
        """Receives a message.

        Raises:
            PeerUnreachable: The connection failed, ended or was given up.
            ProtocolError: The peer sent something else.
        """
        while True:
            data = self._take_frame()
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
                raise PeerUnreachable("connection to the peer ended") from error
            self.bytes_received += len(chunk)
            self._has_received = True
            self._buffer += chunk

    def has_been_silent(self):
        """Whether nothing was received since this was last asked."""
        is_silent = not self._has_received
        self._has_received = False
        return is_silent

    def _take_frame(self):
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
        """Closes the connection at once."""
        await anyio.aclose_forcefully(self._stream)
