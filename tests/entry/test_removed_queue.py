import dataclasses
import unittest

import anyio
import msgspec

from basilwind.entry.intake import intake_topic
from basilwind.entry.owner import PoolOwner
from basilwind.platform.store import KeyedRecord
from basilwind.scheduling.records import SubmissionRecord
from tests.scheduling.model import QUEUE, make_job
from tests.utils.entry_fakes import Clock, make_services

JOB = "a" * 16
REMOVED = dataclasses.replace(QUEUE, name="removed", attempts=4)


class TestRemovedQueue(unittest.TestCase):
    """A job was accepted, its queue was removed, and its pool got a new owner."""

    def test_new_owner_runs_the_job_by_the_queue_that_accepted_it(self):
        clock = Clock()
        services = make_services(clock)
        submission = SubmissionRecord(REMOVED.name, clock(), make_job(count=1), REMOVED)
        record = KeyedRecord(0, JOB, msgspec.json.encode(submission))
        services.store.latest[intake_topic("pool")] = [record]

        async def main():
            with anyio.move_on_after(0.5):
                await PoolOwner("pool", 7, services, is_handed_over=True).run()

        anyio.run(main)
        self.assertEqual(services.worker_control.starts, [(f"{JOB}.0.0.0", 1)])
        self.assertEqual(services.configuration.find_queue("removed").attempts, 4)

    def test_record_of_an_earlier_version_is_read(self):
        record = msgspec.json.encode(["q", 1.0, make_job(count=1)])
        submission = msgspec.json.decode(record, type=SubmissionRecord)
        self.assertIsNone(submission.accepted_queue)
