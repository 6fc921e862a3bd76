"""Cost of an idle daemon by size of the fleet, and at the target size.

Runs real daemon processes on loopback, with stand-ins for the platform and the
workers. For each axis it prints the linear fit of the cost.
"""

import statistics
import tempfile
import time
from dataclasses import replace

import anyio

from bench.fleet_files import TARGET, FleetSize, write_example
from bench.idle import fetch_statuses
from bench.report import linear_fit, report
from extras.example_system import running_example

SETTLE_S = 3.0
DURATION_S = 8.0
BASE = FleetSize(zones=1, entry_hosts=3, workers=30, pools=5, teams=5)
MAX_CPU_PERCENT = 2.5  # of one core
MAX_BYTES_PER_S = 26_000.0
MAX_MEMORY_MB = 32.0


def main():
    peers = [replace(BASE, zones=zones) for zones in (1, 3, 5, 7)]
    workers = [replace(BASE, workers=count) for count in (30, 90, 180, 330)]
    pools = [replace(BASE, pools=count, workers=48) for count in (4, 8, 16, 24)]
    sweep("capacity_peers", "peers", peers, lambda size: size.daemons - 1)
    sweep(
        "capacity_workers",
        "workers of a daemon",
        workers,
        lambda size: size.workers / size.daemons,
    )
    sweep(
        "capacity_shards",
        "shards of a daemon",
        pools,
        lambda size: size.pools * size.zones / size.daemons,
    )
    measure_target()


def sweep(name, axis, sizes, x_value):
    xs, rows = [], []
    for size in sizes:
        costs = measure(size)
        xs.append(x_value(size))
        rows.append([xs[-1], *costs])
    notes = []
    for index, cost in enumerate(("% of a core", "bytes/s", "MB"), 1):
        ys = [row[index] for row in rows]
        slope, intercept, r2 = linear_fit(xs, ys)
        notes.append(f"{cost} = {intercept:.3f} + {slope:.4f} x {axis} (R2 {r2:.2f})")
    report(name, [axis, "% of a core", "bytes/s", "MB"], rows, notes)


def measure_target():
    costs = measure(TARGET)
    limits = (MAX_CPU_PERCENT, MAX_BYTES_PER_S, MAX_MEMORY_MB)
    names = ("% of a core", "bytes/s", "MB")
    rows = [
        [name, cost, limit, cost / limit]
        for name, cost, limit in zip(names, costs, limits, strict=True)
    ]
    headers = ["median of 21 idle daemons", "measured", "limit", "share"]
    report("capacity_target", headers, rows, [str(TARGET)])


def measure(size):
    """Returns medians over the daemons of a fleet.

    The values are processor time in % of a core, control traffic in both
    directions in bytes/s, and peak resident memory in MB.
    """
    with tempfile.TemporaryDirectory() as directory:
        write_example(directory, size)
        with running_example(directory) as launcher:
            time.sleep(SETTLE_S)
            before = anyio.run(fetch_statuses, launcher)
            time.sleep(DURATION_S)
            after = anyio.run(fetch_statuses, launcher)
    seconds = [b.uptime_s - a.uptime_s for a, b in zip(before, after, strict=True)]
    cpu = [
        100.0 * (b.cpu_s - a.cpu_s) / s
        for a, b, s in zip(before, after, seconds, strict=True)
    ]
    traffic = [
        (total_bytes(b) - total_bytes(a)) / s
        for a, b, s in zip(before, after, seconds, strict=True)
    ]
    resident = [status.resident_kb / 1024.0 for status in after]
    return [statistics.median(values) for values in (cpu, traffic, resident)]


def total_bytes(status):
    return status.control_bytes_sent + status.control_bytes_received


if __name__ == "__main__":
    main()
