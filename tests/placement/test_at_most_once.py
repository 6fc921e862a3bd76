"""Requests with an idempotency key run at most once, whatever fails."""

import unittest

import anyio
import uuid6

from basilwind.client import SubmitOptions
from basilwind.models import OutcomeKind
from basilwind.standin.platform import PlatformFaults
from basilwind.standin.worker import WorkerFaults
from tests.utils.fleet import run_async, running_fleet

WORK = b'{"work_s": %g, "tag": "%s"}'


def new_key():
    return str(uuid6.uuid7())


def body(key, work_s=0.05):
    return WORK % (work_s, key.encode())


def keyed_options(key, deadline_s=8.0):
    return SubmitOptions(idempotent=False, key=key, deadline_s=deadline_s)


class TestResentKey(unittest.TestCase):
    """The same key is sent to two entry hosts."""

    async def send_twice(self, fleet, first, second, work_s=0.05):
        key = new_key()
        replies = []

        async def send(name):
            replies.append(
                await fleet.submit(name, body(key, work_s), keyed_options(key))
            )

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send, first)
            await anyio.sleep(work_s / 2)
            tasks.start_soon(send, second)
        await send(second)
        return key, [reply.outcome for reply in replies]

    @run_async
    async def test_same_zone_with_log_up(self):
        async with running_fleet() as fleet:
            key, outcomes = await self.send_twice(fleet, "zone-a-e1", "zone-a-e2")
            self.assertEqual(outcomes, [OutcomeKind.DONE] * 3)
            self.assertEqual(len(fleet.runs(key)), 1)

    @run_async
    async def test_other_zone_with_log_up(self):
        async with running_fleet(zones=("zone-a", "zone-b"), entry_hosts=1) as fleet:
            for _ in range(4):
                key, outcomes = await self.send_twice(fleet, "zone-a-e1", "zone-b-e1")
                self.assertEqual(outcomes, [OutcomeKind.DONE] * 3)
                self.assertEqual(len(fleet.runs(key)), 1)

    @run_async
    async def test_same_zone_with_log_down(self):
        async with running_fleet() as fleet:
            fleet.platform.faults = PlatformFaults(is_down=True)
            await anyio.sleep(1.5)
            key, outcomes = await self.send_twice(fleet, "zone-a-e1", "zone-a-e2")
            self.assertEqual(len(fleet.runs(key)), 1)
            self.assertEqual(outcomes, [OutcomeKind.DONE] * 3)

    @run_async
    async def test_other_zone_with_log_down(self):
        async with running_fleet(zones=("zone-a", "zone-b")) as fleet:
            fleet.platform.faults = PlatformFaults(is_down=True)
            await anyio.sleep(1.5)
            for _ in range(4):
                key, outcomes = await self.send_twice(fleet, "zone-a-e1", "zone-b-e1")
                self.assertEqual(len(fleet.runs(key)), 1)
                self.assertEqual(outcomes, [OutcomeKind.DONE] * 3)

    @run_async
    async def test_different_body_under_the_same_key_is_refused(self):
        async with running_fleet() as fleet:
            key = new_key()
            await fleet.submit("zone-a-e1", body(key), keyed_options(key))
            reply = await fleet.submit("zone-a-e2", body(key, 0.01), keyed_options(key))
            self.assertEqual(reply.status, 422)
            self.assertEqual(len(fleet.runs(key)), 1)


class TestWorkerFaults(unittest.TestCase):
    """Answers of workers are lost after the first byte of a task was sent."""

    async def submit_under(self, faults, deadline_s=6.0):
        async with running_fleet(hosts_per_shard=1) as fleet:
            for worker in fleet.workers.values():
                worker.faults = faults
            key = new_key()
            options = keyed_options(key, deadline_s)
            reply = await fleet.submit("zone-a-e1", body(key), options)
            resent = await fleet.submit("zone-a-e2", body(key), options)
            return reply, resent, len(fleet.runs(key))

    @run_async
    async def test_connection_reset_is_resolved_by_the_workers_record(self):
        faults = WorkerFaults(reset_after_run=1)
        reply, resent, runs = await self.submit_under(faults)
        self.assertEqual((reply.outcome, runs), (OutcomeKind.DONE, 1))
        self.assertEqual(resent.outcome, OutcomeKind.DONE)

    @run_async
    async def test_truncated_answer_is_never_passed_on(self):
        reply, _, runs = await self.submit_under(WorkerFaults(truncate=1))
        self.assertEqual((reply.outcome, runs), (OutcomeKind.DONE, 1))
        self.assertIn(b'"padding":""', reply.body)

    @run_async
    async def test_answer_of_another_task_is_not_passed_on(self):
        reply, _, runs = await self.submit_under(WorkerFaults(wrong_id=1))
        self.assertEqual((reply.outcome, runs), (OutcomeKind.DONE, 1))

    @run_async
    async def test_silent_connection_is_detected_over_new_connections(self):
        reply, _, runs = await self.submit_under(WorkerFaults(silent=1))
        self.assertEqual((reply.outcome, runs), (OutcomeKind.DONE, 1))

    @run_async
    async def test_lost_task_is_proven_not_run_and_placed_again(self):
        reply, _, runs = await self.submit_under(WorkerFaults(swallow=1))
        self.assertEqual((reply.outcome, runs), (OutcomeKind.DONE, 1))

    @run_async
    async def test_task_refused_by_the_worker_is_not_run(self):
        faults = WorkerFaults(refuse_all=True)
        reply, _, runs = await self.submit_under(faults, deadline_s=1.0)
        self.assertEqual((reply.outcome, runs), (OutcomeKind.REFUSED, 0))

    @run_async
    async def test_lost_worker_records_make_the_outcome_unknown(self):
        async with running_fleet(hosts_per_shard=1) as fleet:
            (worker,) = fleet.workers.values()
            worker.faults = WorkerFaults(silent=1)
            key = new_key()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(restart_after, worker, 0.5)
                reply = await fleet.submit(
                    "zone-a-e1", body(key), keyed_options(key, 5.0)
                )
            self.assertEqual(reply.outcome, OutcomeKind.UNKNOWN)
            self.assertEqual(len(fleet.runs(key)), 1)


async def restart_after(worker, seconds):
    await anyio.sleep(seconds)
    worker.restart()


class TestLogFaults(unittest.TestCase):
    @run_async
    async def test_entries_are_read_back_after_lost_append_answers(self):
        async with running_fleet() as fleet:
            fleet.platform.faults = PlatformFaults(lose_answers=3)
            key = new_key()
            for name in ("zone-a-e1", "zone-a-e2"):
                reply = await fleet.submit(name, body(key), keyed_options(key))
                self.assertEqual(reply.outcome, OutcomeKind.DONE)
            self.assertEqual(len(fleet.runs(key)), 1)

    @run_async
    async def test_isolated_owner_answers_unknown_under_a_key(self):
        async with running_fleet() as fleet:
            owner = fleet.owner()
            await fleet.isolate(owner)
            await anyio.sleep(2.0)
            key = new_key()
            reply = await fleet.submit(owner, body(key), keyed_options(key, 2.0))
            self.assertEqual(reply.outcome, OutcomeKind.UNKNOWN)
            self.assertIn("retry-after", reply.headers)
            self.assertEqual(len(fleet.runs(key)), 0)

    @run_async
    async def test_idempotent_requests_are_served_while_the_log_is_down(self):
        async with running_fleet() as fleet:
            fleet.platform.faults = PlatformFaults(is_down=True)
            await anyio.sleep(1.5)
            reply = await fleet.submit("zone-a-e1", body("x"))
            self.assertEqual(reply.outcome, OutcomeKind.DONE)


class TestOwnerLost(unittest.TestCase):
    @run_async
    async def test_owner_crash_between_started_and_finished(self):
        async with running_fleet(entry_hosts=3) as fleet:
            owner = fleet.owner()
            other = fleet.others(owner)[0]
            key = new_key()
            replies = []

            async def send():
                options = keyed_options(key, 20.0)
                replies.append(await fleet.submit(other, body(key, 1.0), options))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send)
                await fleet.wait_for(lambda: fleet.runs(key))
                await fleet.crash(owner)
            self.assertEqual(replies[0].outcome, OutcomeKind.DONE)
            self.assertEqual(len(fleet.runs(key)), 1)

    @run_async
    async def test_owner_isolated_with_work_in_flight(self):
        async with running_fleet(entry_hosts=3) as fleet:
            owner = fleet.owner()
            other = fleet.others(owner)[0]
            key = new_key()
            replies = []

            async def send(name):
                options = keyed_options(key, 15.0)
                replies.append(await fleet.submit(name, body(key, 1.0), options))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send, owner)
                await fleet.wait_for(lambda: fleet.runs(key))
                await fleet.isolate(owner)
                tasks.start_soon(send, other)
            self.assertEqual(len(fleet.runs(key)), 1)
            outcomes = {reply.outcome for reply in replies}
            self.assertEqual(outcomes, {OutcomeKind.DONE})

    @run_async
    async def test_crash_of_the_owner_while_the_log_is_down(self):
        async with running_fleet(entry_hosts=2) as fleet:
            owner = fleet.owner()
            (other,) = fleet.others(owner)
            fleet.platform.faults = PlatformFaults(is_down=True)
            await anyio.sleep(1.5)
            key = new_key()
            reply = await fleet.submit(owner, body(key), keyed_options(key))
            self.assertEqual(reply.outcome, OutcomeKind.DONE)
            await fleet.crash(owner)
            resent = await fleet.submit(other, body(key), keyed_options(key, 2.0))
            self.assertEqual(resent.outcome, OutcomeKind.UNKNOWN)
            fleet.platform.faults = PlatformFaults()
            await fleet.wait_for(lambda: fleet.owner() == other)
            resent = await fleet.submit(other, body(key), keyed_options(key))
            self.assertEqual(resent.outcome, OutcomeKind.DONE)
            self.assertEqual(len(fleet.runs(key)), 1)

    @run_async
    async def test_owner_isolated_from_its_peers_only_does_not_reclaim(self):
        async with running_fleet(entry_hosts=3) as fleet:
            owner = fleet.owner()
            other = fleet.others(owner)[0]
            await fleet.isolate(owner, platform=False)
            await fleet.wait_for(lambda: fleet.owner() not in (None, owner))
            for _ in range(20):
                key = new_key()
                reply = await fleet.submit(other, body(key), keyed_options(key, 6.9))
                self.assertEqual(reply.outcome, OutcomeKind.DONE)
                self.assertEqual(len(fleet.runs(key)), 1)
                await anyio.sleep(0.1)
