"""A few jobs that can never run keep all workers of their pool free for themselves.

The workers have no accelerators, and some of the long-running jobs ask for one. Each of
these has one worker reserved for it, which then starts nothing else.
"""

import asyncio
from pathlib import Path

from deployment import CannotRun, Deployment, run_case

WORKERS = 6
JOBS = 126
HOPELESS_JOBS = 6  # 0.048 of all; the site's days have a share of up to 0.056
JOB_INTERVAL_S = 0.12
FINISH_S = 14.0  # finish_s
IDLE_S = 3.0  # LOST: "for 3 s, a job has nothing running"


async def main(has_trouble):
    """Plays the case; returns whether the rule was broken, and a summary."""
    folder = Path(__file__).parent
    zones = ["zone-a", "zone-b", "zone-c"]
    async with Deployment(folder, zones, zones * (WORKERS // 3)) as fleet:
        await fleet.wait_until_serving()
        normal, calls = [], []
        every = JOBS // HOPELESS_JOBS
        for number in range(JOBS):
            job_id = f"{0xABAB0000 + number:016x}"
            if number % every == 0:
                gpu = {"gpu": 1} if has_trouble else {}
                call = fleet.submit(
                    job_id, 0, number, cpu=2000, memMb=8000, longRunning=True, **gpu
                )
            else:
                normal.append(job_id)
                call = fleet.submit(job_id, 0.5, number, count=3, estimateMs=500)
            calls.append(asyncio.create_task(call))
            await asyncio.sleep(JOB_INTERVAL_S)
        accepted = await asyncio.gather(*calls)
        fleet.record.write("traffic ended", accepted=sum(accepted))
        if not all(accepted):
            raise CannotRun("a job was not accepted")
        await asyncio.sleep(FINISH_S)
        starts_before, used_before = len(fleet.starts), used_cpu(fleet)
        await asyncio.sleep(IDLE_S)
        has_started = len(fleet.starts) > starts_before
        states = await asyncio.gather(
            *(fleet.state(job_id, number) for number, job_id in enumerate(normal))
        )
        return judge(fleet, normal, states, has_started, used_before)


def used_cpu(fleet):
    """Returns the thousandths of a core that run on all workers."""
    return sum(run["cpu"] for worker in fleet.workers for run in worker.runs.values())


def judge(fleet, normal, states, has_started, used_before):
    """Returns whether LOST was broken, and a summary."""
    begun = {task.partition(".")[0] for _, task, *_ in fleet.starts}
    waiting = [
        job
        for job, state in zip(normal, states, strict=True)
        if state in ("pending", "running") and job not in begun
    ]
    total = sum(worker.cpu for worker in fleet.workers)
    text = (
        f"{len(normal)} normal jobs accepted, {states.count('completed')} completed, "
        f"{len(waiting)} never began {FINISH_S:g} s after the traffic; "
        f"{'something' if has_started else 'nothing'} was started in {IDLE_S:g} s, "
        f"{used_before} of {total} thousandths of a core in use"
    )
    fleet.record.write("judged", text=text)
    return bool(waiting and not has_started and used_before < total / 2), text


run_case(main)
