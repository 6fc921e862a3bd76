"""Reloads the settings file while the daemon runs."""

import signal
from pathlib import Path

import anyio

from basilwind.errors import SettingsError
from basilwind.logs import log
from basilwind.platform.entry_host_settings import decode_entry_host_settings

CHECK_S = 2.0  # the file may also change without a signal


class SettingsReloader:
    """Rereads the settings file on SIGHUP and at intervals.

    Args:
        file: Path of the settings file.
        current: ``EntryHostSettings`` read at startup.
        on_change: Called with the new settings after a change.
    """

    def __init__(self, file, current, on_change):
        self._file = Path(file)
        self._current = current
        self._on_change = on_change
        self._rejected = None

    async def run(self):
        """Watches the file until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_signals)
            while True:
                await anyio.sleep(CHECK_S)
                self.check()

    async def _watch_signals(self):
        with anyio.open_signal_receiver(signal.SIGHUP) as signals:
            async for _ in signals:
                log("settings reload requested", file=str(self._file))
                self.check()

    def check(self):
        """Applies the file if it has changed and is valid."""
        try:
            data = self._file.read_bytes()
            settings = decode_entry_host_settings(data, str(self._file))
        except (OSError, SettingsError) as error:
            if str(error) != self._rejected:
                self._rejected = str(error)
                log("settings file rejected", file=str(self._file), error=str(error))
            return
        self._rejected = None
        if settings != self._current:
            self._current = settings
            log("settings reloaded", file=str(self._file))
            self._on_change(settings)
