"""The idle connections of a service that wait for work."""

from collections.abc import Iterator
from dataclasses import dataclass
from threading import Condition, Lock

from ._searcher_health import SearcherHealth
from ._work import Send


@dataclass(frozen=True, slots=True)
class Stopped:
    """The connection is no longer wanted and has to close."""


@dataclass(frozen=True, slots=True)
class Idle:
    """Nothing to do within the wait."""


@dataclass(frozen=True, slots=True)
class LookAround:
    """Nothing to do but to ask the searcher for its load."""


class Seat:
    """One idle connection; its task waits on ``ready``."""

    def __init__(self, lock: Lock, health: SearcherHealth) -> None:
        self.health = health
        self.ready = Condition(lock)
        self.send: Send | None = None


class Seats:
    """The idle connections; the service pool's lock guards them.

    One of them, the timer, wakes up when something falls due; the others sleep until they are
    given work.
    """

    def __init__(self) -> None:
        self.idle: dict[SearcherHealth, list[Seat]] = {}
        self.timer: Seat | None = None

    def __iter__(self) -> Iterator[Seat]:
        for seats in self.idle.values():
            yield from seats

    def __bool__(self) -> bool:
        return bool(self.idle)

    def add(self, seat: Seat) -> None:
        """Add an idle connection."""
        self.idle.setdefault(seat.health, []).append(seat)

    def remove(self, seat: Seat) -> None:
        """Remove a connection that leaves without work."""
        seats = self.idle[seat.health]
        seats.remove(seat)
        if not seats:
            del self.idle[seat.health]
        if self.timer is seat:
            self.timer = None

    def give(self, send: Send) -> None:
        """Hand ``send`` to an idle connection of its searcher."""
        seat = self.idle[send.health][-1]
        self.remove(seat)
        seat.send = send
        seat.ready.notify()

    def arm(self) -> None:
        """Make sure that some idle connection is the timer, and let it look when to wake."""
        if self.timer is None and self.idle:
            self.timer = next(iter(self))
            self.timer.ready.notify()

    def arm_with(self, seat: Seat) -> None:
        """Make ``seat`` the timer, unless there is one; its own task is about to wait."""
        if self.timer is None and seat.send is None:
            self.timer = seat

    def wake_all(self) -> None:
        """Let every idle connection look around."""
        for seat in self:
            seat.ready.notify()
