"""Tests of hand-offs on connections that are cut and frozen at generated times.

They guard against a request that runs twice, or runs after the peer that handed it
off was told that it did not, because a message was lost with its connection.
"""

import unittest

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st

from basilwind.errors import ProtocolError
from basilwind.membership.members import Heartbeat, ShardHint
from basilwind.models import Demand, Outcome, OutcomeKind, Reason, RequestSpec
from basilwind.peers import codec
from basilwind.peers.link import PeerLink
from basilwind.peers.messages import Handoff, RecallReply, RecallState
from basilwind.peers.server import PeerServer
from basilwind.placement.executions import ExecutionRegistry
from basilwind.settings import PeerSettings
from tests.utils.fleet import free_ports
from tests.utils.relay import Relay

DONE = Outcome(OutcomeKind.DONE, status=200, body=b"answer")
INTERVAL_S = 0.05
QUEUE_S = 0.03  # delay before a request starts
WORK_S = 0.05  # run time of a request
TIMEOUT_S = 2.0


class FakeService:
    """Runs each hand-off after a delay, unless it is recalled before it starts."""

    def __init__(self):
        self.executions = ExecutionRegistry()
        self.runs = {}

    def handle_heartbeat(self, heartbeat):
        pass

    def open_execution(self, handoff):
        return self.executions.open(handoff.handoff_id)

    def recall(self, handoff_id):
        return self.executions.recall(handoff_id, anyio.current_time())

    async def run_handoff(self, handoff, execution):
        with execution.open_scope():
            await anyio.sleep(QUEUE_S)
        if not execution.start():
            return None
        self.runs[handoff.handoff_id] = self.runs.get(handoff.handoff_id, 0) + 1
        await anyio.sleep(WORK_S)
        self.executions.finish(execution, DONE, anyio.current_time())
        return DONE


class LinkedPeers:
    """A ``PeerLink`` and a ``PeerServer`` that are connected through a relay."""

    def __init__(self):
        self.service = FakeService()
        relay_port, server_port = free_ports(2)
        self.relay = Relay(relay_port, server_port)
        self._server_port = server_port
        peer = PeerSettings("peer", "zone", f"127.0.0.1:{relay_port}")
        heartbeat = Heartbeat("me", "zone", "i")
        self.link = PeerLink(peer, lambda: heartbeat, INTERVAL_S)

    async def start(self, tasks):
        server = PeerServer(self.service, tasks)
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=self._server_port
        )
        tasks.start_soon(server.serve, listener)
        tasks.start_soon(self.relay.run)
        tasks.start_soon(self.link.run)
        while not self.link.is_connected:
            await anyio.sleep(0.01)

    async def inject(self, faults):
        for delay_s, kind in faults:
            await anyio.sleep(delay_s)
            if kind == "cut":
                await self.relay.cut()
            elif kind == "freeze":
                self.relay.freeze()
            else:
                self.relay.heal()


async def hand_off_with_faults(faults, count):
    peers, results = LinkedPeers(), {}

    async def hand_off(index):
        spec = RequestSpec(f"r{index}", "t", "q", "p")
        handoff = Handoff(f"h{index}", spec, TIMEOUT_S)
        result = await peers.link.hand_off(handoff, lambda: True, TIMEOUT_S)
        results[handoff.handoff_id] = result

    async with anyio.create_task_group() as tasks:
        await peers.start(tasks)
        async with anyio.create_task_group() as handoffs:
            handoffs.start_soon(peers.inject, [*faults, (0.1, "heal")])
            for index in range(count):
                handoffs.start_soon(hand_off, index)
                await anyio.sleep(0.02)
        tasks.cancel_scope.cancel()
    return peers.service, results


faults = st.lists(
    st.tuples(
        st.sampled_from((0.0, 0.01, 0.03, 0.06, 0.1)),
        st.sampled_from(("cut", "freeze", "heal")),
    ),
    max_size=4,
)


class TestHandoff(unittest.TestCase):
    @settings(max_examples=25)
    @given(faults)
    def test_reported_results_match_what_ran(self, schedule):
        service, results = anyio.run(hand_off_with_faults, schedule, 6)
        self.assertEqual(len(results), 6)
        for handoff_id, result in results.items():
            runs = service.runs.get(handoff_id, 0)
            self.assertLessEqual(runs, 1)
            if result.is_not_run:
                self.assertEqual(runs, 0, handoff_id)
            elif result.outcome is not None:
                self.assertEqual((runs, result.outcome), (1, DONE))
            else:
                # Without a result, a recall must still tell the state of the request.
                reply = service.executions.recall(handoff_id, 0.0)
                self.assertIn(reply.state, tuple(RecallState))

    def test_undisturbed_connection_delivers_every_outcome(self):
        service, results = anyio.run(hand_off_with_faults, [], 10)
        self.assertTrue(all(r.outcome == DONE for r in results.values()))
        self.assertEqual(set(service.runs.values()), {1})

    def test_frozen_connection_is_replaced_and_outcomes_are_recalled(self):
        schedule = [(0.06, "freeze"), (0.05, "heal")]
        service, results = anyio.run(hand_off_with_faults, schedule, 3)
        for handoff_id, result in results.items():
            runs = service.runs.get(handoff_id, 0)
            self.assertTrue(result.outcome is not None or result.is_not_run)
            self.assertEqual(runs, 0 if result.is_not_run else 1)


texts = st.text(max_size=20)
specs = st.builds(
    RequestSpec,
    request_id=texts,
    team=texts,
    queue=texts,
    pool=texts,
    demand=st.builds(
        Demand,
        slots=st.integers(0, 1024),
        cpus=st.floats(0, 1e6),
        memory_gb=st.floats(0, 1e6),
        accelerators=st.integers(0, 1024),
    ),
    urgent=st.booleans(),
    idempotent=st.booleans(),
    key=texts,
    labels=st.lists(texts, max_size=3).map(tuple),
    content_type=texts,
    body=st.binary(max_size=100),
    expected_s=st.floats(0, 1e6),
)
outcomes = st.builds(
    Outcome,
    kind=st.sampled_from(OutcomeKind),
    reason=st.sampled_from(Reason),
    status=st.integers(0, 599),
    content_type=texts,
    body=st.binary(max_size=100),
    retry_after_s=st.floats(0, 1e6),
    worker=texts,
    replayed=st.booleans(),
)
hints = st.builds(
    ShardHint,
    pool=texts,
    free_slots=st.integers(0, 10_000),
    waiting=st.integers(0, 10_000),
)
messages = st.one_of(
    st.builds(Handoff, texts, specs, st.floats(0, 1e6), st.booleans(), texts),
    st.builds(RecallReply, texts, st.sampled_from(RecallState), st.none() | outcomes),
    st.builds(
        Heartbeat,
        name=texts,
        zone=texts,
        incarnation=texts,
        is_leaving=st.booleans(),
        control_offset=st.integers(0, 2**60),
        shards=st.lists(hints, max_size=3).map(tuple),
        stamp=st.integers(0, 2**60),
        echo=st.integers(0, 2**60),
        is_promising=st.booleans(),
    ),
)


class TestCodec(unittest.TestCase):
    @given(messages, st.integers(0, 2**60))
    def test_decoding_reverses_encoding(self, message, call_id):
        decoded = codec.decode(codec.encode(message, call_id))
        self.assertEqual((decoded.call_id, decoded.message), (call_id, message))

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_raise_nothing_but_protocol_errors(self, data):
        try:
            codec.decode(data)
        except ProtocolError:
            return

    @given(messages, st.data())
    def test_damaged_messages_raise_nothing_but_protocol_errors(self, message, data):
        encoded = bytearray(codec.encode(message))
        position = data.draw(st.integers(0, len(encoded) - 1))
        encoded[position] ^= data.draw(st.integers(1, 255))
        try:
            codec.decode(bytes(encoded))
        except ProtocolError:
            return
