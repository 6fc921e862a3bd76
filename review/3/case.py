"""One worker goes down and up by turns, and an innocent long-running job is failed.

The job has as many tasks as the pool has workers, one on each. The task of the
flapping worker is lost with it a few times, and never fails.
"""

import asyncio
from pathlib import Path

from deployment import CannotRun, Deployment, run_case

WORKERS = 10
FLAP_PERIOD_S = 1.4  # gap_s of the deployments
FLAP_S = 7.6  # for_s of the deployments
CALM_S = 12.0
JOB = f"{0xCCCC0001:016x}"


async def main(has_trouble):
    """Plays the case; returns whether the rule was broken, and a summary."""
    folder = Path(__file__).parent
    zones = ["zone-a", "zone-b", "zone-c"]
    async with Deployment(folder, zones, (zones * WORKERS)[:WORKERS]) as fleet:
        await fleet.wait_until_serving()
        is_accepted = await fleet.submit(
            JOB,
            0,
            count=WORKERS,
            cpu=5800,
            memMb=27_000,
            antiAffinity=1,
            longRunning=True,
            mayMiss=1,
        )
        if not is_accepted:
            raise CannotRun("the job was not accepted")
        await asyncio.sleep(5.0)
        if running(fleet) != WORKERS:
            raise CannotRun("not all tasks are running before the disruption")
        if has_trouble:
            await flap(fleet.workers[2])
        await asyncio.sleep(CALM_S)
        states = [await fleet.state(JOB, first) for first in range(3)]
        return judge(fleet, states)


async def flap(worker):
    """Lets a worker go down and up by turns."""
    for _ in range(int(FLAP_S / FLAP_PERIOD_S) + 1):
        await worker.crash()
        await asyncio.sleep(FLAP_PERIOD_S / 2)
        await worker.start()
        await asyncio.sleep(FLAP_PERIOD_S / 2)


def running(fleet):
    """Returns how many tasks of the job run on workers."""
    return sum(name.startswith(JOB) for worker in fleet.workers for name in worker.runs)


def judge(fleet, states):
    """Returns whether LOST was broken, and a summary."""
    ends = [end["how"] for end in fleet.ends if end["task"].startswith(JOB)]
    text = (
        f"states at three daemons {states}, {running(fleet)} of {WORKERS} tasks run; "
        f"ends: {ends.count('failed')} failed, {ends.count('lost')} lost with the "
        f"worker, {ends.count('stopped')} stopped"
    )
    fleet.record.write("judged", text=text)
    is_failed = "failed" in states and "failed" not in ends
    return is_failed, text


run_case(main)
