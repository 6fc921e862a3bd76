"""Handlers for the messages that peers send to this entry host."""

from basilwind.peers.messages import ControlRecord, ControlReply

MAX_CONTROL_RECORDS = 200


class PeerService:
    """Handles the messages of peers.

    Args:
        dispatcher: ``RequestDispatcher`` that runs requests handed off to this host.
        heartbeat_exchange: ``HeartbeatExchange`` that receives heartbeats.
        copy_store: ``CopyStore`` for copies of peers' journal entries.
        control: ``ControlReplica`` whose records peers may query.
        clock: Monotonic clock, in seconds.
    """

    def __init__(self, dispatcher, heartbeat_exchange, copy_store, control, clock):
        self._dispatcher = dispatcher
        self._heartbeat_exchange = heartbeat_exchange
        self._copy_store = copy_store
        self._control = control
        self._clock = clock

    def handle_heartbeat(self, heartbeat):
        """Records a peer's heartbeat."""
        self._heartbeat_exchange.receive(heartbeat, self._clock())

    def open_execution(self, handoff):
        """Registers the execution of a hand-off; see ``ExecutionRegistry.open``."""
        return self._dispatcher.executions.open(handoff.handoff_id)

    async def run_handoff(self, handoff, execution):
        """Runs a request; returns its ``Outcome``, or None if it was recalled."""
        return await self._dispatcher.run_execution(handoff, execution)

    def recall(self, handoff_id):
        """Recalls a request if it has not started; see ``ExecutionRegistry.recall``."""
        return self._dispatcher.executions.recall(handoff_id, self._clock())

    async def answer_job_query(self, query):
        """Answers or executes a ``JobQuery`` on the shards that this host owns."""
        return await self._dispatcher.answer_job_query(query)

    def control_records(self, from_offset):
        """Returns a ``ControlReply`` with records from an offset on, or a snapshot."""
        kept = self._control.kept_records(from_offset, MAX_CONTROL_RECORDS)
        records = tuple(ControlRecord(offset, data) for offset, data in kept)
        return ControlReply(records, self._control.catch_up_snapshot(from_offset))

    def store_copy(self, copy):
        """Stores a ``JournalCopy``; see ``CopyStore.put``."""
        self._copy_store.put(copy)
