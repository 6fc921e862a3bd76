import unittest

import anyio

from basilwind.entry.intake import REFUSE_AFTER_S, RETRY_S, Intake
from basilwind.entry.store_watch import AWAY_S, StoreWatch
from basilwind.errors import NotStarted, StoreRefused, StoreUnanswered
from basilwind.scheduling.outages import SUSPECT_AFTER_S


class FakeStore:
    """A store whose next answers are given; afterwards all appends succeed."""

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
    """Submissions while the store answers late, not at all, or turns calls away."""

    def setUp(self):
        self.now = 100.0
        self.watch = StoreWatch(lambda: self.now)

    def _run(self, store, play):
        async def main():
            intake = Intake(store, "pool", "daemon#1", self.watch)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(intake.run)
                await play(intake)
                tasks.cancel_scope.cancel()

        anyio.run(main)

    def test_lost_answer_is_repeated_under_the_same_sequence(self):
        store = FakeStore(StoreUnanswered("late"))
        self._run(store, lambda intake: intake.submit("a" * 16, b"job"))
        (first, second) = store.appends
        self.assertEqual(first, second)

    def test_store_that_turns_away_makes_a_refusal_that_is_true(self):
        async def play(intake):
            with self.assertRaises(NotStarted):
                await intake.submit("a" * 16, b"job")
            store.answers.clear()
            await intake.submit("b" * 16, b"job")

        store = FakeStore(*[StoreRefused("busy") for _ in range(40)])
        self._run(store, play)
        last, _ = store.appends[-1]
        self.assertEqual(len(last), 1)
        self.assertIn(b"b" * 16, last[0])

    def test_repeat_of_a_job_in_doubt_is_not_refused(self):
        # The first attempt may be stored: its caller got no answer in time.
        async def play(intake):
            with anyio.move_on_after(RETRY_S):
                await intake.submit("a" * 16, b"job")
            with anyio.move_on_after(1.5) as scope:
                await intake.submit("a" * 16, b"job")
            self.assertTrue(scope.cancelled_caught)

        store = FakeStore(*[StoreUnanswered("silent") for _ in range(100)])
        self._run(store, play)

    def test_nothing_is_sent_to_a_store_that_fell_silent(self):
        # fleetbench cordillera-flota-grown trouble-3: 190 callers got 504 in two
        # outages; after that they can't try again.
        async def play(intake):
            self.now += SUSPECT_AFTER_S + 0.1
            with self.assertRaises(NotStarted):
                await intake.submit("a" * 16, b"job")

        store = FakeStore()
        self._run(store, play)
        self.assertEqual(store.appends, [])

    def test_store_that_is_away_is_not_waited_for(self):
        async def play(intake):
            self.now += AWAY_S + 0.1
            with anyio.fail_after(0.1), self.assertRaises(NotStarted):
                await intake.submit("a" * 16, b"job")

        self._run(FakeStore(), play)

    def test_submission_refused_while_the_store_is_asked_is_never_sent(self):
        # fleetbench kivimagi-inv-grown hunt-0935-3: REFUSED, nine jobs ran after 503.
        class ReturningStore(FakeStore):
            async def ping(ping_store):
                await anyio.sleep(REFUSE_AFTER_S + 0.2)
                self.watch.note_answer()

        async def play(intake):
            self.now += SUSPECT_AFTER_S + 0.1
            with self.assertRaises(NotStarted):
                await intake.submit("a" * 16, b"job")
            await intake.submit("b" * 16, b"job")

        store = ReturningStore()
        self._run(store, play)
        sent = [record for records, _ in store.appends for record in records]
        self.assertEqual(len(sent), 1)
        self.assertIn(b"b" * 16, sent[0])
