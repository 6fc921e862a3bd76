"""The commands in the README run as written, and links between pages resolve."""

import re
import shlex
import unittest
from pathlib import Path

from extras.example_system import running_example
from extras.play import client_environment

ROOT = Path(__file__).resolve().parents[1]


def readme_commands():
    text = (ROOT / "README.md").read_text(encoding="utf-8")
    blocks = re.findall(r"```console\n(.*?)```", text, re.DOTALL)
    return re.findall(r"^\$ basilwind (.*)$", "\n".join(blocks), re.MULTILINE)


class TestReadme(unittest.TestCase):
    def test_commands_of_the_readme_succeed(self):
        commands = readme_commands()
        self.assertGreaterEqual(len(commands), 9)
        with running_example(ROOT / "examples" / "cordillera") as launcher:
            variables = client_environment(launcher)
            for command in commands:
                result = launcher.run_command(
                    *shlex.split(command), environment=variables
                )
                self.assertEqual(result.returncode, 0, f"{command}: {result.stderr}")
                self.assertTrue(result.stdout, command)

    def test_relative_links_resolve(self):
        for file in (ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))):
            text = file.read_text(encoding="utf-8")
            for target in re.findall(r"\]\(([^)#:]+)\)", text):
                self.assertTrue((file.parent / target).exists(), f"{file}: {target}")
