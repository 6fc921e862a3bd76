"""Group commit to a zone's journal, and its fold."""

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
ENTRY_BYTES = 512
LATER_WAIT_S = 0.05
VISIBLE_TIMEOUT_S = 1.0
RETRY_PAUSE_S = 0.1


@dataclass
class _Pending:
    """An entry on its way to the log."""

    entry: object
    settled: anyio.Event
    is_sent: bool = False
    is_effective: bool = False


class Journal:
    """One zone's journal, as seen and written by one entry host.

    An append is settled only when the fold has read it back, so a lost answer
    of the log and a claim that came in between are both noticed.

    Args:
        client: A ``PlatformClient``.
        zone: The availability zone.
        name: This entry host.
        incarnation: This process.
        clock: Monotonic clock, in seconds.
        wall: Wall clock, in seconds since the epoch.
        pace: ``AppendRateLimiter`` of the appends.
        poll_wait_s: How long a read may wait for a record, in seconds; each
            read confirms the leases.
    """

    def __init__(
        self, client, zone, name, incarnation, clock, wall, pace, poll_wait_s=0.5
    ):
        self._client = client
        self._stream = journal_stream(zone)
        self._name = name
        self._incarnation = incarnation
        self._wall = wall
        self._pace = pace
        self._clock = clock
        self._sequence = 0
        self._queue = deque()
        self._wakeup = anyio.Event()
        self._awaited = anyio.Event()
        self._in_flight = []
        self._seen_at = {}
        self.appends = 0
        self.state = journal_state.JournalState()
        self.follower = LogFollower(client, self._stream, self, clock, poll_wait_s)

    @property
    def next_offset(self):
        """Offset of the next record to apply."""
        return self.state.next_offset

    def last_seen(self, writer, incarnation):
        """Returns when a writer's latest batch was read, or minus infinity."""
        return self._seen_at.get((writer, incarnation), -math.inf)

    @property
    def pending(self):
        """How many entries wait for the log."""
        return len(self._queue) + len(self._in_flight)

    def apply(self, offset, data):
        """Applies one record of the stream and settles this host's entries."""
        applied = journal_state.apply_bytes(self.state, offset, data)
        if applied is None:
            return
        batch = applied.batch
        self._seen_at[batch.writer, batch.incarnation] = self._clock()
        if self._is_own(applied.batch):
            self._settle(applied)

    def skip_to(self, offset):
        """Notes that records before an offset have been dropped."""
        self.state.skip_to(offset, self._wall())

    async def append(self, entry, timeout_s):
        """Makes an entry durable.

        Args:
            entry: The entry.
            timeout_s: Longest wait, in seconds.

        Raises:
            EntryFenced: The entry was void.
            JournalUnavailable: The log did not take it in time. When its
                ``is_certain`` is false the entry may take effect later.
        """
        pending = self._enqueue(entry)
        with anyio.move_on_after(timeout_s):
            await pending.settled.wait()
        if not pending.settled.is_set():
            self._give_up(pending)
        if not pending.is_effective:
            raise EntryFenced(f"{type(entry).__name__} entry was void")

    async def append_or_copy(self, entry, timeout_s, copies):
        """Makes an entry durable on the log or, while that is out, on peers.

        The entry stays queued for the log in either case.

        Args:
            entry: The entry.
            timeout_s: Longest wait for the log, in seconds.
            copies: Object whose ``send(entry)`` copies it to the zone's peers.

        Raises:
            EntryFenced: The entry was void.
            JournalUnavailable: Too many entries wait for the log.
            PeerError: The log did not confirm it and the peers did not either.
        """
        pending = self._enqueue(entry)
        if self.follower.is_available:
            with anyio.move_on_after(timeout_s):
                await pending.settled.wait()
        if not pending.settled.is_set():
            await copies.send(entry)
        elif not pending.is_effective:
            raise EntryFenced(f"{type(entry).__name__} entry was void")

    def append_nowait(self, entry):
        """Queues an entry that nobody waits for; kept while the log is out.

        It waits a little for one that somebody waits for, to share its append.

        Raises:
            JournalUnavailable: Too many entries wait for the log.
        """
        self._enqueue(entry, is_awaited=False)

    async def run(self):
        """Follows the stream and writes batches until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.follower.run)
            tasks.start_soon(self._write)

    def _enqueue(self, entry, is_awaited=True):
        if len(self._queue) >= MAX_PENDING_ENTRIES:
            raise JournalUnavailable("too many entries wait for the log", True)
        pending = _Pending(entry, anyio.Event())
        self._queue.append(pending)
        self._wakeup.set()
        if is_awaited:
            self._awaited.set()
        return pending

    def _give_up(self, pending):
        if pending.is_sent:
            raise JournalUnavailable("the log did not confirm the entry", False)
        self._queue.remove(pending)
        raise JournalUnavailable("the log did not take the entry", True)

    async def _write(self):
        while True:
            await self._wakeup.wait()
            with anyio.move_on_after(LATER_WAIT_S):
                await self._awaited.wait()
            await anyio.sleep(self._pace.delay_s(self._clock()))
            batch = self._take_batch()
            if batch is not None:
                await self._write_until_visible(batch)

    def _take_batch(self):
        self._wakeup, self._awaited = anyio.Event(), anyio.Event()
        size = 0
        while self._queue and len(self._in_flight) < MAX_BATCH_ENTRIES:
            size += _size_of(self._queue[0].entry)
            if self._in_flight and size > MAX_BATCH_BYTES:
                break
            pending = self._queue.popleft()
            pending.is_sent = True
            self._in_flight.append(pending)
        if self._queue:
            self._wakeup.set()
            self._awaited.set()
        if not self._in_flight:
            return None
        self._sequence += 1
        entries = [pending.entry for pending in self._in_flight]
        return Batch(
            self._name, self._incarnation, self._sequence, self._wall(), entries
        )

    async def _write_until_visible(self, batch):
        # The log may take effect without answering; only the fold tells.
        data = encode_batch(batch)
        while not self._is_visible(batch):
            try:
                self.appends += 1
                await self._client.append(self._stream, data)
            except PlatformUnavailable:
                await anyio.sleep(RETRY_PAUSE_S)
            with anyio.move_on_after(VISIBLE_TIMEOUT_S):
                await self._wait_visible(batch)

    async def _wait_visible(self, batch):
        while not self._is_visible(batch):
            await self.follower.polled.wait()

    def _is_visible(self, batch):
        known = self.state.sequence_of(self._name, self._incarnation)
        return known >= batch.sequence

    def _is_own(self, batch):
        return batch.writer == self._name and batch.incarnation == self._incarnation

    def _settle(self, applied):
        in_flight, self._in_flight = self._in_flight, []
        for pending, is_effective in zip(in_flight, applied.effective, strict=True):
            pending.is_effective = is_effective
            pending.settled.set()


def _size_of(entry):
    return (
        ENTRY_BYTES
        + len(getattr(entry, "spec", b""))
        + len(getattr(entry, "body", b""))
    )
