"""Serves the connections that other entry hosts open to this one."""

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
    """One task per connection; requests in custody outlive it.

    Args:
        service: ``PeerService`` that does what peers ask for.
        tasks: Task group for work that outlives a connection.
    """

    def __init__(self, service, tasks):
        self._service = service
        self._tasks = tasks
        self._streams = {}
        self._open = set()
        self._bytes_sent = 0
        self._bytes_received = 0
        self.rejected = 0

    @property
    def bytes_sent(self):
        """Bytes sent on connections that peers opened."""
        open_now = sum(stream.bytes_sent for stream in self._streams.values())
        return self._bytes_sent + open_now

    @property
    def bytes_received(self):
        """Bytes received on connections that peers opened."""
        open_now = sum(stream.bytes_received for stream in self._streams.values())
        return self._bytes_received + open_now

    async def serve(self, listener):
        """Serves a listener until cancelled."""
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(self._close_silent)
            await listener.serve(self._serve_connection)

    async def _close_silent(self):
        while True:
            await anyio.sleep(CROSS_ZONE_MEMBER_TIMEOUT_S)
            for stream in list(self._open):
                if stream.has_been_silent():
                    await stream.aclose()

    async def _serve_connection(self, tcp_stream):
        stream = FramedStream(tcp_stream)
        self._open.add(stream)
        name = ""
        try:
            name = await self._greet(stream)
            async with anyio.create_task_group() as tasks:
                await self._receive(stream, name, tasks)
        except* (PeerError, OSError):
            self.rejected += not name
        finally:
            self._open.discard(stream)
            if self._streams.get(name) is stream:
                del self._streams[name]
            self._bytes_sent += stream.bytes_sent
            self._bytes_received += stream.bytes_received
            with anyio.CancelScope(shield=True):
                await stream.aclose()

    async def _greet(self, stream):
        decoded = await stream.receive()
        heartbeat = decoded.message
        if not isinstance(heartbeat, Heartbeat) or not heartbeat.name:
            raise PeerUnreachable("the connection did not begin with a heartbeat")
        self._streams[heartbeat.name] = stream
        await self._answer_heartbeat(stream, heartbeat)
        return heartbeat.name

    async def _receive(self, stream, name, tasks):
        while True:
            decoded = await stream.receive()
            message = decoded.message
            if isinstance(message, Heartbeat):
                await self._answer_heartbeat(stream, message)
            elif isinstance(message, Handoff):
                self._take_handoff(name, message)
            else:
                tasks.start_soon(self._reply, stream, decoded)

    async def _answer_heartbeat(self, stream, heartbeat):
        self._service.note_heartbeat(heartbeat)
        await stream.send(HeartbeatAck())

    def _take_handoff(self, name, handoff):
        # Custody begins with the message, before a recall can be read.
        custody = self._service.open_custody(handoff)
        if custody is not None:
            self._tasks.start_soon(self._run_handoff, name, handoff, custody)

    async def _run_handoff(self, name, handoff, custody):
        outcome = await self._service.run_handoff(handoff, custody)
        if outcome is None:
            return
        # The connection may have been replaced meanwhile; if there is none,
        # the peer's recall will find the outcome.
        stream = self._streams.get(name)
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
            return self._keep_copy(message)
        return None

    def _keep_copy(self, message):
        try:
            self._service.keep_copy(message)
        except (RecordInvalid, PeerError):
            return None
        return CopyAck()
