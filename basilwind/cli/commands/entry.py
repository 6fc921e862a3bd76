"""Runs the daemon of an entry host on the users' platform."""

import gc
from pathlib import Path

import anyio

from basilwind.entry.daemon import EntryDaemon
from basilwind.errors import SettingsError
from basilwind.logs import log, log_to_descriptor
from basilwind.platform.entry_host_settings import decode_entry_host_settings


def run(context, settings_file):
    """Runs the daemon until it is stopped."""
    try:
        data = Path(settings_file).read_bytes()
    except OSError as error:
        raise SettingsError(
            f"{error.strerror}; check the path", "", settings_file
        ) from error
    settings = decode_entry_host_settings(data, settings_file)
    writer = log_to_descriptor(context.stdout.fileno())
    log("started", host=settings.name, zone=settings.zone)
    if not settings.orders_are_pushed:
        log(
            "orders not supported",
            reason="workers take orders by heartbeat; only orders by call are "
            "implemented",
        )
    gc.freeze()
    anyio.run(
        _serve, settings, settings_file, writer, backend_options={"use_uvloop": True}
    )


async def _serve(settings, settings_file, writer):
    await EntryDaemon(settings, settings_file, lambda: writer.dropped_total).run()
