"""A daemon answers about a path that has moved without its knowledge.

Regression (review/12): a cancel was acknowledged and stored for the former pool of the
path only, and the job ran on in the pool to which a newer version had moved the path.
"""

import dataclasses
import types
import unittest

import anyio

from basilwind.entry.caller_app import CallerApp
from basilwind.entry.follower import CONFIRM_RETRY_S, KeyedFollower
from basilwind.entry.intake import cancellation_key
from basilwind.entry.job_locator import Grounds, JobLocator
from basilwind.entry.peer_app import PeerApp
from basilwind.entry.peer_client import PeerClient
from basilwind.entry.route_history import PastRoute
from basilwind.entry.store_monitor import UNAVAILABLE_S
from basilwind.errors import NotOwner, NotStarted, StoreRefused, StoreUnanswered
from basilwind.platform.store import KeyedRecord
from basilwind.scheduling.evidence import MAX_DENIAL_AGE_S
from basilwind.scheduling.fleet import Pool
from basilwind.scheduling.jobs import JobState, JobStatus
from basilwind.scheduling.outages import SUSPECT_AFTER_S
from basilwind.scheduling.ownership import Claim
from tests.scheduling.model import QUEUE
from tests.utils.asgi import AppTransport, call
from tests.utils.entry_fakes import CONFIGURATION, Clock, make_services

JOB = "a" * 16
KEY = cancellation_key(JOB)
PEER = Claim("e2#1", "h2:1", 2)
MOVED = dataclasses.replace(QUEUE, name="q-new", pool="new")
RUNNING = JobStatus(JobState.RUNNING, "", QUEUE.path)


def version(number, *queues):
    """Returns a ``Configuration`` with the given queues and all their pools."""
    pools = CONFIGURATION.pools | {
        name: Pool(name, True, False, "/health") for name in ("new", "newer")
    }
    return dataclasses.replace(
        CONFIGURATION,
        version=number,
        queues={queue.name: queue for queue in queues},
        pools=pools,
    )


class FakePeers:
    """Owners of the pools, and peers that the store serves.

    Attributes:
        jobs: ``JobStatus`` of the job, or None, by pool; other pools have no owner.
        path_answer: Pools that a peer tells, or None if it does not answer.
    """

    def __init__(self):
        self.jobs = {"pool": None, "new": None, "newer": None}
        self.path_answer = None

    async def job_state(self, pool, job_id, must_confirm=False):
        if pool not in self.jobs:
            raise NotOwner(pool)
        return self.jobs[pool]

    async def path_pools(self, claim, path):
        if self.path_answer is None:
            return None
        return types.SimpleNamespace(pools=self.path_answer)


class OutdatedDaemon(unittest.TestCase):
    """A daemon with version 1, whose store has version 2."""

    def setUp(self):
        self.clock = Clock()
        self.services = make_services(self.clock)
        self.services.settings.store_record_bytes = 262144
        self.configuration = self.services.configuration
        self.configuration.current = version(1, QUEUE)
        self.configuration.newer = version(2, MOVED)
        self.peers = FakePeers()
        self.stored = []
        self.lines = []
        self.services.report = self._report
        # The latest read was sent before the call.
        self.clock.now += 0.5

    def _report(self, event, **fields):
        self.lines.append((event, fields))

    def _lose_store(self, path_answer=None):
        """Has the store turn the daemon away, and perhaps serve a peer."""
        self.configuration.can_be_read = False
        self.clock.now += SUSPECT_AFTER_S + 0.1
        if path_answer is not None:
            self.services.outage.relays = lambda: [PEER]
            self.peers.path_answer = path_answer

    def _status(self, method, path=QUEUE.path_prefix + JOB):
        """Returns the status of the response to a call."""

        async def store(pool, queue, key, value, patience_s):
            self.stored.append((pool, key))

        app = CallerApp(
            self.services,
            self.peers,
            types.SimpleNamespace(store=store),
            lambda: False,
            lambda *_: None,
        )
        headers = [(b"host", b"host"), (b"x-deadline-ms", b"100")]
        answers = []

        async def send():
            answers.append(await call(app, method, path, headers=headers))

        async def main():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send)
                while not answers:
                    await anyio.sleep(0.001)
                    self.clock.now += 0.02

        anyio.run(main)
        ((start, _),) = answers
        return start["status"]


class TestCancel(OutdatedDaemon):
    def test_cancel_reaches_the_pool_of_a_version_that_this_daemon_missed(self):
        # Fails before the fix: stored for "pool" only.
        self._lose_store(["pool"])
        self.peers.jobs["new"] = RUNNING
        self.assertEqual(self._status("DELETE"), 200)
        self.assertEqual(self.stored, [("new", KEY)])
        line = dict(self.lines)["job cancel"]
        self.assertEqual((line["grounds"], line["pools"]), ("owner", ["new"]))

    def test_cancel_of_a_job_that_no_owner_has_read_yet_goes_by_the_newest_version(
        self,
    ):
        self.assertEqual(self._status("DELETE"), 200)
        self.assertEqual(set(self.stored), {("pool", KEY), ("new", KEY)})
        self.assertEqual(self.configuration.current.version, 2)

    def test_cancel_goes_by_all_versions_if_several_were_missed(self):
        newest = dataclasses.replace(QUEUE, name="q-newer", pool="newer")
        self.configuration.newer = version(3, newest)
        # Another daemon has recorded the route of the version in between.
        self.services.routes.others = {PastRoute("new", "q-new")}
        self.assertEqual(self._status("DELETE"), 200)
        pools = {pool for pool, _ in self.stored}
        self.assertEqual(pools, {"pool", "new", "newer"})

    def test_cancel_goes_by_the_version_between_two_that_lead_to_the_same_pool(self):
        self.configuration.newer = version(3, QUEUE)
        self.services.routes.others = {PastRoute("new", "q-new")}
        self.assertEqual(self._status("DELETE"), 200)
        self.assertEqual({pool for pool, _ in self.stored}, {"pool", "new"})

    def test_cancel_goes_by_what_a_peer_reads_while_the_store_turns_this_one_away(self):
        self._lose_store(["new"])
        self.assertEqual(self._status("DELETE"), 200)
        self.assertEqual(set(self.stored), {("pool", KEY), ("new", KEY)})
        self.assertEqual(dict(self.lines)["job cancel"]["grounds"], "peer")

    def test_cancel_that_nobody_can_vouch_for_is_not_acknowledged(self):
        self._lose_store()
        self.assertEqual(self._status("DELETE"), 503)
        self.assertEqual(self.stored, [])
        self.assertEqual(dict(self.lines)["job cancel"]["status"], 503)

    def test_cancel_is_refused_at_once_while_nobody_can_store_it(self):
        async def job_state(pool, job_id, must_confirm=False):
            self.fail("a refusal needs no owner")

        self._lose_store()
        self.clock.now += UNAVAILABLE_S
        self.peers.job_state = job_state
        self.assertEqual(self._status("DELETE"), 503)

    def test_read_from_before_a_suspension_proves_nothing(self):
        # A trial of the review: 2.3 s of suspension were enough.
        self.clock.now += 2.3
        self.configuration.can_be_read = False
        self.assertEqual(self._status("DELETE"), 503)

    def test_job_of_the_same_id_on_another_path_is_left_alone(self):
        elsewhere = "host", "/elsewhere/"
        self.peers.jobs["new"] = JobStatus(JobState.RUNNING, "", elsewhere)
        self.configuration.newer = None
        self.assertEqual(self._status("DELETE"), 200)
        self.assertEqual(self.stored, [("pool", KEY)])

    def test_owner_that_has_the_job_saves_reads(self):
        self.peers.jobs["pool"] = RUNNING
        self.assertEqual(self._status("DELETE"), 200)
        self.assertEqual(self.stored, [("pool", KEY)])
        self.assertEqual(self.configuration.reads, 0)


class TestDenial(OutdatedDaemon):
    """A job is denied only by a recent read of the configuration."""

    def setUp(self):
        super().setUp()
        self.clock.now += MAX_DENIAL_AGE_S

    def test_unknown_job_is_denied_after_a_read(self):
        self.assertEqual(self._status("GET"), 410)
        self.assertEqual(self.configuration.reads, 1)

    def test_job_of_an_added_pool_is_not_denied_by_an_older_version(self):
        self._lose_store()
        self.assertEqual(self._status("GET"), 503)

    def test_job_of_an_added_pool_is_found_by_what_a_peer_reads(self):
        self._lose_store(["added"])
        self.peers.jobs["added"] = RUNNING
        self.assertEqual(self._status("GET"), 200)

    def test_pool_that_only_a_peer_knows_is_not_taken_to_be_without_an_owner(self):
        self._lose_store(["added"])
        self.assertEqual(self._status("GET"), 503)

    def test_known_job_is_shown_without_a_read(self):
        self._lose_store()
        self.peers.jobs["new"] = RUNNING
        self.configuration.confirmed_at = self.clock()
        self.assertEqual(self._status("GET"), 200)
        self.peers.jobs["pool"] = RUNNING
        self.clock.now += 60.0
        self.assertEqual(self._status("GET"), 200)


class TestUnknownPath(OutdatedDaemon):
    """A path of a newer version is not refused for good, with or without customers."""

    def setUp(self):
        super().setUp()
        added = dataclasses.replace(QUEUE, path_prefix="/added/", name="q-added")
        self.configuration.newer = version(2, QUEUE, added)
        self.clock.now += self.services.settings.config_apply_s

    def test_path_that_was_added_is_served_after_a_read(self):
        # Fails before the fix: 404.
        self.peers.jobs["pool"] = RUNNING
        self.assertEqual(self._status("GET", f"/added/{JOB}"), 200)

    def test_path_that_no_version_has_is_refused_after_a_read(self):
        self.assertEqual(self._status("GET", f"/never/{JOB}"), 404)
        self.assertEqual(self._status("GET", f"/never/{JOB}"), 404)
        self.assertEqual(self.configuration.reads, 1)

    def test_path_is_not_refused_for_good_while_the_store_does_not_answer(self):
        self._lose_store()
        for method in ("GET", "POST", "DELETE"):
            self.assertEqual(self._status(method, f"/added/{JOB}"), 503)


class TestPeer(OutdatedDaemon):
    """A peer tells the pools of a path by what it has read since it was asked."""

    def _ask(self):
        app = PeerApp(lambda pool: None, None, self.services, None)

        client = PeerClient(AppTransport(app), None, None)
        answer = anyio.run(client.path_pools, PEER, QUEUE.path)
        return None if answer is None else answer.pools

    def test_newest_version_and_past_routes_count(self):
        self.services.routes.others = {PastRoute("old", "q-old")}
        self.assertEqual(self._ask(), ["new", "old"])

    def test_peer_that_can_not_read_tells_nothing(self):
        self.configuration.can_be_read = False
        self.assertIsNone(self._ask())


class TestLocator(OutdatedDaemon):
    def test_owner_that_does_not_answer_does_not_hold_up_a_cancel(self):
        async def job_state(pool, job_id, must_confirm=False):
            await anyio.sleep_forever()

        self.peers.job_state = job_state
        locator = JobLocator(self.services, self.peers)

        async def main():
            with anyio.fail_after(1.0):
                return await locator.cancel_targets(QUEUE, JOB, self.clock())

        targets = anyio.run(main)
        self.assertEqual(targets.pools, {"pool", "new"})
        self.assertIs(targets.grounds, Grounds.CONFIGURATION)

    def test_list_of_routes_is_read_as_well(self):
        async def refresh(now):
            raise NotStarted("the list of routes could not be read")

        self.services.routes.refresh = refresh
        locator = JobLocator(self.services, self.peers)
        with self.assertRaises(NotStarted):
            anyio.run(locator.cancel_targets, QUEUE, JOB, self.clock())


class TestConfirm(unittest.TestCase):
    """A follower whose long poll is silent is made to read what was added."""

    def setUp(self):
        self.clock = Clock()
        self.reads = 0
        self.answer = []
        self.passed_on = []
        self.follower = KeyedFollower(
            types.SimpleNamespace(
                read=self._read, read_latest=self._read_latest, is_suspected=False
            ),
            "keyed.x",
            lambda records: self.passed_on.extend(record.key for record in records),
            lambda records: None,
            self.clock,
        )

    async def _read_latest(self, topic):
        return [], 0

    async def _read(self, topic, start, wait_s=0.0):
        if wait_s:
            await anyio.sleep_forever()
        self.reads += 1
        await anyio.sleep(0.01)
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer

    def _run(self, *calls):
        """Runs calls beside a long poll that is never answered."""

        async def main():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.follower.run)
                await anyio.sleep(0.01)
                self.clock.now += 1.0
                for call in calls:
                    await call()
                tasks.cancel_scope.cancel()

        anyio.run(main)

    async def _confirm(self):
        self.result = await self.follower.confirm(self.clock())

    def test_what_was_added_is_passed_on_once(self):
        self.answer = [KeyedRecord(0, "a", b"1")]
        self._run(self._confirm)
        self.assertTrue(self.result)
        self.assertEqual((self.passed_on, self.follower.position), (["a"], 1))
        self.assertEqual(self.follower.confirmed_at, self.clock())

    def test_one_read_serves_all_calls_that_wait_for_it(self):
        async def confirm_many():
            async with anyio.create_task_group() as tasks:
                for _ in range(20):
                    tasks.start_soon(self._confirm)

        self._run(confirm_many)
        self.assertEqual(self.reads, 1)

    def test_record_that_another_read_has_passed_on_is_left_out(self):
        async def read(topic, start, wait_s=0.0):
            # The long poll is answered while the other read is under way.
            await anyio.sleep(0.02 if wait_s else 0.04)
            return [KeyedRecord(0, "a", b"1")] if start == 0 else []

        self.follower._store.read = read
        self._run(self._confirm)
        self.assertEqual(self.passed_on, ["a"])

    def test_store_that_refuses_or_does_not_answer_confirms_nothing(self):
        for error in (StoreRefused("503"), StoreUnanswered("reset")):
            self.answer = error
            self._run(self._confirm)
            self.assertFalse(self.result)
            self.clock.now += CONFIRM_RETRY_S

    def test_calls_after_a_failed_read_are_answered_at_once(self):
        self.answer = StoreRefused("429")
        self._run(self._confirm, self._confirm)
        self.assertEqual(self.reads, 1)
        self.assertFalse(self.result)

    def test_nothing_is_confirmed_before_the_topic_was_read(self):
        async def read_latest(topic):
            raise StoreRefused("503")

        self.follower._store.read_latest = read_latest
        self._run(self._confirm)
        self.assertFalse(self.result)
        self.assertIsNone(self.follower.confirmed_at)
