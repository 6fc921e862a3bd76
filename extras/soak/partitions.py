"""Plays cut connections: ``python -m extras.soak.partitions --seeds 1-10``.

Every process reaches the others through a proxy. Whether a task had two runs at once
is judged from the workers' records alone.
"""

import json
import random
import signal
import sys
import tempfile
import time
from pathlib import Path

import anyio
import click

from extras.soak.__main__ import parse_seeds
from extras.soak.overlaps import collect_runs, find_overlaps
from extras.soak.partition_faults import (
    KINDS,
    UNHEARD_RESTART,
    UNHEARD_RESTART_SHARE,
    FaultSeries,
)
from extras.soak.partition_fleet import DAEMONS, POOLS, PartitionFleet
from extras.soak.worker_log import write_run_log

SHORT_INTERVAL_S = 0.5  # between jobs of tasks of SHORT_WORK_S, in each pool
SHORT_WORK_S = 1.0
LONG_INTERVAL_S = 2.0  # between jobs of tasks of LONG_WORK_S, in each pool
LONG_WORK_S = (5.0, 20.0)
TASKS = 4  # of a job
TASK_CPU = (1000, 1600)  # with the latter some tasks always wait for a worker
START_TIMEOUT_S = 40.0
WARM_UP_S = 4.0
SETTLE_S = 12.0  # leases and takeovers take less
SUBMIT_ATTEMPTS = 4
RUN_EVENTS = ("start", "end", "noted", "void")


class PartitionPlay:
    """Plays one seed.

    Args:
        seed: Seed of jobs, faults and delays.
        series: Number of series of faults.
        code: Directory of the daemons' code; None for this one.
        log_folder: Directory for logs and the record.
        kind: Kind of all series; None to draw each.

    Attributes:
        is_stopped: Whether a signal ended the play.
    """

    def __init__(self, seed, series, code, log_folder, kind=None):
        self._seed = seed
        self._kind = kind
        self.is_stopped = False
        self._series = series
        self._fleet = PartitionFleet(seed, code, log_folder)
        self._random = random.Random(seed)
        self._task_cpu = self._random.choice(TASK_CPU)
        self._job_count = 0
        self._accepted = 0

    async def run(self):
        """Plays the seed.

        Returns:
            List of ``Find``, and the ``Run`` objects.
        """
        fleet = self._fleet
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._stop_on_signal, tasks.cancel_scope)
                with anyio.fail_after(START_TIMEOUT_S):
                    await tasks.start(fleet.run)
                    await self._wait_until_serving()
                for pool in POOLS:
                    tasks.start_soon(self._submit, pool, SHORT_INTERVAL_S, None)
                    tasks.start_soon(self._submit, pool, LONG_INTERVAL_S, LONG_WORK_S)
                await anyio.sleep(WARM_UP_S)
                for number in range(self._series):
                    fleet.note("series", number=number)
                    await self._play_series(number)
                await anyio.sleep(SETTLE_S)
                tasks.cancel_scope.cancel()
        finally:
            await fleet.close()
        runs = collect_runs(fleet.events)
        return find_overlaps(runs), runs

    async def _play_series(self, number):
        """Plays one series of faults, and restarts of workers beside some of them."""
        fleet, submit = self._fleet, self.submit_job
        series = FaultSeries(fleet, random.Random(f"{self._seed}/{number}"), submit)
        # Drawn from a source of its own, so that seeds keep their other faults.
        source = random.Random(f"{self._seed}/{number}/{UNHEARD_RESTART}")
        async with anyio.create_task_group() as tasks:
            if self._kind is None and source.random() < UNHEARD_RESTART_SHARE:
                beside = FaultSeries(fleet, source, submit)
                tasks.start_soon(beside.restart_unheard, source.choice(POOLS))
            await series.run(self._kind)

    @property
    def started_at(self):
        """Monotonic time from which times in the record count."""
        return self._fleet.started_at

    @property
    def events(self):
        """Everything that happened; see ``PartitionFleet``."""
        return self._fleet.events

    @property
    def accepted(self):
        """Number of jobs that were accepted."""
        return self._accepted

    async def _stop_on_signal(self, scope):
        """Ends the play, and so all its processes, on SIGTERM."""
        with anyio.open_signal_receiver(signal.SIGTERM) as signals:
            async for _ in signals:
                self.is_stopped = True
                scope.cancel()

    async def _wait_until_serving(self):
        for pool in POOLS:
            while await self._fleet.call("GET", 0, f"/{pool}/") != 200:
                await anyio.sleep(0.2)

    async def _submit(self, pool, interval_s, work_range_s):
        """Submits jobs to a pool all the time, from whichever daemon accepts them."""
        async with anyio.create_task_group() as calls:
            while True:
                work_s = SHORT_WORK_S
                if work_range_s is not None:
                    work_s = round(self._random.uniform(*work_range_s), 1)
                calls.start_soon(self.submit_job, pool, work_s)
                await anyio.sleep(interval_s)

    async def submit_job(self, pool, work_s, **fields):
        """Submits a job of one step to any daemon.

        Args:
            pool: Name of the pool.
            work_s: Time that a task takes, seconds.
            **fields: Fields of the step that differ from the usual ones.
        """
        self._job_count += 1
        path = f"/{pool}/{self._seed:08x}{self._job_count:08x}"
        step = {
            "count": TASKS,
            "cpu": self._task_cpu,
            "memMb": 100,
            "estimateMs": int(work_s * 1000),
        }
        body = {"spec": f'{{"work_s": {work_s}}}', "steps": [step | fields]}
        first = self._random.randrange(DAEMONS)
        for attempt in range(SUBMIT_ATTEMPTS):
            index = (first + attempt) % DAEMONS
            if await self._fleet.call("POST", index, path, body) == 200:
                self._accepted += 1
                return


def write_report(file, finds, events, origin):
    """Writes each find with both runs, and the faults from the first one's start on."""
    for find in finds:
        first, second = find.first, find.second
        print(f"{find.kind}: {first.task}, {find.overlap_s:.3f} s", file=file)
        for run in (first, second):
            print(f"  {run.describe(origin)}", file=file)
    if not finds:
        return
    first_at = min(find.first.started_at for find in finds)
    last_at = max(find.second.started_at for find in finds)
    for event in events:
        if first_at <= event["at"] <= last_at and event["event"] not in RUN_EVENTS:
            fields = {name: event[name] for name in event if name != "at"}
            print(f"  {event['at'] - origin:.3f} {json.dumps(fields)}", file=file)


@click.command()
@click.option("--seeds", default="1-3", show_default=True, help="A seed or a range.")
@click.option("--series", default=5, show_default=True, help="Series of faults.")
@click.option(
    "--kind", type=click.Choice((*KINDS, UNHEARD_RESTART)), help="Kind of all series."
)
@click.option("--code", type=click.Path(file_okay=False), help="Another checkout.")
@click.option("--logs", type=click.Path(file_okay=False), help="Directory for logs.")
def main(seeds, series, kind, code, logs):
    """Play cut connections with each seed and report tasks that ran twice."""
    failed = 0
    with tempfile.TemporaryDirectory() as temporary:
        for seed in parse_seeds(seeds):
            folder = Path(logs or temporary) / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
            play = PartitionPlay(seed, series, code, folder, kind)
            begun_at = time.monotonic()
            finds, runs = anyio.run(play.run)
            if play.is_stopped:
                raise click.Abort
            failed += bool(finds)
            click.echo(
                f"seed {seed}: {len(finds)} finds, {len(runs)} runs, {play.accepted} "
                f"jobs accepted, {time.monotonic() - begun_at:.0f} s"
            )
            write_run_log(runs, folder / "workers.log")
            with open(folder / "finds.txt", "w", encoding="utf-8") as file:
                write_report(file, finds, play.events, play.started_at)
            click.echo((folder / "finds.txt").read_text(), nl=False)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
