"""The exit statuses of the command line."""

from enum import IntEnum


class ExitCode(IntEnum):
    """What a command's exit status says."""

    DONE = 0
    NOT_RUN = 1
    USAGE = 2
    UNKNOWN = 3
    PARTIAL = 4
    REFUSED_TEXT = 5
    UNREACHABLE = 6
