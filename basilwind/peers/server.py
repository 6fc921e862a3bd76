"""Server side of the connections that other entry hosts open to this one."""

import anyio

from basilwind.errors import PeerError, PeerUnreachable, RecordInvalid
from basilwind.membership.members import CROSS_ZONE_MEMBER_TIMEOUT_S, Heartbeat
from basilwind.peers.framing import FramedStream
from basilwind.peers.messages import (
    Answer,
    ControlQuery,
    CopyAck,
    Handoff,
    HeartbeatAck,
    JobQuery,
    JournalCopy,
    Recall,
)


class PeerServer:
    """Serves each connection in a task of its own.

    A request that was handed off keeps running when its connection ends.

    Args:
        service: ``PeerService`` that handles the messages.
        tasks: Task group for requests, which outlive their connections.

    Attributes:
        rejected: Number of connections that did not begin with a valid heartbeat.
    """

    def __init__(self, service, tasks):
        self._service = service
        self._tasks = tasks
        self._streams_by_peer = {}
        self._open_streams = set()
        self._bytes_sent = 0
        self._bytes_received = 0
        self.rejected = 0

    @property
    def bytes_sent(self):
        """Number of bytes sent on connections that peers opened."""
        open_bytes = sum(stream.bytes_sent for stream in self._streams_by_peer.values())
        return self._bytes_sent + open_bytes

    @property
    def bytes_received(self):
        """Number of bytes received on connections that peers opened."""
        open_bytes = sum(
            stream.bytes_received for stream in self._streams_by_peer.values()
        )
        return self._bytes_received + open_bytes

    async def serve(self, listener):
        """Accepts connections on a listener until cancelled."""
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(self._close_silent)
            await listener.serve(self._serve_connection)

    async def _close_silent(self):
        while True:
            await anyio.sleep(CROSS_ZONE_MEMBER_TIMEOUT_S)
            for stream in list(self._open_streams):
                if stream.check_silence():
                    await stream.aclose()

    async def _serve_connection(self, tcp_stream):
        stream = FramedStream(tcp_stream)
        self._open_streams.add(stream)
        name = ""
        try:
            name = await self._receive_first_heartbeat(stream)
            async with anyio.create_task_group() as tasks:
                await self._receive(stream, name, tasks)
        except* (PeerError, OSError):
            self.rejected += not name
        finally:
            self._open_streams.discard(stream)
            if self._streams_by_peer.get(name) is stream:
                del self._streams_by_peer[name]
            self._bytes_sent += stream.bytes_sent
            self._bytes_received += stream.bytes_received
            with anyio.CancelScope(shield=True):
                await stream.aclose()

    async def _receive_first_heartbeat(self, stream):
        decoded = await stream.receive()
        heartbeat = decoded.message
        if not isinstance(heartbeat, Heartbeat) or not heartbeat.name:
            raise PeerUnreachable("the connection did not begin with a heartbeat")
        self._streams_by_peer[heartbeat.name] = stream
        await self._answer_heartbeat(stream, heartbeat)
        return heartbeat.name

    async def _receive(self, stream, name, tasks):
        while True:
            decoded = await stream.receive()
            message = decoded.message
            if isinstance(message, Heartbeat):
                await self._answer_heartbeat(stream, message)
            elif isinstance(message, Handoff):
                self._start_handoff(name, message)
            else:
                tasks.start_soon(self._reply, stream, decoded)

    async def _answer_heartbeat(self, stream, heartbeat):
        self._service.handle_heartbeat(heartbeat)
        await stream.send(HeartbeatAck())

    def _start_handoff(self, name, handoff):
        # The execution is registered before the next message, which may be its recall.
        execution = self._service.open_execution(handoff)
        if execution is not None:
            self._tasks.start_soon(self._run_handoff, name, handoff, execution)

    async def _run_handoff(self, name, handoff, execution):
        outcome = await self._service.run_handoff(handoff, execution)
        if outcome is None:
            return
        # The connection may have been replaced in the meantime. If there is none, the
        # peer gets the outcome when it reconnects and recalls the request.
        stream = self._streams_by_peer.get(name)
        if stream is None:
            return
        try:
            await stream.send(Answer(handoff.handoff_id, outcome))
        except PeerError:
            pass

    async def _reply(self, stream, decoded):
        reply = await self._reply_to(decoded.message)
        if reply is None:
            return
        try:
            await stream.send(reply, decoded.call_id)
        except PeerError:
            pass

    async def _reply_to(self, message):
        if isinstance(message, Recall):
            return self._service.recall(message.handoff_id)
        if isinstance(message, JobQuery):
            return await self._service.answer_job_query(message)
        if isinstance(message, ControlQuery):
            return self._service.control_records(message.from_offset)
        if isinstance(message, JournalCopy):
            return self._store_copy(message)
        return None

    def _store_copy(self, message):
        try:
            self._service.store_copy(message)
        except (RecordInvalid, PeerError):
            return None
        return CopyAck()
