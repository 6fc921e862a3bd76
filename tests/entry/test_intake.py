import unittest

import anyio

from basilwind.entry.intake import REFUSE_AFTER_S, RETRY_S, Intake
from basilwind.entry.store_monitor import UNAVAILABLE_S, StoreMonitor
from basilwind.entry.supervisor import supervise
from basilwind.errors import NotStarted, StoreRefused, StoreUnanswered
from basilwind.scheduling.outages import SUSPECT_AFTER_S


class FakeStore:
    """A store that raises the given errors in order; later appends succeed."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.appends = []

    async def ping(self):
        raise StoreUnanswered("silent")

    async def append(self, topic, records, producer=None):
        self.appends.append((tuple(records), producer))
        if self.answers:
            raise self.answers.pop(0)


class TestIntake(unittest.TestCase):
    """Submissions while the store answers late, does not answer, or rejects calls."""

    def setUp(self):
        self.now = 100.0
        self.monitor = StoreMonitor(lambda: self.now)

    def _run(self, store, scenario):
        async def main():
            intake = Intake(store, "pool", "daemon#1", self.monitor)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(intake.run)
                await scenario(intake)
                tasks.cancel_scope.cancel()

        anyio.run(main)

    def test_unanswered_append_is_retried_with_same_sequence(self):
        store = FakeStore(StoreUnanswered("late"))
        self._run(store, lambda intake: intake.store("a" * 16, b"job"))
        (first, second) = store.appends
        self.assertEqual(first, second)

    def test_run_after_unexpected_error_starts_a_new_sequence(self):
        store = FakeStore(KeyError("unexpected"))

        async def main():
            intake = Intake(store, "pool", "daemon#1", self.monitor)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(supervise, "intake", intake.run)
                with anyio.move_on_after(0.05):
                    await intake.store("a" * 16, b"job")
                await intake.store("b" * 16, b"job")
                tasks.cancel_scope.cancel()

        anyio.run(main)
        producers = [(p.epoch, p.sequence) for _, p in store.appends]
        self.assertEqual(producers, [(1, 1), (2, 1)])

    def test_refused_submission_is_not_sent_later(self):
        async def scenario(intake):
            with self.assertRaises(NotStarted):
                await intake.store("a" * 16, b"job")
            store.answers.clear()
            await intake.store("b" * 16, b"job")

        store = FakeStore(*[StoreRefused("busy") for _ in range(40)])
        self._run(store, scenario)
        last, _ = store.appends[-1]
        self.assertEqual(len(last), 1)
        self.assertIn(b"b" * 16, last[0])

    def test_retry_of_unanswered_submission_is_not_refused(self):
        # The first attempt may have been stored although its caller got no answer.
        async def scenario(intake):
            with anyio.move_on_after(RETRY_S):
                await intake.store("a" * 16, b"job")
            with anyio.move_on_after(1.5) as scope:
                await intake.store("a" * 16, b"job")
            self.assertTrue(scope.cancelled_caught)

        store = FakeStore(*[StoreUnanswered("silent") for _ in range(100)])
        self._run(store, scenario)

    def test_nothing_is_sent_to_silent_store(self):
        # Submissions were sent during two store outages, and 190 callers got 504, after
        # which they can't retry (fleetbench cordillera-flota-grown, trouble-3).
        async def scenario(intake):
            self.now += SUSPECT_AFTER_S + 0.1
            with self.assertRaises(NotStarted):
                await intake.store("a" * 16, b"job")

        store = FakeStore()
        self._run(store, scenario)
        self.assertEqual(store.appends, [])

    def test_record_that_is_not_sent_in_its_time_is_withdrawn(self):
        async def scenario(intake):
            self.now += SUSPECT_AFTER_S + 0.1
            with anyio.fail_after(REFUSE_AFTER_S / 2), self.assertRaises(NotStarted):
                await intake.store("a" * 16, b"job", patience_s=0.2)

        store = FakeStore()
        self._run(store, scenario)
        self.assertEqual(store.appends, [])

    def test_unavailable_store_causes_immediate_refusal(self):
        async def scenario(intake):
            self.now += UNAVAILABLE_S + 0.1
            with anyio.fail_after(0.1), self.assertRaises(NotStarted):
                await intake.store("a" * 16, b"job")

        self._run(FakeStore(), scenario)

    def test_submission_refused_during_store_check_is_never_sent(self):
        # Nine jobs ran although their callers had been refused with 503, since their
        # records were sent after it (fleetbench kivimagi-inv-grown, hunt-0935-3).
        class ReturningStore(FakeStore):
            async def ping(ping_store):
                await anyio.sleep(REFUSE_AFTER_S + 0.2)
                self.monitor.record_answer(self.now)

        async def scenario(intake):
            self.now += SUSPECT_AFTER_S + 0.1
            with self.assertRaises(NotStarted):
                await intake.store("a" * 16, b"job")
            await intake.store("b" * 16, b"job")

        store = ReturningStore()
        self._run(store, scenario)
        sent = [record for records, _ in store.appends for record in records]
        self.assertEqual(len(sent), 1)
        self.assertIn(b"b" * 16, sent[0])
