"""The waits between retries of reads of the platform."""

import random

from .._ids import Millis

INITIAL_RETRY_DELAY = Millis(500.0)
MAX_RETRY_DELAY = Millis(10_000.0)
MIN_JITTER = 0.5


class Backoff:
    """Doubles the wait with each failure in a row, up to a cap, and draws each with jitter."""

    def __init__(
        self, initial: Millis = INITIAL_RETRY_DELAY, maximum: Millis = MAX_RETRY_DELAY
    ) -> None:
        self.random = random.Random()
        self.initial = initial
        self.maximum = maximum
        self.delay = initial

    def next_delay(self) -> Millis:
        """Return the wait before the next retry: half of the delay to all of it."""
        wait = Millis(self.delay * self.random.uniform(MIN_JITTER, 1.0))
        self.delay = min(self.maximum, Millis(self.delay * 2))
        return wait

    def reset(self) -> None:
        """Start again from the first delay, after a success."""
        self.delay = self.initial
