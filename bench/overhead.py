"""Latency and throughput through daemons, compared with a bare forwarder."""

import statistics
import subprocess
import sys
import time

import anyio

from basilwind.client import Client
from bench.loadgen import LoadPlan, measure_throughput, send_one
from bench.report import quantile, report
from extras.example_system import running_example
from extras.launcher import wait_until_listening
from tests.utils.fleet import free_ports

SEQUENTIAL = 400
CONCURRENCY = 4
DURATION_S = 4.0
ROUNDS = 3
TEAM = "northern-workshops"
QUEUE = "bay-slots"


def main():
    with running_example("examples/cordillera") as launcher:
        (port,) = free_ports(1)
        address = f"127.0.0.1:{port}"
        hosts = [h for h in launcher.tree.fleet.hosts if h.pool == TEAM][:2]
        command = [sys.executable, "-m", "bench.bare_forwarder", address]
        forwarder = subprocess.Popen(command + [host.address for host in hosts])
        try:
            wait_until_listening([address])
            anyio.run(measure, launcher, address)
        finally:
            forwarder.kill()
            forwarder.wait()


async def measure(launcher, forwarder):
    owner, other = await find_entry_hosts(launcher)
    paths = {
        "bare forwarder": (forwarder, False),
        "owner": (owner, False),
        "one hop": (other, False),
        "owner, not idempotent": (owner, True),
    }
    samples = {name: ([], []) for name in paths}
    for _ in range(ROUNDS):
        for name, (address, is_once) in paths.items():
            latencies, rates = samples[name]
            latencies += await measure_latencies(address, is_once)
            rates.append(await measure_rate(address, is_once))
    base = statistics.median(samples["bare forwarder"][0])
    base_rate = statistics.median(samples["bare forwarder"][1])
    rows = []
    for name, (latencies, rates) in samples.items():
        median = statistics.median(latencies)
        rate = statistics.median(rates)
        rows.append(
            [
                name,
                median * 1e3,
                quantile(latencies, 0.99) * 1e3,
                (median - base) * 1e3,
                rate,
                rate / base_rate,
            ]
        )
    headers = ["way", "p50 ms", "p99 ms", "added p50 ms", "requests/s", "ratio"]
    report("overhead", headers, rows)


async def find_entry_hosts(launcher):
    owner = other = None
    for name, address in launcher.entry_addresses.items():
        client = Client(address)
        status = await client.status()
        await client.aclose()
        if status.zone != launcher.tree.fleet.zones[0].name:
            continue
        shard = next(s for s in status.shards if s.pool == TEAM)
        if shard.owner == name:
            owner = address
        else:
            other = address
    return owner, other


async def measure_latencies(address, is_once):
    plan = LoadPlan(address, TEAM, QUEUE, 1, 0, is_once)
    client = Client(address, f"{TEAM}-token")
    latencies = []
    for _ in range(SEQUENTIAL):
        started = time.perf_counter()
        await send_one(client, plan)
        latencies.append(time.perf_counter() - started)
    await client.aclose()
    return latencies


async def measure_rate(address, is_once):
    plan = LoadPlan(address, TEAM, QUEUE, CONCURRENCY, DURATION_S, is_once)
    return await anyio.to_thread.run_sync(measure_throughput, plan)


if __name__ == "__main__":
    main()
