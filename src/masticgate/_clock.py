"""One small clock type, in milliseconds."""

import time
from typing import Protocol

from ._ids import Millis

MILLIS_PER_SECOND = 1000.0


class Clock(Protocol):
    """Tells the time in milliseconds."""

    def now(self) -> Millis:
        """Return monotonic milliseconds; only differences have a meaning."""
        ...

    def wall(self) -> Millis:
        """Return milliseconds since the Unix epoch, for people and time lines."""
        ...


class SystemClock:
    """The machine's own clocks."""

    def now(self) -> Millis:
        """Return the monotonic clock, which never steps back."""
        return Millis(time.monotonic() * MILLIS_PER_SECOND)

    def wall(self) -> Millis:
        """Return the wall clock."""
        return Millis(time.time() * MILLIS_PER_SECOND)


class ManualClock:
    """A clock that a test moves by hand."""

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
    """Return the seconds left before ``deadline``, never less than zero."""
    return max(0.0, deadline - clock.now()) / MILLIS_PER_SECOND
