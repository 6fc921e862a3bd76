import io
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

from click.testing import CliRunner

from basilwind.cli.definition import cli
from basilwind.context import Context
from basilwind.core import run
from basilwind.status import ExitStatus

EXAMPLE = Path(__file__).resolve().parents[2] / "examples" / "cordillera"


def call(*arguments):
    """Runs a command; returns its exit status, standard output and standard error."""
    context = Context(
        stdin=io.StringIO(""), stdout=io.StringIO(), stderr=io.StringIO(), environ={}
    )
    status = run(arguments, context)
    return status, context.stdout.getvalue(), context.stderr.getvalue()


class TestHelp(unittest.TestCase):
    def test_every_command_has_a_help_summary(self):
        commands = [[name] for name in cli.commands]
        commands += [["stand-in", name] for name in cli.commands["stand-in"].commands]
        for command in commands:
            result = CliRunner().invoke(cli, [*command, "--help"])
            self.assertEqual(result.exit_code, 0, command)
            summary = result.output.split("\n\n")[1].strip()
            self.assertTrue(summary.endswith((".", "answer.")), summary)


class TestExitStatuses(unittest.TestCase):
    def test_check_accepts_the_examples(self):
        daemons = sorted(str(f) for f in (EXAMPLE / "daemons").glob("*.jsonc"))
        status, output, _ = call("check", str(EXAMPLE / "settings"), *daemons)
        self.assertIs(status, ExitStatus.SUCCESS)
        self.assertEqual(output.count(": ok"), 10)

    def test_check_reports_file_line_and_remedy(self):
        with TemporaryDirectory() as directory:
            file = Path(directory) / "daemon.jsonc"
            file.write_text('{\n "name": "e1",\n "zone": 7\n}\n')
            status, _, messages = call("check", str(file))
        self.assertIs(status, ExitStatus.INVALID_SETTINGS)
        self.assertIn("daemon.jsonc:3: zone", messages)
        self.assertIn("see the schema", messages)

    def test_check_reports_an_undeclared_pool(self):
        with TemporaryDirectory() as directory:
            for file in (EXAMPLE / "settings").rglob("*.jsonc"):
                target = Path(directory) / file.relative_to(EXAMPLE / "settings")
                target.parent.mkdir(exist_ok=True)
                text = file.read_text().replace(
                    '"pool": "portal", "d', '"pool": "x", "d'
                )
                target.write_text(text)
            status, _, messages = call("check", directory)
        self.assertIs(status, ExitStatus.INVALID_SETTINGS)
        self.assertIn("'x' is not declared", messages)

    def test_usage_errors(self):
        self.assertIs(call("no-such-command")[0], ExitStatus.USAGE)
        self.assertIs(call("status")[0], ExitStatus.USAGE)

    def test_unreachable_host_error_suggests_a_remedy(self):
        status, _, messages = call(
            "submit", "t", "q", "{}", "--entry", "127.0.0.1:9", "--token", "x"
        )
        self.assertIs(status, ExitStatus.UNREACHABLE)
        self.assertIn("try another entry host", messages)
        status, _, _ = call("audit", "--platform", "http://127.0.0.1:9")
        self.assertIs(status, ExitStatus.UNREACHABLE)

    def test_completion_scripts(self):
        for shell in ("bash", "zsh", "fish"):
            status, output, _ = call("completion", shell)
            self.assertIs(status, ExitStatus.SUCCESS)
            self.assertIn("basilwind", output)
