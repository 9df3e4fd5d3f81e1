"""What the platform publishes: the configuration and the searchers."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from ..._ids import Address, FailureDomainId, Millis, Revision, SearcherId, ServiceId
from ...version.gateway import RouteTable

PEER_SERVICE = ServiceId("gateways")
"""The service under which the fleet holds the gateways that gather for this one."""


class SearcherPhase(Enum):
    """What a searcher says of itself in its listing."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class SearcherEntry:
    """One listed searcher.

    ``born`` is the Unix millisecond of its start, 0 where the listing has none; ``cold`` is how
    much longer it stays slow after that start.
    """

    id: SearcherId
    service: ServiceId
    address: Address
    domain: FailureDomainId
    slots: int
    phase: SearcherPhase
    cold: Millis
    born: int


@dataclass(frozen=True, slots=True)
class PublishedConfiguration:
    """A whole configuration."""

    table: RouteTable


@dataclass(frozen=True, slots=True)
class SearcherListed:
    """A searcher's listing as it is now."""

    entry: SearcherEntry


@dataclass(frozen=True, slots=True)
class SearcherUnlisted:
    """A searcher's listing was removed."""

    searcher: SearcherId


@dataclass(frozen=True, slots=True)
class UnreadableItem:
    """An item that names nothing usable; ``searcher`` is set where it stood for one."""

    key: str
    detail: str
    searcher: SearcherId | None = None


Change = PublishedConfiguration | SearcherListed | SearcherUnlisted | UnreadableItem


@dataclass(frozen=True, slots=True)
class Contents:
    """Everything that is published; later changes have revisions above ``revision``."""

    changes: tuple[Change, ...]
    revision: Revision


@dataclass(frozen=True, slots=True)
class Changes:
    """What changed up to ``revision``, in order."""

    changes: tuple[Change, ...]
    revision: Revision


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """The changes since the revision are no longer known; everything has to be read again."""


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The platform did not answer, or refused to."""

    detail: str


class CatalogueSource(Protocol):
    """Reads what the platform publishes."""

    def read(self) -> Contents | Unavailable:
        """Read everything."""
        ...

    def watch(self, after: Revision, wait: Millis) -> Changes | HistoryGone | Unavailable:
        """Wait for changes after a revision, for ``wait`` at most."""
        ...


class PlatformSource(CatalogueSource, Protocol):
    """Reads the platform itself."""

    def read_table(self) -> PublishedConfiguration | Unavailable:
        """Read the configuration alone."""
        ...
