"""The standard streams of the program, which its parent may have closed."""

import os

STANDARD_DESCRIPTORS = (0, 1, 2)


def open_missing_streams() -> None:
    """Open the null device in the place of each standard stream that is closed.

    A pipe or a connection would get the number of the stream otherwise, and receive the log lines.
    """
    while (descriptor := os.open(os.devnull, os.O_RDWR)) in STANDARD_DESCRIPTORS:
        pass
    os.close(descriptor)
