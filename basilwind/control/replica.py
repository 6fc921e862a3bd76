"""A process's copy of the control state, kept up to date."""

from collections import OrderedDict

from basilwind.control import apply
from basilwind.control.records import CONTROL_STREAM, SnapshotRecord, decode_record
from basilwind.control.snapshot import SnapshotAssembler, decode_state, encode_state
from basilwind.control.state import ControlState
from basilwind.errors import RecordInvalid
from basilwind.logs import log
from basilwind.platform.follower import LogFollower

MAX_KEPT_RECORDS = 1000
POLL_WAIT_S = 2.0


class ControlReplica:
    """Builds the control state from the records of the log or of peers.

    Args:
        client: ``PlatformClient``.
        clock: Monotonic clock, in seconds.
        on_change: Called after each applied record with its ``AuditEntry``, and
            with None after the whole state was replaced by a snapshot.

    Attributes:
        state: The ``ControlState``.
        snapshot_offset: Offset of the latest snapshot record that was applied.
        follower: ``LogFollower`` that reads the control stream.
    """

    def __init__(self, client, clock, on_change):
        self._on_change = on_change
        self._kept_records = OrderedDict()
        self._digests_before = OrderedDict()
        self._is_current_with_peers = False
        self._snapshot_search = None
        self.state = ControlState()
        self.snapshot_offset = 0
        self.follower = LogFollower(client, CONTROL_STREAM, self, clock, POLL_WAIT_S)

    @property
    def next_offset(self):
        """Offset of the next record to read from the log."""
        if self._snapshot_search is not None:
            return self._snapshot_search.next_offset
        return self.state.next_offset

    @property
    def is_current(self):
        """Whether the state was up to date with the log's end at least once.

        During a log outage, being up to date with all live peers counts instead.
        """
        return self.follower.is_caught_up or self._is_current_with_peers

    def apply_from_peer(self, reply):
        """Applies the snapshot and the records that a peer has sent.

        Args:
            reply: ``ControlReply``.

        Raises:
            RecordInvalid: The snapshot does not parse.
        """
        if reply.snapshot:
            self._load_state(decode_state(reply.snapshot))
        for record in reply.records:
            self._apply_next(record.offset, record.data)

    def mark_current(self):
        """Marks the state as current: during a log outage, no live peer is ahead."""
        self._is_current_with_peers = True

    def apply(self, offset, data):
        """Applies one record of the log."""
        if self._snapshot_search is None:
            self._apply_next(offset, data)
            return
        state = self._snapshot_search.add(offset, data)
        if state is not None:
            search, self._snapshot_search = self._snapshot_search, None
            self._load_state(state)
            for record_offset, record_data in search.records.items():
                self._apply_next(record_offset, record_data)

    def skip_to(self, offset):
        """Continues at an offset because the log has dropped the records before it.

        The present state stays in use until a snapshot replaces it.
        """
        log(
            "control records were dropped from the log; waiting for a snapshot",
            first=offset,
        )
        self._snapshot_search = SnapshotSearch(offset)

    def kept_records(self, from_offset, limit):
        """Returns up to ``limit`` consecutive kept records as (offset, data) pairs."""
        records_found = []
        while from_offset in self._kept_records and len(records_found) < limit:
            records_found.append((from_offset, self._kept_records[from_offset]))
            from_offset += 1
        return records_found

    def catch_up_snapshot(self, from_offset):
        """Returns a snapshot as text for a peer that needs one to catch up, or "".

        A peer needs one if this state includes the record at ``from_offset``, the
        peer's next one, but the record itself is no longer kept.
        """
        is_behind = from_offset < self.state.next_offset
        if is_behind and from_offset not in self._kept_records and self.state.is_loaded:
            return encode_state(self.state)
        return ""

    async def run(self):
        """Follows the control stream until cancelled."""
        await self.follower.run()

    def _load_state(self, state):
        # A snapshot from the log or from a peer must not take the state back.
        if state.next_offset <= self.state.next_offset:
            return
        state.audit = self.state.audit
        self.state = state
        log("control snapshot loaded", offset=state.next_offset, digest=state.digest)
        self._on_change(None)

    def _apply_next(self, offset, data):
        if offset != self.state.next_offset:
            return
        self._digests_before[offset] = self.state.digest
        entry = apply.apply_bytes(self.state, offset, data)
        self._kept_records[offset] = data
        if len(self._kept_records) > MAX_KEPT_RECORDS:
            self._kept_records.popitem(last=False)
            self._digests_before.popitem(last=False)
        if entry.accepted and entry.action == "snapshot":
            self.snapshot_offset = offset
            self._check_digest(decode_record(data))
        self._on_change(entry)

    def _check_digest(self, record):
        digest = self._digests_before.get(record.offset, record.digest)
        if digest != record.digest:
            log(
                "control snapshot has a different digest than this state",
                author=record.author,
                offset=record.offset,
            )


class SnapshotSearch:
    """Searches the records that the log still holds for a complete snapshot.

    Args:
        first_offset: Oldest offset that the log still holds.

    Attributes:
        next_offset: Offset of the next record to read.
        records: Data of the records read so far, by offset.
    """

    def __init__(self, first_offset):
        self._first_offset = first_offset
        self._assembler = SnapshotAssembler()
        self.next_offset = first_offset
        self.records = OrderedDict()

    def add(self, offset, data):
        """Adds a record.

        Returns:
            ``ControlState`` of a complete snapshot whose following records have all
            been read, or None if there is none yet.
        """
        self.next_offset = offset + 1
        self.records[offset] = data
        try:
            record = decode_record(data)
            if not isinstance(record, SnapshotRecord):
                return None
            if record.offset < self._first_offset:
                return None
            return self._assembler.add(record)
        except RecordInvalid:
            return None
