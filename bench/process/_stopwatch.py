"""Measures the processor time of a function by the clock of the calling thread."""

import time
from collections.abc import Callable

MICROS_PER_SECOND = 1e6
BATCHES = 25
"""The number of batches of calls, of which the fastest counts."""


def cpu_micros(run: Callable[[], object], repeats: int) -> float:
    """Return the microseconds of processor time per call, in the fastest of several batches.

    Each batch makes ``repeats`` calls. One call before the first batch is not measured.
    """
    run()
    best = float("inf")
    for _ in range(BATCHES):
        started = time.thread_time()
        for _ in range(repeats):
            run()
        best = min(best, time.thread_time() - started)
    return best / repeats * MICROS_PER_SECOND
