"""The waits between retries of reads of the platform."""

import random

from .._ids import Millis

RETRY_FIRST = Millis(500.0)
RETRY_LONGEST = Millis(10_000.0)
LEAST_JITTER = 0.5


class Backoff:
    """Doubles the wait with each failure in a row, up to a cap, and draws each with jitter."""

    def __init__(self, first: Millis = RETRY_FIRST, longest: Millis = RETRY_LONGEST) -> None:
        self.random = random.Random()
        self.first = first
        self.longest = longest
        self.delay = first

    def next(self) -> Millis:
        """Return the wait before the next retry: half of the delay to all of it."""
        wait = Millis(self.delay * self.random.uniform(LEAST_JITTER, 1.0))
        self.delay = min(self.longest, Millis(self.delay * 2))
        return wait

    def reset(self) -> None:
        """Start again from the first delay, after a success."""
        self.delay = self.first
