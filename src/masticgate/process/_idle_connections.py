"""The connections to the searchers of a service that are idle and wait for work."""

from collections.abc import Iterator
from dataclasses import dataclass
from threading import Condition, Lock

from ._searcher_health import SearcherHealth
from ._work import SearcherAttempt


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Tells a connection's task to close the connection, which is no longer wanted."""


@dataclass(frozen=True, slots=True)
class NoWork:
    """Tells a connection's task that the wait timed out without work."""


@dataclass(frozen=True, slots=True)
class CheckLoad:
    """Tells a connection's task to ask the searcher for its load."""


class IdleConnection:
    """One idle connection.

    Its task waits on ``ready``, which is notified when ``attempt`` is set or when the task has to
    check for something else to do.
    """

    def __init__(self, lock: Lock, health: SearcherHealth) -> None:
        self.health = health
        self.ready = Condition(lock)
        self.attempt: SearcherAttempt | None = None


class IdleConnections:
    """The idle connections of a service, by searcher.

    The task of one of them, ``timer``, also wakes up when a hedge is due or a searcher may get
    work again. The others wait until they are notified or their wait times out. Callers hold the
    lock of the service pool.
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
        """Remove a connection; if it was the timer, there is none until another one is chosen."""
        connections = self.by_searcher[connection.health]
        connections.remove(connection)
        if not connections:
            del self.by_searcher[connection.health]
        if self.timer is connection:
            self.timer = None

    def assign(self, attempt: SearcherAttempt) -> None:
        """Assign ``attempt`` to an idle connection of its searcher, and wake its task."""
        connection = self.by_searcher[attempt.health][-1]
        self.remove(connection)
        connection.attempt = attempt
        connection.ready.notify()

    def ensure_timer(self) -> None:
        """If there is no timer, choose one and wake its task, so that it sets its timeout."""
        if self.timer is None and self.by_searcher:
            self.timer = next(iter(self))
            self.timer.ready.notify()

    def set_timer_if_unset(self, connection: IdleConnection) -> None:
        """Make ``connection`` the timer if there is none.

        Called by its own task, which is about to wait and so needs no wake-up.
        """
        if self.timer is None and connection.attempt is None:
            self.timer = connection

    def wake_all(self) -> None:
        """Wake the tasks of all idle connections, so that each checks whether it has to close."""
        for connection in self:
            connection.ready.notify()
