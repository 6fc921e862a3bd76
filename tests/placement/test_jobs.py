"""Accepted jobs finish once, whatever fails."""

import unittest

import anyio
import uuid6

from basilwind.client import SubmitOptions
from basilwind.models import OutcomeKind
from basilwind.standin.platform import PlatformFaults
from basilwind.standin.worker import WorkerFaults
from tests.utils.fleet import run_async, running_fleet

TEAM = "team-pool-a"


def body(tag, work_s=0.05):
    return b'{"work_s": %g, "tag": "%s"}' % (work_s, tag.encode())


def new_key():
    return str(uuid6.uuid7())


async def submit(fleet, name, tag, work_s=0.05, **options):
    options = SubmitOptions(**({"idempotent": False, "deadline_s": 20.0} | options))
    return await fleet.client(name).submit_job(TEAM, "work", body(tag, work_s), options)


async def wait_for_job(fleet, name, job_id, wait_s=20.0):
    reply = await fleet.client(name).job(TEAM, job_id, wait_s)
    return reply.json()


class TestJobs(unittest.TestCase):
    @run_async
    async def test_job_runs_and_any_entry_host_returns_its_outcome(self):
        async with running_fleet(zones=("zone-a", "zone-b"), entry_hosts=1) as fleet:
            reply = await submit(fleet, "zone-a-e1", "tag")
            self.assertTrue(reply.is_accepted)
            for name in fleet.daemons:
                job = await wait_for_job(fleet, name, reply.json()["job_id"])
                self.assertEqual((job["state"], job["outcome"]), ("finished", "done"))
            self.assertEqual(len(fleet.runs("tag")), 1)

    @run_async
    async def test_same_key_gives_the_same_job(self):
        async with running_fleet() as fleet:
            key = new_key()
            replies = [
                await submit(fleet, name, key, key=key)
                for name in ("zone-a-e1", "zone-a-e2")
            ]
            ids = {reply.json()["job_id"] for reply in replies}
            self.assertEqual(len(ids), 1)
            await wait_for_job(fleet, "zone-a-e1", ids.pop())
            self.assertEqual(len(fleet.runs(key)), 1)

    @run_async
    async def test_jobs_finish_once_despite_the_loss_of_their_owner(self):
        async with running_fleet(entry_hosts=3) as fleet:
            owner = fleet.owner()
            other = fleet.others(owner)[0]
            tags = [f"job-{index}" for index in range(20)]
            ids = [
                (await submit(fleet, other, tag, 0.5)).json()["job_id"] for tag in tags
            ]
            await anyio.sleep(0.3)
            await fleet.crash(owner)
            for tag, job_id in zip(tags, ids, strict=True):
                job = await wait_for_job(fleet, other, job_id)
                self.assertEqual(job.get("outcome"), "done", job)
                self.assertEqual(len(fleet.runs(tag)), 1, tag)

    @run_async
    async def test_job_is_refused_not_lost_while_the_log_is_down(self):
        async with running_fleet() as fleet:
            fleet.platform.faults = PlatformFaults(is_down=True)
            await anyio.sleep(1.5)
            reply = await submit(fleet, "zone-a-e1", "tag")
            self.assertIn(reply.outcome, (OutcomeKind.REFUSED, OutcomeKind.UNKNOWN))
            self.assertIn("retry-after", reply.headers)
            fleet.platform.faults = PlatformFaults()
            await anyio.sleep(1.0)
            if reply.outcome is OutcomeKind.REFUSED:
                self.assertEqual(fleet.runs("tag"), [])

    @run_async
    async def test_running_job_finishes_despite_a_log_outage(self):
        async with running_fleet() as fleet:
            reply = await submit(fleet, "zone-a-e1", "tag", 0.6)
            await fleet.wait_for(lambda: fleet.runs("tag"))
            fleet.platform.faults = PlatformFaults(is_down=True)
            await anyio.sleep(1.0)
            job_id = reply.json()["job_id"]
            fleet.platform.faults = PlatformFaults()
            job = await wait_for_job(fleet, "zone-a-e2", job_id)
            self.assertEqual(job["outcome"], "done")
            self.assertEqual(len(fleet.runs("tag")), 1)

    @run_async
    async def test_cancellation_by_label_cancels_every_job(self):
        async with running_fleet(hosts_per_shard=1) as fleet:
            (worker,) = fleet.workers.values()
            worker.faults = WorkerFaults(refuse_all=True)
            ids = []
            for index in range(40):
                reply = await submit(fleet, "zone-a-e1", f"t{index}", labels=("wave",))
                ids.append(reply.json()["job_id"])
            reply = await fleet.client("zone-a-e2").cancel_label(TEAM, "wave")
            self.assertEqual(reply.json(), {"cancelled": 40, "is_complete": True})
            for job_id in ids:
                job = await wait_for_job(fleet, "zone-a-e1", job_id)
                self.assertEqual(job.get("outcome"), "cancelled")
            worker.faults = WorkerFaults()
            await anyio.sleep(0.5)
            self.assertEqual(fleet.runs(), [])

    @run_async
    async def test_running_job_is_stopped_when_cancelled(self):
        async with running_fleet() as fleet:
            reply = await submit(fleet, "zone-a-e1", "tag", 15.0)
            await fleet.wait_for(lambda: fleet.runs("tag"))
            job_id = reply.json()["job_id"]
            await fleet.client("zone-a-e2").cancel_job(TEAM, job_id)
            job = await wait_for_job(fleet, "zone-a-e1", job_id)
            self.assertEqual(job.get("outcome"), "cancelled")

    @run_async
    async def test_job_of_another_team_is_not_found(self):
        async with running_fleet(pools=("pool-a", "pool-b")) as fleet:
            reply = await submit(fleet, "zone-a-e1", "tag")
            job_id = reply.json()["job_id"]
            client = fleet.client("zone-a-e1", "pool-b")
            answer = await client.job("team-pool-b", job_id)
            self.assertEqual(answer.status, 404)


class TestGracefulStop(unittest.TestCase):
    @run_async
    async def test_stop_waits_for_running_jobs_and_leaves_the_rest(self):
        async with running_fleet(hosts_per_shard=1) as fleet:
            owner = fleet.owner()
            (other,) = fleet.others(owner)
            tags = [f"job-{index}" for index in range(16)]
            ids = [
                (await submit(fleet, other, tag, 1.0)).json()["job_id"] for tag in tags
            ]
            await fleet.wait_for(lambda: len(fleet.runs()) >= 8)
            fleet.daemons[owner].application.stop()
            for tag, job_id in zip(tags, ids, strict=True):
                job = await wait_for_job(fleet, other, job_id)
                self.assertEqual(job.get("outcome"), "done", job)
                (run,) = fleet.runs(tag)
                self.assertFalse(run.is_cut)
