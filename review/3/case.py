"""The store turns away the duty holders only, and their successor runs tasks twice.

The pool's owner asks the other duty holders whether the store answers them. As it
answers none of these, the owner takes the store for down and starts waiting tasks
without a record. The store serves all other daemons, so one of them takes over.
"""

import asyncio
from pathlib import Path

from deployment import CannotRun, Deployment, run_case

FIRST_JOBS = 8  # they fill all workers
NEXT_JOBS = 4  # half as many tasks, which wait for these
TASKS = 12
FIRST_WORK_S, NEXT_WORK_S = 2.0, 6.0
TRAFFIC_INTERVAL_S = 0.25
OUTAGE_AFTER_S = 1.1  # the first jobs end while the store is away
OUTAGE_S = 7.0
SETTLE_S = 16.0
DAEMON_ZONES = ["zone-a", "zone-b", "zone-c", "zone-a", "zone-b", "zone-c"]
WORKER_ZONES = ["zone-a", "zone-b", "zone-c"] * 8
WORKER_CPU = 4_000
MAX_ANSWER_DELAY_S = 0.02  # of the workers, drawn for each answer


async def main(has_trouble):
    """Plays the case; returns whether the rule was broken, and a summary."""
    folder = Path(__file__).parent
    async with Deployment(
        folder, DAEMON_ZONES, WORKER_ZONES, worker_cpu=WORKER_CPU, early_daemons=2
    ) as fleet:
        for worker in fleet.workers:
            worker.answer_delay_s = MAX_ANSWER_DELAY_S
        await fleet.wait_until_serving()
        owner, planner = fleet.holder("pool/svc-a"), fleet.holder("fleet")
        fleet.record.write("holders", owner=owner, planner=planner)
        if DAEMON_ZONES[owner] == DAEMON_ZONES[planner]:
            raise CannotRun("both duties are held in one zone")
        others = [n for n in range(len(DAEMON_ZONES)) if n not in (owner, planner)]
        traffic = asyncio.create_task(send_traffic(fleet, others))
        await asyncio.sleep(12.0)
        first = [f"{0xEEEE0000 + number:016x}" for number in range(FIRST_JOBS)]
        following = [f"{0xEEEF0000 + number:016x}" for number in range(NEXT_JOBS)]
        await submit_all(fleet, first, FIRST_WORK_S)
        await submit_all(fleet, following, NEXT_WORK_S)
        await asyncio.sleep(OUTAGE_AFTER_S)
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
            *(fleet.state(job_id, n) for n, job_id in enumerate(first + following))
        )
        return judge(fleet, states)


async def send_traffic(fleet, daemons):
    """Hands in small jobs at some of the daemons, as the balancer lets clients do."""
    calls = set()
    number = 0
    while True:
        for index in daemons:
            number += 1
            job_id = f"{0xDDDF0000 + number:016x}"
            call = asyncio.create_task(fleet.submit(job_id, 0.2, index, cpu=100))
            calls.add(call)
            call.add_done_callback(calls.discard)
        await asyncio.sleep(TRAFFIC_INTERVAL_S)


async def submit_all(fleet, job_ids, work_s):
    """Submits jobs of ``TASKS`` tasks of one core each."""
    calls = (
        fleet.submit(job, work_s, n, count=TASKS, estimateMs=1000 * work_s)
        for n, job in enumerate(job_ids)
    )
    if not all(await asyncio.gather(*calls)):
        raise CannotRun("a job was not accepted")


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
