"""The catalogue that the platform publishes: the configuration and the listed searchers.

A listing is the platform's entry for one searcher. The catalogue reaches a gateway from the
platform itself or through another gateway.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from ..._ids import Address, FailureDomainId, Millis, Revision, SearcherId, ServiceId, StoreEra
from ._routes import RouteTable

PEER_SERVICE = ServiceId("\N{NO-BREAK SPACE}gateways")
"""The service name of the gateways that gather parts of queries; they count as its searchers.

To gather a part is to send it to one searcher of each of some shards and to merge the answers.

The names of gatherers, and of the routes to them, begin with this name. No published name does: its
first character may stand in a header, but not in a name (:func:`is_name`).
"""


MAX_SLOTS = 100_000
"""The largest number of slots that a listing may state."""

MAX_SEARCHERS = 50_000
"""The largest number of searchers that a gateway knows; the target is 22,000."""

MAX_COLD_TIME = Millis(3_600_000.0)
"""The longest time for which a listing may say that its searcher is slow."""


class SearcherPhase(Enum):
    """Whether a searcher accepts requests or drains before its stop, as its listing states."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class SearcherEntry:
    """The decoded listing of one searcher.

    ``slots`` is the number of requests that the searcher runs at the same time. ``cold`` is the
    remaining time for which it answers slowly after its start. ``born`` is the time of its start in
    milliseconds since the Unix epoch, or 0 if the listing does not state it. ``sequence`` grows
    with each listing that the searcher writes.
    """

    id: SearcherId
    service: ServiceId
    address: Address
    domain: FailureDomainId
    slots: int
    phase: SearcherPhase
    cold: Millis
    born: int
    sequence: int = 0


@dataclass(frozen=True, slots=True)
class PublishedConfiguration:
    """The configuration was published; ``table`` is the whole of it."""

    table: RouteTable


@dataclass(frozen=True, slots=True)
class SearcherListed:
    """The listing of a searcher was added or changed; ``entry`` is its present state."""

    entry: SearcherEntry


@dataclass(frozen=True, slots=True)
class SearcherUnlisted:
    """The listing of a searcher was removed."""

    searcher: SearcherId


@dataclass(frozen=True, slots=True)
class UnreadableItem:
    """A published item that cannot be decoded.

    ``searcher`` is set if the item is the listing of a searcher.
    """

    key: str
    detail: str
    searcher: SearcherId | None = None


@dataclass(frozen=True, slots=True)
class DomainEvacuated:
    """An operator evacuates a failure domain: its searchers are to be sent nothing.

    ``detail`` says what is wrong with the published item, if anything; its key alone counts.
    """

    domain: FailureDomainId
    detail: str = ""


@dataclass(frozen=True, slots=True)
class EvacuationEnded:
    """The evacuation of a failure domain has ended."""

    domain: FailureDomainId


Change = (
    PublishedConfiguration
    | SearcherListed
    | SearcherUnlisted
    | DomainEvacuated
    | EvacuationEnded
    | UnreadableItem
)


@dataclass(frozen=True, slots=True)
class Contents:
    """The whole catalogue; every later change has a revision above ``revision``.

    Revisions are those of the store's ``era``, which is ``None`` if the source does not state it.
    """

    changes: tuple[Change, ...]
    revision: Revision
    era: StoreEra | None = None


@dataclass(frozen=True, slots=True)
class Changes:
    """The changes after the revision of the watch, in order and up to ``revision``.

    If ``era`` is another one than that of the watch, changes may be missing.
    """

    changes: tuple[Change, ...]
    revision: Revision
    era: StoreEra | None = None


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """The changes after the requested revision are no longer available.

    The whole catalogue has to be read again.
    """


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The source gave no usable response; ``detail`` says why.

    ``closed_by_source`` is set if it closed the connection instead of answering. A watch that waits
    may be cut in that way while the source serves other calls.
    """

    detail: str
    closed_by_source: bool = False


class CatalogueSource(Protocol):
    """A source of the catalogue: the platform, or a gateway that relays it."""

    def read(self) -> Contents | Unavailable:
        """Return the whole catalogue."""
        ...

    def watch(self, after: Revision, wait: Millis) -> Changes | HistoryGone | Unavailable:
        """Wait at most ``wait`` for changes after the revision ``after``, and return them.

        The result is an empty :class:`Changes` if there are none within that time.
        """
        ...


class PlatformSource(CatalogueSource, Protocol):
    """A source that reads from the platform itself."""

    def read_table(self) -> PublishedConfiguration | Unavailable:
        """Return the configuration without the listings."""
        ...

    def change_address(self, address: Address) -> None:
        """Read from another address from the next call on; any task may call this."""
        ...
