"""Latency of jobs whose data lies in one rack, by how long they wait for it.

Load pattern: more jobs want one rack than it has room for, while others are free.
"""

import random
import statistics

from basilwind.scheduling.reports import EndKind
from bench.report import report
from tests.scheduling.model import PoolModel, make_entry, make_job

RACKS, WORKERS = 4, 8  # workers of 8 cores
STEP_S = 0.1
RUN_S = 1.0  # in the right rack
DURATION_S = 20.0
HOT_SHARE = 0.6  # of the jobs want the first rack
TASKS = 4  # of each job, of one core
LOADS = (0.3, 0.6, 0.9)  # of all cores, if every task ran near its data
FACTORS = (1.5, 3.0)
# By name, the factor that the decision is made with, given the real one.
POLICIES = {
    "remote at once": lambda factor: 1.0,
    "by cost": lambda factor: factor,
    "near up to the cap": lambda factor: 100.0,
}


def main():
    rows = []
    for factor in FACTORS:
        for load in LOADS:
            for name, decided in POLICIES.items():
                rows.append([factor, load, name, *_play(factor, decided(factor), load)])
    columns = ["remote factor", "load", "policy", "mean (s)", "p95 (s)", "remote (%)"]
    report("places", columns, rows)


def _play(factor, decided_factor, load):
    """Returns mean and 95th percentile of the jobs' latencies, and remote tasks (%)."""
    model = PoolModel(_fail, workers=WORKERS, remote_factor=decided_factor)
    for number, worker in enumerate(model.workers.values()):
        rack = f"r{number % RACKS}"
        worker.entry = make_entry(worker.entry.worker_id, rack=rack)
    model.refresh()
    model.hold()
    source = random.Random(1)
    jobs_per_step = load * WORKERS * 8 / TASKS / RUN_S * STEP_S
    begin, due, submitted, ended, remote = model.now, 0.0, {}, {}, set()
    while model.now < begin + DURATION_S or len(ended) < len(submitted):
        due += jobs_per_step if model.now < begin + DURATION_S else 0.0
        while due >= 1.0:
            due -= 1.0
            is_hot = source.random() < HOT_SHARE
            rack = "r0" if is_hot else f"r{source.randrange(1, RACKS)}"
            job_id = f"{len(submitted):016x}"
            submitted[job_id] = model.now
            model.submit(job_id, make_job(count=TASKS, data_rack=rack))
        model.schedule()
        model.advance(STEP_S)
        _end_runs(model, factor, remote)
        model.hold()
        for job_id, job in model.state.jobs.items():
            if not job.is_live:
                ended.setdefault(job_id, model.now)
    latencies = sorted(ended[job_id] - at for job_id, at in submitted.items())
    share = 100 * len(remote) / (TASKS * len(submitted))
    return statistics.mean(latencies), latencies[int(0.95 * len(latencies))], share


def _end_runs(model, factor, remote):
    """Ends the runs that are over; notes those away from their rack."""
    for task in model.all_tasks():
        worker = model.workers.get(task.worker_id)
        if worker is None or task.confirmed_at is None or task.name not in worker.runs:
            continue
        is_remote = worker.entry.rack != task.spec.data_rack
        if is_remote:
            remote.add(task.name)
        run_s = RUN_S * (factor if is_remote else 1.0)
        if model.now - task.confirmed_at >= run_s - 0.01:
            worker.end(task.name, EndKind.DONE)


def _fail(message):
    raise AssertionError(message)


if __name__ == "__main__":
    main()
