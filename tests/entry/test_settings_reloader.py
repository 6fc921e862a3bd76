import json
import tempfile
import unittest
from pathlib import Path

from basilwind.entry.settings_reloader import SettingsReloader
from basilwind.errors import SettingsError
from basilwind.platform.entry_host_settings import decode_entry_host_settings

DOCUMENT = {
    "nodeName": "edge-a-1",
    "ip": "127.0.0.1",
    "zone": "a",
    "listenAddrs": {"front": "127.0.0.1:1", "readyAddr": "127.0.0.1:2"},
    "internalPorts": [3, 9],
    "platform": {"address": "127.0.0.1:4"},
    "unknown": {"field": 1},
}


class TestSettingsReloader(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "local.json"
        self.changes = []
        self._write(DOCUMENT)
        settings = decode_entry_host_settings(self.file.read_bytes())
        self.reloader = SettingsReloader(self.file, settings, self.changes.append)

    def _write(self, document):
        self.file.write_text(json.dumps(document))

    def test_unchanged_file_changes_nothing(self):
        self.reloader.check()
        self.assertEqual(self.changes, [])

    def test_changed_address_is_applied_once(self):
        self._write(DOCUMENT | {"platform": {"address": "127.0.0.1:5"}})
        self.reloader.check()
        self.reloader.check()
        (settings,) = self.changes
        self.assertEqual(settings.store_address, "127.0.0.1:5")

    def test_invalid_file_keeps_current_settings(self):
        self.file.write_text('{"nodeName": 1')
        self.reloader.check()
        self.assertEqual(self.changes, [])

    def test_error_names_missing_field(self):
        broken = {key: DOCUMENT[key] for key in DOCUMENT if key != "zone"}
        with self.assertRaisesRegex(SettingsError, "zone"):
            decode_entry_host_settings(json.dumps(broken).encode())
