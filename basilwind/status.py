"""Exit statuses of the command line interface."""

import enum


class ExitStatus(enum.IntEnum):
    """Exit status of a basilwind command."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    INVALID_SETTINGS = 3
    REFUSED = 4
    FAILED = 5
    UNKNOWN = 6
    CANCELLED = 7
    UNREACHABLE = 8
    NOT_IN_FORCE = 9
    INTERRUPTED = 130
