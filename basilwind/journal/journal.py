"""Writes a zone's journal in batches (group commit) and follows its state."""

import math
from collections import deque
from dataclasses import dataclass

import anyio

from basilwind.errors import EntryFenced, JournalUnavailable, PlatformUnavailable
from basilwind.journal import state as journal_state
from basilwind.journal.entries import Batch, encode_batch, journal_stream
from basilwind.platform.follower import LogFollower

MAX_PENDING_ENTRIES = 2048
MAX_BATCH_ENTRIES = 256
MAX_BATCH_BYTES = 128 * 1024
ENTRY_OVERHEAD_BYTES = 512  # estimated size of an entry without spec and body
NOWAIT_ENTRY_DELAY_S = 0.05  # longest wait for an entry to share the append with
READ_BACK_TIMEOUT_S = 1.0
RETRY_PAUSE_S = 0.1


@dataclass
class _Pending:
    """An entry that has not been read back from the log yet.

    Attributes:
        entry: The entry.
        settled: Set once the entry has been read back and applied.
        is_sent: Whether an append with this entry may have reached the log.
        is_effective: Whether the state accepted the entry; valid once settled.
    """

    entry: object
    settled: anyio.Event
    is_sent: bool = False
    is_effective: bool = False


class Journal:
    """Reads and writes the journal of one zone.

    An append counts as done only once the entry has been read back from the log and
    applied to the state. The log's answer is not enough: it may be lost, and it does
    not tell whether another host's claim was appended before the entry.

    Args:
        client: A ``PlatformClient``.
        zone: Name of the availability zone.
        own_name: Name of this entry host.
        incarnation: Id of this process.
        clock: Monotonic clock, in seconds.
        wall_clock: Wall clock, in seconds since the Unix epoch.
        rate_limiter: ``AppendRateLimiter`` for the appends.
        poll_wait_s: How long a read may wait for a record, in seconds. Leases are
            confirmed by each read, so this has to be well below their length.

    Attributes:
        appends: Number of appends sent so far, retries included.
        state: ``JournalState`` of the records read so far.
        follower: ``LogFollower`` that reads the stream.
    """

    def __init__(
        self,
        client,
        zone,
        own_name,
        incarnation,
        clock,
        wall_clock,
        rate_limiter,
        poll_wait_s=0.5,
    ):
        self._client = client
        self._stream = journal_stream(zone)
        self._own_name = own_name
        self._incarnation = incarnation
        self._wall_clock = wall_clock
        self._rate_limiter = rate_limiter
        self._clock = clock
        self._sequence = 0
        self._queue = deque()
        self._wake_event = anyio.Event()
        self._awaited_entry_queued = anyio.Event()
        self._in_flight = []
        self._last_read_at = {}
        self.appends = 0
        self.state = journal_state.JournalState()
        self.follower = LogFollower(client, self._stream, self, clock, poll_wait_s)

    @property
    def next_offset(self):
        """Offset of the next record to apply."""
        return self.state.next_offset

    def last_seen(self, writer, incarnation):
        """Returns when a writer's latest batch was read; minus infinity if never.

        The time is on the monotonic clock, in seconds.
        """
        return self._last_read_at.get((writer, incarnation), -math.inf)

    @property
    def pending(self):
        """How many entries are not yet confirmed by the log."""
        return len(self._queue) + len(self._in_flight)

    def apply(self, offset, data):
        """Applies one record of the stream and settles this process's entries in it."""
        applied = journal_state.apply_bytes(self.state, offset, data)
        if applied is None:
            return
        batch = applied.batch
        self._last_read_at[batch.writer, batch.incarnation] = self._clock()
        if self._is_own(applied.batch):
            self._settle(applied)

    def skip_to(self, offset):
        """Continues at an offset because the log has dropped the records before it."""
        self.state.skip_to(offset, self._wall_clock())

    async def append(self, entry, timeout_s):
        """Appends an entry and waits until the log has confirmed it.

        Args:
            entry: The entry.
            timeout_s: Longest wait, in seconds.

        Raises:
            EntryFenced: The entry is on the log but was rejected.
            JournalUnavailable: The log did not confirm the entry in time. If
                ``is_certain`` is false, the entry may still take effect later.
        """
        pending = self._enqueue(entry)
        with anyio.move_on_after(timeout_s):
            await pending.settled.wait()
        if not pending.settled.is_set():
            self._abandon(pending)
        if not pending.is_effective:
            raise EntryFenced(f"{type(entry).__name__} entry was rejected")

    async def append_or_copy(self, entry, timeout_s, copy_sender):
        """Makes an entry durable on the log or, if that fails, on the zone's peers.

        In both cases the entry stays queued for the log.

        Args:
            entry: The entry.
            timeout_s: Longest wait for the log, in seconds; there is no wait while
                the log is known to be unavailable.
            copy_sender: Object whose ``send(entry)`` copies the entry to the peers.

        Raises:
            EntryFenced: The entry is on the log but was rejected.
            JournalUnavailable: Too many entries are waiting for the log.
            PeerError: Neither the log nor all of the peers confirmed the entry.
        """
        pending = self._enqueue(entry)
        if self.follower.is_available:
            with anyio.move_on_after(timeout_s):
                await pending.settled.wait()
        if not pending.settled.is_set():
            await copy_sender.send(entry)
        elif not pending.is_effective:
            raise EntryFenced(f"{type(entry).__name__} entry was rejected")

    def append_nowait(self, entry):
        """Queues an entry without waiting; it stays queued during a log outage.

        The entry is held back for a short time, so that it can share an append with
        an entry that a caller waits for.

        Raises:
            JournalUnavailable: Too many entries are waiting for the log.
        """
        self._enqueue(entry, is_awaited=False)

    async def run(self):
        """Follows the stream and writes batches, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.follower.run)
            tasks.start_soon(self._write_batches)

    def _enqueue(self, entry, is_awaited=True):
        if len(self._queue) >= MAX_PENDING_ENTRIES:
            raise JournalUnavailable(
                "too many journal entries are waiting for the log", True
            )
        pending = _Pending(entry, anyio.Event())
        self._queue.append(pending)
        self._wake_event.set()
        if is_awaited:
            self._awaited_entry_queued.set()
        return pending

    def _abandon(self, pending):
        if pending.is_sent:
            raise JournalUnavailable(
                "the log did not confirm the journal entry in time", False
            )
        self._queue.remove(pending)
        raise JournalUnavailable(
            "the journal entry was not sent to the log in time", True
        )

    async def _write_batches(self):
        while True:
            await self._wake_event.wait()
            with anyio.move_on_after(NOWAIT_ENTRY_DELAY_S):
                await self._awaited_entry_queued.wait()
            await anyio.sleep(self._rate_limiter.reserve_delay_s(self._clock()))
            batch = self._take_batch()
            if batch is not None:
                await self._append_until_read_back(batch)

    def _take_batch(self):
        self._wake_event, self._awaited_entry_queued = anyio.Event(), anyio.Event()
        size = 0
        while self._queue and len(self._in_flight) < MAX_BATCH_ENTRIES:
            size += _estimated_bytes(self._queue[0].entry)
            if self._in_flight and size > MAX_BATCH_BYTES:
                break
            pending = self._queue.popleft()
            pending.is_sent = True
            self._in_flight.append(pending)
        if self._queue:
            self._wake_event.set()
            self._awaited_entry_queued.set()
        if not self._in_flight:
            return None
        self._sequence += 1
        entries = [pending.entry for pending in self._in_flight]
        return Batch(
            self._own_name,
            self._incarnation,
            self._sequence,
            self._wall_clock(),
            entries,
        )

    async def _append_until_read_back(self, batch):
        # An append may take effect although its answer is lost, so success is judged
        # by reading the batch back.
        data = encode_batch(batch)
        while not self._is_read_back(batch):
            try:
                self.appends += 1
                await self._client.append(self._stream, data)
            except PlatformUnavailable:
                await anyio.sleep(RETRY_PAUSE_S)
            with anyio.move_on_after(READ_BACK_TIMEOUT_S):
                await self._wait_until_read_back(batch)

    async def _wait_until_read_back(self, batch):
        while not self._is_read_back(batch):
            await self.follower.polled.wait()

    def _is_read_back(self, batch):
        known = self.state.sequence_of(self._own_name, self._incarnation)
        return known >= batch.sequence

    def _is_own(self, batch):
        return batch.writer == self._own_name and batch.incarnation == self._incarnation

    def _settle(self, applied):
        in_flight, self._in_flight = self._in_flight, []
        for pending, is_effective in zip(in_flight, applied.effective, strict=True):
            pending.is_effective = is_effective
            pending.settled.set()


def _estimated_bytes(entry):
    return (
        ENTRY_OVERHEAD_BYTES
        + len(getattr(entry, "spec", b""))
        + len(getattr(entry, "body", b""))
    )
