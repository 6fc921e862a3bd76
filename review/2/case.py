"""Tasks that last and fail by themselves now and then leave their pool bit by bit.

A worker on which two runs failed counts as being on probation until a run there ends
as done, and takes a single task meanwhile. Tasks that last never end as done, so the
workers that hold some of them take none any more, and tasks that failed wait for good.
"""

import asyncio
import time
from pathlib import Path

from deployment import CannotRun, Deployment, run_case

JOBS = 12
TASKS = 5
CPU, MEMORY_MB = 2600, 13_500  # half of the means of the site's `nightly-parts`
MEAN_LIFE_S = 90.0  # the site's `stay_s`
WATCH_S = 95.0
SAMPLE_S = 0.1
RESTART_S = 6.0  # LOST: "from 6 s after its last run"
IDLE_S = 3.0  # LOST: "for 3 s [...] nothing running"


async def main(has_trouble):
    """Plays the case; returns whether the rule was broken, and a summary."""
    folder = Path(__file__).parent
    zones = ["zone-a", "zone-b", "zone-c"]
    async with Deployment(folder, zones, zones * 2) as fleet:
        await fleet.wait_until_serving()
        job_ids = [f"{0xDADA0000 + number:016x}" for number in range(JOBS)]
        for number, job_id in enumerate(job_ids):
            life_s = MEAN_LIFE_S if has_trouble else 0.0
            if not await fleet.submit(
                job_id,
                0,
                number,
                life_s,
                count=TASKS,
                cpu=CPU,
                memMb=MEMORY_MB,
                longRunning=True,
                estimateMs=500,
                mayMiss=1,
            ):
                raise CannotRun("a job was not accepted")
        names = [f"{job}.0.0.{index}" for job in job_ids for index in range(TASKS)]
        await asyncio.sleep(5.0)
        if len(running(fleet)) < len(names) - 3:
            raise CannotRun("the tasks were not started")
        return await watch(fleet, names)


def running(fleet):
    """Returns the names of the tasks that run."""
    return {name for worker in fleet.workers for name in worker.runs}


def has_room_for_two(worker):
    """Returns whether a worker could run two more such tasks."""
    cpu = sum(run["cpu"] for run in worker.runs.values())
    memory = sum(run["memory"] for run in worker.runs.values())
    return cpu + 2 * CPU <= worker.cpu and memory + 2 * MEMORY_MB <= worker.memory


async def watch(fleet, names):
    """Returns whether LOST was broken, and a summary."""
    last_seen = dict.fromkeys(names, time.monotonic())
    room_since = None
    lost = {}
    deadline = time.monotonic() + WATCH_S
    while time.monotonic() < deadline:
        await asyncio.sleep(SAMPLE_S)
        now = time.monotonic()
        last_seen.update(dict.fromkeys(running(fleet) & set(names), now))
        if not any(has_room_for_two(worker) for worker in fleet.workers):
            room_since = None
            continue
        room_since = room_since or now
        for name, seen_at in last_seen.items():
            if now - max(seen_at + RESTART_S, room_since) > IDLE_S and name not in lost:
                lost[name] = now
                fleet.record.write(
                    "not restarted", task=name, failed_s_ago=now - seen_at
                )
    failed = sum(end["how"] == "failed" for end in fleet.ends)
    states = [await fleet.state(name.split(".")[0]) for name in names[::TASKS]]
    counts = [len(worker.runs) for worker in fleet.workers]
    text = (
        f"{failed} runs of {len(names)} tasks that last failed by themselves; "
        f"{len(lost)} tasks were not started again for {RESTART_S + IDLE_S:g} s and "
        f"more, with room for them; {sum(counts)} tasks run in the end, by worker "
        f"{counts}; the jobs are shown as {sorted(set(states))}"
    )
    fleet.record.write("judged", text=text)
    return bool(lost), text


run_case(main)
