"""An owner is killed while it forgets old jobs, and its successor runs them again.

Jobs whose state need not be known any more are deleted from the journal first and from
the intake by a second append. Between the two, the store has a submission without any
sign that it was executed.
"""

import asyncio
from pathlib import Path

from deployment import CannotRun, Deployment, run_case

JOBS = 5
STATUS_S = 45  # 120 in the deployments; shorter, as a script ends after 120 s
FORGET_S = 15.0  # time after STATUS_S in which the owner must have forgotten a job
SETTLE_S = 20.0


async def main(has_trouble):
    """Plays the case; returns whether the rule was broken, and a summary."""
    folder = Path(__file__).parent
    zones = ["zone-a", "zone-b", "zone-c"]
    async with Deployment(folder, zones, zones * 2, status_s=STATUS_S) as fleet:
        await fleet.wait_until_serving()
        job_ids = [f"{0xFFFF0000 + number:016x}" for number in range(JOBS)]
        for number, job_id in enumerate(job_ids):
            if not await fleet.submit(job_id, 0.3, number, count=4):
                raise CannotRun("a job was not accepted")
        await asyncio.sleep(3.0)
        for number, job_id in enumerate(job_ids):
            if await fleet.state(job_id, number) != "completed":
                raise CannotRun("a job was not completed")
        forgotten = asyncio.Event()

        def on_append(port, topic, records):
            names = {record[1 : 1 + record[0]].decode() for record in records}
            if topic != "keyed.journal.svc-a" or not names & set(job_ids):
                return
            fleet.store.on_append = None
            owner = fleet.store_ports.index(port)
            fleet.record.write("owner forgets jobs", owner=owner, jobs=sorted(names))
            if has_trouble:
                # It is the process that last wrote to the store under a condition.
                fleet.kill_daemon(owner)
                fleet.start_daemon(owner)
            forgotten.set()

        fleet.store.on_append = on_append
        async with asyncio.timeout(STATUS_S + FORGET_S):
            await forgotten.wait()
        if not has_trouble:
            await asyncio.sleep(1.0)
            owner = fleet.holder("pool/svc-a")
            fleet.record.write("nobody is killed", owner=owner)
        await asyncio.sleep(SETTLE_S)
        return judge(fleet, job_ids)


def judge(fleet, job_ids):
    """Returns whether TWICE was broken, and a summary."""
    done_at = {}
    for end in fleet.ends:
        if end["how"] == "done" and end["noted"]:
            done_at.setdefault(end["task"], end["at"])
    again = [
        (task, run, round(at - done_at[task], 1))
        for at, task, run, _, _ in fleet.starts
        if task in done_at and at > done_at[task] and task.split(".")[0] in job_ids
    ]
    for task, run, later_s in again:
        fleet.record.write(
            "started after it was done", task=task, run=run, seconds_later=later_s
        )
    jobs = {task.split(".")[0] for task, *_ in again}
    text = (
        f"{len(again)} tasks of {len(jobs)} jobs were started again after an end "
        f"'done' that was taken note of, {again[0][2] if again else 0} s later; "
        f"{len(fleet.starts)} starts"
    )
    fleet.record.write("judged", text=text)
    return bool(again), text


run_case(main)
