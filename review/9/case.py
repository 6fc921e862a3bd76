"""Has each worker of a pool fail for some seconds and asks whether all work goes on.

One worker of seven after the other fails all that it starts for four seconds. A job
whose tasks last runs all the while, and one that ends is submitted 10 s later.
"""

import asyncio
from pathlib import Path

from review.harness2.fleet import Fleet, has_trouble, run_case

WORKERS = 7  # one of them is a share of 0.143
TASKS = 14
GREY_S = 4.0
CALM_S = 10.0  # until the first task is expected; 7 s by the rule
WATCHED_S = 15.0
LASTING_JOB, SHORT_JOB = "00000000000000f0", "00000000000000f1"
SHORT_TASKS = 6
FOR_EVER_S = 1000.0


def _count_running(fleet, job):
    return sum(name.startswith(job) for w in fleet.workers for name in w.runs)


async def main():
    """Plays the case; returns the texts of what was broken."""
    async with Fleet(Path(__file__).parent / "record.txt", workers=WORKERS) as fleet:
        lasting = {"longRunning": True, "cpu": 2000, "antiAffinity": 4}
        await fleet.submit(0, LASTING_JOB, FOR_EVER_S, count=TASKS, **lasting)
        await asyncio.sleep(2.0)
        for worker in fleet.workers if has_trouble() else ():
            worker.set_failing(True)
            await asyncio.sleep(GREY_S)
            worker.set_failing(False)
        await asyncio.sleep(CALM_S)
        await fleet.submit(1, SHORT_JOB, 0.3, count=SHORT_TASKS)
        most, broken = 0, []
        for _ in range(int(WATCHED_S / 0.1)):
            most = max(most, _count_running(fleet, LASTING_JOB))
            await asyncio.sleep(0.1)
        _, state = await fleet.state(2, SHORT_JOB)
        fleet.record("judged", most_lasting=most, short_job=state)
        if most < TASKS:
            broken.append(
                f"at most {most} of {TASKS} tasks that last ran in {WATCHED_S:.0f} s, "
                f"{CALM_S:.0f} s and more after the last disruption"
            )
        if state != "completed":
            broken.append(
                f"the short job is {state} {WATCHED_S:.0f} s after its submission"
            )
        return broken


if __name__ == "__main__":
    run_case(main)
