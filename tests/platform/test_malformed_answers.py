"""Malformed answers raise errors of the package, which every caller handles."""

import json
import unittest

import anyio
from hypothesis import given
from hypothesis import strategies as st

from basilwind.entry.peer_client import PeerClient
from basilwind.errors import BasilwindError, CallUnanswered, WorkerCallFailed
from basilwind.platform.advice import AdviceClient
from basilwind.platform.machines import MachineClient, MachineState, OrderOutcome
from basilwind.platform.store import Producer, StoreClient
from basilwind.platform.workers import WorkerControlClient
from basilwind.scheduling.ownership import Claim
from tests.utils.transport_fakes import FakeConnections, FakeTransport

SCALARS = st.none() | st.booleans() | st.integers() | st.text(max_size=4)
FIELDS = st.sampled_from(
    "clockMs running ended born reason machines machine pool state nextToken good "
    "items key value offset end hasMore first waiting refuse_for_s workers".split()
)
JSON = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(FIELDS, inner, max_size=4)
    ),
    max_leaves=12,
)
BODIES = st.binary(max_size=40) | JSON.map(lambda value: json.dumps(value).encode())
STATUSES = st.sampled_from((200, 400, 409, 410, 412, 421, 429, 500, 503))


def calls(transport, connections):
    """Returns coroutine functions of all calls to other processes.

    Args:
        transport: ``FakeTransport``.
        connections: ``FakeConnections``.
    """
    workers = WorkerControlClient(transport)
    machines = MachineClient(transport, "h:1")
    store = StoreClient(transport, "h:1", lambda *_: None, lambda: 0.0)
    peers = PeerClient(transport, lambda pool: None, lambda pool: "h:1")
    start = ("h:1", "i", "j.0.0.0", 1, "", 9.0, 7, "", "")
    return (
        lambda: workers.start(*start),
        lambda: WorkerControlClient(connections).start(*start),
        lambda: workers.stop("h:1", "i", "j.0.0.0", 1, 7),
        lambda: workers.pace("h:1", "i", "j.0.0.0", 1, 50, 7),
        lambda: workers.hold("h:1", "i", 7, 0, None, 0.0),
        lambda: AdviceClient(transport, "h:1").advise("j.0.0", ["i"]),
        machines.list,
        lambda: machines.move("m", "pool", "e#1", 7),
        lambda: machines.start_maintenance("m", 1, "e#1", 7),
        lambda: store.append("topic", [b"r"], at=1, producer=Producer("p", 1, 1)),
        lambda: store.read("topic", 0),
        lambda: store.read_latest("topic"),
        lambda: peers.job_state("pool", "a" * 16),
        lambda: peers.queue("pool", "queue"),
        lambda: peers.withhold("pool", [], 7),
        lambda: peers.hand_over_planning(Claim("e#1", "h:1", 7), 9, 3.0),
        lambda: peers.query_daemon(Claim("e#1", "h:1", 7)),
    )


async def call_all(status, body):
    for call in calls(FakeTransport(status, body), FakeConnections(status, body)):
        try:
            with anyio.fail_after(2.0):
                await call()
        except BasilwindError:
            continue


class TestMalformedAnswers(unittest.TestCase):
    """Load pattern: another process answers with anything at all."""

    @given(STATUSES, BODIES)
    def test_any_answer_raises_only_errors_of_the_package(self, status, body):
        anyio.run(call_all, status, body)

    def _call(self, client, name, body, *arguments, status=200):
        transport = FakeConnections if name == "start" else FakeTransport
        client = client(transport(status, json.dumps(body).encode()))
        return anyio.run(getattr(client, name), *arguments)

    def test_malformed_row_rejects_the_whole_report(self):
        # A run that is not read would be taken for one that has ended.
        rows = [["j.0.0.0", 1, "", 40, 0], ["j.0.0.1"]]
        with self.assertRaises(WorkerCallFailed):
            self._call(
                WorkerControlClient,
                "hold",
                {"clockMs": 5, "running": rows},
                *("h:1", "i", 7, 0, None, 0.0),
            )

    def test_malformed_answer_to_a_start_leaves_it_unanswered(self):
        arguments = ("h:1", "i", "j.0.0.0", 1, "", 9.0, 7, "", "")
        with self.assertRaises(CallUnanswered):
            self._call(WorkerControlClient, "start", {"clockMs": "x"}, *arguments)

    def test_unknown_machine_state_gets_no_orders(self):
        machines = [{"machine": "m", "pool": "p", "state": "renewing"}]

        def create_client(transport):
            return MachineClient(transport, "h:1")

        (machine,) = self._call(create_client, "list", {"machines": machines})
        self.assertIs(machine.state, MachineState.DOWN)

    def test_unknown_refusal_counts_as_rejected(self):
        outcome = self._call(
            lambda transport: MachineClient(transport, "h:1"),
            "move",
            {"reason": "quota"},
            *("m", "pool", "e#1", 7),
            status=409,
        )
        self.assertIs(outcome, OrderOutcome.REJECTED)
