"""A path leads to another pool than the one that accepted its jobs.

Regression (review/1): a repeated submission started the job's tasks a second time in
the new pool, and cancellations did not reach the pool that ran the job.
"""

import dataclasses
import random
import types
import unittest
from functools import partial

import anyio
import msgspec
from hypothesis import given
from hypothesis import strategies as st

from basilwind.entry.caller_app import CallerApp
from basilwind.entry.configuration import ConfigurationWatcher
from basilwind.entry.intake import CANCEL_VALUE, cancellation_key, intake_topic
from basilwind.entry.journal import DECLINE_PREFIX, journal_topic
from basilwind.entry.owner import PoolOwner
from basilwind.entry.peer_messages import QueueResponse
from basilwind.entry.route_history import (
    OLDER_VERSIONS_S,
    TOPIC,
    PastRoute,
    RouteHistory,
)
from basilwind.entry.store_monitor import StoreMonitor
from basilwind.errors import NotOwner, NotStarted, StoreRefused
from basilwind.platform.documents import CONFIGURATION_KEY
from basilwind.platform.store import KeyedRecord
from basilwind.scheduling.fleet import Pool
from basilwind.scheduling.jobs import JobState, JobStatus
from basilwind.scheduling.pool import PoolState
from basilwind.scheduling.pool_jobs import DECLINE_VALID_S
from basilwind.scheduling.records import CancelRecord, DeclineRecord, SubmissionRecord
from tests.scheduling.model import QUEUE, WORKER_LIMITS, make_job
from tests.utils.asgi import call
from tests.utils.entry_fakes import CONFIGURATION, Clock, FakeStore, make_services

JOB = "a" * 16
PATH = f"{QUEUE.path_prefix}{JOB}"
BODY = b'{"spec":"x","steps":[{"count":1,"cpu":100,"memMb":10}]}'
OLD = PastRoute("old", "q-old")
CANCELLATION = KeyedRecord(0, cancellation_key(JOB), CANCEL_VALUE)


def make_state(pool):
    return PoolState(
        pool, 1, lambda name: QUEUE, 60.0, lambda *_, **__: None, WORKER_LIMITS
    )


class FakePeers:
    """Owners of the pools.

    Attributes:
        states: State of the job by pool; a pool without one has no owner.
        declined: Pools that were asked to leave the job to another.
    """

    def __init__(self):
        self.states = {"pool": None, "old": None}
        self.declined = []

    async def job_state(self, pool, job_id, must_confirm=False):
        if pool not in self.states:
            raise NotOwner(pool)
        state = self.states[pool]
        return None if state is None else JobStatus(state)

    async def decline(self, pool, job_id, version, target):
        status = await self.job_state(pool, job_id)
        self.declined.append((pool, version, target))
        return status.state if status else None

    async def queue(self, pool, queue):
        return QueueResponse(3 if pool == "old" else 2)


class CallerTestCase(unittest.TestCase):
    """Calls of callers to a daemon with fake owners of the pools."""

    def setUp(self):
        self.clock = Clock()
        self.peers = FakePeers()
        self.services = make_services(self.clock, decline=self.peers.decline)
        self.services.settings.store_record_bytes = 262144
        configuration = self.services.configuration.current
        pools = configuration.pools | {"old": Pool("old", True, False, "/")}
        self.services.configuration.current = dataclasses.replace(
            configuration, pools=pools
        )
        self.services.routes.others = {OLD}
        self.stored = []

    def _call(self, method, path=PATH):
        """Returns the status and the body of a response."""

        async def store(pool, queue, key, value, patience_s):
            self.stored.append((pool, key))

        app = CallerApp(
            self.services,
            self.peers,
            types.SimpleNamespace(store=store),
            lambda: False,
            lambda *_: None,
        )
        headers = [(b"host", b"host"), (b"x-deadline-ms", b"400")]
        answers = []

        async def send():
            body = BODY if method == "POST" else b""
            answers.append(await call(app, method, path, body, headers))

        async def main():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send)
                for _ in range(100):
                    await anyio.sleep(0.001)
                    self.clock.now += 0.02

        anyio.run(main)
        ((start, body),) = answers
        return start["status"], body


class TestCallers(CallerTestCase):
    def test_repeated_submission_is_not_accepted_by_the_new_pool(self):
        self.peers.states["old"] = JobState.RUNNING
        self.assertEqual(self._call("POST")[0], 200)
        self.assertEqual(self.stored, [])

    def test_new_submission_is_stored_once_the_old_pool_declined_it(self):
        self.assertEqual(self._call("POST")[0], 200)
        self.assertEqual(self.peers.declined, [("old", 1, "pool")])
        self.assertEqual(self.stored, [("pool", JOB)])

    def test_outcome_is_unknown_while_the_old_pool_has_no_owner(self):
        del self.peers.states["old"]
        self.assertEqual(self._call("POST")[0], 504)
        self.assertEqual(self.stored, [])

    def test_pool_that_never_gets_an_owner_again_is_not_waited_for(self):
        del self.peers.states["old"]
        self.services.configuration.current.pools.pop("old")
        self.assertEqual(self._call("POST")[0], 200)
        self.assertEqual(self.stored, [("pool", JOB)])
        self.assertEqual(self._call("GET")[0], 410)

    def test_cancellation_reaches_each_pool_of_the_path(self):
        self.assertEqual(self._call("DELETE")[0], 200)
        key = cancellation_key(JOB)
        self.assertEqual(set(self.stored), {("pool", key), ("old", key)})

    def test_waiting_jobs_of_earlier_routes_count(self):
        status, body = self._call("GET", QUEUE.path_prefix)
        self.assertEqual((status, body), (200, b'{"waiting":5}'))

    def test_refused_submission_that_the_old_pool_has_is_accepted(self):
        async def queue(pool, name):
            return QueueResponse(0, 20.0)

        self.peers.queue = queue
        self.assertEqual(self._call("POST")[0], 429)
        self.peers.states["old"] = JobState.PENDING
        self.assertEqual(self._call("POST")[0], 200)


class TestOwner(unittest.TestCase):
    """The pool that the path led to before, and a daemon with the old configuration."""

    def setUp(self):
        self.clock = Clock()
        self.services = make_services(self.clock)
        self.appended = []

        async def append(topic, records, at=None, producer=None, timeout_s=1.0):
            self.appended += [(topic, record) for record in records]
            return 0

        self.services.store.append = append

    def _submission(self, version):
        submission = SubmissionRecord("q", 0.0, make_job(count=1), QUEUE, version)
        return KeyedRecord(0, JOB, msgspec.json.encode(submission))

    def _run(self, scenario, token=7):
        async def main():
            owner = PoolOwner("pool", token, self.services, is_handed_over=True)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(owner.run)
                while not owner.is_loaded:
                    await anyio.sleep(0.01)
                await scenario(owner)
                await anyio.sleep(0.2)
                tasks.cancel_scope.cancel()

        anyio.run(main)

    def _records(self, topic):
        records = []
        for name, framed in self.appended:
            end = 5 + framed[4]
            if name == topic:
                records.append((framed[5:end].decode(), framed[end:]))
        return records

    def _forwarded_versions(self):
        return [
            msgspec.json.decode(value, type=SubmissionRecord).version
            for _, value in self._records(intake_topic("new"))
        ]

    def test_declined_job_is_forwarded_when_its_submission_arrives_late(self):
        async def scenario(owner):
            self.assertIsNone(await owner.decline(JOB, 2, "new"))
            owner._apply_intake_record(self._submission(1))

        self._run(scenario)
        self.assertEqual(self.services.worker_control.starts, [])
        self.assertEqual(self._forwarded_versions(), [2])
        self.assertIn(DECLINE_PREFIX + JOB, dict(self._records(journal_topic("pool"))))

    def test_decline_survives_a_change_of_owner(self):
        decline = DeclineRecord(2, "new", self.clock())
        self.services.store.latest = {
            intake_topic("pool"): [self._submission(1)],
            journal_topic("pool"): [
                KeyedRecord(1, DECLINE_PREFIX + JOB, msgspec.json.encode(decline))
            ],
        }

        async def scenario(owner):
            self.assertNotIn(JOB, owner.state.jobs)

        self._run(scenario)
        self.assertEqual(self._forwarded_versions(), [2])

    def test_job_that_the_pool_has_is_not_declined(self):
        async def scenario(owner):
            owner._apply_intake_record(self._submission(1))
            self.assertIsNotNone(await owner.decline(JOB, 2, "new"))

        self._run(scenario)
        self.assertEqual(self.services.worker_control.starts, [(f"{JOB}.0.0.0", 1)])

    def test_path_that_leads_back_brings_its_jobs_back(self):
        async def scenario(owner):
            await owner.decline(JOB, 2, "new")
            owner._apply_intake_record(self._submission(3))

        self._run(scenario)
        self.assertEqual(self.services.worker_control.starts, [(f"{JOB}.0.0.0", 1)])
        self.assertEqual(self._forwarded_versions(), [])

    def _cancels(self):
        return [
            msgspec.json.decode(value, type=CancelRecord)
            for key, value in self._records(intake_topic("new"))
            if key == cancellation_key(JOB)
        ]

    def test_cancel_of_a_job_that_is_declined_later_reaches_the_other_pool(self):
        # Fails before the fix: the job was accepted elsewhere and was never cancelled.
        async def scenario(owner):
            owner._apply_intake_record(CANCELLATION)
            self.assertEqual(self._cancels(), [])
            self.assertIsNone(await owner.decline(JOB, 2, "new"))
            self.assertEqual(self._cancels(), [CancelRecord("", 2)])

        self._run(scenario)

    def test_cancel_of_a_declined_job_reaches_the_other_pool_once(self):
        async def scenario(owner):
            await owner.decline(JOB, 2, "new")
            owner._apply_intake_record(CANCELLATION)
            await anyio.sleep(0.05)
            owner._apply_intake_record(CANCELLATION)

        self._run(scenario)
        self.assertEqual(self._cancels(), [CancelRecord("", 2)])

    def test_cancel_of_a_declined_job_is_passed_on_by_the_next_owner(self):
        decline = DeclineRecord(2, "new", self.clock())
        self.services.store.latest = {
            intake_topic("pool"): [CANCELLATION],
            journal_topic("pool"): [
                KeyedRecord(1, DECLINE_PREFIX + JOB, msgspec.json.encode(decline))
            ],
        }

        async def scenario(owner):
            await anyio.sleep(0.05)

        self._run(scenario)
        self.assertEqual(self._cancels(), [CancelRecord("", 2)])

    def test_job_is_not_declined_before_its_cancellation_is_stored_elsewhere(self):
        async def refuse(topic, records, **options):
            if topic == intake_topic("new"):
                raise StoreRefused("away")
            return 0

        async def scenario(owner):
            owner._apply_intake_record(CANCELLATION)
            self.services.store.append = refuse
            with self.assertRaises(NotOwner):
                await owner.decline(JOB, 2, "new")

        self._run(scenario)

    def test_cancel_is_not_passed_on_for_ever_between_two_pools(self):
        # Each has declined the job in favour of the other; the later decline counts.
        declines = {"a": (2, "b"), "b": (3, "a")}
        states = {}
        for pool, (version, target) in declines.items():
            states[pool] = make_state(pool)
            states[pool].decline(JOB, version, target, 1000.0)
        in_flight, sent = [("a", 0)], []
        while in_flight and len(sent) < 10:
            pool, version = in_flight.pop()
            state = states[pool]
            state.cancel(JOB, 1000.0, "", version)
            declined, customers = state.cancels_to_pass_on(JOB)
            for customer in customers:
                state.note_cancel_passed_on(JOB, customer, declined.version)
                in_flight.append((declined.target, declined.version))
                sent.append(declined.target)
        self.assertEqual(sent, ["b", "a"])
        states["a"].submit(JOB, "q", make_job(count=1), 1000.0, 1000.0, 1000.0)
        self.assertIs(states["a"].jobs[JOB].state, JobState.CANCELLED)

    def test_decline_is_dropped_after_a_while(self):
        state = make_state("pool")
        state.decline(JOB, 2, "new", 1000.0)
        state.drop_declines(1000.0 + DECLINE_VALID_S)
        self.assertIsNotNone(state.find_decline(JOB, 2))
        state.drop_declines(1001.0 + DECLINE_VALID_S)
        self.assertIsNone(state.find_decline(JOB, 2))
        self.assertEqual(state.dropped, [JOB])


class TestOnePoolHasAJob(unittest.TestCase):
    """Daemons with different configurations accept the same job at the same time."""

    @given(st.lists(st.integers(0, 2), min_size=1, max_size=5), st.randoms())
    def test_exactly_one_pool_accepts_it(self, pools_by_version, order):
        self._play(pools_by_version, order)

    def test_path_that_leads_back_and_forth(self):
        for seed in range(200):
            self._play([0, 1, 0, 1, 2], random.Random(seed))

    def _play(self, pools_by_version, order):
        """Plays one attempt by each version, in any order of their calls.

        Args:
            pools_by_version: Pool to which each version of the configuration leads.
            order: ``random.Random`` that chooses the next call.
        """
        states = [make_state(str(n)) for n in range(3)]
        in_flight = []  # submissions that a pool's owner has not read yet

        def attempt(version, pool):
            for other in set(pools_by_version) - {pool}:
                yield
                states[other].decline(JOB, version, str(pool), 0.0)
                if JOB in states[other].jobs:
                    return
            yield
            in_flight.append((pool, version))

        attempts = [attempt(*pair) for pair in enumerate(pools_by_version, 1)]
        reads = 0
        while attempts or in_flight:
            reads += 1
            self.assertLess(reads, 200, "a submission is forwarded for ever")
            if attempts and (not in_flight or order.random() < 0.6):
                chosen = attempts[order.randrange(len(attempts))]
                if next(chosen, True):
                    attempts.remove(chosen)
                continue
            pool, version = in_flight.pop(order.randrange(len(in_flight)))
            declined = states[pool].find_decline(JOB, version)
            if declined is not None:
                attempts.append(attempt(declined.version, int(declined.target)))
            else:
                states[pool].submit(JOB, "q", make_job(count=1), 0.0, 0.0, 0.0)
        self.assertEqual(sum(JOB in state.jobs for state in states), 1)


class TestRouteHistory(unittest.TestCase):
    def setUp(self):
        self.clock = clock = Clock()
        self.store = FakeStore(clock, StoreMonitor(clock))
        self.history = RouteHistory(self.store, clock)

    def _load(self):
        async def main():
            with anyio.move_on_after(0.05):
                await self.history.run()

        anyio.run(main)

    def test_route_is_recorded_once_before_its_first_job(self):
        topics = []
        self.store.on_append = topics.append
        with self.assertRaises(NotStarted):
            anyio.run(self.history.record, QUEUE)
        self._load()
        anyio.run(self.history.record, QUEUE)
        anyio.run(self.history.record, QUEUE)
        self.assertEqual(topics, [TOPIC])

    def test_job_is_refused_if_its_route_can_not_be_recorded(self):
        self._load()

        def refuse(topic):
            raise StoreRefused("away")

        self.store.on_append = refuse
        with self.assertRaises(NotStarted):
            anyio.run(self.history.record, QUEUE)

    def test_other_routes_of_a_path_are_found(self):
        moved = dataclasses.replace(QUEUE, name="q-2", pool="other")
        elsewhere = dataclasses.replace(QUEUE, path_prefix="/x/", pool="third")
        self._load()
        for queue in (QUEUE, moved, elsewhere):
            anyio.run(self.history.record, queue)
        self.assertEqual(self.history.pools(moved), {QUEUE.pool, "other"})
        self.assertEqual(
            self.history.other_routes(moved), {PastRoute(QUEUE.pool, QUEUE.name)}
        )
        self.assertTrue(self.history.has_pool("third"))
        self.assertFalse(self.history.has_pool("fourth"))


MOVED = dataclasses.replace(QUEUE, name="q-old", pool="old")


def configuration_of(version, *queues):
    return dataclasses.replace(
        CONFIGURATION, version=version, queues={queue.name: queue for queue in queues}
    )


class TestOutdatedList(unittest.TestCase):
    """A daemon whose connection to the list of routes is silent.

    Regression (review/7): it did not ask the pool that had a job, and stored the job's
    repeated submission for a second pool.
    """

    def setUp(self):
        self.clock = Clock()
        self.store = FakeStore(self.clock, StoreMonitor(self.clock))
        self.routes = RouteHistory(self.store, self.clock)
        self.reads = 0
        self.added = []

    async def _read(self, topic, start, wait_s=0.0):
        if wait_s:
            await anyio.sleep_forever()
        self.reads += 1
        if isinstance(self.added, Exception):
            raise self.added
        return self.added

    def _run(self, *calls):
        """Makes calls while a read of the list waits for an answer for ever."""
        self.store.read = self._read

        async def main():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.routes.run)
                await anyio.sleep(0.01)
                for call in calls:
                    await call()
                tasks.cancel_scope.cancel()

        anyio.run(main)

    async def _refresh(self):
        # The call arrives after the reads so far were sent.
        self.clock.now += 0.001
        await self.routes.refresh(self.clock())

    def _note(self, version, queue, replaced=None, is_gap=False):
        before = replaced and configuration_of(version - 1, replaced)
        after = configuration_of(version, queue)
        self.routes.note_configuration(before, after, is_gap, self.clock())

    def test_pool_of_a_replaced_version_was_not_asked(self):
        self._note(1, MOVED)
        self._note(2, QUEUE, MOVED)
        self._run()
        self.assertEqual(self.routes.pools(QUEUE), {"old"})
        self.assertEqual(self.routes.other_routes(QUEUE), {OLD})

    def test_route_that_comes_back_is_recorded_although_it_was_replaced(self):
        topics = []
        self.store.on_append = topics.append
        self._note(2, QUEUE, MOVED)
        self._note(3, MOVED, QUEUE)
        self._run(partial(self.routes.record, MOVED))
        self.assertEqual(topics, [TOPIC])

    def _added_record(self):
        value = msgspec.json.encode(("host", "/q/", "old", "q-old"))
        return KeyedRecord(0, "key", value)

    def test_daemon_that_started_lately_reads_what_others_have_added(self):
        self._note(2, QUEUE)
        self.added = [self._added_record()]
        self._run(self._refresh)
        self.assertEqual(self.routes.pools(QUEUE), {"old"})

    def test_daemon_that_missed_versions_reads_what_others_have_added(self):
        self._note(1, QUEUE)
        self.clock.now += OLDER_VERSIONS_S
        self._run(self._refresh)
        self.clock.now += 1.0
        self._note(5, QUEUE, QUEUE, is_gap=True)
        self.added = [self._added_record()]
        self._run(self._refresh)
        self.assertEqual(self.routes.pools(QUEUE), {"old"})

    async def _wait(self):
        self.clock.now += OLDER_VERSIONS_S

    def test_nothing_is_read_once_all_past_routes_are_known(self):
        self._note(1, QUEUE)
        self._run(self._wait, self._refresh, self._refresh)
        self.clock.now += 1.0
        self._note(2, MOVED, QUEUE)
        self._run(self._refresh)
        self.assertEqual(self.reads, 1)

    def test_follower_that_reads_the_list_saves_further_reads(self):
        self._note(1, QUEUE)
        self.clock.now += OLDER_VERSIONS_S
        self._run()
        self.clock.now += 1.0
        self._run(self._refresh)
        self.assertEqual(self.reads, 0)

    def test_list_that_can_not_be_read_leaves_a_job_not_accepted(self):
        self._note(1, QUEUE)
        self.added = StoreRefused("away")
        with self.assertRaises(ExceptionGroup):
            self._run(self._refresh)
        self.assertEqual(self.reads, 1)


class TestConfigurationVersions(unittest.TestCase):
    """Versions that arrive together are all noted."""

    def test_versions_of_one_read_are_noted_one_after_the_other(self):
        noted = []
        watcher = ConfigurationWatcher(
            None,
            Clock(),
            lambda: None,
            lambda before, after, is_gap, now: noted.append(
                (before and before.version, after.version, is_gap)
            ),
        )
        records = [
            KeyedRecord(n, CONFIGURATION_KEY, self._document(n)) for n in (1, 2, 4)
        ]
        watcher._apply_latest(records[:1])
        watcher._apply_records(records[1:])
        watcher._apply_latest(records[2:])
        self.assertEqual(noted, [(None, 1, True), (1, 2, False), (2, 4, False)])

    @staticmethod
    def _document(version):
        return msgspec.json.encode({"version": version, "routes": [], "services": []})


class TestCallersWithoutRoutes(CallerTestCase):
    """The same callers, at a daemon that can not read the list of routes."""

    def setUp(self):
        super().setUp()

        async def refresh(now):
            raise NotStarted("the list of routes could not be read")

        self.refresh = refresh

    def _refuse(self, method, path=PATH):
        self.services.routes.refresh = self.refresh
        return self._call(method, path)[0]

    def test_unknown_job_is_neither_accepted_nor_denied(self):
        for method in ("POST", "GET", "DELETE"):
            with self.subTest(method=method):
                self.assertEqual(self._refuse(method), 503)
        self.assertEqual(self._refuse("GET", QUEUE.path_prefix), 503)
        self.assertEqual(self.stored, [])

    def test_known_job_is_shown(self):
        self.peers.states["pool"] = JobState.RUNNING
        self.assertEqual(self._refuse("GET"), 200)
