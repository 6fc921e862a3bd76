"""One job that can never be done stops the jobs that wait behind it for good.

A gang that is larger than its pool counts as a shortage of capacity for its task size.
Every step that is ranked after it and whose tasks are at least as large is skipped
then, although it would fit.
"""

import asyncio
from pathlib import Path

from deployment import CannotRun, Deployment, run_case

ZONES = ["zone-a", "zone-b", "zone-c"]
GANG = "00000000aaff0000"
GANG_TASKS, GANG_CPU = 150, 3_000  # 450 cores; the pool has 384
JOBS, TASKS, CPU = 30, 6, 3_500  # "6 tasks, each [...] on 3.5 cores"
WORK_S = 2.0  # `max` of quick-slot
FINISH_S = 14.0  # finish_s
IDLE_S = 3.0  # LOST: "for 3 s, a job has nothing running"


async def main(has_trouble):
    """Plays the case; returns whether the rule was broken, and a summary."""
    folder = Path(__file__).parent
    async with Deployment(folder, ZONES, ZONES * 2) as fleet:
        await fleet.wait_until_serving()
        if has_trouble:
            is_accepted = await fleet.submit(
                GANG, WORK_S, 0, count=GANG_TASKS, cpu=GANG_CPU, gang=True
            )
            if not is_accepted:
                raise CannotRun("the gang was not accepted")
        job_ids = [f"{0xACAC0000 + number:016x}" for number in range(JOBS)]
        calls = (
            fleet.submit(
                job_id, WORK_S, number, count=TASKS, cpu=CPU, estimateMs=1000 * WORK_S
            )
            for number, job_id in enumerate(job_ids)
        )
        accepted = await asyncio.gather(*calls)
        job_ids = [j for j, ok in zip(job_ids, accepted, strict=True) if ok]
        if not job_ids:
            raise CannotRun("no job was accepted")
        await asyncio.sleep(FINISH_S)
        first = len(fleet.starts)
        used = [await used_cpu(fleet)]
        for _ in range(int(IDLE_S / 0.25)):
            await asyncio.sleep(0.25)
            used.append(await used_cpu(fleet))
        started = {task.partition(".")[0] for _, task, *_ in fleet.starts[first:]}
        begun = {task.partition(".")[0] for _, task, *_ in fleet.starts}
        states = [await fleet.state(job_id) for job_id in job_ids]
        waiting = [job_id for job_id in job_ids if job_id not in begun]
        total = sum(worker.cpu for worker in fleet.workers)
        text = (
            f"{len(job_ids)} jobs of {TASKS} tasks were accepted, "
            f"{states.count('completed')} completed; {len(waiting)} never began "
            f"{FINISH_S + IDLE_S:g} s later, {len(started)} began in the last "
            f"{IDLE_S:g} s, at most {max(used)} of {total} thousandths of a core in use"
        )
        fleet.record.write("judged", text=text, waiting=waiting)
        return bool(set(waiting) - started and max(used) < total / 2), text


async def used_cpu(fleet):
    """Returns the thousandths of a core that runs take on all workers."""
    return sum(run["cpu"] for w in fleet.workers for run in w.runs.values())


run_case(main)
