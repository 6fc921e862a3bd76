"""Follower of a log stream, by long poll."""

import math
import random

import anyio

from basilwind.errors import PlatformUnavailable, RetentionGap

PAGE_LIMIT = 500
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0


class LogFollower:
    """Passes every record of a stream to a reader, in order.

    Args:
        client: ``PlatformClient`` to read through.
        stream: Name of the stream.
        reader: Object with ``next_offset``, ``apply(offset, data)`` and
            ``skip_to(offset)``; the latter skips records that the log no longer
            retains.
        clock: Monotonic clock, in seconds.
        wait_s: How long the platform may wait for a record, in seconds.
    """

    def __init__(self, client, stream, reader, clock, wait_s):
        self._client = client
        self._stream = stream
        self._reader = reader
        self._clock = clock
        self._wait_s = wait_s
        self._confirmed_at = -math.inf
        self._is_caught_up = False
        self._is_available = False
        self._polled = anyio.Event()

    @property
    def confirmed_at(self):
        """Time at which the latest read that reached the head started.

        Every record appended before it has been applied. In seconds on the
        monotonic clock; ``-inf`` before the first such read.
        """
        return self._confirmed_at

    @property
    def is_caught_up(self):
        """Whether a read has reached the head of the stream at least once."""
        return self._is_caught_up

    @property
    def is_available(self):
        """Whether the latest read of the stream succeeded."""
        return self._is_available

    @property
    def polled(self):
        """Event that is set by the next read, whether it succeeds or fails.

        A read of records that the log no longer retains does not set it.
        """
        return self._polled

    async def run(self):
        """Follows the stream until cancelled; retries with exponential backoff."""
        backoff_s = INITIAL_BACKOFF_S
        while True:
            try:
                await self._poll()
                backoff_s = INITIAL_BACKOFF_S
            except RetentionGap as gap:
                self._reader.skip_to(gap.first_offset)
            except PlatformUnavailable:
                self._is_available = False
                self._notify()
                await anyio.sleep(backoff_s * random.uniform(0.5, 1.0))
                backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)

    async def _poll(self):
        started = self._clock()
        wait_s = self._wait_s if self._is_caught_up else 0
        page = await self._client.read(
            self._stream, self._reader.next_offset, PAGE_LIMIT, wait_s
        )
        for record in page.records:
            self._reader.apply(record.offset, record.data.encode())
        self._is_available = True
        if self._reader.next_offset >= page.head:
            self._confirmed_at = started
            self._is_caught_up = True
        self._notify()

    def _notify(self):
        self._polled.set()
        self._polled = anyio.Event()
