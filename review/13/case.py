"""One accepted job of many small tasks keeps a pool from serving any job."""

import os
import sys
import time
from pathlib import Path

import anyio

from basilwind.standin.entry_platform import StandInQueue
from review.harness3.deployment import CannotRun, Deployment, run_case

FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DAEMONS = 4
LEAD_S = 12.0
TASKS = 10_000 if TROUBLE else 10
OTHER_JOBS = 10
PAUSE_S = 2.0
FINISH_S = 14.0
UNSTARTED_S = 3.0
SAMPLE_S = 0.1
WORKER_CPU, WORKER_MEMORY = 64_000, 256_000  # as on the sheet
QUEUES = (StandInQueue("q-a", "/a/", "pool-a"), StandInQueue("q-b", "/b/", "pool-b"))
LARGE = "00000000000000d0"
LARGE_JOB = {
    "spec": '{"work_s": 0.5}',
    "steps": [{"count": TASKS, "cpu": 10, "memMb": 20, "estimateMs": 500}],
}
OTHER_CPU = 500
OTHER_JOB = {
    "spec": '{"work_s": 0.1}',
    "steps": [{"count": 1, "cpu": OTHER_CPU, "memMb": 100, "estimateMs": 100}],
}


async def submit(deployment, number, job_id, body):
    """Submits a job as a client does; returns whether it was accepted."""
    for attempt in range(4):
        answer = await deployment.call(
            "POST", (number + attempt) % DAEMONS, f"/a/{job_id}", body
        )
        if answer is not None and answer[0] == 200:
            return True
        await anyio.sleep(0.5)
    return False


def used_cpu(deployment):
    """Returns used and whole capacity of the pool's workers, thousandths of a core."""
    workers = [w for w in deployment.platform.workers.values() if w.pool == "pool-a"]
    used = 0
    for worker in workers:
        for name in worker.runs:
            used += LARGE_JOB["steps"][0]["cpu"] if LARGE in name else OTHER_CPU
    return used, sum(worker.cpu for worker in workers)


async def main():
    """Returns whether the rule held."""
    deployment = Deployment(
        DAEMONS,
        QUEUES,
        lambda number: {"cpuShare": 0.537, "cores": 2},
        FOLDER / "record.txt",
    )
    deployment.note("trouble", on=TROUBLE)
    for worker in deployment.platform.workers.values():
        worker.cpu, worker.memory = WORKER_CPU, WORKER_MEMORY
    async with anyio.create_task_group() as tasks:
        await tasks.start(deployment.serve)
        try:
            return await play(deployment)
        finally:
            with anyio.CancelScope(shield=True):
                await deployment.stop()
            tasks.cancel_scope.cancel()


async def play(deployment):
    """Plays the case; returns whether the rule held."""
    for number in range(DAEMONS):
        await deployment.start_daemon(number)
    await anyio.sleep(LEAD_S)
    await deployment.wait_until_ready(range(DAEMONS))
    if not await submit(deployment, 0, LARGE, LARGE_JOB):
        raise CannotRun("the large job was not accepted")
    accepted = []
    for index in range(OTHER_JOBS):
        await anyio.sleep(PAUSE_S)
        job_id = f"{0xE00 + index:016x}"
        if await submit(deployment, index % DAEMONS, job_id, OTHER_JOB):
            accepted.append(job_id)
    if not accepted:
        raise CannotRun("no other job was accepted")
    deployment.note("end of the traffic", accepted=len(accepted))
    idle_since = dict.fromkeys(accepted, time.monotonic())
    finish_at = time.monotonic() + FINISH_S
    while time.monotonic() < finish_at:
        await anyio.sleep(SAMPLE_S)
        used, whole = used_cpu(deployment)
        has_room = used < whole / 2 and whole - used >= 2 * OTHER_CPU
        for job_id in accepted:
            if deployment.running(job_id) or not has_room:
                idle_since[job_id] = time.monotonic()
    ended = {
        end.task.partition(".")[0]
        for end in deployment.platform.run_ends
        if end.kind == "done"
    }
    states = {}

    async def ask(job_id):
        answer = await deployment.call("GET", 1, f"/a/{job_id}")
        states[job_id] = answer[1].get("state") if answer else None

    async with anyio.create_task_group() as tasks:
        for job_id in accepted:
            tasks.start_soon(ask, job_id)
    now = time.monotonic()
    stuck = [
        job_id
        for job_id in accepted
        if job_id not in ended and now - idle_since[job_id] >= UNSTARTED_S
    ]
    for job_id in accepted:
        deployment.note(
            "job",
            id=job_id,
            state=states[job_id],
            is_done=job_id in ended,
            without_run_s=round(now - idle_since[job_id], 1),
        )
    deployment.note(
        "result",
        other_jobs_stuck=len(stuck),
        large_job_tasks_done=sum(
            LARGE in end.task for end in deployment.platform.run_ends
        ),
        claims=len(deployment.platform.store._topics["keyed.duties"].records),
        cpu_in_use=used_cpu(deployment),
    )
    deployment.note("LOST broken" if stuck else "LOST held")
    return not stuck


if __name__ == "__main__":
    sys.exit(run_case(main, FOLDER / "record.txt"))
