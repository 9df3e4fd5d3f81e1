"""What admission control answers to a request that finds no searcher with room for it."""

from dataclasses import dataclass

from ..._ids import Millis


@dataclass(frozen=True, slots=True)
class RoomState:
    """The room at the searchers of a service, as one gateway sees it.

    ``free`` is the number of further requests that the searchers have room for, ``running`` that of
    the calls of this gateway in flight, and ``waiting`` that of the requests that wait here.
    ``report_age`` is the age of the latest load that a searcher stated, in milliseconds, or
    ``None`` if none has stated its load.
    """

    free: int
    running: int
    waiting: int
    report_age: Millis | None


@dataclass(frozen=True, slots=True)
class Send:
    """There is room: the request may be sent now."""


@dataclass(frozen=True, slots=True)
class Wait:
    """The request waits for its turn, and asks again at ``until`` if it was not woken before."""

    until: Millis


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request cannot be served in time.

    ``retry_after`` is the time until there is room, in milliseconds, or ``None`` if it is not
    known. ``why`` is a short text for the log.
    """

    retry_after: Millis | None
    why: str
    room: RoomState | None = None


Decision = Send | Wait | Refuse
