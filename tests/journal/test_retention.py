"""Open jobs and ownership are repeated in the journal before the log drops them."""

import unittest

from basilwind.client import SubmitOptions
from basilwind.models import OutcomeKind
from basilwind.standin.platform import PlatformFaults
from basilwind.standin.worker import WorkerFaults
from tests.placement.test_at_most_once import body, keyed_options, new_key
from tests.utils.fleet import run_async, running_fleet

TEAM = "team-pool-a"


class TestRetention(unittest.TestCase):
    @run_async
    async def test_open_job_survives_retention_and_loss_of_its_owner(self):
        async with running_fleet(
            entry_hosts=3, hosts_per_shard=1, log_retention_s=2.0
        ) as fleet:
            (worker,) = fleet.workers.values()
            worker.faults = WorkerFaults(refuse_all=True)
            owner = fleet.owner()
            other = fleet.others(owner)[0]
            options = SubmitOptions(idempotent=False, deadline_s=40.0)
            body = b'{"tag": "kept"}'
            client = fleet.client(other)
            reply = await client.submit_job(TEAM, "work", body, options)
            self.assertTrue(reply.is_accepted)
            journal = fleet.platform.stream("journal-zone-a")
            accepted_at = journal.head - 1
            fleet.platform.faults = PlatformFaults(retention_s=2.5)
            await fleet.wait_for(lambda: journal.first > accepted_at)
            await fleet.crash(owner)
            await fleet.crash(other)
            restarted = await fleet.restart(other)
            await fleet.wait_for(lambda: not restarted.not_ready_reason())
            worker.faults = WorkerFaults()
            job_id = reply.json()["job_id"]
            end = (await fleet.client(other).job(TEAM, job_id, 20.0)).json()
            self.assertEqual(end.get("outcome"), "done", end)
            self.assertEqual(len(fleet.runs("kept")), 1)

    @run_async
    async def test_key_older_than_the_journal_is_unknown_and_not_run_again(self):
        async with running_fleet(entry_hosts=2) as fleet:
            key = new_key()
            reply = await fleet.submit("zone-a-e1", body(key), keyed_options(key))
            self.assertEqual(reply.outcome, OutcomeKind.DONE)
            for name in ("zone-a-e1", "zone-a-e2"):
                await fleet.crash(name)
            fleet.platform.stream("journal-zone-a").drop_to(0)
            for name in ("zone-a-e1", "zone-a-e2"):
                await fleet.restart(name)
            await fleet.wait_ready()
            reply = await fleet.submit("zone-a-e1", body(key), keyed_options(key))
            self.assertEqual(reply.outcome, OutcomeKind.UNKNOWN)
            self.assertEqual(len(fleet.runs(key)), 1)
