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
WAIT_S = 1.5  # of a long poll; a dead connection shows within 2 s
OVERDUE_S = 0.4  # a slow store answers in 0.25 s
LATE_ANSWER_S = 0.1  # an answer that arrived while this process was busy is read first
CONFIRM_TIMEOUT_S = 0.6  # a slow store answers in 0.25 s
CONFIRM_RETRY_S = 0.25  # calls in an outage are not held up one after the other


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
        self._confirming = anyio.Lock()
        # Boot times at which the latest attempt to confirm was sent and failed.
        self._attempted_at = None
        self._unconfirmed_at = None

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

    def resume(self, position, read_sent_at):
        """Continues after a complete read by someone else.

        Args:
            position: Offset of the next record.
            read_sent_at: Boot time before which that read was not sent.
        """
        self._position = position
        self._confirmed_at = read_sent_at

    def limit_wait(self, wait_s):
        """Shortens the wait of a read in the store, in seconds."""
        self._wait_s = min(self._wait_s, wait_s)

    async def confirm(self, since):
        """Makes sure that all records which the topic had at a time are passed on.

        Reads what was added if that is not certain. Such a read uses another connection
        than a long poll under way, and serves all calls that waited for it.

        Args:
            since: Boot time in seconds.

        Returns:
            Whether they are. If not, the store could not be read.
        """
        asked_at = self._clock()
        if self._is_confirmed(since):
            return True
        async with self._confirming:
            if not self._is_confirmed(since) and self._may_attempt(asked_at):
                await self._attempt_to_confirm()
        return self._is_confirmed(since)

    def _is_confirmed(self, since):
        return self._confirmed_at is not None and self._confirmed_at >= since

    def _may_attempt(self, asked_at):
        """Returns whether no attempt was made or has failed since a call."""
        if self._attempted_at is not None and self._attempted_at >= asked_at:
            return False
        failed_at = self._unconfirmed_at
        return failed_at is None or self._clock() - failed_at >= CONFIRM_RETRY_S

    async def _attempt_to_confirm(self):
        self._attempted_at = self._clock()
        try:
            with anyio.fail_after(CONFIRM_TIMEOUT_S):
                await self._read_without_waiting()
        except (PlatformError, TimeoutError) as error:
            log("topic not confirmed", topic=self._topic, error=str(error))
            self._unconfirmed_at = self._clock()

    async def _read_without_waiting(self):
        try:
            await self._read_once()
        except RetentionGap:
            self._position = None
            await self._read_once()

    async def run(self):
        """Follows the topic until cancelled."""
        while True:
            if not self._is_wanted():
                self._position = None
                await anyio.sleep(IDLE_POLL_S)
                continue
            try:
                await self._poll()
            except RetentionGap:
                self._position = None
            except PlatformError as error:
                if self._failed_at is None or self._has_recovered():
                    log("store unreachable", topic=self._topic, error=str(error))
                self._failed_at = self._clock()
                await anyio.sleep(PLATFORM_RETRY_S)
            else:
                await anyio.sleep(self._pause_s)

    async def _poll(self):
        """Waits for new records; a long poll that is overdue is replaced."""
        if self._position is None:
            return await self._read_once()
        error = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._replace_overdue_poll, tasks.cancel_scope)
            try:
                await self._read_once(self._wait_s)
            except PlatformError as failure:
                error = failure
            tasks.cancel_scope.cancel()
        if error is not None:
            raise error

    async def _replace_overdue_poll(self, poll_scope):
        """Cancels a long poll once a read on another connection has been answered.

        While the store answers no call, further ones would only add to its load.
        """
        await anyio.sleep(self._wait_s + OVERDUE_S)
        while True:
            await anyio.sleep(LATE_ANSWER_S)
            if not self._store.is_suspected:
                log("long poll overdue", topic=self._topic, wait_s=self._wait_s)
                # Records may be missing for the same reason as the answer.
                self._failed_at = self._clock()
                if await self.confirm(self._failed_at):
                    poll_scope.cancel()
                    return
            await anyio.sleep(CONFIRM_RETRY_S)

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

    async def _read_once(self, wait_s=0.0):
        """Reads what was added and passes on what no other read has passed on."""
        sent_at = self._clock()
        if self._position is None:
            records, end = await self._store.read_latest(self._topic)
            if self._position is not None:
                return
            # Set before the callback runs, since the callback may read the position.
            self._position = end
            self._deliver(self._reset, records)
        else:
            records = await self._store.read(self._topic, self._position, wait_s)
            if self._position is None:
                return
            added = [record for record in records if record.offset >= self._position]
            if added:
                self._position = added[-1].offset + 1
                self._deliver(self._apply, added)
        if self._failed_at is not None and not self._has_recovered():
            log("store reachable again", topic=self._topic)
        self._read_at = self._clock()
        if not isinstance(records, PartialPage):
            self._confirmed_at = max(self._confirmed_at or sent_at, sent_at)
