"""Logs: JSON lines by eliot, bounded in volume, written without blocking."""

import os
import time

import eliot
import msgspec

LINES_PER_S = 300  # ten times a busy owner's decisions; a line costs 50 us
BUFFER_BYTES = 262144  # a few seconds of lines while nobody reads the pipe
URGENT_SHARE = 2  # lines on failures and beliefs may use twice the budget
_ROUTINE = frozenset(("job submitted", "step placed", "capacity planned", "task paced"))


class LineWriter:
    """An eliot destination that drops lines rather than wait.

    What was left out is counted and said once a second.

    Args:
        descriptor: File descriptor to write to; it is made non-blocking.
        clock: Returns seconds.
    """

    def __init__(self, descriptor, clock=time.monotonic):
        self._descriptor = descriptor
        self._clock = clock
        self._buffer = bytearray()
        self._second = 0
        self._lines = 0
        self._dropped = 0
        self.dropped_total = 0
        os.set_blocking(descriptor, False)

    def __call__(self, message):
        """Writes a message, or counts it as left out."""
        second = int(self._clock())
        if second != self._second:
            self._begin_second(second)
        self._lines += 1
        is_routine = message.get("message_type") in _ROUTINE
        limit = LINES_PER_S if is_routine else LINES_PER_S * URGENT_SHARE
        if self._lines > limit or len(self._buffer) > BUFFER_BYTES:
            self._dropped += 1
            self.dropped_total += 1
            return
        self._put(message)
        self.flush()

    def flush(self):
        """Writes as much as the reader takes now."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # Nobody will read any more; there is no place left to say so.
                self._buffer.clear()
                return
            del self._buffer[:written]

    def _begin_second(self, second):
        self._second, self._lines = second, 0
        if self._dropped:
            dropped, self._dropped = self._dropped, 0
            self._put({"message_type": "log lines left out", "lines": dropped})

    def _put(self, message):
        self._buffer += msgspec.json.encode(message, enc_hook=str) + b"\n"


def log_to(stream):
    """Sends log messages to a stream, one JSON object a line."""
    eliot.to_file(stream)


def log_to_descriptor(descriptor):
    """Sends log messages to a descriptor without ever blocking on it.

    Returns:
        The ``LineWriter``.
    """
    writer = LineWriter(descriptor)
    eliot.add_destinations(writer)
    return writer


def log(event, **fields):
    """Logs an event.

    Args:
        event: What happened, in words.
        **fields: Further values.
    """
    eliot.log_message(message_type=event, **fields)
