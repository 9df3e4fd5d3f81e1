"""Clocks in milliseconds: the clocks of the operating system, and a clock that a test sets."""

import time
from math import ceil
from typing import Protocol

from ._ids import Millis

MAX_POLL_MS = 2**31 - 1
"""The longest timeout that a poll accepts, about 25 days."""

MILLIS_PER_SECOND = 1000.0


class Clock(Protocol):
    """A source of monotonic time and of wall clock time, in milliseconds."""

    def now(self) -> Millis:
        """Return the time of a monotonic clock; only differences between times are meaningful."""
        ...

    def wall(self) -> Millis:
        """Return the time since the Unix epoch, for display and for timelines of events."""
        ...


class SystemClock:
    """The clocks of the operating system."""

    def now(self) -> Millis:
        """Return the time of the monotonic clock, which never steps back."""
        return Millis(time.monotonic() * MILLIS_PER_SECOND)

    def wall(self) -> Millis:
        """Return the time of the wall clock."""
        return Millis(time.time() * MILLIS_PER_SECOND)


class ManualClock:
    """A clock that changes only when a test sets or advances it."""

    def __init__(self, start: Millis = Millis(0.0)) -> None:
        self.current = start

    def now(self) -> Millis:
        """Return the time last set."""
        return self.current

    def wall(self) -> Millis:
        """Return the time last set."""
        return self.current

    def advance(self, duration: Millis) -> None:
        """Move the clock forward by ``duration`` milliseconds."""
        self.current = Millis(self.current + duration)


def remaining_seconds(deadline: Millis, clock: Clock) -> float:
    """Return the seconds that remain to ``deadline``, or zero if it has passed."""
    return max(0.0, deadline - clock.now()) / MILLIS_PER_SECOND


def remaining_poll_time(deadline: Millis, clock: Clock) -> int:
    """Return the milliseconds for a poll that ends at ``deadline``, or earlier if that is far."""
    return min(MAX_POLL_MS, max(0, ceil(deadline - clock.now())))
