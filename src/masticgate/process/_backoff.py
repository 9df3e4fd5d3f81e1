"""Exponential backoff with jitter, for retried reads of the platform."""

import random

from .._ids import Millis

INITIAL_RETRY_DELAY = Millis(500.0)
MAX_RETRY_DELAY = Millis(10_000.0)
MIN_JITTER = 0.5
"""The smallest share of the delay that is waited; the share is drawn between this and 1."""


class Backoff:
    """Doubles the delay with each failure in a row, up to ``maximum``, and applies jitter.

    The jitter keeps hosts that failed at the same time from retrying at the same time.
    """

    def __init__(
        self, initial: Millis = INITIAL_RETRY_DELAY, maximum: Millis = MAX_RETRY_DELAY
    ) -> None:
        self.random = random.Random()
        self.initial = initial
        self.maximum = maximum
        self.delay = initial

    def next_delay(self) -> Millis:
        """Return how long to wait before the next retry: half of the delay to all of it."""
        wait = Millis(self.delay * self.random.uniform(MIN_JITTER, 1.0))
        self.delay = min(self.maximum, Millis(self.delay * 2))
        return wait

    def reset(self) -> None:
        """Start again from the initial delay, after a success."""
        self.delay = self.initial
