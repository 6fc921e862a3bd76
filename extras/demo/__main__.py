"""Runs the main job of the whole system and prints what came of it."""

import argparse
import sys
import time
from dataclasses import dataclass

import anyio

from basilwind.client import Client
from basilwind.load.runner import LoadRunner
from basilwind.load.verify import fetch_ledgers, verify_outcomes
from basilwind.output.load import summary_rows, verdict_rows
from basilwind.output.tables import render_table
from basilwind.settings.generated.load import LoadMix
from basilwind.settings.loader import load_file
from extras.example_system import find_owner, publish, running_example

RATE = 60.0
SECONDS = 12.0
DRAIN_TIMEOUT_S = 20.0
IN_FORCE_TARGET_S = 3.0


@dataclass
class Events:
    """What happened beside the load.

    Attributes:
        in_force_s: Time until the change was in force everywhere.
        drained_s: Time until the drained host was drained.
        runs_after_drain: Runs begun on it after it was drained.
        is_owner_killed: Whether the killed daemon owned a shard.
    """

    in_force_s: float = -1.0
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
    mix = load_file(launcher.directory / "load.jsonc", LoadMix)
    tokens = {team: f"{team}-token" for team in launcher.tree.teams}
    runner = LoadRunner(launcher.entry_addresses.values(), tokens, mix, time.monotonic)
    events = Events()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(disturb, launcher, events)
        await runner.run(RATE, SECONDS)
    ledgers = await fetch_ledgers(launcher.worker_addresses.values())
    verdict = verify_outcomes(runner.result, ledgers)
    return report(runner.result, verdict, events)


async def disturb(launcher, events):
    names = list(launcher.daemons)
    await anyio.sleep(2.0)
    await drain_host(launcher, launcher.tree.fleet.hosts[0].name, events)
    await change_setting(launcher, events)
    await anyio.sleep(1.0)
    victim = await find_owner(launcher) or names[-1]
    events.is_owner_killed = True
    await anyio.to_thread.run_sync(launcher.kill, victim)


async def drain_host(launcher, host, events):
    started = time.monotonic()
    arguments = ("host", "drain", host, "--platform", launcher.platform_url)
    await anyio.to_thread.run_sync(launcher.run_command, *arguments)
    entry = next(iter(launcher.entry_addresses.values()))
    with anyio.move_on_after(DRAIN_TIMEOUT_S):
        while await phase_of(entry, host) != "drained":
            await anyio.sleep(0.05)
        events.drained_s = time.monotonic() - started
    drained_at = time.time()
    await anyio.sleep(1.0)
    ledgers = await fetch_ledgers([launcher.worker_addresses[host]])
    events.runs_after_drain = sum(
        run.started_at > drained_at for ledger in ledgers for run in ledger.runs
    )


async def phase_of(entry, host):
    client = Client(entry)
    try:
        status = await client.status()
        return next(known.phase for known in status.hosts if known.name == host)
    finally:
        await client.aclose()


async def change_setting(launcher, events):
    team = next(iter(launcher.tree.teams))
    file = launcher.settings_directory / "teams" / f"{team}.jsonc"
    text = file.read_text(encoding="utf-8")
    file.write_text(text.replace('"quota_slots": 48', '"quota_slots": 40'))
    waits = [word for e in launcher.entry_addresses.values() for word in ("--wait", e)]
    output = await anyio.to_thread.run_sync(
        publish, launcher, launcher.settings_directory, "--team", team, *waits
    )
    events.in_force_s = float(output.rsplit("after", 1)[1].split()[0])


def report(result, verdict, events):
    rows = summary_rows(result) + verdict_rows(verdict)
    rows += [
        ["change in force everywhere after (s)", events.in_force_s],
        ["host drained after (s)", events.drained_s],
        ["runs begun on it afterwards", events.runs_after_drain],
        ["owner of a shard killed", "yes" if events.is_owner_killed else "no"],
    ]
    print(render_table(["what", "value"], rows))
    problems = list(verdict.violations)
    if not 0 <= events.in_force_s <= IN_FORCE_TARGET_S:
        problems.append("the change was not in force in time")
    if events.drained_s < 0 or events.runs_after_drain:
        problems.append("the drain did not hold")
    if verdict.interrupted:
        problems.append(f"{verdict.interrupted} runs were cut off")
    if sum(result.count(outcome) for outcome in ("done", "failed")) == 0:
        problems.append("nothing was done")
    for problem in problems:
        print(f"does not add up: {problem}")
    print("every count adds up" if not problems else "the counts do not add up")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
