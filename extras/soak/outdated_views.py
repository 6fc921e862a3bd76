"""Plays outdated views: ``python -m extras.soak.outdated_views --seeds 1-10``.

One daemon can't read a version that moves a path, or a pool's owner is left with a
silent long poll of its submissions, while everything else works. What callers are told
is then judged: an accepted job must be visible, and a cancelled job must end.
"""

import random
import sys
import tempfile
import time
from pathlib import Path

import anyio
import click

from extras.soak.__main__ import parse_seeds
from extras.soak.partition_fleet import DAEMONS, POOLS, PartitionFleet

START_TIMEOUT_S = 40.0
WARM_UP_S = 4.0
OUTAGE_S = 9.0
CONFIG_APPLY_S = 2.0
CONTACT_S = 3.0  # after a reset of connections, before bounds hold again
VISIBLE_S = 3.0
CANCEL_S = 3.0
STOP_S = 0.9
CALM_S = CONTACT_S + CANCEL_S + STOP_S + 1.0
POLL_S = 0.02
CALL_S = 0.5  # between attempts of a caller
ATTEMPTS = 6
STEP = {"count": 2, "cpu": 100, "memMb": 10}
SHORT_JOB = {"spec": '{"work_s": 0.1}', "steps": [STEP | {"estimateMs": 100}]}
LASTING_JOB = {"spec": '{"work_s": -1}', "steps": [STEP | {"longRunning": True}]}
WORK_S = CALM_S + 2 * OUTAGE_S
LONG_JOB = {"spec": f'{{"work_s": {WORK_S}}}', "steps": [STEP | {"estimateMs": 9000}]}


class OutdatedViewPlay:
    """Plays one seed.

    Args:
        seed: Seed of the faults.
        rounds: Number of rounds; in each, both faults overlap.
        code: Directory of the daemons' code; None for this one.
        log_folder: Directory for logs and the record.

    Attributes:
        finds: Descriptions of broken promises.
    """

    def __init__(self, seed, rounds, code, log_folder):
        self._seed = seed
        self._rounds = rounds
        self._random = random.Random(seed)
        self._fleet = PartitionFleet(seed, code, log_folder)
        self._job_count = 0
        self.finds = []

    async def run(self):
        """Plays the seed."""
        fleet = self._fleet
        try:
            async with anyio.create_task_group() as tasks:
                with anyio.fail_after(START_TIMEOUT_S):
                    await tasks.start(fleet.run)
                    for pool in POOLS:
                        await self._call_until_200("GET", f"/{pool}/", 0)
                await anyio.sleep(WARM_UP_S)
                for _ in range(self._rounds):
                    async with anyio.create_task_group() as faults:
                        faults.start_soon(self._miss_version)
                        await anyio.sleep(self._random.uniform(0.0, OUTAGE_S))
                        faults.start_soon(self._silence_poll)
                tasks.cancel_scope.cancel()
        finally:
            await fleet.close()

    def _find(self, what, **fields):
        self.finds.append(what)
        self._fleet.note("find", what=what, **fields)

    async def _call_until_200(self, method, path, first, body=None):
        """Calls daemons in turn until one answers 200; returns when it did."""
        for attempt in range(ATTEMPTS):
            index = (first + attempt) % DAEMONS
            status = await self._fleet.call(method, index, path, body)
            self._fleet.note(
                "call", method=method, path=path, daemon=index, status=status
            )
            if status == 200:
                return time.monotonic()
            await anyio.sleep(CALL_S)
        raise TimeoutError(f"{method} {path} was not answered with 200")

    def _new_path(self, prefix):
        self._job_count += 1
        return f"{prefix}{self._seed:08x}{self._job_count:08x}"

    async def _silence_poll(self):
        """Silences the long poll of a pool's submissions, and submits one."""
        fleet, pool = self._fleet, self._random.choice(POOLS)
        owner = fleet.holder(pool)
        await fleet.store_ports[owner].silence_next_poll(f"keyed.intake.{pool}")
        silent_at = time.monotonic()
        fleet.note("long poll silent", daemon=owner, pool=pool)
        other = (owner + self._random.randrange(1, DAEMONS)) % DAEMONS
        path = self._new_path(f"/{pool}/")
        accepted_at = await self._call_until_200("POST", path, other, SHORT_JOB)
        judged_at = max(accepted_at + VISIBLE_S, silent_at + CONTACT_S)
        while (sent_at := time.monotonic()) < judged_at + VISIBLE_S:
            if await fleet.call("GET", other, path) == 410 and sent_at > judged_at:
                age_s = round(sent_at - accepted_at, 3)
                self._find(f"{path} was denied {age_s} s after it was accepted")
            await anyio.sleep(POLL_S)

    async def _miss_version(self):
        """Moves a path while the store turns a daemon away that callers ask."""
        fleet = self._fleet
        before, after = self._random.sample(POOLS, 2)
        fleet.configure(moved_to=before)
        await anyio.sleep(CONFIG_APPLY_S)
        away = self._random.randrange(DAEMONS)
        await self._call_until_200("POST", self._new_path("/moved/"), away, SHORT_JOB)
        port = fleet.store_ports[away]
        port.fault, port.fault_topics = self._random.choice(("refuse", "silent")), ()
        fleet.note("daemon turned away", daemon=away, fault=port.fault)
        begun_at = time.monotonic()
        await anyio.sleep(self._random.uniform(CONFIG_APPLY_S, CONTACT_S))
        fleet.configure(moved_to=after)
        await anyio.sleep(CONFIG_APPLY_S)
        paths = [self._new_path("/moved/") for _ in range(2)]
        for path, job in zip(paths, (LASTING_JOB, LONG_JOB), strict=True):
            other = (away + self._random.randrange(1, DAEMONS)) % DAEMONS
            await self._call_until_200("POST", path, other, job)
        await anyio.sleep(1.0)
        for path in paths:
            status = await fleet.call("GET", away, path)
            fleet.note("call", method="GET", path=path, daemon=away, status=status)
            # A repeat of the submission, as after an answer that was lost.
            await fleet.call("POST", away, path, LONG_JOB)
            await self._call_until_200("DELETE", path, away)
        await anyio.sleep(max(0.0, begun_at + OUTAGE_S - time.monotonic()))
        port.fault = ""
        fleet.note("daemon served again", daemon=away)
        await anyio.sleep(CALM_S)
        for path in paths:
            running = fleet.running(path.rpartition("/")[2])
            if running:
                self._find(f"{path} was cancelled and runs on", running=running)


@click.command()
@click.option("--seeds", default="1-3", show_default=True, help="A seed or a range.")
@click.option("--rounds", default=2, show_default=True, help="Rounds of faults.")
@click.option("--code", type=click.Path(file_okay=False), help="Another checkout.")
@click.option("--logs", type=click.Path(file_okay=False), help="Directory for logs.")
def main(seeds, rounds, code, logs):
    """Play outdated views with each seed and report broken promises."""
    failed = 0
    with tempfile.TemporaryDirectory() as temporary:
        for seed in parse_seeds(seeds):
            folder = Path(logs or temporary) / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
            play = OutdatedViewPlay(seed, rounds, code, folder)
            begun_at = time.monotonic()
            anyio.run(play.run)
            failed += bool(play.finds)
            seconds = time.monotonic() - begun_at
            click.echo(f"seed {seed}: {len(play.finds)} finds, {seconds:.0f} s")
            for find in play.finds:
                click.echo(f"  {find}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
