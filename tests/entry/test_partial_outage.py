"""The store turns some daemons away and serves the others."""

import dataclasses
import types
import unittest

import anyio
import msgspec

from basilwind.entry.duties import FLEET_DUTY, MAX_DAEMONS, DutyManager
from basilwind.entry.intake import intake_topic
from basilwind.entry.journal import WORKERS_KEY, journal_topic
from basilwind.entry.outage_witnesses import OutageWitnesses
from basilwind.entry.owner import PoolOwner
from basilwind.entry.peer_app import has_recorded_all
from basilwind.entry.peer_messages import DaemonResponse
from basilwind.entry.store_monitor import StoreMonitor
from basilwind.errors import NotOwner
from basilwind.platform.store import KeyedRecord
from basilwind.scheduling.outages import SUSPECT_AFTER_S, UNRECORDED_RUN_MAX_S
from basilwind.scheduling.ownership import (
    HOLDER_SILENCE_S,
    PAST_CLAIM_S,
    Claim,
    DutyTable,
)
from basilwind.scheduling.records import (
    JobRecord,
    SubmissionRecord,
    encode_workers,
)
from basilwind.scheduling.reports import ReportedRun, WorkerReport
from tests.scheduling.model import QUEUE, make_entry, make_job
from tests.utils.entry_fakes import Clock, FakeStore, make_services, serve_for_s

JOB = "a" * 16
TASK = f"{JOB}.0.0.0"
REPORT_DELAY_S = 0.3  # of the worker that executes the unrecorded run
WORKERS = {"w1": ("", 1), "w2": ("", 1)}
PREVIOUS = Claim("e2#1", "e2:1", 5, "a")


class TestSuccessor(unittest.TestCase):
    """The previous owner started a task of a recorded job without a record.

    Regression (review/3): its successor, which the store had served all the while,
    started the task again on a worker that reported earlier.
    """

    def _starts(
        self,
        has_ruled_out,
        run_s=1.0,
        is_handed_over=False,
        listed=("w1", "w2"),
        answer=None,
    ):
        clock = Clock()
        services = make_services(clock)
        entries = {name: make_entry(name) for name in listed}
        services.registry.entries_of_pool = lambda pool: entries
        services.outage_witnesses.has_ruled_out = has_ruled_out
        if answer is not None:
            services.has_previous_owner_recorded_all = answer
        serve_for_s(services.store_monitor, clock, UNRECORDED_RUN_MAX_S)
        submission = SubmissionRecord(QUEUE.name, clock(), make_job(count=1), QUEUE)
        services.store.latest[intake_topic("pool")] = [
            KeyedRecord(0, JOB, msgspec.json.encode(submission))
        ]
        services.store.latest[journal_topic("pool")] = [
            KeyedRecord(0, JOB, msgspec.json.encode(JobRecord("pending"))),
            KeyedRecord(1, WORKERS_KEY, encode_workers(WORKERS)),
        ]

        async def hold(address, worker_id, *arguments):
            await anyio.sleep(REPORT_DELAY_S if worker_id == "w2" else 0.01)
            run = ReportedRun(TASK, 1, "", 10, 0)
            return WorkerReport(clock(), 1, (run,) if worker_id == "w2" else (), ())

        services.worker_control.hold = hold

        async def main():
            with anyio.move_on_after(run_s):
                await PoolOwner("pool", 7, services, PREVIOUS, is_handed_over).run()

        anyio.run(main)
        return services.worker_control.starts

    def test_successor_that_saw_no_silence_adopts_the_unrecorded_run(self):
        self.assertEqual(self._starts(has_ruled_out=False), [])

    def test_successor_waits_for_a_recorded_worker_that_is_not_listed(self):
        self.assertEqual(self._starts(has_ruled_out=False, listed=["w1"]), [])
        starts = self._starts(has_ruled_out=True, listed=["w1"])
        self.assertEqual(starts, [(TASK, 1)])

    def test_successor_starts_at_once_if_nobody_can_have_confirmed_an_outage(self):
        run_s = REPORT_DELAY_S * 0.7
        self.assertEqual(self._starts(True, run_s), [(TASK, 1)])
        self.assertEqual(self._starts(False, run_s, is_handed_over=True), [(TASK, 1)])

    def test_owner_does_not_deny_jobs_while_others_may_accept_them(self):
        clock = Clock()
        services = make_services(clock, is_outage=True)

        async def main():
            owner = PoolOwner("pool", 7, services, is_handed_over=True)
            clock.now += HOLDER_SILENCE_S
            with self.assertRaises(NotOwner):
                await owner.job_state("b" * 16)

        anyio.run(main)

    def test_successor_starts_at_once_if_the_previous_owner_recorded_all(self):
        # Regression (fleetbench antn-basilwind-grown trouble-1, 18.6 s): the store
        # turned the owner away, and its pool of 3,800 waiting core-seconds started
        # nothing for 8.8 s, as a third of the daemons had been without the store 7 s
        # before.
        async def answer(claim, pool):
            return (claim, pool) == (PREVIOUS, "pool")

        run_s = REPORT_DELAY_S * 0.7
        starts = self._starts(has_ruled_out=False, run_s=run_s, answer=answer)
        self.assertEqual(starts, [(TASK, 1)])


class TestPreviousOwner(unittest.TestCase):
    """A new owner asks whether runs of the previous one may be unknown to it."""

    def _play(self, scenario):
        """Plays with an owner while the store is away for all daemons."""
        self.clock = Clock()
        self.services = make_services(self.clock, is_outage=True)
        self.is_store_away = False

        async def append(*arguments, **options):
            if self.is_store_away:
                await anyio.sleep_forever()
            return 0

        self.services.store.append = append

        async def main():
            owner = PoolOwner("pool", 7, self.services, is_handed_over=True)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(owner.run)
                await self._submit(owner, JOB)
                self.is_store_away = True
                await scenario(owner)
                tasks.cancel_scope.cancel()

        anyio.run(main)

    async def _submit(self, owner, job_id):
        while not owner.is_loaded:
            await anyio.sleep(0.01)
        now = self.clock()
        owner.state.submit(job_id, "q", make_job(count=1), now, now, now)
        job = owner.state.jobs[job_id]
        job.is_recorded = True
        owner.state.recorded_workers = dict.fromkeys(owner.state.workers, ("", 1))
        owner.request_scheduling()
        await anyio.sleep(0.5)

    def _answer(self, owner):
        return has_recorded_all(owner, "pool", 7, self.services)

    def test_recorded_starts_are_known_to_the_successor(self):
        async def scenario(owner):
            self.assertTrue(self._answer(owner))

        self._play(scenario)
        self.assertEqual(self.services.worker_control.starts, [(TASK, 1)])
        self.assertTrue(self._answer(None))

    def test_start_without_a_record_is_admitted(self):
        async def scenario(owner):
            await self._submit(owner, "b" * 16)
            self.assertEqual(len(self.services.worker_control.starts), 2)
            self.assertFalse(self._answer(owner))

        self._play(scenario)
        self.assertFalse(self._answer(None))

    def test_run_that_was_adopted_without_a_record_is_admitted(self):
        # Otherwise the successor would start the task a second time, as the journal
        # still has it waiting.
        async def scenario(owner):
            now = self.clock()
            owner.state.submit("b" * 16, "q", make_job(count=1), now, now, now)
            run = ReportedRun("b" * 16 + ".0.0.0", 1, "", 10, 0)
            report = WorkerReport(now, 1, (run,), ())
            owner.state.apply_report(owner.state.workers["w1"], report, now, now)
            self.assertFalse(self._answer(owner))
            owner.request_scheduling()
            await anyio.sleep(0.2)
            self.assertFalse(self._answer(owner))

        self._play(scenario)
        self.assertFalse(self._answer(None))

    def test_nothing_starts_without_a_record_after_the_answer(self):
        async def scenario(owner):
            self.assertTrue(self._answer(owner))
            await self._submit(owner, "b" * 16)

        self._play(scenario)
        self.assertEqual(len(self.services.worker_control.starts), 1)

    def test_other_owner_in_the_daemon_is_not_taken_for_the_previous_one(self):
        # A daemon may own a pool again, and then knows nothing of who had it meanwhile.
        async def scenario(owner):
            self.services.fully_recorded_pools["pool"] = 5
            self.assertFalse(has_recorded_all(owner, "pool", 6, self.services))
            self.assertFalse(has_recorded_all(owner, "pool", 8, self.services))

        self._play(scenario)


class TestWitnesses(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.monitor = StoreMonitor(self.clock)
        serve_for_s(self.monitor, self.clock, UNRECORDED_RUN_MAX_S)

    def _rules_out(self, *answers):
        """Returns whether the successor rules out an outage.

        Args:
            *answers: ``DaemonResponse`` of each witness.
        """
        claims = [Claim(f"e{n}#1", str(n), 1, "b") for n in range(len(answers))]

        async def announce(claim):
            return answers[int(claim.address)]

        duties = types.SimpleNamespace(outage_witnesses=lambda duty: claims)
        witnesses = OutageWitnesses(duties, self.monitor, announce)
        return anyio.run(witnesses.rule_out_outage, "pool/a")

    def test_all_witnesses_that_had_the_store_rule_out_an_outage(self):
        served = DaemonResponse("e#1", 0.1, False)
        self.assertTrue(self._rules_out(served, served))
        self.assertFalse(self._rules_out(served, DaemonResponse("e#1", 0.1, True)))
        self.assertFalse(self._rules_out(served, None))

    def test_daemon_that_lost_the_store_rules_out_nothing(self):
        self.assertTrue(self._rules_out())
        self.clock.now += SUSPECT_AFTER_S + 0.1
        self.assertFalse(self._rules_out())
        self.monitor.record_answer(self.clock.now)
        self.assertFalse(self._rules_out())


class TestWitnessesOfDuty(unittest.TestCase):
    """Daemons e1 in zone a to e3 in zone c; e1 is this daemon."""

    def setUp(self):
        self.table = DutyTable("e1#1", "e1")
        for token, (duty, number, zone) in enumerate(
            (("pool/a", 2, "b"), ("pool/b", 3, "c"), ("pool/c", 4, "b")), 1
        ):
            self._claim(duty, number, zone, token, 100.0)

    def _claim(self, duty, number, zone, token, now):
        claim = Claim(f"e{number}#1", f"h{number}", token, zone)
        self.table.apply_claim(duty, claim, now)

    def _witnesses(self, now):
        return {claim.address for claim in self.table.outage_witnesses("pool/a", now)}

    def test_holders_in_other_zones_than_the_previous_one_are_witnesses(self):
        self._claim("pool/a", 1, "a", 10, 101.0)
        self.assertEqual(self._witnesses(101.0), {"h3"})

    def test_holders_of_a_moment_ago_are_witnesses(self):
        self._claim("pool/b", 5, "c", 9, 101.0)
        self._claim("pool/a", 1, "a", 10, 102.0)
        self.assertEqual(self._witnesses(102.0), {"h3", "h5"})
        self.assertEqual(self._witnesses(101.5 + PAST_CLAIM_S), {"h5"})

    def test_previous_owners_in_two_zones_have_witnesses_in_all(self):
        self._claim("pool/a", 6, "c", 9, 101.0)
        self._claim("pool/a", 1, "a", 10, 102.0)
        self.assertEqual(self._witnesses(102.0), {"h2", "h3", "h4", "h6"})


class TestRelease(unittest.TestCase):
    """A daemon takes a pool over and stops before all workers have reported to it."""

    def _manager(self, clock, name="e1"):
        settings = types.SimpleNamespace(cpu_cores=1.0, zone="a", name=name)
        return DutyManager(
            FakeStore(clock, StoreMonitor(clock)),
            settings,
            f"{name}#1",
            f"{name}:1",
            clock,
            lambda: None,
            None,
        )

    def _claims(self, is_settled):
        """Returns the successor's duty manager after the release."""
        clock = Clock()
        previous, successor = self._manager(clock), self._manager(clock, "e3")
        appended = []

        async def append(topic, records, **options):
            appended.extend(records)

        previous._store.append = append
        claim = dataclasses.replace(PREVIOUS, holder="e1#1", address="e1:1")
        for manager in (previous, successor):
            manager._record_claim("pool/a", claim)
            manager._record_claim(FLEET_DUTY, claim)
        anyio.run(previous.release_all, lambda duty: is_settled or duty == FLEET_DUTY)
        records = []
        for framed in appended:
            end = 5 + framed[4]
            records.append(KeyedRecord(9, framed[5:end].decode(), framed[end:]))
        successor._apply_records(records)
        claim = dataclasses.replace(PREVIOUS, holder="e3#1", token=11)
        successor._record_claim("pool/a", claim)
        successor._record_claim(FLEET_DUTY, claim)
        return successor

    def test_release_hands_over_what_the_holder_knew(self):
        successor = self._claims(is_settled=True)
        self.assertTrue(successor.is_handed_over("pool/a"))
        self.assertIsNone(successor.previous_claim("pool/a"))

    def test_release_during_a_takeover_is_no_hand_over(self):
        successor = self._claims(is_settled=False)
        self.assertFalse(successor.is_handed_over("pool/a"))
        self.assertIsNotNone(successor.previous_claim("pool/a"))
        self.assertTrue(successor.is_handed_over(FLEET_DUTY))


class TestHeartbeats(unittest.TestCase):
    """Each start of a daemon adds a heartbeat, which tells where it can be reached."""

    def _duties(self):
        clock = Clock()
        settings = types.SimpleNamespace(cpu_cores=1.0, zone="a", name="e1")
        store = FakeStore(clock, StoreMonitor(clock))
        return DutyManager(
            store, settings, "e1#2", "10.0.0.1:1", clock, lambda: None, None
        )

    def _heartbeat(self, offset, key, value=b'["10.0.0.2:1","b"]'):
        return KeyedRecord(offset, key, value)

    def test_other_daemons_are_known_by_their_newest_heartbeat(self):
        duties = self._duties()
        newer = self._heartbeat(9, "e2#2", b'["10.0.0.3:1","b"]')
        duties._apply_heartbeats([newer, self._heartbeat(3, "e2#1")])
        duties._apply_heartbeats(
            [self._heartbeat(4, "e1#2"), KeyedRecord(5, "e3#1", b"1")]
        )
        (claim,) = duties.known_daemons()
        self.assertEqual((claim.holder, claim.address), ("e2#2", "10.0.0.3:1"))
        duties._apply_heartbeats([self._heartbeat(10, "e2#2", b"")])
        self.assertEqual(duties.known_daemons(), [])

    def test_heartbeats_do_not_add_up(self):
        duties = self._duties()
        duties._apply_heartbeats([self._heartbeat(1, "e1#1")])
        others = [self._heartbeat(n, f"h{n}#1") for n in range(2, MAX_DAEMONS)]
        duties._apply_heartbeats(others)
        self.assertEqual(duties._outdated_heartbeats(), ["e1#1"])
        more = [self._heartbeat(n, f"h{n}#1") for n in range(MAX_DAEMONS, 530)]
        duties._apply_heartbeats(more)
        self.assertEqual(len(duties._outdated_heartbeats()), 530 - 1 - MAX_DAEMONS)
