"""The header in which a searcher states its present load."""

from dataclasses import dataclass

from ._parser import parse_number

MAX_SLOWDOWN = 10_000
"""A greater slowdown, in hundredths, is invalid and counts as absent."""


@dataclass(frozen=True, slots=True)
class Load:
    """The load that a searcher states in a response; it may be outdated or wrong.

    ``running`` and ``waiting`` are numbers of requests. ``slots`` is the number of requests that
    the searcher runs at the same time. ``slowdown`` is the time that work takes at present, as a
    factor on its usual time; it changes many times a second.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


def decode_load(value: bytes) -> Load | None:
    """Return the load that a header states, or ``None`` if one of its first figures is invalid.

    The optional fourth figure is the slowdown in hundredths. It counts as absent if it is invalid.
    """
    figures = value.split(b",")
    match [parse_number(figure) for figure in figures[:4]]:
        case [int(running), int(waiting), int(slots), int(slowdown)] if (
            len(figures) == 4 and 0 < slowdown <= MAX_SLOWDOWN
        ):
            return Load(running, waiting, slots, slowdown / 100.0)
        case [int(running), int(waiting), int(slots)] | [int(running), int(waiting), int(slots), _]:
            return Load(running, waiting, slots)
        case _:
            return None
