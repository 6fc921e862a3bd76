"""Records and requests of other writers reach the parts of a running daemon.

Regression (issue 31, operators' report): a service of the daemon ended and started
again over the same record for ever.
"""

import json
import types
import unittest
from unittest import mock

import anyio
import msgspec
from hypothesis import given
from hypothesis import strategies as st

from basilwind.entry import registry as registry_module
from basilwind.entry.caller_app import CallerApp
from basilwind.entry.configuration import ConfigurationWatcher
from basilwind.entry.duties import DutyManager
from basilwind.entry.follower import KeyedFollower
from basilwind.entry.intake import intake_topic
from basilwind.entry.journal import DECLINE_PREFIX, journal_topic
from basilwind.entry.maintenance_log import TOPIC as MAINTENANCE_TOPIC
from basilwind.entry.owner import PoolOwner
from basilwind.entry.peer_app import PeerApp
from basilwind.entry.planner import TOPIC as PLANNER_TOPIC
from basilwind.entry.planner import FleetPlanner
from basilwind.entry.registry import WorkerRegistry
from basilwind.entry.route_history import RouteHistory
from basilwind.entry.store_monitor import StoreMonitor
from basilwind.entry.where import WhereAnswers
from basilwind.platform.store import KeyedRecord
from basilwind.scheduling.records import SubmissionRecord
from tests.entry.test_caller_app import FakePeers as NoPeers
from tests.platform.test_borders import DEPTH, WORKER, hostile
from tests.scheduling.model import QUEUE, make_job
from tests.utils.asgi import call
from tests.utils.entry_fakes import Clock, FakePeers, FakeStore, make_services

DEEP = b"[" * DEPTH
KEYS = st.sampled_from(
    ["config", "wave/1", "wave/x", "claim/fleet", "claim/", "release/pool/a", "1", "x"]
) | st.text(max_size=12)
VALUES = (
    hostile({"version": 1})
    | hostile(["e#1", "10.0.0.1:80", 5, "a"])
    | hostile([["m"], True])
    | st.just(b"9" * 5000)
    | st.just(b"5")
)
RECORDS = st.lists(st.builds(KeyedRecord, st.integers(0, 99), KEYS, VALUES), max_size=4)


class TestFollowers(unittest.TestCase):
    """Each reader of a topic takes any records without an error."""

    def setUp(self):
        self.clock = Clock()
        self.store = FakeStore(self.clock, StoreMonitor(self.clock))

    def _duties(self):
        settings = types.SimpleNamespace(cpu_cores=1.0, zone="a", name="e1")
        return DutyManager(
            self.store, settings, "e1#1", "10.0.0.1:1", self.clock, lambda: None, None
        )

    @given(RECORDS)
    def test_any_records_are_read(self, records):
        self.setUp()
        duties = self._duties()
        registry = WorkerRegistry(self.store, self.clock, lambda: None, lambda: True)
        watcher = ConfigurationWatcher(self.store, self.clock, lambda: None)
        routes = RouteHistory(self.store, self.clock)
        for apply in (
            duties._apply_records,
            duties._apply_heartbeats,
            registry._reset,
            registry._apply,
            watcher._apply_records,
            routes._apply,
        ):
            apply(records)

    def test_record_on_which_a_reader_fails_is_left_out(self):
        read = []

        def apply(records):
            for record in records:
                if record.key == "bad":
                    raise RecursionError
                read.append(record.key)

        store = types.SimpleNamespace(
            read_latest=mock.AsyncMock(
                return_value=([KeyedRecord(0, "bad", b""), KeyedRecord(1, "a", b"")], 2)
            ),
            read=mock.AsyncMock(
                side_effect=[
                    [KeyedRecord(2, "bad", b""), KeyedRecord(3, "b", b"")],
                    anyio.get_cancelled_exc_class,
                ]
            ),
        )
        follower = KeyedFollower(store, "keyed.x", apply, apply, self.clock)

        async def main():
            await follower._read_once()
            await follower._read_once()

        anyio.run(main)
        self.assertEqual((read, follower.position), (["a", "b"], 4))

    def test_invalid_entry_keeps_the_last_valid_one_and_is_logged_once(self):
        registry = WorkerRegistry(self.store, self.clock, lambda: None, lambda: True)
        good = KeyedRecord(0, "i-1", json.dumps(WORKER).encode())
        bad = KeyedRecord(1, "i-1", DEEP)
        with mock.patch.object(registry_module, "log") as log:
            registry._reset([good, KeyedRecord(0, "i-2", DEEP)])
            for _ in range(5):
                registry._apply([bad])
            registry._reset([bad])
        self.assertEqual(list(registry.entries_of_pool("pool")), ["i-1"])
        self.assertEqual(log.call_count, 2)
        registry._apply([KeyedRecord(2, "i-1", b"")])
        self.assertEqual(registry.entries_of_pool("pool"), {})


class TestDutyHolders(unittest.TestCase):
    @given(RECORDS, VALUES, VALUES, VALUES)
    def test_owner_runs_its_jobs_beside_any_records(
        self, records, submission, job_record, decline
    ):
        clock = Clock()
        services = make_services(clock)
        good = SubmissionRecord(QUEUE.name, clock(), make_job(count=1), QUEUE)
        services.store.latest = {
            intake_topic("pool"): [
                *records,
                KeyedRecord(0, "b" * 16, submission),
                KeyedRecord(1, "a" * 16, msgspec.json.encode(good)),
            ],
            journal_topic("pool"): [
                *records,
                KeyedRecord(0, "b" * 16, job_record),
                KeyedRecord(0, DECLINE_PREFIX + "b" * 16, decline),
            ],
        }

        async def main():
            with anyio.move_on_after(2.0):
                async with anyio.create_task_group() as tasks:
                    owner = PoolOwner("pool", 7, services, is_handed_over=True)
                    tasks.start_soon(owner.run)
                    while not services.worker_control.starts:
                        await anyio.sleep(0.005)
                    tasks.cancel_scope.cancel()

        anyio.run(main)
        starts = [task for task, _ in services.worker_control.starts]
        self.assertIn("a" * 16 + ".0.0.0", starts)

    @given(RECORDS)
    def test_planner_loads_beside_any_records(self, records):
        services = make_services(Clock())
        services.store.latest = {PLANNER_TOPIC: records, MAINTENANCE_TOPIC: records}
        anyio.run(FleetPlanner(7, services, FakePeers())._load)


class TestRequests(unittest.TestCase):
    def _respond(self, app, method, path, body, headers=()):
        """Returns the status and the body of a response."""
        headers = [(b"host", b"host"), *headers]

        async def main():
            with anyio.fail_after(2.0):
                return await call(app, method, path, body, headers)

        start, answer = anyio.run(main)
        return start["status"], answer

    def _caller_app(self):
        services = make_services(Clock())
        services.settings.store_record_bytes = 262144

        async def store(*arguments):
            return None

        return CallerApp(
            services,
            NoPeers(),
            types.SimpleNamespace(store=store),
            lambda: False,
            lambda *_: None,
        )

    def test_deeply_nested_body_is_refused_at_once(self):
        # It got 504 before, with RecursionError in the log.
        body = b'{"steps":[{"count":1}],"x":' + b'{"a":' * DEPTH + b"1" + b"}" * DEPTH
        status, answer = self._respond(
            self._caller_app(), "POST", "/q/" + "a" * 16, body + b"}"
        )
        self.assertEqual(status, 400)
        self.assertIn(b"recursion", answer)

    @given(st.sampled_from([b"nan", b"inf", b"-inf", b"-5", b"1e999", b"x", b"\xff"]))
    def test_odd_deadlines_count_as_none(self, deadline):
        status, _ = self._respond(
            self._caller_app(),
            "POST",
            "/q/" + "a" * 16,
            b'{"steps":[{"count":1}]}',
            [(b"x-deadline-ms", deadline)],
        )
        self.assertEqual(status, 200)

    @given(
        st.sampled_from(
            ["/", "/x", "/host", "/takeover", "/planner/handover", "/intake/pool"]
            + ["/withhold/pool", "/decline/pool", "/jobs/pool/x", "/queues/pool"]
            + ["/where", "/where/pool"]
        ),
        hostile({"token": 1, "lease_s": 3.0, "worker_ids": ["w"], "job_id": "a" * 16})
        | hostile({"queue": "q", "key": "a" * 16, "value": ""})
        | hostile({"host": "h", "path": "/q/", "job": ""}),
    )
    def test_peers_get_an_answer_to_anything(self, path, body):
        services = make_services(Clock())
        app = PeerApp(
            lambda pool: None,
            lambda pool: None,
            services,
            WhereAnswers(services, None).answer,
        )
        app._get_intake = lambda pool: types.SimpleNamespace(store=mock.AsyncMock())
        status, _ = self._respond(app, "POST", path, body)
        self.assertIn(status, (200, 400, 421, 503))
