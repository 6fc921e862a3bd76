"""The control state as kept up to date by one daemon."""

from collections import OrderedDict

from basilwind.control import apply
from basilwind.control.records import CONTROL_STREAM, SnapshotRecord, decode_record
from basilwind.control.snapshot import SnapshotAssembler, decode_state, encode_state
from basilwind.control.state import ControlState
from basilwind.errors import RecordInvalid
from basilwind.logs import log
from basilwind.platform.follower import LogFollower

KEPT_RECORDS = 1000
POLL_WAIT_S = 2.0


class ControlReplica:
    """Folds the control stream, from the log or from peers.

    Args:
        client: ``PlatformClient``.
        clock: Monotonic clock, in seconds.
        on_change: Called after each applied record with its ``AuditEntry``.
    """

    def __init__(self, client, clock, on_change):
        self._on_change = on_change
        self._kept = OrderedDict()
        self._digests = OrderedDict()
        self._is_from_peer = False
        self._recovery = None
        self.state = ControlState()
        self.snapshot_offset = 0
        self.follower = LogFollower(client, CONTROL_STREAM, self, clock, POLL_WAIT_S)

    @property
    def next_offset(self):
        """Offset of the next record to read."""
        if self._recovery is not None:
            return self._recovery.next_offset
        return self.state.next_offset

    @property
    def is_current(self):
        """Whether the state has been read to the log's end once.

        While the log is out, the state of a peer counts instead.
        """
        return self.follower.is_caught_up or self._is_from_peer

    def apply_from_peer(self, reply):
        """Applies what a peer passed on.

        Args:
            reply: ``ControlReply``.
        """
        if reply.snapshot:
            self._load(decode_state(reply.snapshot))
        for record in reply.records:
            self._apply_next(record.offset, record.data)

    def mark_current(self):
        """Notes that no live peer is ahead while the log is out."""
        self._is_from_peer = True

    def apply(self, offset, data):
        """Applies one record of the log."""
        if self._recovery is None:
            self._apply_next(offset, data)
            return
        state = self._recovery.add(offset, data)
        if state is not None:
            recovery, self._recovery = self._recovery, None
            self._load(state)
            for kept_offset, kept_data in recovery.records.items():
                self._apply_next(kept_offset, kept_data)

    def skip_to(self, offset):
        """Notes that records before an offset have been dropped.

        The state in force stays until a snapshot takes its place.
        """
        log("control records were dropped; looking for a snapshot", first=offset)
        self._recovery = Recovery(offset)

    def kept_records(self, from_offset, limit):
        """Returns up to ``limit`` kept records as (offset, data) pairs."""
        found = []
        while from_offset in self._kept and len(found) < limit:
            found.append((from_offset, self._kept[from_offset]))
            from_offset += 1
        return found

    def catch_up_snapshot(self, from_offset):
        """Returns a snapshot as text for one who lacks kept records, or ""."""
        is_behind = from_offset < self.state.next_offset
        if is_behind and from_offset not in self._kept and self.state.is_loaded:
            return encode_state(self.state)
        return ""

    async def run(self):
        """Follows the stream until cancelled."""
        await self.follower.run()

    def _load(self, state):
        # State only moves to higher offsets, whoever it comes from.
        if state.next_offset <= self.state.next_offset:
            return
        state.audit = self.state.audit
        self.state = state
        log("control snapshot loaded", offset=state.next_offset, digest=state.digest)
        self._on_change(None)

    def _apply_next(self, offset, data):
        if offset != self.state.next_offset:
            return
        self._digests[offset] = self.state.digest
        entry = apply.apply_bytes(self.state, offset, data)
        self._kept[offset] = data
        if len(self._kept) > KEPT_RECORDS:
            self._kept.popitem(last=False)
            self._digests.popitem(last=False)
        if entry.accepted and entry.action == "snapshot":
            self.snapshot_offset = offset
            self._compare(decode_record(data))
        self._on_change(entry)

    def _compare(self, record):
        digest = self._digests.get(record.offset, record.digest)
        if digest != record.digest:
            log(
                "control snapshot does not match this state",
                author=record.author,
                offset=record.offset,
            )


class Recovery:
    """Looks for a whole snapshot in what the log still holds.

    Args:
        first_offset: Oldest offset that the log still holds.
    """

    def __init__(self, first_offset):
        self._first_offset = first_offset
        self._assembler = SnapshotAssembler()
        self.next_offset = first_offset
        self.records = OrderedDict()

    def add(self, offset, data):
        """Takes in a record.

        Returns:
            A ``ControlState`` that the records since can be applied to, or
            None.
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
