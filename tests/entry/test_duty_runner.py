import unittest

import anyio

from basilwind.entry.duty_runner import DutyRunner
from basilwind.errors import ProducerFenced


class FakeDutyManager:
    """A duty manager whose duties the test sets."""

    def __init__(self, **held):
        self.held = held
        self.lost = []

    def held_tokens(self):
        return dict(self.held)

    def mark_lost(self, duty):
        self.lost.append(duty)
        del self.held[duty]


class FakeWork:
    """Work that runs until cancelled, or raises an error when it starts."""

    def __init__(self, token, error=None):
        self.token = token
        self.is_running = False
        self._error = error

    async def run(self):
        if self._error is not None:
            raise self._error
        self.is_running = True
        try:
            await anyio.sleep_forever()
        finally:
            self.is_running = False


class TestDutyRunner(unittest.TestCase):
    """Duties are won, lost, and won again with a later token."""

    def _run(self, duties, scenario, error=None):
        self.created = []

        def create_work(duty, token):
            if duty == "none":
                return None
            self.created.append(FakeWork(token, error))
            return self.created[-1]

        async def main():
            runner = DutyRunner(duties, create_work)
            async with anyio.create_task_group() as tasks:
                runner.sync(tasks)
                await anyio.wait_all_tasks_blocked()
                await scenario(runner, tasks)
                tasks.cancel_scope.cancel()

        anyio.run(main)

    def test_later_token_restarts_work(self):
        async def scenario(runner, tasks):
            duties.held["a"] = 5
            runner.sync(tasks)
            await anyio.wait_all_tasks_blocked()
            self.assertEqual([w.is_running for w in self.created], [False, True])
            self.assertEqual(runner.find("a").token, 5)

        duties = FakeDutyManager(a=1)
        self._run(duties, scenario)

    def test_duty_lost_before_its_work_starts_runs_nothing(self):
        async def scenario(runner, tasks):
            duties.held["b"] = 7
            runner.sync(tasks)
            del duties.held["b"]
            runner.sync(tasks)
            await anyio.wait_all_tasks_blocked()
            self.assertFalse(self.created[-1].is_running)
            self.assertIsNone(runner.find("b"))

        duties = FakeDutyManager(a=1)
        self._run(duties, scenario)

    def test_fenced_work_marks_duty_lost(self):
        async def scenario(runner, tasks):
            self.assertEqual(duties.lost, ["a"])

        duties = FakeDutyManager(a=1)
        self._run(duties, scenario, ProducerFenced("a later token was used"))

    def test_unexpected_error_gives_up_only_that_duty(self):
        async def scenario(runner, tasks):
            self.assertEqual(duties.lost, ["a"])
            self.assertFalse(tasks.cancel_scope.cancel_called)

        duties = FakeDutyManager(a=1)
        self._run(duties, scenario, KeyError("unexpected"))

    def test_duty_without_work_runs_nothing(self):
        async def scenario(runner, tasks):
            self.assertEqual((self.created, runner.find_by_prefix("n")), ([], []))

        self._run(FakeDutyManager(none=1), scenario)
