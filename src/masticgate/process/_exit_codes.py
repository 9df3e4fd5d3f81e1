"""The exit statuses of the command-line tool."""

from enum import IntEnum


class ExitCode(IntEnum):
    """The meaning of a command's exit status."""

    DONE = 0
    NOT_RUN = 1
    USAGE = 2
    UNKNOWN = 3
    PARTIAL = 4
    REFUSED_TEXT = 5
    UNREACHABLE = 6
