"""Work that takes down each worker that runs it is started a few times only."""

import unittest

import anyio

from basilwind.client import SubmitOptions
from basilwind.models import OutcomeKind
from basilwind.standin.worker import WorkerFaults
from tests.placement.test_jobs import body, submit, wait_for_job
from tests.utils.fleet import run_async, running_fleet

MAX_STARTS = 5  # not three times more after three workers have crashed


def break_workers(fleet):
    """Lets work with the tag "bad" crash each worker that runs it."""
    for worker in fleet.workers.values():
        worker.faults = WorkerFaults(crash_on="bad")


class TestCrashingWork(unittest.TestCase):
    @run_async
    async def test_idempotent_request_is_given_up(self):
        async with running_fleet() as fleet:
            break_workers(fleet)
            options = SubmitOptions(idempotent=True, deadline_s=8.0)
            reply = await fleet.submit("zone-a-e1", body("bad"), options)
            self.assertIs(reply.outcome, OutcomeKind.UNKNOWN)
            self.assertLessEqual(len(fleet.runs("bad")), MAX_STARTS)

    @run_async
    async def test_idempotent_job_is_given_up(self):
        async with running_fleet() as fleet:
            break_workers(fleet)
            reply = await submit(fleet, "zone-a-e1", "bad", idempotent=True)
            job = await wait_for_job(fleet, "zone-a-e1", reply.json()["job_id"])
            self.assertEqual((job["state"], job["outcome"]), ("finished", "unknown"))
            self.assertLessEqual(len(fleet.runs("bad")), MAX_STARTS)

    @run_async
    async def test_idempotent_job_is_given_up_although_its_owners_are_lost(self):
        async with running_fleet(entry_hosts=3) as fleet:
            break_workers(fleet)
            reply = await submit(fleet, "zone-a-e1", "bad", idempotent=True, work_s=0.4)
            job_id = reply.json()["job_id"]
            for runs in (2, 4):
                with anyio.move_on_after(8):
                    while len(fleet.runs("bad")) < runs:
                        await anyio.sleep(0.02)
                await fleet.crash(fleet.owner())
            name = next(iter(fleet.daemons))
            await wait_for_job(fleet, name, job_id)
            self.assertLessEqual(len(fleet.runs("bad")), MAX_STARTS)


if __name__ == "__main__":
    unittest.main()
