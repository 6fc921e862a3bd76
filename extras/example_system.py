"""Runs an example system with published settings and an owner for every shard."""

from contextlib import contextmanager

import anyio

from basilwind.client import Client
from basilwind.errors import DaemonUnreachable
from extras.launcher import Launcher

READY_TIMEOUT_S = 30.0


@contextmanager
def running_example(example):
    """Context manager that runs an example and yields its ``Launcher``."""
    with Launcher(example) as launcher:
        launcher.start_stand_ins()
        launcher.start_daemons()
        publish_settings(launcher, launcher.settings_directory)
        anyio.run(wait_until_serving, launcher)
        yield launcher


def publish_settings(launcher, directory, *options):
    """Publishes a settings tree and returns the output of the command."""
    result = launcher.run_command(
        "apply", str(directory), "--platform", launcher.platform_url, *options
    )
    if result.returncode != 0:
        raise RuntimeError(f"apply failed: {result.stdout}{result.stderr}")
    return result.stdout


async def wait_until_serving(launcher):
    """Waits until all daemons are ready and show an owner for every shard."""
    pools = len(launcher.tree.fleet.pools)
    with anyio.fail_after(READY_TIMEOUT_S):
        for address in launcher.entry_addresses.values():
            while not await is_serving(address, pools):
                await anyio.sleep(0.1)


async def is_serving(address, pools):
    """Returns whether a daemon is ready and shows owners for ``pools`` shards."""
    client = Client(address)
    try:
        if not await client.is_ready():
            return False
        status = await client.status()
        return sum(bool(shard.owner) for shard in status.shards) == pools
    except DaemonUnreachable:
        return False
    finally:
        await client.aclose()


async def find_shard_owner(launcher):
    """Returns the name of a daemon that owns a shard, or None."""
    for name, address in reversed(launcher.entry_addresses.items()):
        client = Client(address)
        try:
            status = await client.status()
        finally:
            await client.aclose()
        if any(shard.owner == name for shard in status.shards):
            return name
    return None
