"""Faults that the soak test injects, in a schedule that depends on a seed only."""

import random
import signal
import time
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
# Several times each, so that a run of ten faults has some of them.
CUSTOMER_KINDS = 3 * ("keys", "maximum")
MAX_DURATION_S = 3.0  # longer than it takes until a duty has a new holder


@dataclass(frozen=True)
class Fault:
    """A fault to inject.

    Attributes:
        after_s: Delay after the previous fault, in seconds.
        kind: One of ``KINDS`` or ``CUSTOMER_KINDS``.
        target: Number that selects a daemon or worker.
        duration_s: Duration of the fault, in seconds.
    """

    after_s: float
    kind: str
    target: int
    duration_s: float


def make_schedule(seed, count, kinds=KINDS):
    """Returns the faults of a seed, which are the same on every call."""
    source = random.Random(seed)
    return [
        Fault(
            source.uniform(0.2, 1.5),
            source.choice(kinds),
            source.randrange(1000),
            source.uniform(0.3, MAX_DURATION_S),
        )
        for _ in range(count)
    ]


async def inject_fault(fleet, fault, customers=None):
    """Injects a fault and ends it after its duration."""
    index = fault.target % len(fleet.ports)
    workers = list(fleet.platform.workers.values())
    worker = workers[fault.target % len(workers)]
    store = fleet.platform.store
    if fault.kind in ("kill", "terminate"):
        await _restart(fleet, index, fault)
    elif fault.kind == "pause":
        await _pause(fleet, index, fault)
    elif fault.kind == "store down":
        store.is_down, began_at = True, time.monotonic()
        await anyio.sleep(fault.duration_s)
        store.is_down = False
        fleet.outages.append((began_at, time.monotonic()))
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
    elif fault.kind == "keys":
        customers.replace_key(fleet, fault.target)
    elif fault.kind == "maximum":
        await customers.halve_maximum(fleet, fault.duration_s)
    else:
        fleet.platform.configure()


async def _restart(fleet, index, fault):
    process = fleet.processes[index]
    if process.returncode is not None or index in fleet.restarting:
        # Another fault is restarting it, and two processes can't use the same ports.
        return
    fleet.restarting.add(index)
    is_kill = fault.kind == "kill"
    process.send_signal(signal.SIGKILL if is_kill else signal.SIGTERM)
    await process.wait()
    await anyio.sleep(fault.duration_s if is_kill else 0.0)
    await fleet.start(index)
    fleet.restarting.discard(index)


async def _pause(fleet, index, fault):
    process = fleet.processes[index]
    if process.returncode is not None:
        return
    process.send_signal(signal.SIGSTOP)
    await anyio.sleep(fault.duration_s)
    if process.returncode is None:
        process.send_signal(signal.SIGCONT)
