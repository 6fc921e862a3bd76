"""What an owner logs of the orders that it sends and of the state that it restores."""

import types
import unittest
from dataclasses import replace
from unittest import mock

import anyio

from basilwind.entry.duties import PAUSE_S, DutyManager
from basilwind.entry.journal import journal_topic
from basilwind.entry.owner import HOUSEKEEPING_S, PoolOwner
from basilwind.entry.store_monitor import StoreMonitor
from basilwind.entry.worker_leases import RECONNECT_DELAY_S
from basilwind.errors import CallRefused, WorkerReplaced
from basilwind.scheduling.jobs import TaskState
from basilwind.scheduling.ownership import MAX_STORE_SILENCE_S, Claim
from tests.scheduling.model import LEASE_S, LONGEST_RUN_S, make_job
from tests.utils.entry_fakes import Clock, FakeStore, make_services

JOB = "a" * 16
SETTLE_S = 0.3  # some scheduling rounds


class TestOwnerEvents(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.events = []
        self.services = make_services(
            self.clock, lambda event, **fields: self.events.append((event, fields))
        )

    def _fields(self, event):
        return [fields for name, fields in self.events if name == event]

    def _run(self, scenario, *claim):
        async def main():
            owner = PoolOwner("pool", 7, self.services, *claim)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(owner.run)
                await anyio.sleep(SETTLE_S)
                await scenario(owner)
                tasks.cancel_scope.cancel()

        anyio.run(main)

    async def _submit(self, owner, count=3):
        now = self.clock()
        owner.state.submit(JOB, "q", make_job(count=count), now, now, now)
        owner.request_scheduling()
        await anyio.sleep(SETTLE_S)

    def test_sent_orders_of_a_step_share_a_line_with_leases_and_ages(self):
        self._run(self._submit)
        (fields,) = self._fields("runs ordered")
        self.assertEqual((fields["step"], fields["token"]), (f"{JOB}.0.0", 7))
        self.assertEqual(fields["authority_age_s"], 0.0)
        rows = [[n, 1, "w1", self.clock() + LEASE_S, 0.0, 0.0] for n in range(3)]
        self.assertEqual(fields["runs"], rows)

    def test_order_whose_task_was_taken_back_is_logged_as_withdrawn(self):
        async def scenario(owner):
            def take_back(topic):
                if topic == journal_topic("pool"):
                    for task in owner.state.jobs[JOB].tasks():
                        task.state = TaskState.WAITING

            self.services.store.on_append = take_back
            await self._submit(owner, count=1)

        self._run(scenario)
        fields = self._fields("start withdrawn")[0]
        self.assertEqual(
            [fields[name] for name in ("task", "run", "worker", "token", "state")],
            [f"{JOB}.0.0.0", 1, "w1", 7, "waiting"],
        )
        self.assertEqual(self._fields("runs ordered"), [])

    def _refuse_holds(self, error, is_leaving):
        """Runs an owner with one running task whose worker answers no more holds.

        Args:
            error: Error that each hold raises.
            is_leaving: Whether the worker drains and the registry has dropped it.

        Returns:
            Number of the task's run while the worker's lease may last, or None if it
            was given up, and the ``TaskState`` after that.
        """
        self.setUp()
        outcome = []

        async def scenario(owner):
            await self._submit(owner, count=1)

            async def refuse(*arguments):
                raise error

            view = owner.state.workers["w1"]
            view.update_entry(replace(view.entry, is_draining=is_leaving))
            view.is_listed = not is_leaving
            self.services.worker_control.hold = refuse
            await anyio.sleep(SETTLE_S)
            (task,) = owner.state.jobs[JOB].tasks()
            outcome.append(task.run if task.is_active else None)
            self.clock.now += LONGEST_RUN_S
            await anyio.sleep(SETTLE_S + HOUSEKEEPING_S)
            outcome.append(task.state)

        self._run(scenario)
        return outcome

    def test_runs_of_a_leaving_worker_that_refuses_connections_may_go_on(self):
        # Regression: a draining worker stops listening and is dropped by the registry
        # before its runs have ended; they were started again elsewhere at once.
        run, state = self._refuse_holds(CallRefused("refused"), True)
        self.assertEqual(run, 1)
        self.assertIs(state, TaskState.WAITING)
        self.assertEqual(len(self._fields("lease lapsed")), 1)

    def test_runs_of_a_worker_whose_address_another_one_has_may_go_on(self):
        # Regression: another worker at the address of a worker was taken for proof that
        # its runs had ended.
        run, state = self._refuse_holds(WorkerReplaced("421"), False)
        self.assertEqual(run, 1)
        self.assertIs(state, TaskState.WAITING)
        self.assertEqual(len(self._fields("worker replaced")), 1)
        self.assertEqual(len(self._fields("runs lost")), 1)
        self.assertEqual(len(self._fields("lease lapsed")), 1)

    def test_worker_that_answers_again_at_its_address_gets_tasks(self):
        # Regression: one that another had replaced for a moment got no task for ever.
        async def scenario(owner):
            view = owner.state.workers["w1"]
            answer, errors = self.services.worker_control.hold, [WorkerReplaced("421")]

            async def hold(*arguments):
                if errors:
                    raise errors.pop()
                return await answer(*arguments)

            self.services.worker_control.hold = hold
            await anyio.sleep(SETTLE_S)
            self.assertTrue(view.is_replaced)
            await anyio.sleep(RECONNECT_DELAY_S)
            self.assertFalse(view.is_replaced)
            await self._submit(owner, count=1)
            self.assertEqual(len(self._fields("runs ordered")), 1)

        self._run(scenario)

    def test_takeover_is_logged_with_the_previous_claim_and_its_leases(self):
        async def idle(owner):
            pass

        for claim, is_handed_over, leases_s, expected in (
            (None, True, LONGEST_RUN_S, (None, None)),
            (
                Claim("e2#5", "", 6),
                False,
                LONGEST_RUN_S + MAX_STORE_SILENCE_S,
                ("e2#5", 6),
            ),
        ):
            with self.subTest(claim=claim):
                self.setUp()
                self._run(idle, claim, is_handed_over)
                (fields,) = self._fields("pool taken over")
                self.assertEqual(
                    (fields["previous_holder"], fields["previous_token"]), expected
                )
                self.assertEqual(fields["is_handed_over"], is_handed_over)
                self.assertAlmostEqual(fields["previous_leases_s"], leases_s, 3)

    def test_end_of_ownership_is_logged_with_the_last_extension_of_leases(self):
        async def scenario(owner):
            await self._submit(owner, count=1)
            self.clock.now += MAX_STORE_SILENCE_S + 1.0

        self._run(scenario)
        (fields,) = self._fields("pool given up")
        self.assertEqual((fields["token"], fields["runs"]), (7, 1))
        for name in ("extension_age_s", "authority_age_s"):
            self.assertEqual(fields[name], MAX_STORE_SILENCE_S + 1.0)


class TestDutyEvents(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.events = []
        logged = mock.patch(
            "basilwind.entry.duties.log",
            lambda event, **fields: self.events.append((event, fields)),
        )
        logged.start()
        self.addCleanup(logged.stop)
        settings = types.SimpleNamespace(cpu_cores=1.0, zone="a", name="e1")
        store = FakeStore(self.clock, StoreMonitor(self.clock))
        self.duties = DutyManager(
            store, settings, "e1#1", "e1:1", self.clock, lambda: None, None
        )

    def test_claim_is_logged_with_the_one_before(self):
        self.duties._record_claim("pool/a", Claim("e2#5", "e2:1", 6))
        self.duties._record_claim("pool/a", Claim("e1#1", "e1:1", 9))
        _, fields = self.events[-1]
        self.assertEqual(
            (fields["previous_holder"], fields["previous_token"]), ("e2#5", 6)
        )
        self.assertFalse(fields["is_handed_over"])
        self.assertTrue(fields["may_previous_be_active"])

    def test_process_that_stood_still_logs_for_how_long(self):
        self.clock.now += PAUSE_S / 2
        self.duties._update_heartbeats_reliable_since()
        self.assertEqual(self.events, [])
        self.clock.now += 4.0
        self.duties._update_heartbeats_reliable_since()
        self.assertEqual(self.events, [("duty check late", {"seconds": 4.0})])
