"""A cancel that is taken by a daemon which has missed a change of the configuration."""

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
TURNED_AWAY = 3  # one machine of four; a share of 0.33 at most
OUTAGE_S = 9.0  # as long as in the site file
CHANGE_AFTER_S = 2.0
LEAD_S = 12.0  # the traffic of the small deployments starts so long after the machines
CONFIG_APPLY_S = 2.0
CONTACT_S = 3.0
CANCEL_S = 3.0
STOP_S = 0.2
MARGIN_S = 1.0
BEFORE = (
    StandInQueue("q-a", "/a/", "pool-a"),
    StandInQueue("q-b", "/b/", "pool-b"),
)
AFTER = (
    StandInQueue("q-c", "/a/", "pool-b"),
    StandInQueue("q-b", "/b/", "pool-b"),
)
WARM_UP_JOB = {
    "spec": '{"work_s": 0.1}',
    "steps": [{"count": 1, "cpu": 500, "memMb": 100, "estimateMs": 100}],
}
LASTING_JOB = {
    "spec": '{"work_s": -1}',
    "steps": [{"count": 2, "cpu": 500, "memMb": 100, "longRunning": True}],
}
STEP = {"count": 2, "cpu": 500, "memMb": 100, "estimateMs": 14000}
TWO_STEP_JOB = {"spec": '{"work_s": 14}', "steps": [STEP, STEP | {"after": [0]}]}
LASTING, TWO_STEPS = "00000000000000a1", "00000000000000a2"


async def submit(deployment, number, path, body):
    """Submits a job as a client does, with retries at other daemons."""
    for attempt in range(4):
        answer = await deployment.call("POST", (number + attempt) % DAEMONS, path, body)
        if answer is not None and answer[0] == 200:
            return
        await anyio.sleep(0.5)
    raise CannotRun(f"{path} was not accepted")


async def cancel(deployment, path):
    """Cancels a job at the machine; returns when that was acknowledged.

    A retry reaches other machines.
    """
    for attempt in range(4):
        number = (TURNED_AWAY + attempt) % DAEMONS
        answer = await deployment.call("DELETE", number, path)
        if answer is not None and answer[0] in (200, 410):
            return time.monotonic()
        await anyio.sleep(0.5)
    raise CannotRun(f"the cancel of {path} was not acknowledged")


async def main():
    """Returns whether the rule held."""
    deployment = Deployment(
        DAEMONS,
        BEFORE,
        lambda number: {"cpuShare": 0.537, "cores": 2},
        FOLDER / "record.txt",
    )
    deployment.note("trouble", on=TROUBLE)
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
    for number in range(DAEMONS):
        job = f"/a/{number:016x}"
        await submit(deployment, number, job, WARM_UP_JOB)
        await deployment.call("DELETE", number, job)
    begun_at = time.monotonic()
    if TROUBLE:
        deployment.turned_away.add(TURNED_AWAY)
        deployment.note("the store turns a machine away", daemon=TURNED_AWAY)
    await anyio.sleep(CHANGE_AFTER_S)
    deployment.platform.queues = AFTER
    deployment.platform.configure()
    deployment.note("configuration", version=deployment.platform.version)
    await anyio.sleep(CONFIG_APPLY_S)
    await submit(deployment, 0, f"/a/{LASTING}", LASTING_JOB)
    await submit(deployment, 1, f"/a/{TWO_STEPS}", TWO_STEP_JOB)
    await anyio.sleep(1.5)
    for job in (LASTING, TWO_STEPS):
        deployment.note("runs", job=job, running=deployment.running(job))
        if not deployment.running(job):
            raise CannotRun(f"job {job} was not started")
    acknowledged_at = {
        job: await cancel(deployment, f"/a/{job}") for job in (LASTING, TWO_STEPS)
    }
    await anyio.sleep(max(0.0, begun_at + OUTAGE_S - time.monotonic()))
    deployment.turned_away.clear()
    deployment.note("the store serves all machines")
    # In touch again, and a calm stretch of ``cancel_ms`` + ``stopTimeoutMs`` after it.
    await anyio.sleep(CONTACT_S + CANCEL_S + STOP_S + MARGIN_S)
    is_broken = False
    for job in (LASTING, TWO_STEPS):
        running = deployment.running(job)
        state = await deployment.call("GET", 0, f"/a/{job}")
        deployment.note("after the calm stretch", job=job, running=running, state=state)
        is_broken |= bool(running)
    await anyio.sleep(4.0)
    calm_at = begun_at + OUTAGE_S + CONTACT_S
    for job, at in acknowledged_at.items():
        for start in deployment.starts(job):
            is_late = start.at > max(at + CANCEL_S, calm_at)
            deployment.note(
                "start",
                at=deployment.since_start(start.at),
                task=start.task,
                run=start.run,
                after_cancel=is_late,
            )
            is_broken |= is_late
    deployment.note("UNASKED broken" if is_broken else "UNASKED held")
    return not is_broken


if __name__ == "__main__":
    sys.exit(run_case(main, FOLDER / "record.txt"))
