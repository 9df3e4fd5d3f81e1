"""The final answers of a gateway to one request."""

from dataclasses import dataclass, field

from ..._failures import NotRun, Unknown
from ..._ids import Millis
from ._exchange import Answered


@dataclass(frozen=True, slots=True)
class Relayed:
    """A searcher's answer, passed on unchanged; ``send_summary`` describes the sends behind it."""

    answer: Answered
    attempts_summary: str = field(default="", compare=False)


@dataclass(frozen=True, slots=True)
class Merged:
    """The merged records of some shards; ``stamps`` names the answers that are included.

    ``missing_causes`` gives, for some of the missing shards, why they are missing, or which gateway
    gathered the answer. ``irregular_parts`` describes how some parts were received that were
    delimited by the end of their connection or came after responses to other requests.
    """

    stamps: tuple[str, ...]
    missing: int
    records: bytes
    missing_causes: tuple[str, ...] = field(default=(), compare=False)
    irregular_parts: tuple[str, ...] = field(default=(), compare=False)


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
class LocalPage:
    """An answer of the gateway's own pages."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Abandoned:
    """The caller left; there is nobody to answer."""


Reply = Relayed | Merged | Refused | Failed | LocalPage | Abandoned
