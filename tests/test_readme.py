"""The README's examples run as written."""

import re
import shlex
import unittest
from pathlib import Path

from extras.play import environment
from extras.running import running

ROOT = Path(__file__).resolve().parents[1]


def console_lines():
    text = (ROOT / "README.md").read_text(encoding="utf-8")
    blocks = re.findall(r"```console\n(.*?)```", text, re.DOTALL)
    return re.findall(r"^\$ basilwind (.*)$", "\n".join(blocks), re.MULTILINE)


class TestReadme(unittest.TestCase):
    def test_operators_day(self):
        lines = console_lines()
        self.assertGreaterEqual(len(lines), 9)
        with running(ROOT / "examples" / "cordillera") as launcher:
            variables = environment(launcher)
            for line in lines:
                result = launcher.run(*shlex.split(line), environment=variables)
                self.assertEqual(result.returncode, 0, f"{line}: {result.stderr}")
                self.assertTrue(result.stdout, line)

    def test_links_lead_somewhere(self):
        for file in (ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))):
            text = file.read_text(encoding="utf-8")
            for target in re.findall(r"\]\(([^)#:]+)\)", text):
                self.assertTrue((file.parent / target).exists(), f"{file}: {target}")
