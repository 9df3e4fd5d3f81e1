"""The standard streams of the program, which its parent may have closed."""

import os

STANDARD_DESCRIPTORS = (0, 1, 2)


def open_missing_streams() -> None:
    """Open the null device in the place of each standard stream that is closed.

    A pipe or a connection would get the number of the stream otherwise, and receive the log lines.
    """
    for descriptor in STANDARD_DESCRIPTORS:
        try:
            os.fstat(descriptor)
        except OSError:
            _open_placeholder()


def _open_placeholder() -> None:
    """Open a file that takes no lines, with the lowest free number."""
    try:
        os.open(os.devnull, os.O_RDWR)
    except OSError:
        # There may be no devices; a folder refuses what is written to it.
        os.open("/", os.O_RDONLY)
