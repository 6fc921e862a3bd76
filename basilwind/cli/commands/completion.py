"""Prints shell completion scripts."""

from click.shell_completion import get_completion_class


def run(context, cli, shell):
    """Prints the completion script, to be sourced from the shell's start-up file."""
    completer = get_completion_class(shell)(cli, {}, "basilwind", "_BASILWIND_COMPLETE")
    context.write(completer.source())
