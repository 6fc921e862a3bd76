"""Runs an example under load, a drain, a settings change and a crash, and checks it."""

import argparse
import sys
import time
from dataclasses import dataclass

import anyio

from basilwind.client import Client
from basilwind.load.runner import LoadRunner
from basilwind.load.verify import fetch_ledgers, verify_outcomes
from basilwind.output.load import summary_rows, verification_rows
from basilwind.output.tables import render_table
from basilwind.settings.generated.load import LoadMix
from basilwind.settings.loader import load_file
from extras.example_system import find_shard_owner, publish_settings, running_example

RATE = 60.0
SECONDS = 12.0
DRAIN_TIMEOUT_S = 20.0
ROLLOUT_TARGET_S = 3.0


@dataclass
class DemoMeasurements:
    """Measurements of the operations that run during the load.

    Attributes:
        rollout_s: Seconds until the settings change was in force on all daemons; -1
            if it was not.
        drained_s: Seconds until the host was drained; -1 if it was not.
        runs_after_drain: Runs that started on the host after it was drained.
        is_owner_killed: Whether a daemon, if possible a shard's owner, was killed.
    """

    rollout_s: float = -1.0
    drained_s: float = -1.0
    runs_after_drain: int = -1
    is_owner_killed: bool = False


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--example", default="examples/cordillera")
    arguments = parser.parse_args()
    with running_example(arguments.example) as launcher:
        return anyio.run(run, launcher)


async def run(launcher):
    """Runs the load and the operations; returns the exit status."""
    mix = load_file(launcher.directory / "load.jsonc", LoadMix)
    tokens = {team: f"{team}-token" for team in launcher.tree.teams}
    runner = LoadRunner(launcher.entry_addresses.values(), tokens, mix, time.monotonic)
    measurements = DemoMeasurements()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run_operations, launcher, measurements)
        await runner.run(RATE, SECONDS)
    ledgers = await fetch_ledgers(launcher.worker_addresses.values())
    verification = verify_outcomes(runner.result, ledgers)
    return print_report(runner.result, verification, measurements)


async def run_operations(launcher, measurements):
    """Drains a host, changes a setting and kills a daemon during the load."""
    names = list(launcher.daemons)
    await anyio.sleep(2.0)
    await drain_host(launcher, launcher.tree.fleet.hosts[0].name, measurements)
    await change_setting(launcher, measurements)
    await anyio.sleep(1.0)
    victim = await find_shard_owner(launcher) or names[-1]
    measurements.is_owner_killed = True
    await anyio.to_thread.run_sync(launcher.kill, victim)


async def drain_host(launcher, host, measurements):
    started = time.monotonic()
    arguments = ("host", "drain", host, "--platform", launcher.platform_url)
    await anyio.to_thread.run_sync(launcher.run_command, *arguments)
    entry = next(iter(launcher.entry_addresses.values()))
    with anyio.move_on_after(DRAIN_TIMEOUT_S):
        while await fetch_host_phase(entry, host) != "drained":
            await anyio.sleep(0.05)
        measurements.drained_s = time.monotonic() - started
    drained_at = time.time()
    await anyio.sleep(1.0)
    ledgers = await fetch_ledgers([launcher.worker_addresses[host]])
    measurements.runs_after_drain = sum(
        run.started_at > drained_at for ledger in ledgers for run in ledger.runs
    )


async def fetch_host_phase(entry, host):
    client = Client(entry)
    try:
        status = await client.status()
        return next(known.phase for known in status.hosts if known.name == host)
    finally:
        await client.aclose()


async def change_setting(launcher, measurements):
    """Lowers the quota of a team and measures the rollout."""
    team = next(iter(launcher.tree.teams))
    file = launcher.settings_directory / "teams" / f"{team}.jsonc"
    text = file.read_text(encoding="utf-8")
    file.write_text(text.replace('"quota_slots": 48', '"quota_slots": 40'))
    waits = [word for e in launcher.entry_addresses.values() for word in ("--wait", e)]
    output = await anyio.to_thread.run_sync(
        publish_settings, launcher, launcher.settings_directory, "--team", team, *waits
    )
    measurements.rollout_s = float(output.rsplit("after", 1)[1].split()[0])


def print_report(result, verification, measurements):
    """Prints the results and failed checks; returns the exit status."""
    rows = summary_rows(result) + verification_rows(verification)
    rows += [
        ["change in force on all daemons after (s)", measurements.rollout_s],
        ["host drained after (s)", measurements.drained_s],
        ["runs started on it after the drain", measurements.runs_after_drain],
        ["owner of a shard killed", "yes" if measurements.is_owner_killed else "no"],
    ]
    print(render_table(["what", "value"], rows))
    problems = list(verification.violations)
    if not 0 <= measurements.rollout_s <= ROLLOUT_TARGET_S:
        problems.append("the settings change was not in force on all daemons in time")
    if measurements.drained_s < 0 or measurements.runs_after_drain:
        problems.append("the host was not drained in time, or started runs afterwards")
    if verification.interrupted:
        problems.append(f"{verification.interrupted} runs were interrupted")
    if sum(result.count(outcome) for outcome in ("done", "failed")) == 0:
        problems.append("no work was completed")
    for problem in problems:
        print(f"check failed: {problem}")
    print("all checks passed" if not problems else "some checks failed")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
