"""Real processes under kills, freezes and a platform that fails."""

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
from extras.example_system import find_owner, running_example

EXAMPLE = Path(__file__).resolve().parents[2] / "examples" / "kivimagi"
RATE = 30.0
SECONDS = 8.0


class TestProcesses(unittest.TestCase):
    def run_under(self, disturb):
        with running_example(EXAMPLE) as launcher:
            result, verdict = anyio.run(self.load, launcher, disturb)
        self.assertEqual(verdict.violations, [])
        self.assertGreater(result.count("done"), RATE * SECONDS / 2)
        return result, verdict

    async def load(self, launcher, disturb):
        mix = load_file(launcher.directory / "load.jsonc", LoadMix)
        tokens = {team: f"{team}-token" for team in launcher.tree.teams}
        runner = LoadRunner(
            launcher.entry_addresses.values(), tokens, mix, time.monotonic
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(disturb, launcher)
            result = await runner.run(RATE, SECONDS)
        ledgers = await fetch_ledgers(launcher.worker_addresses.values())
        return result, verify_outcomes(result, ledgers)

    def test_owners_killed_one_after_another(self):
        async def disturb(launcher):
            for _ in range(2):
                await anyio.sleep(2.0)
                name = await find_owner(launcher)
                await anyio.to_thread.run_sync(launcher.kill, name)
                await anyio.to_thread.run_sync(launcher.start_daemon, name)

        self.run_under(disturb)

    def test_owner_paused_past_its_lease(self):
        async def disturb(launcher):
            await anyio.sleep(2.0)
            name = await find_owner(launcher)
            launcher.signal(name, signal.SIGSTOP)
            await anyio.sleep(5.0)
            launcher.signal(name, signal.SIGCONT)

        self.run_under(disturb)

    def test_platform_loses_answers_and_goes_down(self):
        async def disturb(launcher):
            for faults in ({"lose_answers": 20}, {"is_down": True}, {}):
                await anyio.sleep(2.0)
                await put_faults(launcher.platform_url, faults)

        self.run_under(disturb)

    def test_graceful_stop_cuts_off_nothing(self):
        statuses = []

        async def disturb(launcher):
            await anyio.sleep(2.0)
            name = await find_owner(launcher)
            statuses.append(await anyio.to_thread.run_sync(launcher.stop, name))

        _, verdict = self.run_under(disturb)
        self.assertEqual(statuses, [0])
        self.assertEqual(verdict.interrupted, 0)


async def put_faults(platform, faults):
    async with httpcore.AsyncConnectionPool() as pool:
        url = f"{platform}/standin/faults"
        await pool.request("PUT", url, content=msgspec.json.encode(faults))
