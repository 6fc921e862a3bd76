"""Processor time, memory and traffic of the nine idle daemons of an example."""

import statistics
import time

import anyio

from basilwind.client import Client
from bench.report import report
from extras.example_system import running_example

SETTLE_S = 3.0
DURATION_S = 10.0


def main():
    with running_example("examples/cordillera") as launcher:
        time.sleep(SETTLE_S)
        before = anyio.run(fetch_statuses, launcher)
        time.sleep(DURATION_S)
        after = anyio.run(fetch_statuses, launcher)
    rows = [
        row("processor time (% of a core)", before, after, lambda s: s.cpu_s, 100.0),
        row("peer bytes sent/s", before, after, lambda s: s.control_bytes_sent),
        row("peer bytes received/s", before, after, lambda s: s.control_bytes_received),
    ]
    resident = [status.resident_kb / 1024.0 for status in after]
    rows.append(["largest resident size (MB)", *min_median_max(resident)])
    report("idle", ["figure", "min", "median", "max"], rows)


async def fetch_statuses(launcher):
    statuses = []
    for address in launcher.entry_addresses.values():
        client = Client(address)
        statuses.append(await client.status())
        await client.aclose()
    return statuses


def row(name, before, after, value_of, scale=1.0):
    rates = [
        scale * (value_of(b) - value_of(a)) / (b.uptime_s - a.uptime_s)
        for a, b in zip(before, after, strict=True)
    ]
    return [name, *min_median_max(rates)]


def min_median_max(values):
    return min(values), statistics.median(values), max(values)


if __name__ == "__main__":
    main()
