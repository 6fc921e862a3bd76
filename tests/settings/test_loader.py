import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

from basilwind.errors import SettingsError
from basilwind.settings import TeamSettings
from basilwind.settings.checks import check_tree
from basilwind.settings.loader import load_file, load_text
from basilwind.settings.tree import load_tree

TOKEN = "a" * 64
EXAMPLES = Path(__file__).resolve().parents[2] / "examples"


class TestLoadText(unittest.TestCase):
    def _load_error(self, text):
        with self.assertRaises(SettingsError) as caught:
            load_text(text, TeamSettings, file="team.jsonc")
        return caught.exception

    def test_wrong_type_reports_file_line_and_path(self):
        error = self._load_error(
            f'{{\n // a comment\n "tokens": ["{TOKEN}"],\n'
            ' "queues": [\n  {"name": "a",\n   "pool": 3}\n ]\n}'
        )
        self.assertEqual(error.file, "team.jsonc")
        self.assertEqual(error.path, "queues[0].pool")
        self.assertEqual(error.line, 6)

    def test_syntax_error_reports_line(self):
        error = self._load_error('{\n "tokens": [],\n "queues" 3\n}')
        self.assertEqual(error.line, 3)
        self.assertIn("correct the syntax", error.message)

    def test_unknown_field_is_refused(self):
        error = self._load_error(f'{{"tokens": ["{TOKEN}"], "queues": [], "x": 1}}')
        self.assertIn("x", error.message)

    def test_missing_file_error_suggests_a_remedy(self):
        with self.assertRaises(SettingsError) as caught:
            load_file("/nonexistent/team.jsonc", TeamSettings)
        self.assertIn("check its name", caught.exception.message)

    def test_empty_directory_is_refused(self):
        with TemporaryDirectory() as directory:
            with self.assertRaises(SettingsError):
                load_tree(directory)


class TestExamples(unittest.TestCase):
    def test_both_examples_have_thirty_hosts_in_three_zones(self):
        for user in ("cordillera", "kivimagi"):
            tree = load_tree(EXAMPLES / user / "settings")
            check_tree(tree)
            self.assertEqual(len(tree.fleet.hosts), 30)
            self.assertEqual(len(tree.fleet.zones), 3)
            self.assertEqual(len(tree.teams), 5)
