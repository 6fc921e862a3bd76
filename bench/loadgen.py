"""Closed-loop load from several processes, so that they are no bottleneck."""

import json
import subprocess
import sys
import time
from dataclasses import asdict, dataclass

import anyio
import uuid6

from basilwind.client import Client, SubmitOptions

PROCESSES = 3


@dataclass(frozen=True)
class LoadPlan:
    """Load that one process sends.

    Attributes:
        address: HOST:PORT of the entry host.
        team: Team that sends.
        queue: Queue of the team.
        concurrency: Number of concurrent requests.
        seconds: Duration, in seconds.
        is_once: Whether the work is not idempotent.
        work_s: Run time of each task, in seconds.
    """

    address: str
    team: str
    queue: str
    concurrency: int
    seconds: float
    is_once: bool = False
    work_s: float = 0.0


def measure_throughput(plan):
    """Runs a plan in several processes and returns the requests per second."""
    command = [sys.executable, "-m", "bench.loadgen", json.dumps(asdict(plan))]
    processes = [
        subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        for _ in range(PROCESSES)
    ]
    counts = [int(process.communicate()[0]) for process in processes]
    return sum(counts) / plan.seconds


async def send_one(client, plan):
    """Sends one request and checks that it was done."""
    tag = str(uuid6.uuid7()).encode()
    body = b'{"work_s": %g, "tag": "%s"}' % (plan.work_s, tag)
    options = SubmitOptions(idempotent=not plan.is_once)
    reply = await client.submit(plan.team, plan.queue, body, options)
    if reply.status != 200:
        raise RuntimeError(f"not done: {reply.status} {reply.reason}")


async def run(plan):
    client = Client(plan.address, f"{plan.team}-token")
    count = 0
    end = time.monotonic() + plan.seconds

    async def send_repeatedly():
        nonlocal count
        while time.monotonic() < end:
            await send_one(client, plan)
            count += 1

    async with anyio.create_task_group() as tasks:
        for _ in range(plan.concurrency):
            tasks.start_soon(send_repeatedly)
    await client.aclose()
    return count


if __name__ == "__main__":
    print(anyio.run(run, LoadPlan(**json.loads(sys.argv[1]))))
