"""The store turns away the duty holders only, and their successor runs tasks twice.

The pool's owner asks the other duty holders whether the store answers them. As it
answers none of these, the owner takes the store for down and starts waiting tasks
without a record. The store serves all other daemons, so one of them takes over.
"""

import asyncio
from pathlib import Path

from deployment import CannotRun, Deployment, run_case

JOBS = 12
TASKS = 12
WORK_S = 2.0
TRAFFIC_INTERVAL_S = 0.25
OUTAGE_S = 7.0
SETTLE_S = 14.0
ANSWER_DELAYS_S = [0.001, 0.004, 0.008, 0.012, 0.016, 0.02]  # of the workers
DAEMON_ZONES = ["zone-a", "zone-b", "zone-c", "zone-a", "zone-b", "zone-c"]


async def main(has_trouble):
    """Plays the case; returns whether the rule was broken, and a summary."""
    folder = Path(__file__).parent
    zones = ["zone-a", "zone-b", "zone-c"] * 8
    async with Deployment(
        folder, DAEMON_ZONES, zones, worker_cpu=4_000, early_daemons=2
    ) as fleet:
        for number, worker in enumerate(fleet.workers):
            worker.answer_delay_s = ANSWER_DELAYS_S[number % len(ANSWER_DELAYS_S)]
        await fleet.wait_until_serving()
        await asyncio.sleep(10.0)
        owner, planner = fleet.holder("pool/svc-a"), fleet.holder("fleet")
        fleet.record.write("holders", owner=owner, planner=planner)
        if DAEMON_ZONES[owner] == DAEMON_ZONES[planner]:
            raise CannotRun("both duties are held in one zone")
        job_ids = [f"{0xEEEE0000 + number:016x}" for number in range(JOBS)]
        await asyncio.gather(
            *(
                fleet.submit(job_id, WORK_S, number, count=TASKS, estimateMs=2000)
                for number, job_id in enumerate(job_ids)
            )
        )
        others = [n for n in range(len(DAEMON_ZONES)) if n not in (owner, planner)]
        traffic = asyncio.create_task(send_traffic(fleet, others))
        await asyncio.sleep(1.2)
        if has_trouble:
            fleet.record.write("store turns daemons away", daemons=[owner, planner])
            away = {fleet.store_ports[owner], fleet.store_ports[planner]}
            fleet.store.silent_ports.update(away)
            await asyncio.sleep(OUTAGE_S)
            fleet.store.silent_ports.clear()
            fleet.record.write("store serves all")
        traffic.cancel()
        await asyncio.sleep(SETTLE_S)
        states = await asyncio.gather(
            *(fleet.state(job_id, number) for number, job_id in enumerate(job_ids))
        )
        return judge(fleet, states)


async def send_traffic(fleet, daemons):
    """Hands in small jobs at some of the daemons, as the balancer lets clients do."""
    calls = set()
    number = 0
    while True:
        for index in daemons:
            number += 1
            job_id = f"{0xEEEF0000 + number:016x}"
            call = asyncio.create_task(fleet.submit(job_id, 0.2, index, cpu=200))
            calls.add(call)
            call.add_done_callback(calls.discard)
        await asyncio.sleep(TRAFFIC_INTERVAL_S)


def judge(fleet, states):
    """Returns whether TWICE was broken, and a summary."""
    ends = {(e["task"], e["run"], e["worker"]): e for e in fleet.ends}
    runs = {}
    for at, task, run, worker, _ in fleet.starts:
        runs.setdefault(task, []).append((at, run, worker))
    parallel, again = [], []
    for task, started in runs.items():
        for at, run, worker in started:
            for other_at, other_run, other_worker in started:
                end = ends.get((task, other_run, other_worker))
                if other_at >= at or end is None:
                    continue
                if at < end["at"]:
                    parallel.append(task)
                    fleet.record.write(
                        "two runs at the same time",
                        task=task,
                        runs=[[other_run, other_worker], [run, worker]],
                        overlap_s=round(end["at"] - at, 3),
                    )
                elif end["how"] == "done" and end["noted"]:
                    again.append(task)
                    fleet.record.write(
                        "started after it was done", task=task, run=run, worker=worker
                    )
    text = (
        f"{len(parallel)} tasks with two runs at the same time, {len(again)} started "
        f"after an end 'done' that was taken note of; {len(fleet.starts)} starts, "
        f"states {sorted(set(states))}"
    )
    fleet.record.write("judged", text=text)
    return bool(parallel or again), text


run_case(main)
