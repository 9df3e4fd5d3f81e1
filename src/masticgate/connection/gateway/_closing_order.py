"""Decides which connections of callers end when places for connections, or memory, are short.

Of the places, the one that is held for the longest time without a request in progress is given up
first. Of the memory, the connection that holds most gives way. A request in progress is never
interrupted; but a caller that has sent further requests meanwhile loses its connection after the
present one.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Generic, TypeVar

from ..._ids import Millis

SEND_PATIENCE = Millis(250.0)
"""A caller that has not accepted a reply for this long may lose its connection.

Callers take all of an ordinary reply at once, and a long one within several round trips.
"""


class CallerState(Enum):
    """The activity of a caller's connection.

    In state ``IDLE`` the connection waits for a request, in ``READING`` it has received a part of a
    request, in ``SERVING`` its task runs the handler, and in ``SENDING`` it sends the reply. In
    ``REFUSED`` it drops the rest of a request that was refused.
    """

    IDLE = "idle"
    READING = "reading"
    SERVING = "serving"
    SENDING = "sending"
    REFUSED = "refused"


class Closing(Enum):
    """How a connection is ended.

    With ``INPUT``, a request that has already arrived is still served; with ``AFTER_REPLY``, only
    the present one is. With ``ABORT``, the rest of the reply is not sent.
    """

    INPUT = "input"
    AFTER_REPLY = "after_reply"
    ABORT = "abort"


Handle = TypeVar("Handle")


@dataclass(frozen=True, slots=True)
class Occupant(Generic[Handle]):
    """A connection that may have to give way; it is in ``state`` for the time ``lasting``.

    ``is_new`` says that its first request may still be on its way, and ``has_further_input`` that
    its caller has sent more than the request in progress. ``held_bytes`` are those of the present
    request and its answers.
    """

    connection: Handle
    state: CallerState
    lasting: Millis
    is_new: bool
    has_further_input: bool
    held_bytes: int = 0


def choose_closings(
    occupants: Iterable[Occupant[Handle]], excess: int
) -> list[tuple[Handle, Closing]]:
    """Return up to ``excess`` connections that have to give way, and how each one is ended."""
    closings = [(o, closing) for o in occupants if (closing := _find_closing(o)) is not None]
    closings.sort(key=lambda item: _rank(*item))
    return [(occupant.connection, closing) for occupant, closing in closings[:excess]]


def choose_largest(
    occupants: Iterable[Occupant[Handle]], held_bytes: int
) -> tuple[Occupant[Handle], Closing] | None:
    """Return the connection that holds most and can end at once, and how it is ended.

    The result is ``None`` if no such connection holds more than ``held_bytes``.
    """
    larger = [
        (occupant, closing)
        for occupant in occupants
        if occupant.held_bytes > held_bytes
        and (closing := _find_closing(occupant)) not in (None, Closing.AFTER_REPLY)
    ]
    return max(larger, key=lambda item: item[0].held_bytes, default=None)


def _find_closing(occupant: Occupant[Handle]) -> Closing | None:
    match occupant.state:
        case CallerState.IDLE | CallerState.READING | CallerState.REFUSED:
            return Closing.INPUT
        case CallerState.SENDING if occupant.lasting >= SEND_PATIENCE:
            return Closing.ABORT
        case _ if occupant.has_further_input:
            return Closing.AFTER_REPLY
        case _:
            return None


def _rank(occupant: Occupant[Handle], closing: Closing) -> tuple[bool, int, Millis]:
    """Return the key by which connections give way, the lowest one first.

    Refused callers come late, since they might lose the reply; new ones come last, so that a crowd
    does not cost an ordinary caller its connection.
    """
    order = (Closing.INPUT, Closing.ABORT, Closing.AFTER_REPLY).index(closing)
    if occupant.state is CallerState.REFUSED:
        order = len(Closing)
    return occupant.is_new, order, Millis(-occupant.lasting)
