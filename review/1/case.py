"""A job that repeats often enough stops its whole pool for good.

The journal's record of a job lists the numbers of all occurrences that are done. Once
it is larger than the records that the store takes, no batch with it can be written any
more, and nothing that needs the journal happens in the pool from then on.
"""

import asyncio
import json
import time
from pathlib import Path

from deployment import CannotRun, Deployment, run_case
from platform_standin import RECORD_BYTES

REPEATS = 60_000  # one a minute for six weeks
FEW_REPEATS = 20_000
INTERVAL_MS = 1.6  # so that the script needs minutes in place of weeks
WORK_S = 1.0
CPU, MEMORY_MB = 100, 64
REPEATS_UNTIL_S = 92.0
CHECK_S = 0.25
STUCK_S = 2.0
JOBS = 12
FINISH_S = 14.0  # finish_s
IDLE_S = 3.0  # LOST: "for 3 s, a job has nothing running"
REPEATING = "00000000b1b10000"


async def main(has_trouble):
    """Plays the case; returns whether the rule was broken, and a summary."""
    folder = Path(__file__).parent
    zones = ["zone-a", "zone-b", "zone-c"]
    async with Deployment(folder, zones, zones * 2) as fleet:
        await fleet.wait_until_serving()
        repeats = REPEATS if has_trouble else FEW_REPEATS
        await submit_repeating_job(fleet, repeats)
        done = await wait_for_occurrences(fleet, repeats)
        fleet.record.write("occurrences done", count=done, largest=fleet.store.largest)
        if has_trouble and fleet.store.largest <= RECORD_BYTES:
            raise CannotRun(f"only {done} occurrences in time")
        job_ids = [f"{0xCCCC0000 + number:016x}" for number in range(JOBS)]
        for number, job_id in enumerate(job_ids):
            if not await fleet.submit(job_id, 0.8, number, count=6, cpu=3500):
                raise CannotRun("a job was not accepted")
        await asyncio.sleep(FINISH_S)
        starts_before = len(fleet.starts)
        used_cpu = sum(r["cpu"] for w in fleet.workers for r in w.runs.values())
        await asyncio.sleep(IDLE_S)
        has_started = len(fleet.starts) > starts_before
        states = [await fleet.state(job_id) for job_id in job_ids]
        begun = {task.partition(".")[0] for _, task, *_ in fleet.starts}
        waiting = [job_id for job_id in job_ids if job_id not in begun]
        total = sum(worker.cpu for worker in fleet.workers)
        text = (
            f"after {done} occurrences of one job, {JOBS} other jobs were accepted, "
            f"{states.count('completed')} completed, {len(waiting)} never began "
            f"{FINISH_S:g} s later; {'something' if has_started else 'nothing'} was "
            f"started in {IDLE_S:g} s, {used_cpu} of {total} thousandths of a core in "
            f"use; the largest record sent to the store has {fleet.store.largest} "
            f"bytes of at most {RECORD_BYTES}"
        )
        fleet.record.write("judged", text=text)
        return bool(waiting and not has_started and used_cpu < total / 2), text


async def submit_repeating_job(fleet, repeats):
    """Submits a job that repeats ``repeats`` times."""
    step = {"count": 1, "cpu": CPU, "memMb": MEMORY_MB, "estimateMs": 1000 * WORK_S}
    for worker in fleet.workers:
        worker.set_steps(REPEATING, [step])
    body = {
        "spec": json.dumps({"work_s": WORK_S}),
        "steps": [step],
        "repeatCount": repeats,
        "startTimeMs": int(time.time() * 1000) + 500,
        "intervalMs": INTERVAL_MS,
    }
    answer = await fleet.call(0, "POST", REPEATING, body)
    if answer is None or answer[0] != 200:
        raise CannotRun("the repeating job was not accepted")


async def wait_for_occurrences(fleet, repeats):
    """Waits until all occurrences are done or none is for ``STUCK_S``.

    Returns:
        Number of the occurrences that are done.
    """
    done, read, changed_at = 0, 0, fleet.record.now
    while done < repeats and fleet.record.now < REPEATS_UNTIL_S:
        await asyncio.sleep(CHECK_S)
        new = fleet.ends[read:]
        read += len(new)
        count = sum(e["how"] == "done" and e["task"].startswith(REPEATING) for e in new)
        if count:
            done, changed_at = done + count, fleet.record.now
        elif done and fleet.record.now - changed_at > STUCK_S:
            break
    return done


run_case(main)
