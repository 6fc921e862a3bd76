"""Checks settings files."""

from pathlib import Path

from basilwind.errors import SettingsError
from basilwind.settings import DaemonSettings
from basilwind.settings.checks import check_tree
from basilwind.settings.loader import load_file
from basilwind.settings.tree import load_tree
from basilwind.status import ExitStatus


def run(context, paths):
    """Checks each path and prints the first problem of each."""
    status = ExitStatus.SUCCESS
    for path in paths:
        try:
            _check(path)
            context.write(f"{path}: ok")
        except SettingsError as error:
            context.write_error(f"basilwind: error: {error}")
            status = ExitStatus.INVALID_SETTINGS
    return status


def _check(path):
    if Path(path).is_dir():
        try:
            check_tree(load_tree(path))
        except SettingsError as error:
            if error.file:
                raise
            raise SettingsError(error.message, error.path, file=path) from error
    else:
        load_file(path, DaemonSettings)
