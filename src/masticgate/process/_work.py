"""One piece of work that waits in an owner's queue for a searcher's connection."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from .._ids import Millis, QueryId, SearcherId, ServiceId, ShardId, SnapshotVersion, TicketId
from .._ranks import Rank
from ..request import BookingOutcome, SubReply


@dataclass(frozen=True, slots=True)
class SearchWork:
    """The part of a search that one service answers; it is idempotent."""

    query: QueryId
    service: ServiceId
    shards: tuple[ShardId, ...]
    snapshot: SnapshotVersion
    rank: Rank
    deadline: Millis
    number: float
    text: str
    deliver: Callable[[SubReply], None]


@dataclass(frozen=True, slots=True)
class BookingWork:
    """One attempt of a booking; it may be sent once."""

    query: QueryId
    service: ServiceId
    ticket: TicketId
    attempt: int
    rank: Rank
    deadline: Millis
    payload: str
    deliver: Callable[[BookingOutcome], None]


Work = SearchWork | BookingWork


class WorkState(Enum):
    """Where a piece of work stands."""

    PENDING = "pending"
    SENT = "sent"
    DONE = "done"


@dataclass(slots=True, eq=False)
class Entry:
    """A piece of work in a queue, with the searchers it was sent to."""

    work: Work
    queued_at: Millis
    state: WorkState = WorkState.PENDING
    retries: int = 0
    sent_at: Millis = Millis(0.0)
    sends: "list[Send]" = field(default_factory=list)


@dataclass(slots=True, eq=False)
class Send:
    """One sending of an entry to one searcher.

    ``abort`` ends the call from another task; the connection task sets it before it sends.
    """

    entry: Entry
    searcher: SearcherId
    sent_at: Millis
    hedge: bool = False
    aborted: bool = False
    abort: Callable[[], None] | None = None
