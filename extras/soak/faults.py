"""Faults that the soak test injects, in a schedule that depends on a seed only."""

import random
import signal
from dataclasses import dataclass

import anyio

KINDS = (
    "kill",
    "pause",
    "terminate",
    "store down",
    "store loses answers",
    "store drops history",
    "worker silent",
    "order delayed",
    "configuration",
)
MAX_DURATION_S = 3.0  # longer than it takes until a duty has a new holder


@dataclass(frozen=True)
class Fault:
    """A fault to inject.

    Attributes:
        after_s: Delay after the previous fault, in seconds.
        kind: One of ``KINDS``.
        target: Number that selects a daemon or worker.
        duration_s: Duration of the fault, in seconds.
    """

    after_s: float
    kind: str
    target: int
    duration_s: float


def make_schedule(seed, count):
    """Returns the faults of a seed, which are the same on every call."""
    source = random.Random(seed)
    return [
        Fault(
            source.uniform(0.2, 1.5),
            source.choice(KINDS),
            source.randrange(1000),
            source.uniform(0.3, MAX_DURATION_S),
        )
        for _ in range(count)
    ]


async def inject_fault(fleet, fault):
    """Injects a fault and ends it after its duration."""
    number = fault.target % len(fleet.ports)
    workers = list(fleet.platform.workers.values())
    worker = workers[fault.target % len(workers)]
    store = fleet.platform.store
    if fault.kind in ("kill", "terminate"):
        await _restart(fleet, number, fault)
    elif fault.kind == "pause":
        await _pause(fleet, number, fault)
    elif fault.kind == "store down":
        store.is_down = True
        await anyio.sleep(fault.duration_s)
        store.is_down = False
    elif fault.kind == "store loses answers":
        store.lose_answers = 1 + fault.target % 4
    elif fault.kind == "store drops history":
        for topic in ("keyed.op", "keyed.servers", "keyed.intake.pool-a"):
            store.drop_history(topic)
    elif fault.kind == "worker silent":
        worker.is_silent = True
        await anyio.sleep(fault.duration_s)
        worker.is_silent = False
    elif fault.kind == "order delayed":
        worker.delay_next_s = fault.duration_s
    else:
        fleet.platform.configure()


async def _restart(fleet, number, fault):
    process = fleet.processes[number]
    if process.returncode is not None or number in fleet.restarting:
        # Another fault is restarting it, and two processes can't use the same ports.
        return
    fleet.restarting.add(number)
    is_kill = fault.kind == "kill"
    process.send_signal(signal.SIGKILL if is_kill else signal.SIGTERM)
    await process.wait()
    await anyio.sleep(fault.duration_s if is_kill else 0.0)
    await fleet.start(number)
    fleet.restarting.discard(number)


async def _pause(fleet, number, fault):
    process = fleet.processes[number]
    if process.returncode is not None:
        return
    process.send_signal(signal.SIGSTOP)
    await anyio.sleep(fault.duration_s)
    if process.returncode is None:
        process.send_signal(signal.SIGCONT)
