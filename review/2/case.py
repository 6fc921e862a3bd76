"""More than 500 ends of a worker wait to be noted while the store is down.

A worker lists its ends 500 at a time. The owner takes a run that is neither among
these nor running for one that was lost, and starts its task again.
"""

import asyncio
from pathlib import Path

from deployment import CannotRun, Deployment, run_case

JOBS = 8
TASKS = 200  # of each job; each takes a twentieth of a core
WORK_S = 2.5
SUBMIT_INTERVAL_S = 0.2  # spreads the ends
OUTAGE_S = 4.0  # the site's days have outages of 4.2 to 7 s
SETTLE_S = 14.0  # finish_s


async def main(has_trouble):
    """Plays the case; returns whether the rule was broken, and a summary."""
    folder = Path(__file__).parent
    zones = ["zone-a", "zone-b", "zone-c"]
    async with Deployment(folder, zones, ["zone-a", "zone-b"]) as fleet:
        await fleet.wait_until_serving()
        first_start = len(fleet.starts)
        job_ids = [f"{0xBBBB0000 + number:016x}" for number in range(JOBS)]
        for number, job_id in enumerate(job_ids):
            if not await fleet.submit(
                job_id, WORK_S, number, count=TASKS, cpu=50, memMb=64, estimateMs=2500
            ):
                raise CannotRun("a job was not accepted")
            await asyncio.sleep(SUBMIT_INTERVAL_S)
        await wait_for_starts(fleet, first_start + JOBS * TASKS)
        if has_trouble:
            # The first tasks are about to end.
            fleet.record.write("store down", silent=True)
            fleet.store.silent_ports.update(fleet.store_ports)
            await asyncio.sleep(OUTAGE_S)
            fleet.store.silent_ports.clear()
            fleet.record.write("store up")
        await asyncio.sleep(SETTLE_S)
        states = [await fleet.state(job_id) for job_id in job_ids]
        return judge(fleet, states)


async def wait_for_starts(fleet, count):
    """Waits until nearly all tasks run; the rest starts as the first ones end."""
    for _ in range(400):
        if len(fleet.starts) >= count * 0.97:
            return
        await asyncio.sleep(0.02)
    raise CannotRun(f"only {len(fleet.starts)} of {count} tasks were started")


def judge(fleet, states):
    """Returns whether TWICE was broken, and a summary."""
    done_at = {}
    for end in fleet.ends:
        if end["how"] == "done" and end["noted"]:
            done_at.setdefault(end["task"], (end["at"], end["run"], end["worker"]))
    lapsed = sum(end["how"] == "lapsed" for end in fleet.ends)
    again = [
        (task, run, worker)
        for at, task, run, worker, _ in fleet.starts
        if task in done_at and at > done_at[task][0]
    ]
    for task, run, worker in again:
        _, done_run, done_worker = done_at[task]
        fleet.record.write(
            "started after it was done",
            task=task,
            run=run,
            worker=worker,
            done_run=done_run,
            done_worker=done_worker,
        )
    listed = max(
        (
            sum(e["worker"] == worker.worker_id for e in fleet.ends)
            for worker in fleet.workers
        ),
        default=0,
    )
    text = (
        f"{len(again)} starts of tasks whose end 'done' was taken note of; "
        f"{len(fleet.starts)} starts, {lapsed} lapsed, at most {listed} ends of a "
        f"worker, states {sorted(set(states))}"
    )
    return bool(again), text


run_case(main)
