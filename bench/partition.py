"""Longest time without a completed request after a shard's owner is cut off.

The fleet runs in one process with real sockets; its connections pass through
relays, which partition the owner.
"""

import statistics
import time

import anyio

from basilwind.client import SubmitOptions
from bench.report import report
from tests.utils.fleet import running_fleet

ROUNDS = 3
DURATION_S = 10.0
LEASE_S = 2.0
TARGET_S = 6.9


def main():
    rows = []
    for name, includes_platform in (
        ("peers and platform", True),
        ("peers only", False),
    ):
        gaps = [anyio.run(measure, includes_platform) for _ in range(ROUNDS)]
        gap = statistics.median(gaps)
        rows.append([name, min(gaps), gap, max(gaps), gap < TARGET_S])
    headers = ["owner cut off from", "min s", "median s", "max s", "under 6.9 s"]
    report("partition", headers, rows, [f"{ROUNDS} rounds, lease {LEASE_S:g} s"])


async def measure(includes_platform):
    options = SubmitOptions(idempotent=False, deadline_s=DURATION_S)
    async with running_fleet(entry_hosts=3, lease_s=LEASE_S) as fleet:
        owner = fleet.owner()
        other = fleet.others(owner)[0]
        await fleet.submit(other, b"{}", options)
        await fleet.isolate(owner, platform=includes_platform)
        started = last = time.monotonic()
        longest = 0.0
        while time.monotonic() - started < DURATION_S:
            reply = await fleet.submit(other, b"{}", options)
            now = time.monotonic()
            if reply.status == 200:
                longest, last = max(longest, now - last), now
            await anyio.sleep(0.02)
        return max(longest, time.monotonic() - last)


if __name__ == "__main__":
    main()
