"""A queue is sent to another service, and jobs of before run twice.

A change of the configuration removes a route and adds one with the same host and path
that leads to another service. Submissions that are repeated after it are taken for new
jobs by the pool of the other service, and cancellations go to that pool only.
"""

import asyncio
from pathlib import Path

from deployment import CannotRun, Deployment, run_case

ZONES = ["zone-a", "zone-b", "zone-c"]
JOBS = 6
TASKS = 4
WORK_S = 14.0
LASTING_JOBS = 2
BEGIN_S = 1.5
CONFIG_APPLY_S = 2.0  # configApplyMs
REPEAT_AFTER_S = 3.0  # "seconds after the 2xx response"
CANCEL_S = 3.0  # cancel_ms
STOP_S = 0.2  # stopTimeoutMs
END_S = 14.0


async def main(has_trouble):
    """Plays the case; returns whether the rule was broken, and a summary."""
    folder = Path(__file__).parent
    services = ["svc-a"] * 6 + ["svc-b"] * 6
    async with Deployment(folder, ZONES, ZONES * 4, services=services) as fleet:
        await fleet.wait_until_serving()
        job_ids = [f"{0xABAB0000 + number:016x}" for number in range(JOBS)]
        lasting_ids = [f"{0xABAC0000 + number:016x}" for number in range(LASTING_JOBS)]
        await submit_all(fleet, job_ids, WORK_S)
        await submit_all(fleet, lasting_ids, 0)
        await asyncio.sleep(BEGIN_S)
        if has_trouble:
            fleet.configure(version=3, name="q-b", service="svc-b")
        await asyncio.sleep(REPEAT_AFTER_S)
        await submit_all(fleet, job_ids, WORK_S)
        answers = [await fleet.call(0, "DELETE", job_id) for job_id in lasting_ids]
        if any(answer is None or answer[0] != 200 for answer in answers):
            raise CannotRun("a cancellation was not acknowledged")
        await asyncio.sleep(CANCEL_S + STOP_S)
        uncancelled = [
            name
            for worker in fleet.workers
            for name in worker.runs
            if name.partition(".")[0] in lasting_ids
        ]
        fleet.record.write("runs of cancelled jobs", runs=uncancelled)
        await asyncio.sleep(END_S)
        states = [await fleet.state(job_id) for job_id in job_ids]
        return judge(fleet, uncancelled, states)


async def submit_all(fleet, job_ids, work_s):
    """Submits jobs; all must be accepted."""
    for number, job_id in enumerate(job_ids):
        if not await fleet.submit(job_id, work_s, number, count=TASKS):
            raise CannotRun("a job was not accepted")


def judge(fleet, uncancelled, states):
    """Returns whether TWICE was broken, and a summary."""
    ends = {(e["task"], e["run"], e["worker"]): e for e in fleet.ends}
    started = {}
    for at, task, run, worker, _ in fleet.starts:
        started.setdefault(task, []).append((at, run, worker))
    twice = set()
    for task, runs in started.items():
        for (_, run, worker), (later_at, later_run, later_worker) in zip(
            runs, runs[1:], strict=False
        ):
            end = ends.get((task, run, worker))
            is_parallel = end is None or later_at < end["at"]
            if is_parallel or (end["how"] == "done" and end["noted"]):
                twice.add(task)
                fleet.record.write(
                    "task run twice",
                    task=task,
                    runs=[[run, worker], [later_run, later_worker]],
                    at_the_same_time=is_parallel,
                )
    lapsed = sum(end["how"] == "lapsed" for end in fleet.ends)
    text = (
        f"{len(twice)} tasks had two runs at the same time, or one after an end 'done' "
        f"that was taken note of; {len(uncancelled)} tasks of cancelled jobs ran on "
        f"{CANCEL_S + STOP_S:g} s after the acknowledgement; {lapsed} leases lapsed; "
        f"states {sorted(set(states))}"
    )
    fleet.record.write("judged", text=text)
    return bool(twice), text


run_case(main)
