"""Admission, limits, failing workers and drains on a running fleet."""

import time
import unittest

import anyio

from basilwind.client import SubmitOptions
from basilwind.control.records import HostAction
from basilwind.control.state import HostPhase
from basilwind.models import OutcomeKind
from basilwind.standin.worker import WorkerFaults
from tests.utils.fleet import run_async, running_fleet

URGENT_TARGET_S = 6.9


def body(tag, work_s=0.05):
    return b'{"work_s": %g, "tag": "%s"}' % (work_s, tag.encode())


async def send_many(fleet, name, count, work_s, options=None, tag="t"):
    replies = []

    async def send(index):
        text = body(f"{tag}{index}", work_s)
        replies.append(await fleet.submit(name, text, options))

    async with anyio.create_task_group() as tasks:
        for index in range(count):
            tasks.start_soon(send, index)
    return replies


def count_outcomes(replies, outcome):
    return sum(reply.outcome is outcome for reply in replies)


class TestOverload(unittest.TestCase):
    @run_async
    async def test_never_more_tasks_than_slots(self):
        async with running_fleet() as fleet:
            replies = await send_many(fleet, "zone-a-e1", 100, 0.05)
            self.assertEqual(count_outcomes(replies, OutcomeKind.DONE), 100)
            for worker in fleet.workers.values():
                self.assertLessEqual(worker.ledger.most_running, worker.slots)
                self.assertEqual(worker.ledger.refused, 0)

    @run_async
    async def test_full_queue_refuses_at_once_with_retry_after(self):
        async with running_fleet(max_waiting=10) as fleet:
            started = time.monotonic()
            options = SubmitOptions(deadline_s=30.0)
            replies = []
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send_many, fleet, "zone-a-e1", 26, 1.0, options)
                await anyio.sleep(0.3)
                replies += await send_many(fleet, "zone-a-e2", 20, 1.0, options, "r")
                refused_after_s = time.monotonic() - started
            self.assertEqual(count_outcomes(replies, OutcomeKind.REFUSED), 20)
            self.assertLess(refused_after_s, 3.0)
            for reply in replies:
                self.assertEqual(reply.status, 429)
                self.assertGreaterEqual(int(reply.headers["retry-after"]), 1)
            for index in range(20):
                self.assertEqual(fleet.runs(f"r{index}"), [])

    @run_async
    async def test_request_that_never_fits_is_refused_at_once(self):
        async with running_fleet() as fleet:
            reply = await fleet.submit(
                "zone-a-e1", body("t"), SubmitOptions(slots=9, deadline_s=30.0)
            )
            self.assertEqual(reply.status, 422)
            self.assertEqual(reply.reason, "never_fits")

    @run_async
    async def test_urgent_work_starts_in_time_under_overload(self):
        async with running_fleet() as fleet:
            options = SubmitOptions(deadline_s=30.0)
            urgent = SubmitOptions(urgent=True, deadline_s=URGENT_TARGET_S)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send_many, fleet, "zone-a-e1", 200, 0.5, options)
                await anyio.sleep(0.5)
                replies = await send_many(fleet, "zone-a-e2", 8, 0.1, urgent, "u")
                tasks.cancel_scope.cancel()
            self.assertEqual(count_outcomes(replies, OutcomeKind.DONE), 8)

    @run_async
    async def test_worker_that_fails_everything_is_ejected(self):
        async with running_fleet(hosts_per_shard=3) as fleet:
            broken = next(iter(fleet.workers.values()))
            broken.faults = WorkerFaults(fail_all=True)
            replies = []
            for _ in range(12):
                replies += await send_many(fleet, "zone-a-e1", 10, 0.02)
            done = count_outcomes(replies, OutcomeKind.DONE)
            self.assertGreaterEqual(done, 115)
            self.assertLess(len(broken.ledger.runs), 30)

    @run_async
    async def test_request_that_fails_everywhere_ejects_no_worker(self):
        async with running_fleet(hosts_per_shard=3) as fleet:
            failing = b'{"tag": "f", "fails": true}'
            for _ in range(10):
                reply = await fleet.submit("zone-a-e1", failing)
                self.assertEqual(reply.outcome, OutcomeKind.FAILED)
            shard = fleet.daemons[fleet.owner()].dispatcher.shard("pool-a")
            self.assertEqual(shard.ejector.ejected(time.monotonic()), [])

    @run_async
    async def test_disconnected_caller_withdraws_its_waiting_requests(self):
        async with running_fleet() as fleet:
            with anyio.move_on_after(1.0):
                await send_many(fleet, "zone-a-e1", 60, 2.0)
            owner = fleet.daemons[fleet.owner()]
            queue = owner.dispatcher.shard("pool-a").queue
            await fleet.wait_for(lambda: queue.waiting == 0, 5.0)
            await anyio.sleep(2.5)
            self.assertLessEqual(len(fleet.runs()), 32)


class TestDrains(unittest.TestCase):
    @run_async
    async def test_drain_waits_for_work_in_flight_and_interrupts_none(self):
        async with running_fleet() as fleet:
            host = fleet.tree.hosts[0].name
            replies = []

            async def load():
                replies.extend(await send_many(fleet, "zone-a-e1", 16, 2.0))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(load)
                await fleet.wait_for(lambda: fleet.workers[host].ledger.runs)
                entry = await fleet.publish_host(host, HostAction.DRAIN)
                self.assertTrue(entry.accepted, entry.reason)
                await anyio.sleep(1.0)
                state = fleet.daemons["zone-a-e1"].control.state
                self.assertIs(state.hosts[host].phase, HostPhase.DRAINING)
            await fleet.wait_for(lambda: state.hosts[host].phase is HostPhase.DRAINED)
            self.assertEqual(count_outcomes(replies, OutcomeKind.DONE), 16)
            self.assertFalse(any(run.is_cut for run in fleet.runs()))
            before = len(fleet.workers[host].ledger.runs)
            await send_many(fleet, "zone-a-e2", 20, 0.02)
            self.assertEqual(len(fleet.workers[host].ledger.runs), before)

    @run_async
    async def test_drain_waits_for_an_entry_host_that_does_not_acknowledge(self):
        async with running_fleet(entry_hosts=3) as fleet:
            host = fleet.tree.hosts[0].name
            lost = fleet.others(fleet.owner())[0]
            await fleet.isolate(lost)
            await fleet.publish_host(host, HostAction.DRAIN)
            await anyio.sleep(2.0)
            state = fleet.daemons[fleet.owner()].control.state
            self.assertIs(state.hosts[host].phase, HostPhase.DRAINING)
            self.assertNotIn(lost, state.hosts[host].acknowledged)
            fleet.heal(lost)
            await fleet.wait_for(lambda: state.hosts[host].phase is HostPhase.DRAINED)

    @run_async
    async def test_leaving_worker_gets_no_new_work_after_three_seconds(self):
        async with running_fleet() as fleet:
            host = fleet.tree.hosts[0].name
            fleet.workers[host].faults = WorkerFaults(is_leaving=True)
            await anyio.sleep(3.0)
            before = fleet.workers[host].ledger.refused
            replies = await send_many(fleet, "zone-a-e1", 20, 0.02)
            self.assertEqual(count_outcomes(replies, OutcomeKind.DONE), 20)
            self.assertEqual(fleet.workers[host].ledger.refused, before)


class TestCorrelatedFailures(unittest.TestCase):
    @run_async
    async def test_rack_failure_loses_no_idempotent_request(self):
        async with running_fleet(hosts_per_shard=6) as fleet:
            lost_hosts = [h.name for h in fleet.tree.hosts if h.rack.endswith("-0")]
            lost_hosts += [h.name for h in fleet.tree.hosts if h.rack.endswith("-1")]
            self.assertEqual(len(lost_hosts), 4)
            replies = []

            async def load():
                options = SubmitOptions(deadline_s=20.0)
                for _ in range(10):
                    replies.extend(
                        await send_many(fleet, "zone-a-e1", 10, 0.1, options)
                    )

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(load)
                await fleet.wait_for(lambda: len(replies) >= 20)
                for name in lost_hosts:
                    fleet.workers[name].faults = WorkerFaults(is_unreachable=True)
            done = count_outcomes(replies, OutcomeKind.DONE)
            unknown = count_outcomes(replies, OutcomeKind.UNKNOWN)
            self.assertEqual(done + unknown, 100)
            self.assertGreaterEqual(done, 95)

    @run_async
    async def test_no_team_is_starved_by_a_flooding_team(self):
        async with running_fleet(pools=("pool-a", "pool-b"), max_waiting=500) as fleet:
            options = SubmitOptions(deadline_s=20.0)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send_many, fleet, "zone-a-e1", 300, 0.3, options)
                await anyio.sleep(0.3)
                started = time.monotonic()
                reply = await fleet.submit("zone-a-e2", body("b"), options, "pool-b")
                self.assertEqual(reply.outcome, OutcomeKind.DONE)
                self.assertLess(time.monotonic() - started, URGENT_TARGET_S)
                tasks.cancel_scope.cancel()

    @run_async
    async def test_drains_of_dead_workers_do_not_delay_the_next_drain(self):
        async with running_fleet(hosts_per_shard=8, max_out=8) as fleet:
            hosts = [host.name for host in fleet.tree.hosts]
            for name in hosts[:6]:
                fleet.workers[name].faults = WorkerFaults(is_unreachable=True)
                await fleet.publish_host(name, HostAction.DRAIN)
            await anyio.sleep(1.0)
            await fleet.publish_host(hosts[6], HostAction.DRAIN)
            await anyio.sleep(1.0)
            before = len(fleet.workers[hosts[6]].ledger.runs)
            await send_many(fleet, "zone-a-e1", 10, 0.02)
            self.assertEqual(len(fleet.workers[hosts[6]].ledger.runs), before)
