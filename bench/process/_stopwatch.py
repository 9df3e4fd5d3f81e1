"""Processor time of a function, by the calling thread's own clock."""

import time
from collections.abc import Callable

MICROS_PER_SECOND = 1e6
BATCHES = 25


def cpu_micros(run: Callable[[], object], repeats: int) -> float:
    """Return the microseconds of processor time a call, in the best of some batches."""
    run()
    best = float("inf")
    for _ in range(BATCHES):
        started = time.thread_time()
        for _ in range(repeats):
            run()
        best = min(best, time.thread_time() - started)
    return best / repeats * MICROS_PER_SECOND
