"""Follows a keyed topic of the platform's store.

A keyed topic keeps the newest record of each key.
"""

import traceback

import anyio

from basilwind.errors import PlatformError, RetentionGap
from basilwind.logs import log
from basilwind.platform.store import PartialPage

PLATFORM_RETRY_S = 0.25  # store outages last seconds
IDLE_POLL_S = 0.05  # a new pool owner needs the worker list immediately
MAX_KEY_LENGTH = 100  # of a record in a log line
MAX_TRACEBACK_LENGTH = 2000
WAIT_S = 1.5  # with a read timeout of 1.5 s more, a dead connection shows within 3 s


def _describe(error):
    """Returns the end of an error's traceback."""
    return "".join(traceback.format_exception(error))[-MAX_TRACEBACK_LENGTH:]


class KeyedFollower:
    """Reads the newest record of each key, then every later record.

    Args:
        store: ``StoreClient``.
        topic: Topic to follow.
        apply: Called with a list of ``KeyedRecord``, in order.
        reset: Called with the newest record of every key after a complete read;
            they replace all records passed before.
        clock: Returns boot time.
        pause_s: Pause between reads in seconds, which limits their rate.
        is_wanted: Returns whether the topic is needed now.
        wait_s: How long a read may wait in the store for a record, in seconds.
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
        self._confirmed_at = None
        self._failed_at = None

    @property
    def position(self):
        """Offset of the next record, or None before the first read."""
        return self._position

    @property
    def read_at(self):
        """Boot time of the last successful read, or None."""
        return self._read_at

    @property
    def confirmed_at(self):
        """Boot time at which the latest read up to the topic's end was sent, or None.

        All records that the topic had then have been passed on.
        """
        return self._confirmed_at

    @property
    def failed_at(self):
        """Boot time of the last failed read, or None."""
        return self._failed_at

    def limit_wait(self, wait_s):
        """Shortens the wait of a read in the store, in seconds."""
        self._wait_s = min(self._wait_s, wait_s)

    async def run(self):
        """Follows the topic until cancelled."""
        while True:
            if not self._is_wanted():
                self._position = None
                await anyio.sleep(IDLE_POLL_S)
                continue
            try:
                await self._read_once()
            except RetentionGap:
                self._position = None
            except PlatformError as error:
                if self._failed_at is None or self._has_recovered():
                    log("store unreachable", topic=self._topic, error=str(error))
                self._failed_at = self._clock()
                await anyio.sleep(PLATFORM_RETRY_S)

    def _deliver(self, apply, records):
        """Passes records on; one that the reader fails on is left out.

        Otherwise a follower that is started again would meet the same record for ever.
        """
        try:
            apply(records)
        except Exception as error:
            log("records failed", topic=self._topic, error=_describe(error))
            for record in records:
                self._deliver_one(record)

    def _deliver_one(self, record):
        try:
            self._apply([record])
        except Exception as error:
            log(
                "record left out",
                topic=self._topic,
                key=record.key[:MAX_KEY_LENGTH],
                offset=record.offset,
                error=_describe(error),
            )

    def _has_recovered(self):
        return self._read_at is not None and self._read_at > self._failed_at

    async def _read_once(self):
        sent_at = self._clock()
        is_partial = False
        if self._position is None:
            records, position = await self._store.read_latest(self._topic)
            # Set before the callback runs, since the callback may read the position.
            self._position = position
            self._deliver(self._reset, records)
        else:
            records = await self._store.read(self._topic, self._position, self._wait_s)
            is_partial = isinstance(records, PartialPage)
            if records:
                self._position = records[-1].offset + 1
                self._deliver(self._apply, records)
        if self._failed_at is not None and not self._has_recovered():
            log("store reachable again", topic=self._topic)
        self._read_at = self._clock()
        if not is_partial:
            self._confirmed_at = sent_at
        if self._pause_s:
            await anyio.sleep(self._pause_s)
