"""Runs the daemon of an entry host."""

import gc

import anyio

from basilwind.daemon.daemon import Daemon
from basilwind.logs import log_to
from basilwind.settings import DaemonSettings
from basilwind.settings.loader import load_file


def run(context, settings_file):
    """Runs the daemon until it is stopped."""
    settings = load_file(settings_file, DaemonSettings)
    log_to(context.stdout)
    # Keeps the objects created at start-up out of later garbage collections.
    gc.freeze()
    anyio.run(_serve, settings, context, backend_options={"use_uvloop": True})


async def _serve(settings, context):
    await Daemon(settings, context).run()
