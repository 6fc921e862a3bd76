"""Takes over settings files that change while the daemon runs."""

import signal
from pathlib import Path

import anyio

from basilwind.errors import SettingsError
from basilwind.logs import log
from basilwind.platform.entry_host_settings import decode_entry_host_settings

CHECK_S = 2.0  # files also change without a signal


class SettingsWatch:
    """Reads the settings file again on SIGHUP and from time to time.

    Args:
        file: Path of the settings file.
        current: ``EntryHostSettings`` in force.
        on_change: Called with new settings.
    """

    def __init__(self, file, current, on_change):
        self._file = Path(file)
        self._current = current
        self._on_change = on_change
        self._rejected = None

    async def run(self):
        """Watches for ever."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_signals)
            while True:
                await anyio.sleep(CHECK_S)
                self.check()

    async def _watch_signals(self):
        with anyio.open_signal_receiver(signal.SIGHUP) as signals:
            async for _ in signals:
                log("reload asked for", file=str(self._file))
                self.check()

    def check(self):
        """Takes over the file if it has changed and is valid."""
        try:
            data = self._file.read_bytes()
            settings = decode_entry_host_settings(data, str(self._file))
        except (OSError, SettingsError) as error:
            if str(error) != self._rejected:
                self._rejected = str(error)
                log("settings kept", file=str(self._file), error=str(error))
            return
        self._rejected = None
        if settings != self._current:
            self._current = settings
            log("settings reloaded", file=str(self._file))
            self._on_change(settings)
