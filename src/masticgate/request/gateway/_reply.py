"""The replies with which a gateway can answer a request."""

from dataclasses import dataclass, field

from ..._failures import NotRun, Unknown
from ..._ids import Millis, SearcherId
from ._admission import RoomState
from ._exchange import Answered


@dataclass(frozen=True, slots=True)
class Relayed:
    """A searcher's answer, relayed unchanged.

    ``attempts_summary`` describes the attempts at the request, and ``waited`` is how long it waited
    for room at a searcher, both for the log.
    """

    answer: Answered
    attempts_summary: str = field(default="", compare=False)
    waited: Millis = field(default=Millis(0.0), compare=False)


@dataclass(frozen=True, slots=True)
class Merged:
    """The merged records of the shards that answered.

    ``stamps`` holds the stamps that authenticate the merged answers, and ``missing`` counts the
    shards without an answer. ``missing_positions`` holds their positions among all shards of the
    route. ``leaving`` are searchers whose answers said that they leave, for a gateway that has its
    queries gathered.

    The other fields are for the log: ``gatherers`` describes the parts that other gateways
    gathered, ``missing_causes`` says why some of the shards are missing, and ``irregular_parts``
    describes how some irregular answers were received. An answer is irregular if only the end of
    the connection marked its end, or if other answers were skipped before it. ``waited`` is the
    longest time for which a shard waited for room at its searchers.
    """

    stamps: tuple[str, ...]
    missing: int
    records: bytes
    missing_positions: tuple[int, ...] = field(default=(), compare=False)
    gatherers: tuple[str, ...] = field(default=(), compare=False)
    missing_causes: tuple[str, ...] = field(default=(), compare=False)
    irregular_parts: tuple[str, ...] = field(default=(), compare=False)
    leaving: tuple[SearcherId, ...] = field(default=(), compare=False)
    waited: Millis = field(default=Millis(0.0), compare=False)


@dataclass(frozen=True, slots=True)
class Refused:
    """The request did not run and never will.

    ``retry_after`` is how many milliseconds the caller should wait before it tries again. For the
    log, ``waited`` is how long the request waited for room, and ``room`` is the state at which it
    was refused, if it was for lack of room. ``missing_causes`` are as for :class:`Merged`.
    """

    status: int
    failure: NotRun
    retry_after: Millis | None = None
    waited: Millis = field(default=Millis(0.0), compare=False)
    room: RoomState | None = field(default=None, compare=False)
    missing_causes: tuple[str, ...] = field(default=(), compare=False)


@dataclass(frozen=True, slots=True)
class Failed:
    """The request failed and may have run; ``missing_causes`` are as for :class:`Merged`."""

    status: int
    failure: Unknown
    missing_causes: tuple[str, ...] = field(default=(), compare=False)


@dataclass(frozen=True, slots=True)
class LocalPage:
    """An answer that the gateway produces itself, such as its metrics."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Abandoned:
    """The caller closed its connection, so no reply is sent."""


Reply = Relayed | Merged | Refused | Failed | LocalPage | Abandoned
