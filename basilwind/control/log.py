"""The control state as kept up to date by one daemon."""

from collections import OrderedDict

from basilwind.control import fold
from basilwind.control.records import CONTROL_STREAM
from basilwind.control.state import ControlState
from basilwind.platform.follower import LogFollower

KEPT_RECORDS = 1000
POLL_WAIT_S = 2.0


class ControlLog:
    """Folds the control stream, from the log or from peers.

    Args:
        client: ``PlatformClient``.
        clock: Monotonic clock, in seconds.
        on_change: Called after each applied record with its ``AuditEntry``.
    """

    def __init__(self, client, clock, on_change):
        self._on_change = on_change
        self._kept = OrderedDict()
        self._is_from_peer = False
        self.state = ControlState()
        self.follower = LogFollower(client, CONTROL_STREAM, self, clock, POLL_WAIT_S)

    @property
    def next_offset(self):
        """Offset of the next record to apply."""
        return self.state.next_offset

    @property
    def is_current(self):
        """Whether the state has been read to the log's end once.

        While the log is out, the state of a peer counts instead.
        """
        return self.follower.is_caught_up or self._is_from_peer

    def apply_from_peer(self, records):
        """Applies records that a peer passed on.

        Args:
            records: ``ControlRecord`` messages, in order.
        """
        for record in records:
            self.apply(record.offset, record.data)

    def mark_current(self):
        """Notes that no live peer is ahead while the log is out."""
        self._is_from_peer = True

    def apply(self, offset, data):
        """Applies one record; a record already applied is ignored."""
        if offset != self.state.next_offset:
            return
        entry = fold.apply_bytes(self.state, offset, data)
        self._kept[offset] = data
        if len(self._kept) > KEPT_RECORDS:
            self._kept.popitem(last=False)
        self._on_change(entry)

    def skip_to(self, offset):
        """Notes that records before an offset have been dropped."""
        self.state.next_offset = offset

    def kept_records(self, from_offset, limit):
        """Returns up to ``limit`` kept records as (offset, data) pairs."""
        found = []
        while from_offset in self._kept and len(found) < limit:
            found.append((from_offset, self._kept[from_offset]))
            from_offset += 1
        return found

    async def run(self):
        """Follows the stream until cancelled."""
        await self.follower.run()
