"""Has a task run twice after a worker restarted and its pool changed its owner.

A worker of six is cut off for half a second and starts again under its id behind the
cut. It takes a start that was meant for the incarnation before. It is then cut off
again, runs on, and meanwhile the daemon that owns the pool is stopped.
"""

import asyncio
from pathlib import Path

from review.harness2.fleet import Fleet, has_trouble, run_case

UPTIME_S = 12.0  # of the worker before its restart; its clock starts anew then
CUT_S = 0.5
SECOND_CUT_S = 9.0
TASK_S = 9.0
WAIT_S = 3.0
JOB = "00000000000000e0"


def find_overlaps(events):
    """Returns a text for each run that began while another run of its task went on."""
    running, broken = {}, []
    for at, event, fields in events:
        task = fields.get("task")
        if event == "start":
            others = running.setdefault(task, {})
            broken += [
                f"task {task} runs on {worker} since {since:.3f} s and was started on "
                f"{fields['worker']} at {at:.3f} s"
                for worker, since in others.items()
            ]
            others[fields["worker"]] = at
        elif event in ("end", "lost with the worker"):
            running.get(task, {}).pop(fields["worker"], None)
    return broken


async def _wait_for_start(fleet, worker):
    """Waits until a worker runs a task of the job."""
    for _ in range(200):
        if worker.runs:
            return True
        await asyncio.sleep(0.01)
    return False


async def main():
    """Plays the case; returns the texts of what was broken."""
    async with Fleet(Path(__file__).parent / "record.txt") as fleet:
        worker = fleet.workers[0]
        await asyncio.sleep(UPTIME_S)
        owner = fleet.owner_number()
        if has_trouble():
            worker.cut_off()
            await asyncio.sleep(CUT_S)
            worker.restart()
            worker.heal()
            worker.register()
        other = (owner + 1) % 3
        # Two tasks on each worker but the last one, which has room for two more.
        count = 2 * len(fleet.workers) - 2
        await fleet.submit(other, JOB, TASK_S, count=count, antiAffinity=2)
        started = await _wait_for_start(fleet, worker)
        fleet.record("started on the worker", started=started)
        if has_trouble():
            worker.cut_off()
        fleet.terminate(owner)
        await asyncio.sleep(SECOND_CUT_S)
        if has_trouble():
            worker.heal()
        await asyncio.sleep(WAIT_S)
        return find_overlaps(fleet.events)


if __name__ == "__main__":
    run_case(main)
