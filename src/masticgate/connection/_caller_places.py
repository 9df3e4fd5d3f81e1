"""The places of an entry host for callers, and which connection gives way if all are taken."""

import socket
from contextlib import suppress
from dataclasses import dataclass
from enum import Enum
from threading import Condition

from .._clock import MILLIS_PER_SECOND, Clock
from .._ids import Millis

REPLY_PATIENCE = Millis(1_000.0)
"""A caller that has not accepted a response for this long may have to give way."""

PLACE_WAIT = Millis(250.0)
"""A new connection waits this long for a place while the requests on all others run."""


class PlaceState(Enum):
    """What the connection of a caller does.

    In state ``QUEUED`` it has no place yet. In ``IDLE`` it waits for a request, in ``READING`` it
    has received a part of one, in ``SERVING`` the request runs, and in ``REPLYING`` the response is
    sent.
    """

    QUEUED = "queued"
    IDLE = "idle"
    READING = "reading"
    SERVING = "serving"
    REPLYING = "replying"


@dataclass(slots=True, eq=False)
class Place:
    """The place of one connection, which is in ``state`` since the time ``since``.

    ``gave_way`` says that it was ended in favour of another connection.
    """

    connection: socket.socket
    since: Millis
    state: PlaceState = PlaceState.QUEUED
    gave_way: bool = False


class CallerPlaces:
    """The places of all open connections; any task may call it.

    When all ``maximum`` places are taken, the connection gives way that has waited for a request,
    or for the rest of one, for the longest time, and after these one whose caller does not accept
    the response. A request that runs is never interrupted: a new connection then waits for a place,
    and those that are served end after their response.
    """

    def __init__(self, maximum: int, clock: Clock) -> None:
        self.maximum = maximum
        self.clock = clock
        self.changed = Condition()
        self.places: set[Place] = set()
        self.queued: set[Place] = set()

    def add(self, connection: socket.socket) -> Place | None:
        """Return the place of a new connection, or ``None`` if too many wait for one already.

        The connection may be served once :meth:`await_turn` returns ``True``.
        """
        with self.changed:
            if len(self.places) >= 2 * self.maximum:
                return None
            place = Place(connection, self.clock.now())
            if self._count_taken() < self.maximum or self._make_room():
                place.state = PlaceState.IDLE
            else:
                self.queued.add(place)
            self.places.add(place)
            return place

    def await_turn(self, place: Place) -> bool:
        """Wait until ``place`` is free; return ``False`` after ``PLACE_WAIT``."""
        with self.changed:
            if place not in self.queued:
                return True
            is_free = self.changed.wait_for(
                lambda: self._count_taken() < self.maximum, PLACE_WAIT / MILLIS_PER_SECOND
            )
            self.queued.discard(place)
            if is_free:
                place.state = PlaceState.IDLE
                place.since = self.clock.now()
            return is_free

    def enter(self, place: Place, state: PlaceState) -> None:
        """Record what the connection of ``place`` does from now on.

        One that becomes idle gives way if another one waits for a place.
        """
        with self.changed:
            place.state = state
            place.since = self.clock.now()
            if state is PlaceState.IDLE and self.queued and not place.gave_way:
                _end(place)
                self.changed.notify_all()

    def release(self, place: Place) -> None:
        """Give back the place of a connection that ends."""
        with self.changed:
            self.places.discard(place)
            self.queued.discard(place)
            self.changed.notify_all()

    def is_wanted(self, place: Place) -> bool:
        """Return whether the connection of ``place`` has to end after its response."""
        with self.changed:
            return place.gave_way or bool(self.queued)

    def count(self) -> int:
        """Return the number of open connections."""
        with self.changed:
            return len(self.places)

    def connections(self, *states: PlaceState) -> list[socket.socket]:
        """Return the connections that are in one of ``states``."""
        with self.changed:
            return [place.connection for place in self.places if place.state in states]

    def await_released(self, timeout: Millis) -> bool:
        """Wait until no connection is open; return ``False`` if ``timeout`` passes first."""
        with self.changed:
            return self.changed.wait_for(lambda: not self.places, timeout / MILLIS_PER_SECOND)

    def _count_taken(self) -> int:
        return sum(not p.gave_way and p.state is not PlaceState.QUEUED for p in self.places)

    def _make_room(self) -> bool:
        """End a connection that can give way; return ``False`` if there is none."""
        candidates = [place for place in self.places if self._can_give_way(place)]
        if not candidates:
            return False
        _end(min(candidates, key=_closing_order))
        return True

    def _can_give_way(self, place: Place) -> bool:
        if place.gave_way:
            return False
        match place.state:
            case PlaceState.IDLE | PlaceState.READING:
                return True
            case PlaceState.REPLYING:
                return self.clock.now() - place.since >= REPLY_PATIENCE
            case PlaceState.SERVING | PlaceState.QUEUED:
                return False


def _end(place: Place) -> None:
    """End the input of a connection, and also a response that its caller does not accept."""
    place.gave_way = True
    is_replying = place.state is PlaceState.REPLYING
    with suppress(OSError):
        place.connection.shutdown(socket.SHUT_RDWR if is_replying else socket.SHUT_RD)


def _closing_order(place: Place) -> tuple[bool, Millis]:
    return place.state is PlaceState.REPLYING, place.since
