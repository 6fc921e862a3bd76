"""Runs stand-ins for the platform or for workers as a separate process."""

import anyio
import httpcore
import msgspec

from basilwind.settings.tree import load_tree
from basilwind.standin.platform import PlatformStandIn
from basilwind.standin.serve import serve_apps
from basilwind.standin.worker import WorkerStandIn

REBOOT_POLL_S = 0.5


def run(context, kind, listen="", directory="", zone="", platform=""):
    """Serves the stand-ins until the process is stopped by a signal."""
    if kind == "platform":
        anyio.run(serve_apps, {listen: PlatformStandIn()})
        return
    hosts = load_tree(directory).fleet.hosts
    apps = {
        host.address: WorkerStandIn(host.name, host.slots)
        for host in hosts
        if zone in ("", host.zone)
    }
    anyio.run(_serve_workers, apps, platform)


async def _serve_workers(apps, platform):
    async with anyio.create_task_group() as tasks:
        if platform:
            workers = {worker.name: worker for worker in apps.values()}
            tasks.start_soon(_follow_reboots, workers, platform)
        await serve_apps(apps)
        tasks.cancel_scope.cancel()


async def _follow_reboots(workers, platform):
    """Restarts the workers whose hosts the platform stand-in reboots."""
    processed = 0
    async with httpcore.AsyncConnectionPool() as pool:
        while True:
            await anyio.sleep(REBOOT_POLL_S)
            try:
                response = await pool.request("GET", f"{platform}/v1/reboots")
                reboots = msgspec.json.decode(response.content, type=list[str])
            except (httpcore.NetworkError, httpcore.ProtocolError, ValueError):
                continue
            for name in reboots[processed:]:
                if name in workers:
                    workers[name].restart()
            processed = len(reboots)
