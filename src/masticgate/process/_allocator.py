"""The memory of the C library's allocator: how much of it is kept, and giving it back.

Each thread could otherwise have an arena of its own, which keeps its free pages. A C library that
lacks these functions is left as it is.
"""

import os
from contextlib import suppress

ARENA_VARIABLE = "MALLOC_ARENA_MAX"
"""The environment variable by which an operator sets the number of arenas."""

MAX_ARENAS = 2
LARGE_BLOCK_BYTES = 65_536
"""Blocks of this size and above are mapped for themselves and given back once they are free."""

M_MMAP_THRESHOLD = -3
M_ARENA_MAX = -8
"""The numbers of the parameters in ``malloc.h``."""


def limit_arenas() -> None:
    """Bound the allocator's arenas, unless the environment does; call it before threads start.

    The functions of the C library take memory to load, so that they are not if there is no need.
    """
    if ARENA_VARIABLE in os.environ:
        return
    from ctypes import CDLL

    with suppress(OSError, AttributeError):
        library = CDLL(None)
        library.mallopt(M_ARENA_MAX, MAX_ARENAS)
        library.mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)


def trim_heap() -> None:
    """Give the free pages of the heap back to the system."""
    from ctypes import CDLL

    with suppress(OSError, AttributeError):
        CDLL(None).malloc_trim(0)
