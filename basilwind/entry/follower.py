"""Follows a keyed topic of the platform's store."""

import anyio

from basilwind.errors import PlatformError, RetentionGap
from basilwind.logs import log

RETRY_S = 0.25  # a store that is away returns after seconds
IDLE_S = 0.05  # a new owner needs the workers at once
WAIT_S = 1.5  # a connection that went silent is noticed within this and 1.5 s


class KeyedFollower:
    """Reads the newest record of each key, then every change.

    Args:
        store: ``StoreClient``.
        topic: Topic to follow.
        apply: Called with a list of ``KeyedRecord``, in order.
        reset: Called with the records of a complete reading, which replace what
            was known.
        clock: Returns boot time.
        pause_s: Pause between reads, which bounds their rate.
        is_wanted: Tells whether anybody needs the topic now.
        wait_s: How long the store may wait for a record.
    """

    def __init__(
        self,
        store,
        topic,
        apply,
        reset,
        clock,
        pause_s=0.0,
        is_wanted=lambda: True,
        wait_s=WAIT_S,
    ):
        self._store = store
        self._topic = topic
        self._apply = apply
        self._reset = reset
        self._clock = clock
        self._pause_s = pause_s
        self._is_wanted = is_wanted
        self._wait_s = wait_s
        self._position = None
        self._read_at = None
        self._failed_at = None

    @property
    def position(self):
        """Offset of the next record, or None before the first reading."""
        return self._position

    @property
    def read_at(self):
        """When the store last answered a read; boot time or None."""
        return self._read_at

    @property
    def failed_at(self):
        """When a read last failed; boot time or None."""
        return self._failed_at

    async def run(self):
        """Follows the topic for ever."""
        while True:
            if not self._is_wanted():
                self._position = None
                await anyio.sleep(IDLE_S)
                continue
            try:
                await self._step()
            except RetentionGap:
                self._position = None
            except PlatformError as error:
                if self._failed_at is None or self._is_well():
                    log("store lost", topic=self._topic, error=str(error))
                self._failed_at = self._clock()
                await anyio.sleep(RETRY_S)

    def _is_well(self):
        return self._read_at is not None and self._read_at > self._failed_at

    async def _step(self):
        if self._position is None:
            records, position = await self._store.read_latest(self._topic)
            # Set first: whoever is told of the records may ask for the position.
            self._position = position
            self._reset(records)
        else:
            records = await self._store.read(self._topic, self._position, self._wait_s)
            if records:
                self._position = records[-1].offset + 1
                self._apply(records)
        if self._failed_at is not None and not self._is_well():
            log("store regained", topic=self._topic)
        self._read_at = self._clock()
        if self._pause_s:
            await anyio.sleep(self._pause_s)
