"""Outcomes and violations of at-most-once execution under random faults, by seed."""

import random
import signal
import time

import anyio
import httpcore
import msgspec

from basilwind.load.runner import LoadRunner
from basilwind.load.verify import fetch_ledgers, verify_outcomes
from basilwind.settings.generated.load import LoadMix
from basilwind.settings.loader import load_file
from bench.report import report
from extras.example_system import running_example

SEEDS = (1, 2, 3)
RATE = 40.0
DURATION_S = 30.0


def main():
    rows = []
    for seed in SEEDS:
        with running_example("examples/cordillera") as launcher:
            result, verification, faults = anyio.run(measure, launcher, seed)
        at_most_once = [sent for sent in result.sent if sent.kind.once]
        rows.append(
            [
                seed,
                faults,
                len(result.sent),
                len(at_most_once),
                result.count("done"),
                result.count("refused"),
                result.count("unknown"),
                result.count("no_answer"),
                verification.interrupted,
                len(verification.violations),
            ]
        )
        for violation in verification.violations:
            print(violation)
    headers = ["seed", "faults", "sent", "of them once", "done", "refused", "unknown"]
    headers += ["no answer", "cut off", "broken rules"]
    report("fault_mix", headers, rows)


async def measure(launcher, seed):
    rng = random.Random(seed)
    mix = load_file(launcher.directory / "load.jsonc", LoadMix)
    tokens = {team: f"{team}-token" for team in launcher.tree.teams}
    runner = LoadRunner(
        launcher.entry_addresses.values(), tokens, mix, time.monotonic, seed
    )
    faults = 0
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(runner.run, RATE, DURATION_S)
        # No fault begins in the last 6 s of the load.
        end = time.monotonic() + DURATION_S - 6.0
        while time.monotonic() < end:
            await anyio.sleep(rng.uniform(0.3, 1.2))
            await rng.choice(FAULTS)(launcher, rng)
            faults += 1
        await set_platform(launcher, {})
    ledgers = await fetch_ledgers(launcher.worker_addresses.values())
    return runner.result, verify_outcomes(runner.result, ledgers), faults


async def kill_and_restart(launcher, rng):
    name = rng.choice(list(launcher.daemons))
    await anyio.to_thread.run_sync(launcher.kill, name)
    await anyio.sleep(rng.uniform(0.0, 2.0))
    await anyio.to_thread.run_sync(launcher.start_daemon, name)


async def pause(launcher, rng):
    name = rng.choice(list(launcher.daemons))
    launcher.signal(name, signal.SIGSTOP)
    await anyio.sleep(rng.uniform(0.5, 4.0))
    launcher.signal(name, signal.SIGCONT)


async def lose_log_answers(launcher, rng):
    await set_platform(launcher, {"lose_answers": rng.randrange(1, 10)})


async def log_outage(launcher, rng):
    await set_platform(launcher, {"is_down": True})
    await anyio.sleep(rng.uniform(0.5, 3.0))
    await set_platform(launcher, {})


async def break_worker(launcher, rng):
    name = rng.choice(("reset_after_run", "truncate", "silent", "swallow", "wrong_id"))
    address = rng.choice(list(launcher.worker_addresses.values()))
    await put_json(f"http://{address}/standin/faults", {name: rng.randrange(1, 4)})


async def set_platform(launcher, faults):
    await put_json(f"{launcher.platform_url}/standin/faults", faults)


async def put_json(url, value):
    async with httpcore.AsyncConnectionPool() as pool:
        await pool.request("PUT", url, content=msgspec.json.encode(value))


FAULTS = (kill_and_restart, pause, lose_log_answers, log_outage, break_worker)

if __name__ == "__main__":
    main()
