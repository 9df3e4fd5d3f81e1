"""The final answers of a gateway to one request."""

from dataclasses import dataclass, field

from ..._failures import NotRun, Unknown
from ..._ids import Millis
from ._exchange import Answered


@dataclass(frozen=True, slots=True)
class Relayed:
    """A searcher's answer, passed on unchanged; ``sends`` tells how it was come by."""

    answer: Answered
    sends: str = field(default="", compare=False)


@dataclass(frozen=True, slots=True)
class Merged:
    """The merged records of some shards; ``stamps`` names the answers that are included.

    ``causes`` tells for some of the missing shards why they are, or which gateway gathered the
    answer; ``unusual`` tells of some parts that did not say where they end, or came behind answers
    to other requests, how they were received.
    """

    stamps: tuple[str, ...]
    missing: int
    records: bytes
    causes: tuple[str, ...] = field(default=(), compare=False)
    unusual: tuple[str, ...] = field(default=(), compare=False)


@dataclass(frozen=True, slots=True)
class Refused:
    """The request did not run and never will; the caller may come back after ``retry_after``."""

    status: int
    failure: NotRun
    retry_after: Millis | None = None


@dataclass(frozen=True, slots=True)
class Failed:
    """The request may have run."""

    status: int
    failure: Unknown


@dataclass(frozen=True, slots=True)
class Plain:
    """An answer of the gateway's own pages."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Abandoned:
    """The caller left; there is nobody to answer."""


Reply = Relayed | Merged | Refused | Failed | Plain | Abandoned
