"""Parses the command line, runs the command and maps errors to exit statuses."""

import sys

import click

from basilwind.context import Context
from basilwind.errors import (
    AuthenticationError,
    BasilwindError,
    DaemonUnreachable,
    PlatformError,
    RequestInvalid,
    SettingsError,
)
from basilwind.status import ExitStatus

_STATUS_OF_ERROR = {
    SettingsError: ExitStatus.INVALID_SETTINGS,
    DaemonUnreachable: ExitStatus.UNREACHABLE,
    PlatformError: ExitStatus.UNREACHABLE,
    RequestInvalid: ExitStatus.USAGE,
    AuthenticationError: ExitStatus.USAGE,
}


def run(args=None, context=None):
    """Runs the command line.

    Args:
        args: Arguments without the program's name; None for those of the process.
        context: ``Context`` of the run; None for that of the process.

    Returns:
        The ``ExitStatus``.
    """
    from basilwind.cli.definition import cli

    context = context or Context()
    arguments = sys.argv[1:] if args is None else args
    try:
        status = cli.main(
            args=list(arguments),
            prog_name="basilwind",
            standalone_mode=False,
            obj=context,
        )
    except click.exceptions.Exit as error:
        return ExitStatus(error.exit_code)
    except click.UsageError as error:
        error.show(file=context.stderr)
        return ExitStatus.USAGE
    except click.Abort:
        return ExitStatus.INTERRUPTED
    except BasilwindError as error:
        context.write_error(f"basilwind: error: {error}")
        return _status_of(error)
    return status if isinstance(status, ExitStatus) else ExitStatus.SUCCESS


def _status_of(error):
    for kind, status in _STATUS_OF_ERROR.items():
        if isinstance(error, kind):
            return status
    return ExitStatus.ERROR
