"""What this entry host does for its peers."""

from basilwind.peers.messages import ControlRecord, ControlReply

MAX_CONTROL_RECORDS = 200


class PeerService:
    """Acts on the messages of peers.

    Args:
        desk: ``RequestDispatcher`` that runs what is handed to this host.
        membership: ``HeartbeatExchange`` that makes and takes in heartbeats.
        copies: ``CopyStore``.
        control: ``ControlReplica``.
        clock: Monotonic clock, in seconds.
    """

    def __init__(self, desk, membership, copies, control, clock):
        self._desk = desk
        self._membership = membership
        self._copies = copies
        self._control = control
        self._clock = clock

    def note_heartbeat(self, heartbeat):
        """Takes in a peer's heartbeat."""
        self._membership.receive(heartbeat, self._clock())

    def open_custody(self, handoff):
        """Takes custody of a hand-off; see ``ExecutionRegistry.open``."""
        return self._desk.executions.open(handoff.handoff_id)

    async def run_handoff(self, handoff, custody):
        """Runs a hand-off to its outcome; None if it has been recalled."""
        return await self._desk.run_execution(handoff, custody)

    def recall(self, handoff_id):
        """Gives a request back; see ``ExecutionRegistry.recall``."""
        return self._desk.executions.recall(handoff_id, self._clock())

    async def answer_job_query(self, query):
        """Returns the ``JobReply`` to a query on this host's shards."""
        return await self._desk.answer_job_query(query)

    def control_records(self, from_offset):
        """Returns control records from an offset on, or a snapshot."""
        kept = self._control.kept_records(from_offset, MAX_CONTROL_RECORDS)
        records = tuple(ControlRecord(offset, data) for offset, data in kept)
        return ControlReply(records, self._control.catch_up_snapshot(from_offset))

    def keep_copy(self, copy):
        """Keeps a journal copy; see ``CopyStore.put``."""
        self._copies.put(copy)
