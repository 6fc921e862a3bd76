"""The README's examples run as written."""

import re
import shlex
import unittest
from pathlib import Path

from extras.example_system import running_example
from extras.play import client_environment

ROOT = Path(__file__).resolve().parents[1]


def console_lines():
    text = (ROOT / "README.md").read_text(encoding="utf-8")
    blocks = re.findall(r"```console\n(.*?)```", text, re.DOTALL)
    return re.findall(r"^\$ basilwind (.*)$", "\n".join(blocks), re.MULTILINE)


class TestReadme(unittest.TestCase):
    def test_operators_day(self):
        lines = console_lines()
        self.assertGreaterEqual(len(lines), 9)
        with running_example(ROOT / "examples" / "cordillera") as launcher:
            variables = client_environment(launcher)
            for line in lines:
                result = launcher.run_command(*shlex.split(line), environment=variables)
                self.assertEqual(result.returncode, 0, f"{line}: {result.stderr}")
                self.assertTrue(result.stdout, line)

    def test_links_lead_somewhere(self):
        for file in (ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))):
            text = file.read_text(encoding="utf-8")
            for target in re.findall(r"\]\(([^)#:]+)\)", text):
                self.assertTrue((file.parent / target).exists(), f"{file}: {target}")
