"""One job that can never run keeps the late jobs of its pool from ever starting.

The workers have no accelerators, and one job asks for one. The owner remembers the
size of a task that fits nowhere and passes over all later steps that are at least as
large, in each round.
"""

import asyncio
from pathlib import Path

from deployment import CannotRun, Deployment, run_case

WORKERS = 6
JOBS = 60
HOPELESS_JOBS = 1  # 0.017 of all; the site has a share of up to 0.056
JOB_INTERVAL_S = 0.02  # a burst of several times what the pool can do at once
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
                call = fleet.submit(job_id, 0.8, number, cpu=2000, memMb=4000, **gpu)
            else:
                normal.append(job_id)
                call = fleet.submit(
                    job_id, 0.8, number, count=6, cpu=3500, memMb=7200, estimateMs=800
                )
            calls.append(asyncio.create_task(call))
            await asyncio.sleep(JOB_INTERVAL_S)
        accepted = await asyncio.gather(*calls)
        fleet.record.write("traffic ended", accepted=sum(accepted))
        normal = [job_id for job_id in normal if job_id in fleet.jobs]
        if len(normal) < JOBS / 2:
            raise CannotRun("less than half of the jobs were accepted")
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
