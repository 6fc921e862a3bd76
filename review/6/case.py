"""Restarts a worker behind a cut and looks for tasks that run again after they ended.

A worker of six is cut off for half a second. Behind the cut its process crashes and
starts again under its id. A job arrives once the cut has healed.
"""

import asyncio
from pathlib import Path

from review.harness2.fleet import Fleet, has_trouble, run_case

CUT_S = 0.5
QUIET_S = 4.0
ROUNDS = 3
TASK_S = 0.3


def find_repeated_tasks(events):
    """Returns a text for each task that started after its end ``done`` was noted.

    Args:
        events: Events of the fleet. An end counts as taken note of when ``lastSeen``
            of a hold has reached its number; no lease lapses here before that.
    """
    done = {
        fields["task"]
        for _, event, fields in events
        if event == "end taken note of" and fields["how"] == "done"
    }
    ended_at, broken = {}, []
    for at, event, fields in events:
        task = fields.get("task")
        if event == "end" and fields["how"] == "done" and task in done:
            ended_at.setdefault(task, at)
        if event == "start" and task in ended_at:
            broken.append(
                f"task {task} ended done at {ended_at[task]:.3f} s, was taken note of, "
                f"and started again as run {fields['run']} at {at:.3f} s"
            )
    return broken


async def main():
    """Plays the case; returns the texts of what was broken."""
    async with Fleet(Path(__file__).parent / "record.txt") as fleet:
        count = len(fleet.workers)
        # One task on each worker, whose ends the owner takes note of.
        await fleet.submit(0, f"{0xA0:016x}", TASK_S, count=count, antiAffinity=1)
        await fleet.wait_for_state(f"{0xA0:016x}", ("completed",), 10.0)
        for number in range(ROUNDS):
            await asyncio.sleep(QUIET_S)
            worker = fleet.workers[number]
            if has_trouble():
                worker.cut_off()
                await asyncio.sleep(CUT_S)
                worker.restart()
                worker.heal()
                worker.register()
            # More tasks a worker than before, so that some orders use new connections.
            most = number + 2
            job_id = f"{0xB0 + number:016x}"
            await fleet.submit(
                number % 3, job_id, TASK_S, count=count * most, antiAffinity=most
            )
            await fleet.wait_for_state(job_id, ("completed",), 10.0)
        return find_repeated_tasks(fleet.events)


if __name__ == "__main__":
    run_case(main)
