"""Repeats a job's submission at a daemon whose list of past routes is out of date.

Half of the open connections of one daemon to the store go silent, while new ones work;
the one on which it waits for news of the list of routes is among them. The first job of
a path is accepted by another daemon, and a new configuration leads the path to another
pool. Seconds later the job's submission arrives again, at the daemon whose connections
went silent. It must remain one job.
"""

import asyncio
from pathlib import Path

from review.harness2.fleet import POOL, Fleet, has_trouble, run_case

OTHER_POOL = "pool-b"
DAEMON = 1  # whose connections go silent
FRESH_READ_S = 0.5
CONFIGURED_S = 0.5  # from the first submission to the new configuration
REPEATED_S = 5.0  # from the first submission to the repeated one
TASK_S = 0.3
JOB = "00000000000000d0"


def find_repeated_tasks(events):
    """Returns a text for each task that was started by two pools."""
    starts, broken, noted = {}, [], set()
    for at, event, fields in events:
        if event == "end taken note of" and fields["how"] == "done":
            noted.add(fields["task"])
        if event != "start":
            continue
        task = fields["task"]
        if task in starts and task in noted:
            broken.append(
                f"task {task} started on {starts[task]}, its end done was taken note "
                f"of, and it started again on {fields['worker']} at {at:.3f} s"
            )
        starts.setdefault(task, f"{fields['worker']} at {at:.3f} s")
    return broken


async def _wait_for_routes_read(fleet):
    """Waits until the daemon has just begun to wait for news of the list of routes.

    Returns:
        The connection on which it waits.
    """
    begun = asyncio.get_running_loop().create_future()

    def note(request):
        link = fleet.store_links[DAEMON]
        if request.query["topic"] == "keyed.routes" and (
            request.sent_on in link.connections and not begun.done()
        ):
            begun.set_result(request.sent_on)

    fleet.store.on_read = note
    connection = await begun
    await asyncio.sleep(FRESH_READ_S)
    return connection


def _silence_half(fleet, waiting):
    """Silences half of a daemon's connections to the store, that one among them."""
    link = fleet.store_links[DAEMON]
    others = [each for each in link.connections if each is not waiting]
    count = len(link.connections) // 2
    link.silence([waiting, *others[: count - 1]])
    fleet.record(
        "connections to the store silent",
        daemon=DAEMON,
        silent=count,
        of=len(link.connections),
    )


async def main():
    """Plays the case; returns the texts of what was broken."""
    async with Fleet(
        Path(__file__).parent / "record.txt", pools=(POOL, OTHER_POOL)
    ) as fleet:
        waiting = await _wait_for_routes_read(fleet)
        if has_trouble():
            _silence_half(fleet, waiting)
        began = fleet.now()
        await fleet.submit(0, JOB, TASK_S, count=4)
        await asyncio.sleep(CONFIGURED_S)
        fleet.configure(OTHER_POOL)
        await asyncio.sleep(began + REPEATED_S - fleet.now())
        await fleet.submit(DAEMON, JOB, TASK_S, count=4)
        await fleet.wait_for_state(JOB, ("completed",), 5.0)
        await asyncio.sleep(3.0)
        return find_repeated_tasks(fleet.events)


if __name__ == "__main__":
    run_case(main)
