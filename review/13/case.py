"""An accepted job is unknown while one connection to the store is silent."""

import os
import sys
import time
from pathlib import Path

import anyio

from basilwind.standin.entry_platform import StandInQueue
from review.harness3.deployment import BOUNDS, CannotRun, Deployment, run_case
from review.harness3.link import Link

FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DAEMONS = 4
LEAD_S = 12.0
CONTACT_S = 3.0
VISIBLE_S = 3.0
WATCH_S = 6.0
POLL_S = 0.02
JUST_SENT_S = 0.01  # the long poll of the intake has just begun
FIND_S = 5.0
LINK_MBPS = 1000.0
QUEUES = (StandInQueue("q-a", "/a/", "pool-a"), StandInQueue("q-b", "/b/", "pool-b"))
JOB_ID = "00000000000000e1"
JOB = {
    "spec": '{"work_s": 0.1}',
    "steps": [{"count": 1, "cpu": 500, "memMb": 100, "estimateMs": 100}],
}


async def main():
    """Returns whether the rule held."""
    deployment = Deployment(
        DAEMONS,
        QUEUES,
        lambda number: {"cpuShare": 0.537, "cores": 2},
        FOLDER / "record.txt",
        BOUNDS | {"stopTimeoutMs": 900, "remoteFactor": 2},
    )
    deployment.note("trouble", on=TROUBLE)
    async with anyio.create_task_group() as tasks:
        await tasks.start(deployment.serve)
        links = [
            Link(port, target, LINK_MBPS)
            for port, target in zip(
                deployment.link_ports, deployment.store_ports, strict=True
            )
        ]
        for link in links:
            await tasks.start(link.serve)
        try:
            return await play(deployment, links)
        finally:
            with anyio.CancelScope(shield=True):
                await deployment.stop()
            tasks.cancel_scope.cancel()


async def play(deployment, links):
    """Plays the case; returns whether the rule held."""
    for number in range(DAEMONS):
        await deployment.start_daemon(number, deployment.link_ports[number])
    await anyio.sleep(LEAD_S)
    await deployment.wait_until_ready(range(DAEMONS))
    for number in range(DAEMONS):
        await deployment.call("POST", number, f"/a/{number:016x}", JOB)
    await anyio.sleep(1.0)
    owner = deployment.find_owner("pool-a")
    other = (owner + 1) % DAEMONS
    connection = None
    with anyio.move_on_after(FIND_S):
        while connection is None:
            connection = links[owner].find((b"intake.pool-a", b"waitMs"), JUST_SENT_S)
            await anyio.sleep(0.001)
    if connection is None:
        raise CannotRun("the owner does not poll the intake")
    if TROUBLE:
        connection.is_silent = True
    silent_at = time.monotonic()
    deployment.note("one connection is silent", daemon=owner)
    answer = await deployment.call("POST", other, f"/a/{JOB_ID}", JOB)
    if answer is None or answer[0] != 200:
        raise CannotRun("the job was not accepted")
    accepted_at = time.monotonic()
    wrong = []
    while time.monotonic() - accepted_at < WATCH_S:
        sent_at = time.monotonic()
        answer = await deployment.call("GET", other, f"/a/{JOB_ID}")
        is_late = sent_at > accepted_at + VISIBLE_S and sent_at > silent_at + CONTACT_S
        if answer is not None and answer[0] == 410 and is_late:
            wrong.append(round(sent_at - accepted_at, 3))
        await anyio.sleep(POLL_S)
    deployment.note("answered 410 later than allowed", seconds_after_ack=wrong)
    deployment.note("LOST broken" if wrong else "LOST held")
    return not wrong


if __name__ == "__main__":
    sys.exit(run_case(main, FOLDER / "record.txt"))
