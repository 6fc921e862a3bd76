"""Daemon processes under load that are killed, paused or lose the platform."""

import signal
import time
import unittest
from pathlib import Path

import anyio
import httpcore
import msgspec

from basilwind.load.runner import LoadRunner
from basilwind.load.verify import fetch_ledgers, verify_outcomes
from basilwind.settings.generated.load import LoadMix
from basilwind.settings.loader import load_file
from extras.example_system import find_shard_owner, running_example

EXAMPLE = Path(__file__).resolve().parents[2] / "examples" / "kivimagi"
RATE = 30.0
SECONDS = 8.0


class TestProcesses(unittest.TestCase):
    def run_with_load(self, inject_faults):
        with running_example(EXAMPLE) as launcher:
            result, verification = anyio.run(self.load, launcher, inject_faults)
        self.assertEqual(verification.violations, [])
        self.assertGreater(result.count("done"), RATE * SECONDS / 2)
        return result, verification

    async def load(self, launcher, inject_faults):
        mix = load_file(launcher.directory / "load.jsonc", LoadMix)
        tokens = {team: f"{team}-token" for team in launcher.tree.teams}
        runner = LoadRunner(
            launcher.entry_addresses.values(), tokens, mix, time.monotonic
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(inject_faults, launcher)
            result = await runner.run(RATE, SECONDS)
        ledgers = await fetch_ledgers(launcher.worker_addresses.values())
        return result, verify_outcomes(result, ledgers)

    def test_owners_are_killed_one_after_another(self):
        async def inject_faults(launcher):
            for _ in range(2):
                await anyio.sleep(2.0)
                name = await find_shard_owner(launcher)
                await anyio.to_thread.run_sync(launcher.kill, name)
                await anyio.to_thread.run_sync(launcher.start_daemon, name)

        self.run_with_load(inject_faults)

    def test_owner_is_paused_past_its_lease(self):
        async def inject_faults(launcher):
            await anyio.sleep(2.0)
            name = await find_shard_owner(launcher)
            launcher.signal(name, signal.SIGSTOP)
            await anyio.sleep(5.0)
            launcher.signal(name, signal.SIGCONT)

        self.run_with_load(inject_faults)

    def test_platform_loses_answers_and_becomes_unavailable(self):
        async def inject_faults(launcher):
            for faults in ({"lose_answers": 20}, {"is_down": True}, {}):
                await anyio.sleep(2.0)
                await put_faults(launcher.platform_url, faults)

        self.run_with_load(inject_faults)

    def test_graceful_stop_interrupts_nothing(self):
        statuses = []

        async def inject_faults(launcher):
            await anyio.sleep(2.0)
            name = await find_shard_owner(launcher)
            statuses.append(await anyio.to_thread.run_sync(launcher.stop, name))

        _, verification = self.run_with_load(inject_faults)
        self.assertEqual(statuses, [0])
        self.assertEqual(verification.interrupted, 0)


async def put_faults(platform, faults):
    async with httpcore.AsyncConnectionPool() as pool:
        url = f"{platform}/standin/faults"
        await pool.request("PUT", url, content=msgspec.json.encode(faults))
