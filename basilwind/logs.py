"""Logging as JSON lines with eliot, limited in volume and without blocking."""

import os
import time
from collections import Counter

import eliot
import msgspec

MAX_LINES_PER_S = 300  # ten times a busy owner's decision rate; a line costs 50 us
MAX_BUFFER_BYTES = 262144  # a few seconds of lines while the pipe is not read
# Lines that are not routine (failures and changes of what a daemon assumes, such as
# a lost worker) may use twice the budget.
NON_ROUTINE_FACTOR = 2
# Lines about runs have a budget of their own, so that no others displace them: they
# tell why a task ran twice.
MAX_RUN_LINES_PER_S = 600
MAX_BUFFER_BYTES_FOR_RUNS = 2 * MAX_BUFFER_BYTES
_ROUTINE_EVENTS = frozenset(
    ("job submitted", "step placed", "place wait", "capacity planned", "task paced")
)


class LineWriter:
    """An eliot destination that drops lines instead of waiting for the reader.

    At most once a second, a line tells how many lines were dropped, and of which kinds.

    Args:
        descriptor: File descriptor to write to; it is made non-blocking.
        clock: Monotonic clock, in seconds.

    Attributes:
        dropped_total: How many lines have been dropped since the start.
    """

    def __init__(self, descriptor, clock=time.monotonic):
        self._descriptor = descriptor
        self._clock = clock
        self._buffer = bytearray()
        self._second = 0
        self._lines = 0
        self._run_lines = 0
        self._dropped = Counter()
        self.dropped_total = 0
        os.set_blocking(descriptor, False)

    def __call__(self, message):
        """Writes a message, or drops and counts it."""
        second = int(self._clock())
        if second != self._second:
            self._start_second(second)
        if not self._is_within_budget(message):
            self._dropped[message.get("message_type", "")] += 1
            self.dropped_total += 1
            return
        self._append_line(message)
        self.flush()

    def _is_within_budget(self, message):
        """Counts a message and returns whether it may be written."""
        is_routine = message.get("message_type") in _ROUTINE_EVENTS
        if not is_routine and ("run" in message or "runs" in message):
            self._run_lines += 1
            return (
                self._run_lines <= MAX_RUN_LINES_PER_S
                and len(self._buffer) <= MAX_BUFFER_BYTES_FOR_RUNS
            )
        self._lines += 1
        limit = MAX_LINES_PER_S if is_routine else MAX_LINES_PER_S * NON_ROUTINE_FACTOR
        return self._lines <= limit and len(self._buffer) <= MAX_BUFFER_BYTES

    def flush(self):
        """Writes as much of the buffer as the descriptor takes without blocking."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe, and there is nowhere else to log that.
                self._buffer.clear()
                return
            del self._buffer[:written]

    def _start_second(self, second):
        self._second, self._lines, self._run_lines = second, 0, 0
        if self._dropped:
            dropped, self._dropped = self._dropped, Counter()
            self._append_line(
                {
                    "message_type": "log lines left out",
                    "lines": dropped.total(),
                    "kinds": dropped,
                }
            )

    def _append_line(self, message):
        self._buffer += msgspec.json.encode(message, enc_hook=str) + b"\n"


def log_to(stream):
    """Sends log messages to a stream, one JSON object per line."""
    eliot.to_file(stream)


def log_to_descriptor(descriptor):
    """Sends log messages to a file descriptor without blocking on it.

    Returns:
        The ``LineWriter``.
    """
    writer = LineWriter(descriptor)
    eliot.add_destinations(writer)
    return writer


def log(event, **fields):
    """Logs an event.

    Args:
        event: What happened; written as ``message_type``.
        **fields: Further fields of the log line.
    """
    eliot.log_message(message_type=event, **fields)
