"""A large job's record outgrows the store's records, and its pool comes to a stop.

Small jobs are handed in all the time. After the large one is accepted, none of them is
executed any more, though nearly all of the pool is free.
"""

import asyncio
from pathlib import Path

from deployment import CannotRun, Deployment, run_case

LARGE_TASKS = 7000  # each takes a hundredth of a core
LARGE_JOB = f"{0xDDDD0000:016x}"
TRAFFIC_S = 12.0
JOB_INTERVAL_S = 0.5
FINISH_S = 14.0  # finish_s
IDLE_S = 3.0  # LOST: "for 3 s, a job has nothing running"


async def main(has_trouble):
    """Plays the case; returns whether the rule was broken, and a summary."""
    folder = Path(__file__).parent
    zones = ["zone-a", "zone-b", "zone-c"]
    async with Deployment(folder, zones, zones * 2) as fleet:
        await fleet.wait_until_serving()
        small = []
        for number in range(int(TRAFFIC_S / JOB_INTERVAL_S)):
            if number == 6 and has_trouble:
                is_accepted = await fleet.submit(
                    LARGE_JOB,
                    0.5,
                    count=LARGE_TASKS,
                    cpu=10,
                    memMb=4,
                    estimateMs=500,
                )
                if not is_accepted:
                    raise CannotRun("the large job was not accepted")
            job_id = f"{0xDDDD1000 + number:016x}"
            if await fleet.submit(job_id, 0.3, number, count=2):
                small.append(job_id)
            await asyncio.sleep(JOB_INTERVAL_S)
        await asyncio.sleep(FINISH_S)
        starts_before = len(fleet.starts)
        used_before = used_cpu(fleet)
        await asyncio.sleep(IDLE_S)
        has_started = len(fleet.starts) > starts_before or used_cpu(fleet)
        answers = await asyncio.gather(
            *(fleet.state(job_id, number) for number, job_id in enumerate(small))
        )
        states = dict(zip(small, answers, strict=True))
        return judge(fleet, states, has_started, used_before)


def used_cpu(fleet):
    """Returns the thousandths of a core that run on all workers."""
    return sum(run["cpu"] for worker in fleet.workers for run in worker.runs.values())


def judge(fleet, states, has_started, used_before):
    """Returns whether LOST was broken, and a summary."""
    begun = {task.partition(".")[0] for _, task, *_ in fleet.starts}
    unanswered = [job for job, state in states.items() if state == "no answer"]
    waiting = [
        job
        for job, state in states.items()
        if state in ("pending", "running") and job not in begun
    ]
    total = sum(worker.cpu for worker in fleet.workers)
    text = (
        f"{len(states)} small jobs accepted; {len(waiting)} never began, "
        f"{len(unanswered)} get no answer, {FINISH_S:g} s after the traffic; "
        f"{'something' if has_started else 'nothing'} ran for {IDLE_S:g} s, "
        f"{used_before} of {total} thousandths of a core in use; the large job has "
        f"{sum(task.startswith(LARGE_JOB) for _, task, *_ in fleet.starts)} starts"
    )
    fleet.record.write("judged", text=text, states=states)
    is_idle = not has_started and used_before < total / 2
    return bool(unanswered or (waiting and is_idle)), text


run_case(main)
