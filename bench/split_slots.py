"""One owner of a shard against slots split over its entry hosts.

The placement code itself runs on a virtual clock under the same arrivals: in
one row a single shard holds every slot, in the other each of three entry hosts
places alone on its own part of each worker's slots.
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
SECONDS = 300.0
LOADS = (0.5, 0.7, 0.9)
SEEDS = (1, 2, 3)


class Part:
    """A queue and the slots that it may fill."""

    def __init__(self, slots_each):
        self.queue = WaitQueue()
        self.slots = SlotTable(Ejector())
        hosts = [
            HostSettings(f"w{index}", "z", "r", "p", "a:1", slots=slots_each)
            for index in range(WORKERS)
        ]
        self.slots.update(hosts, lambda name: True)


def simulate(parts, load, seed):
    """Returns waits, and idle slot-seconds while work was waiting."""
    rng = random.Random(seed)
    rate = load * WORKERS * SLOTS / MEAN_WORK_S
    now, events, order = 0.0, [], itertools.count()
    waits, wasted, free = [], 0.0, WORKERS * SLOTS
    heapq.heappush(events, (rng.expovariate(rate), next(order), None, None))
    while events:
        at, _, part, ticket = heapq.heappop(events)
        waiting = sum(p.queue.waiting for p in parts)
        wasted += (at - now) * min(free, waiting)
        now = at
        if ticket is None:
            part = rng.choice(parts)
            spec = RequestSpec("id", "team", "work", "p")
            part.queue.enqueue(spec, now)
            if now < SECONDS:
                gap = rng.expovariate(rate)
                heapq.heappush(events, (now + gap, next(order), None, None))
        else:
            part.slots.release(ticket.reservation)
            part.queue.release(ticket)
        for granted in grant(part, now):
            waits.append(now - granted.enqueued_at)
            end = now + rng.expovariate(1.0 / MEAN_WORK_S)
            heapq.heappush(events, (end, next(order), part, granted))
        free = sum(p.slots.free_slots(now) for p in parts)
    return waits, wasted


def grant(part, now):
    heads = [part.queue.share("team").head(False)]
    granted = []
    while heads[0] is not None:
        part.queue.grant(lambda demand: part.slots.reserve(demand, now), now)
        head = heads[0]
        if not head.granted.is_set():
            break
        granted.append(head)
        heads[0] = part.queue.share("team").head(False)
    return granted


def main():
    rows = []
    for load in LOADS:
        for name, parts in (("one owner", 1), ("split", ENTRY_HOSTS)):
            waits, wasted = [], []
            for seed in SEEDS:
                shares = split(SLOTS, parts)
                found = simulate([Part(share) for share in shares], load, seed)
                waits += found[0]
                wasted.append(found[1])
            rows.append(
                [
                    load,
                    name,
                    statistics.mean(waits) * 1e3,
                    quantile(waits, 0.99) * 1e3,
                    statistics.mean(wasted) / SECONDS,
                    min(wasted) / SECONDS,
                    max(wasted) / SECONDS,
                ]
            )
    headers = ["load", "placing", "mean wait ms", "p99 wait ms"]
    headers += ["idle slots while work waits", "min", "max"]
    report("split_slots", headers, rows, [f"seeds {SEEDS}"])


def split(slots, parts):
    return [slots // parts + (index < slots % parts) for index in range(parts)]


if __name__ == "__main__":
    main()
