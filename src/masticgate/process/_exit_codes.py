"""The exit statuses of the command-line tool."""

from enum import IntEnum


class ExitCode(IntEnum):
    """The meaning of a command's exit status.

    ``NOT_RUN`` means that a search or booking did not run, or that ``serve`` could not start,
    ``USAGE`` invalid arguments or settings, ``UNKNOWN`` that it is not known whether a booking ran
    or what happened to a request, ``PARTIAL`` a search without the hits of some shards,
    ``REFUSED_TEXT`` a configuration text that hosts refuse, and ``UNREACHABLE`` hosts that did not
    answer.
    """

    DONE = 0
    NOT_RUN = 1
    USAGE = 2
    UNKNOWN = 3
    PARTIAL = 4
    REFUSED_TEXT = 5
    UNREACHABLE = 6
