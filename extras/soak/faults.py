"""Faults that the soak injects from outside, in a schedule that a seed fixes."""

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
    "store forgets",
    "worker silent",
    "order late",
    "configuration",
)
LONGEST_S = 3.0  # beyond the time in which duties change hands


@dataclass(frozen=True)
class Fault:
    """A fault.

    Attributes:
        after_s: Pause before it.
        kind: One of ``KINDS``.
        target: Number that picks a daemon or worker.
        for_s: How long it lasts.
    """

    after_s: float
    kind: str
    target: int
    for_s: float


def make_schedule(seed, count):
    """Returns the faults of a seed; the same each time."""
    source = random.Random(seed)
    return [
        Fault(
            source.uniform(0.2, 1.5),
            source.choice(KINDS),
            source.randrange(1000),
            source.uniform(0.3, LONGEST_S),
        )
        for _ in range(count)
    ]


async def inject(fleet, fault):
    """Brings a fault about and ends it again."""
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
        await anyio.sleep(fault.for_s)
        store.is_down = False
    elif fault.kind == "store loses answers":
        store.lose_answers = 1 + fault.target % 4
    elif fault.kind == "store forgets":
        for topic in ("keyed.op", "keyed.servers", "keyed.intake.pool-a"):
            store.drop_history(topic)
    elif fault.kind == "worker silent":
        worker.is_silent = True
        await anyio.sleep(fault.for_s)
        worker.is_silent = False
    elif fault.kind == "order late":
        worker.delay_next_s = fault.for_s
    else:
        fleet.platform.configure()


async def _restart(fleet, number, fault):
    process = fleet.processes[number]
    if process.returncode is not None or number in fleet.restarting:
        # Another fault is restarting it; two processes can't share its ports.
        return
    fleet.restarting.add(number)
    is_kill = fault.kind == "kill"
    process.send_signal(signal.SIGKILL if is_kill else signal.SIGTERM)
    await process.wait()
    await anyio.sleep(fault.for_s if is_kill else 0.0)
    await fleet.start(number)
    fleet.restarting.discard(number)


async def _pause(fleet, number, fault):
    process = fleet.processes[number]
    if process.returncode is not None:
        return
    process.send_signal(signal.SIGSTOP)
    await anyio.sleep(fault.for_s)
    if process.returncode is None:
        process.send_signal(signal.SIGCONT)
