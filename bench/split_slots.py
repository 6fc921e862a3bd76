"""Compares one owner per shard with slots that are split between entry hosts.

The placement code runs on a virtual clock under the same load. In one case a
single owner places on all slots; in the other, each of three entry hosts places
independently on its own part of each worker's slots.
"""

import heapq
import itertools
import random
import statistics

from basilwind.models import RequestSpec
from basilwind.placement.ejection import Ejector
from basilwind.placement.slots import SlotTable
from basilwind.placement.wait_queue import WaitQueue
from basilwind.settings import HostSettings
from bench.report import quantile, report

WORKERS = 6
SLOTS = 8
ENTRY_HOSTS = 3
MEAN_WORK_S = 0.5
DURATION_S = 300.0
LOADS = (0.5, 0.7, 0.9)
SEEDS = (1, 2, 3)


class Placer:
    """A queue and the slots that its requests are placed on."""

    def __init__(self, slots_each):
        self.queue = WaitQueue()
        self.slots = SlotTable(Ejector())
        hosts = [
            HostSettings(f"w{index}", "z", "r", "p", "a:1", slots=slots_each)
            for index in range(WORKERS)
        ]
        self.slots.update(hosts, lambda name: True)


def simulate(placers, load, seed):
    """Returns all waits, and the slot-seconds that were idle while work waited."""
    rng = random.Random(seed)
    rate = load * WORKERS * SLOTS / MEAN_WORK_S
    now, events, order = 0.0, [], itertools.count()
    waits, idle_slot_seconds, free = [], 0.0, WORKERS * SLOTS
    heapq.heappush(events, (rng.expovariate(rate), next(order), None, None))
    while events:
        at, _, placer, ticket = heapq.heappop(events)
        waiting = sum(p.queue.waiting for p in placers)
        idle_slot_seconds += (at - now) * min(free, waiting)
        now = at
        if ticket is None:
            placer = rng.choice(placers)
            spec = RequestSpec("id", "team", "work", "p")
            placer.queue.enqueue(spec, now)
            if now < DURATION_S:
                gap = rng.expovariate(rate)
                heapq.heappush(events, (now + gap, next(order), None, None))
        else:
            placer.slots.release(ticket.reservation)
            placer.queue.release(ticket)
        for granted in grant(placer, now):
            waits.append(now - granted.enqueued_at)
            end = now + rng.expovariate(1.0 / MEAN_WORK_S)
            heapq.heappush(events, (end, next(order), placer, granted))
        free = sum(p.slots.free_slots(now) for p in placers)
    return waits, idle_slot_seconds


def grant(placer, now):
    heads = [placer.queue.share("team").head(False)]
    granted = []
    while heads[0] is not None:
        placer.queue.grant(lambda demand: placer.slots.reserve(demand, now), now)
        head = heads[0]
        if not head.granted.is_set():
            break
        granted.append(head)
        heads[0] = placer.queue.share("team").head(False)
    return granted


def main():
    rows = []
    for load in LOADS:
        for name, placers in (("one owner", 1), ("split", ENTRY_HOSTS)):
            waits, idle_slot_seconds = [], []
            for seed in SEEDS:
                shares = split(SLOTS, placers)
                result = simulate([Placer(share) for share in shares], load, seed)
                waits += result[0]
                idle_slot_seconds.append(result[1])
            rows.append(
                [
                    load,
                    name,
                    statistics.mean(waits) * 1e3,
                    quantile(waits, 0.99) * 1e3,
                    statistics.mean(idle_slot_seconds) / DURATION_S,
                    min(idle_slot_seconds) / DURATION_S,
                    max(idle_slot_seconds) / DURATION_S,
                ]
            )
    headers = ["load", "placing", "mean wait ms", "p99 wait ms"]
    headers += ["idle slots while work waits", "min", "max"]
    report("split_slots", headers, rows, [f"seeds {SEEDS}"])


def split(slots, placers):
    return [slots // placers + (index < slots % placers) for index in range(placers)]


if __name__ == "__main__":
    main()
