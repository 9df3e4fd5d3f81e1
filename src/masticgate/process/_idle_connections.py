"""The idle connections of a service that wait for work."""

from collections.abc import Iterator
from dataclasses import dataclass
from threading import Condition, Lock

from ._searcher_health import SearcherHealth
from ._work import SearcherAttempt


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """The connection is no longer wanted and has to close."""


@dataclass(frozen=True, slots=True)
class NoWork:
    """Nothing to do within the wait."""


@dataclass(frozen=True, slots=True)
class CheckLoad:
    """The searcher is to be asked for its load."""


class IdleConnection:
    """One idle connection; its task waits on ``ready``."""

    def __init__(self, lock: Lock, health: SearcherHealth) -> None:
        self.health = health
        self.ready = Condition(lock)
        self.attempt: SearcherAttempt | None = None


class IdleConnections:
    """The idle connections; the service pool's lock guards them.

    One of them, the timer, wakes up when something falls due; the others wait until they are
    given work.
    """

    def __init__(self) -> None:
        self.by_searcher: dict[SearcherHealth, list[IdleConnection]] = {}
        self.timer: IdleConnection | None = None

    def __iter__(self) -> Iterator[IdleConnection]:
        for connections in self.by_searcher.values():
            yield from connections

    def __bool__(self) -> bool:
        return bool(self.by_searcher)

    def add(self, connection: IdleConnection) -> None:
        """Add an idle connection."""
        self.by_searcher.setdefault(connection.health, []).append(connection)

    def remove(self, connection: IdleConnection) -> None:
        """Remove a connection that leaves without work."""
        connections = self.by_searcher[connection.health]
        connections.remove(connection)
        if not connections:
            del self.by_searcher[connection.health]
        if self.timer is connection:
            self.timer = None

    def assign(self, attempt: SearcherAttempt) -> None:
        """Hand ``send`` to an idle connection of its searcher."""
        connection = self.by_searcher[attempt.health][-1]
        self.remove(connection)
        connection.attempt = attempt
        connection.ready.notify()

    def ensure_timer(self) -> None:
        """Make an idle connection the timer unless one is, and wake it to set its timeout."""
        if self.timer is None and self.by_searcher:
            self.timer = next(iter(self))
            self.timer.ready.notify()

    def set_timer_if_unset(self, connection: IdleConnection) -> None:
        """Make ``connection`` the timer, unless there is one; its own task is about to wait."""
        if self.timer is None and connection.attempt is None:
            self.timer = connection

    def wake_all(self) -> None:
        """Wake every idle connection, so that it checks whether it has to close."""
        for connection in self:
            connection.ready.notify()
