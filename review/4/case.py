"""Answers of the store are lost while old jobs are forgotten, and they run again.

Jobs whose state need not be known any more are deleted from the journal first and from
the intake by a second append, which is never repeated. Until it is done, a successor
finds submissions without any sign that they were executed.
"""

import asyncio
from pathlib import Path

from deployment import CannotRun, Deployment, run_case

STATUS_S = 45  # 120 in the deployments; shorter, as a script ends after 120 s
JOBS_UNTIL_S = 75.0
JOB_INTERVAL_S = 0.15
LOST_FOR_S = 4.5  # the site's `platform_lost`
MAX_SHARE = 0.35  # the site's `platform_lost`
LATE_S = 5.8  # kinds: "late (done 1 to 6 s later)"
SETTLE_S = 12.0


class LostAnswers:
    """Lets writes of the owner be done late and without an answer for some seconds.

    These are its heartbeats and the deletions from the intake, as long as they are less
    than ``MAX_SHARE`` of all writes of that time.
    """

    def __init__(self, fleet, has_trouble):
        self._fleet = fleet
        self._has_trouble = has_trouble
        self.owner = None
        self.started_at = None
        self.writes = 0
        self.lost = 0

    def watch(self, port, topic, records):
        """Begins when the owner forgets the first job."""
        if topic != "keyed.journal.svc-a" or self.started_at is not None:
            return
        if any(len(record) == 1 + record[0] for record in records):
            self.started_at = self._fleet.record.now
            self.owner = self._fleet.store_ports.index(port)
            self._fleet.record.write("owner forgets jobs", owner=self.owner)

    def late_by_s(self, port, topic, records):
        """Returns after how many seconds an append is done, or 0."""
        now = self._fleet.record.now
        if self.started_at is None or now > self.started_at + LOST_FOR_S:
            return 0
        self.writes += 1
        is_deletion = topic == "keyed.intake.svc-a" and all(
            len(record) == 1 + record[0] for record in records
        )
        if port != self._fleet.store_ports[self.owner] or not (
            is_deletion or topic == "keyed.heartbeats"
        ):
            return 0
        if not self._has_trouble or self.lost + 1 > MAX_SHARE * self.writes:
            return 0
        self.lost += 1
        self._fleet.record.write("answer lost", topic=topic, done_after_s=LATE_S)
        return LATE_S


async def main(has_trouble):
    """Plays the case; returns whether the rule was broken, and a summary."""
    folder = Path(__file__).parent
    zones = ["zone-a", "zone-b", "zone-c"]
    async with Deployment(folder, zones, zones * 2, status_s=STATUS_S) as fleet:
        await fleet.wait_until_serving()
        answers = LostAnswers(fleet, has_trouble)
        fleet.store.on_append = answers.watch
        fleet.store.late_by_s = answers.late_by_s
        calls, number = [], 0
        while fleet.record.now < JOBS_UNTIL_S:
            job_id = f"{0xFFFF0000 + number:016x}"
            call = fleet.submit(job_id, 0.3, number, count=4)
            calls.append(asyncio.create_task(call))
            number += 1
            await asyncio.sleep(JOB_INTERVAL_S)
            if answers.started_at and fleet.record.now > answers.started_at + 10.0:
                break
        await asyncio.gather(*calls)
        await asyncio.sleep(SETTLE_S)
        if answers.started_at is None:
            raise CannotRun("no job was forgotten")
        if fleet.holder("pool/svc-a") == answers.owner and has_trouble:
            fleet.record.write("no other owner")
        return judge(fleet, answers)


def judge(fleet, answers):
    """Returns whether TWICE was broken, and a summary."""
    done_at = {}
    for end in fleet.ends:
        if end["how"] == "done" and end["noted"]:
            done_at.setdefault(end["task"], end["at"])
    again = [
        (task, run, round(at - done_at[task], 1))
        for at, task, run, _, _ in fleet.starts
        if task in done_at and at > done_at[task]
    ]
    for task, run, later_s in again:
        fleet.record.write(
            "started after it was done", task=task, run=run, seconds_later=later_s
        )
    jobs = {task.split(".")[0] for task, *_ in again}
    text = (
        f"{len(again)} tasks of {len(jobs)} jobs were started again after an end "
        f"'done' that was taken note of, {again[0][2] if again else 0} s later; "
        f"{answers.lost} of {answers.writes} writes in {LOST_FOR_S:g} s got no answer"
    )
    fleet.record.write("judged", text=text)
    return bool(again), text


run_case(main)
