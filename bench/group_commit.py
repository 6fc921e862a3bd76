"""Append rate and added latency of group commit, by rate limit and load."""

import statistics
import time

import anyio

from basilwind.api.asgi import HttpServer
from basilwind.journal.entries import Claim, Started
from basilwind.journal.journal import Journal
from basilwind.journal.rate_limit import AppendRateLimiter
from basilwind.platform.client import PlatformClient
from basilwind.standin.platform import PlatformStandIn
from bench.report import quantile, report
from tests.utils.fleet import free_ports

DURATION_S = 3.0
RATE_LIMITS = ((5.0, 5), (10.0, 10), (20.0, 10), (50.0, 10), (1000.0, 1000))
LOADS = (5, 50, 200)


def main():
    rows = []
    for rate, burst in RATE_LIMITS:
        for load in LOADS:
            rows.append([rate, burst, load, *anyio.run(measure, rate, burst, load)])
    headers = ["pace/s", "burst", "entries/s", "appends/s", "p50 ms", "p99 ms"]
    notes = ["Latency is the wait of a start for the log, until it is read back."]
    report("group_commit", headers, rows, notes)


async def measure(rate, burst, load):
    platform = PlatformStandIn()
    address = f"127.0.0.1:{free_ports(1)[0]}"
    latencies = []
    async with anyio.create_task_group() as tasks:
        server = HttpServer(platform, address)
        tasks.start_soon(server.serve_until_stopped)
        await server.wait_started()
        client = PlatformClient(f"http://{address}")
        rate_limiter = AppendRateLimiter(rate, burst)
        journal = Journal(
            client, "z", "e", "i", time.monotonic, time.time, rate_limiter
        )
        tasks.start_soon(journal.run)
        claim = Claim(pool="p", epoch=1, holder="e", incarnation="i")
        await journal.append(claim, 5.0)
        before = platform.appends
        async with anyio.create_task_group() as appenders:
            for index in range(int(load * DURATION_S)):
                appenders.start_soon(append_start, journal, index, latencies)
                await anyio.sleep(1.0 / load)
        appends = (platform.appends - before) / DURATION_S
        tasks.cancel_scope.cancel()
    median = statistics.median(latencies) * 1e3
    return appends, median, quantile(latencies, 0.99) * 1e3


async def append_start(journal, index, latencies):
    name = str(index)
    entry = Started(
        pool="p",
        epoch=1,
        identity=name,
        task_id=name,
        worker="w",
        worker_incarnation="i",
        digest="d",
        deadline=0.0,
    )
    started = time.perf_counter()
    await journal.append(entry, 10.0)
    latencies.append(time.perf_counter() - started)


if __name__ == "__main__":
    main()
