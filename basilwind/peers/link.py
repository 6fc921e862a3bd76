"""Client side of the connection to one peer."""

import itertools
from dataclasses import dataclass, field

import anyio

from basilwind.errors import PeerError, PeerUnreachable
from basilwind.membership.members import HEARTBEAT_INTERVAL_S, MISSED_HEARTBEAT_LIMIT
from basilwind.models import Outcome
from basilwind.peers.framing import FramedStream
from basilwind.peers.messages import (
    Answer,
    Handoff,
    Recall,
    RecallReply,
    RecallState,
)

CONNECT_TIMEOUT_S = 1.0
RECONNECT_PAUSE_S = 0.2
CALL_TIMEOUT_S = 1.5


@dataclass
class _PendingHandoff:
    """A request that was handed off to the peer, or is being sent to it."""

    handoff: Handoff
    settled: anyio.Event = field(default_factory=anyio.Event)
    is_not_run: bool = False
    outcome: Outcome | None = None


@dataclass
class _PendingCall:
    """A call that is waiting for its reply."""

    settled: anyio.Event = field(default_factory=anyio.Event)
    reply: object = None


@dataclass(frozen=True, slots=True)
class HandoffResult:
    """Result of handing off a request.

    If there is no outcome and ``is_not_run`` is false, the request may have run.

    Attributes:
        outcome: The final outcome, or None if the peer did not report one.
        is_not_run: Whether the request certainly has not run and will not run at
            the peer.
    """

    outcome: Outcome | None = None
    is_not_run: bool = False


class PeerLink:
    """Keeps a connection to one peer, and sends calls and hand-offs on it.

    This side sends heartbeats, which the peer acknowledges. When nothing is received
    for several heartbeats, the connection is replaced by a new one, and every request
    that was handed off and has no outcome yet is recalled.

    Args:
        peer: ``PeerSettings`` of the peer.
        build_heartbeat: Function that returns the ``Heartbeat`` of this entry host.
        interval_s: Interval of the heartbeats, in seconds.
    """

    def __init__(self, peer, build_heartbeat, interval_s):
        self._peer = peer
        self._build_heartbeat = build_heartbeat
        self._interval_s = interval_s
        self._stream = None
        self._handoffs = {}
        self._calls = {}
        self._call_ids = itertools.count(1)
        self._bytes_sent = 0
        self._bytes_received = 0

    @property
    def bytes_sent(self):
        """Number of bytes sent to the peer so far, on all connections."""
        return self._bytes_sent + (self._stream.bytes_sent if self._stream else 0)

    @property
    def bytes_received(self):
        """Number of bytes received from the peer so far, on all connections."""
        current = self._stream.bytes_received if self._stream else 0
        return self._bytes_received + current

    @property
    def peer(self):
        """``PeerSettings`` of the peer."""
        return self._peer

    @property
    def is_connected(self):
        """Whether there is a connection at present."""
        return self._stream is not None

    async def run(self):
        """Connects to the peer, and reconnects whenever the connection ends."""
        host, _, port = self._peer.address.rpartition(":")
        while True:
            try:
                with anyio.fail_after(CONNECT_TIMEOUT_S):
                    stream = await anyio.connect_tcp(host, int(port))
                await self._use_connection(FramedStream(stream))
            except (OSError, TimeoutError, PeerError):
                pass
            await anyio.sleep(RECONNECT_PAUSE_S)

    async def call(self, message, timeout_s=CALL_TIMEOUT_S):
        """Sends a message and waits for its reply.

        Args:
            message: The message.
            timeout_s: Timeout for the reply, in seconds.

        Returns:
            The message that the peer replied with.

        Raises:
            PeerUnreachable: No reply came.
        """
        call_id = next(self._call_ids)
        pending = _PendingCall()
        self._calls[call_id] = pending
        try:
            await self._send(message, call_id)
            with anyio.move_on_after(timeout_s):
                await pending.settled.wait()
        finally:
            del self._calls[call_id]
        if pending.reply is None:
            raise PeerUnreachable(f"no reply from {self._peer.name}")
        return pending.reply

    async def hand_off(self, handoff, is_live, timeout_s):
        """Hands off a request to the peer and waits for its outcome.

        If the caller is cancelled, the request is recalled.

        Args:
            handoff: The ``Handoff``.
            is_live: Function that returns whether the peer is still a live member.
            timeout_s: Timeout for the outcome, in seconds.

        Returns:
            A ``HandoffResult``. It has neither an outcome nor ``is_not_run`` if the
            peer was lost or the timeout expired.
        """
        if self._stream is None:
            return HandoffResult(is_not_run=True)
        pending = _PendingHandoff(handoff)
        self._handoffs[handoff.handoff_id] = pending
        try:
            with anyio.move_on_after(timeout_s):
                await self._send_handoff(pending)
                await self._wait_settled(pending, is_live)
        except anyio.get_cancelled_exc_class():
            await self._withdraw(handoff.handoff_id)
            raise
        finally:
            del self._handoffs[handoff.handoff_id]
        return HandoffResult(pending.outcome, pending.is_not_run)

    async def recall(self, handoff_id):
        """Asks the peer to return a request that it has not started.

        Args:
            handoff_id: Id of the hand-off.

        Returns:
            The ``RecallReply``, or None if the peer did not answer.
        """
        try:
            return await self.call(Recall(handoff_id))
        except PeerUnreachable:
            return None

    async def _withdraw(self, handoff_id):
        with anyio.CancelScope(shield=True):
            await self.recall(handoff_id)

    async def _send_handoff(self, pending):
        try:
            await self._send(pending.handoff)
        except PeerUnreachable:
            # The peer may have received it; the recall after reconnecting tells.
            pass

    async def _wait_settled(self, pending, is_live):
        while not pending.settled.is_set():
            with anyio.move_on_after(HEARTBEAT_INTERVAL_S):
                await pending.settled.wait()
            if not pending.settled.is_set() and not is_live():
                return

    async def _send(self, message, call_id=0):
        if self._stream is None:
            raise PeerUnreachable(f"no connection to {self._peer.name}")
        await self._stream.send(message, call_id)

    async def _use_connection(self, stream):
        try:
            async with anyio.create_task_group() as tasks:
                # The first heartbeat identifies this host to the peer.
                await stream.send(self._build_heartbeat())
                with anyio.fail_after(self._interval_s * MISSED_HEARTBEAT_LIMIT):
                    await stream.receive()
                self._stream = stream
                tasks.start_soon(self._send_heartbeats, stream)
                tasks.start_soon(self._recall_pending)
                await self._receive(stream)
        except* (PeerError, TimeoutError, OSError):
            pass
        finally:
            self._stream = None
            self._bytes_sent += stream.bytes_sent
            self._bytes_received += stream.bytes_received
            with anyio.CancelScope(shield=True):
                await stream.aclose()

    async def _send_heartbeats(self, stream):
        for count in itertools.count(1):
            await stream.send(self._build_heartbeat())
            await anyio.sleep(self._interval_s)
            if count % MISSED_HEARTBEAT_LIMIT == 0 and stream.check_silence():
                raise PeerUnreachable("the peer sent nothing for several heartbeats")

    async def _receive(self, stream):
        while True:
            decoded = await stream.receive()
            self._dispatch(decoded)

    def _dispatch(self, decoded):
        message = decoded.message
        if isinstance(message, Answer):
            self._settle_handoff(message.handoff_id, message.outcome)
        elif decoded.call_id:
            self._settle_call(decoded)

    def _settle_handoff(self, handoff_id, outcome):
        pending = self._handoffs.get(handoff_id)
        if pending is None:
            return
        pending.outcome = outcome
        pending.settled.set()

    def _settle_call(self, decoded):
        pending = self._calls.get(decoded.call_id)
        if pending is not None:
            pending.reply = decoded.message
            pending.settled.set()

    async def _recall_pending(self):
        for handoff_id in list(self._handoffs):
            reply = await self.recall(handoff_id)
            if reply is not None:
                self._apply_recall_reply(reply)

    def _apply_recall_reply(self, reply: RecallReply):
        pending = self._handoffs.get(reply.handoff_id)
        if pending is None or reply.state is RecallState.STARTED:
            return
        pending.outcome = reply.outcome
        pending.is_not_run = reply.state is RecallState.NOT_RUN
        pending.settled.set()
