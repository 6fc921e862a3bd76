"""The connection that this entry host keeps to one peer."""

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
    """A request in the peer's custody, or on its way there."""

    handoff: Handoff
    settled: anyio.Event = field(default_factory=anyio.Event)
    is_not_run: bool = False
    outcome: Outcome | None = None


@dataclass
class _PendingCall:
    """A call that waits for its reply."""

    settled: anyio.Event = field(default_factory=anyio.Event)
    reply: object = None


@dataclass(frozen=True, slots=True)
class HandoffResult:
    """What became of a hand-off.

    Attributes:
        outcome: The final outcome, if the peer gave one.
        is_not_run: Whether the request is proven not to have run.
    """

    outcome: Outcome | None = None
    is_not_run: bool = False


class PeerLink:
    """Connects to one peer, again and again, and speaks to it.

    Heartbeats go both ways on the connection; after a silence it is replaced
    by a new one, and every request still in the peer's custody is recalled.

    Args:
        peer: ``PeerSettings`` of the peer.
        heartbeat: Function that returns this host's ``Heartbeat``.
        interval_s: Interval of the heartbeats, in seconds.
    """

    def __init__(self, peer, heartbeat, interval_s):
        self._peer = peer
        self._heartbeat = heartbeat
        self._interval_s = interval_s
        self._stream = None
        self._handoffs = {}
        self._calls = {}
        self._call_ids = itertools.count(1)
        self._bytes_sent = 0
        self._bytes_received = 0

    @property
    def bytes_sent(self):
        """Bytes sent to the peer so far."""
        return self._bytes_sent + (self._stream.bytes_sent if self._stream else 0)

    @property
    def bytes_received(self):
        """Bytes received from the peer so far."""
        current = self._stream.bytes_received if self._stream else 0
        return self._bytes_received + current

    @property
    def peer(self):
        """Settings of the peer."""
        return self._peer

    @property
    def is_connected(self):
        """Whether there is a connection now."""
        return self._stream is not None

    async def run(self):
        """Keeps the connection until cancelled."""
        host, _, port = self._peer.address.rpartition(":")
        while True:
            try:
                with anyio.fail_after(CONNECT_TIMEOUT_S):
                    stream = await anyio.connect_tcp(host, int(port))
                await self._converse(FramedStream(stream))
            except (OSError, TimeoutError, PeerError):
                pass
            await anyio.sleep(RECONNECT_PAUSE_S)

    async def call(self, message, timeout_s=CALL_TIMEOUT_S):
        """Sends a message and waits for its reply.

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
        """Gives a request into the peer's custody and waits for its outcome.

        Args:
            handoff: The ``Handoff``.
            is_live: Function that tells whether the peer is still live.
            timeout_s: Longest wait for the outcome, in seconds.

        Returns:
            A ``HandoffResult``; without outcome and proof, the peer is lost
            or too late and the request may have run.
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
        """Asks for a request back.

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
            # A part may have arrived; the recall after reconnecting tells.
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

    async def _converse(self, stream):
        try:
            async with anyio.create_task_group() as tasks:
                # The first heartbeat names this host to the peer.
                await stream.send(self._heartbeat())
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
        for beat in itertools.count(1):
            await stream.send(self._heartbeat())
            await anyio.sleep(self._interval_s)
            if beat % MISSED_HEARTBEAT_LIMIT == 0 and stream.has_been_silent():
                raise PeerUnreachable("the peer stayed silent")

    async def _receive(self, stream):
        while True:
            decoded = await stream.receive()
            self._take(decoded)

    def _take(self, decoded):
        message = decoded.message
        if isinstance(message, Answer):
            self._settle(message.handoff_id, message.outcome)
        elif decoded.call_id:
            self._settle_call(decoded)

    def _settle(self, handoff_id, outcome):
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
                self._take_recall(reply)

    def _take_recall(self, reply: RecallReply):
        pending = self._handoffs.get(reply.handoff_id)
        if pending is None or reply.state is RecallState.STARTED:
            return
        pending.outcome = reply.outcome
        pending.is_not_run = reply.state is RecallState.NOT_RUN
        pending.settled.set()
