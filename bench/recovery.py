"""Recovery time of a shard after its owner is killed, paused or stopped.

Daemons are real processes. Requests are sent one at a time to another entry
host of the zone; the table shows the longest time without a completed request
after the loss of the owner.
"""

import signal
import statistics
import time

import anyio

from basilwind.client import Client, SubmitOptions
from bench.report import report
from extras.example_system import running_example

TEAM = "northern-workshops"
QUEUE = "bay-slots"
ROUNDS = 3
DEADLINE_S = 12.0
TARGET_S = 6.9


def main():
    rows = []
    for loss in ("killed", "paused", "left gracefully"):
        for is_once in (False, True):
            gaps = []
            for _ in range(ROUNDS):
                with running_example("examples/cordillera") as launcher:
                    gaps.append(anyio.run(measure, launcher, loss, is_once))
            kind = "not idempotent" if is_once else "idempotent"
            gap = statistics.median(gaps)
            rows.append([loss, kind, min(gaps), gap, max(gaps), gap < TARGET_S])
    headers = ["owner", "work", "min s", "median s", "max s", "under 6.9 s"]
    report("recovery", headers, rows, [f"{ROUNDS} rounds each"])


async def measure(launcher, loss, is_once):
    owner, other = await find_owner_and_other(launcher)
    client = Client(launcher.entry_addresses[other], f"{TEAM}-token")
    options = SubmitOptions(idempotent=not is_once, deadline_s=DEADLINE_S)
    await client.submit(TEAM, QUEUE, b"{}", options)
    started = time.monotonic()
    await anyio.to_thread.run_sync(lose_owner, launcher, owner, loss)
    longest, last = 0.0, started
    while time.monotonic() - started < DEADLINE_S:
        reply = await client.submit(TEAM, QUEUE, b"{}", options)
        now = time.monotonic()
        if reply.status == 200:
            longest, last = max(longest, now - last), now
        await anyio.sleep(0.02)
    await client.aclose()
    return max(longest, time.monotonic() - last)


def lose_owner(launcher, owner, loss):
    if loss == "killed":
        launcher.kill(owner)
    elif loss == "paused":
        launcher.signal(owner, signal.SIGSTOP)
    else:
        launcher.stop(owner)


async def find_owner_and_other(launcher):
    zone = launcher.tree.fleet.zones[0]
    client = Client(launcher.entry_addresses[zone.entry_hosts[0]])
    status = await client.status()
    await client.aclose()
    owner = next(shard.owner for shard in status.shards if shard.pool == TEAM)
    return owner, next(name for name in zone.entry_hosts if name != owner)


if __name__ == "__main__":
    main()
