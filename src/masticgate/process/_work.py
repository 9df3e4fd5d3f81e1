"""One piece of work that waits in an owner's queue for a searcher's connection."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from .._ids import Millis, QueryId, SearcherId, ServiceId, ShardId, SnapshotVersion, TicketId
from .._ranks import Rank
from ..request import BookingOutcome, ServiceResult
from ._searcher_health import SearcherHealth


@dataclass(frozen=True, slots=True)
class SearchWork:
    """The part of a search that one service answers; it is idempotent."""

    query: QueryId
    service: ServiceId
    shards: tuple[ShardId, ...]
    snapshot: SnapshotVersion
    rank: Rank
    deadline: Millis
    admission_number: float
    text: str
    deliver: Callable[[ServiceResult], None]


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


Result = ServiceResult | BookingOutcome


@dataclass(slots=True, eq=False)
class QueueEntry:
    """A piece of work in a queue, with the searchers it was sent to.

    ``failure`` is the result of its last send, where that is being retried, and ``failed_at`` the
    searcher that gave it.
    """

    work: Work
    queued_at: Millis
    state: WorkState = WorkState.PENDING
    retries: int = 0
    sent_at: Millis = Millis(0.0)
    attempts: "list[SearcherAttempt]" = field(default_factory=list)
    failure: Result | None = None
    failed_searcher: SearcherHealth | None = None

    def deliver(self, result: Result) -> None:
        """Hand the result to whoever offered the work."""
        self.work.deliver(result)  # type: ignore[arg-type]


class AttemptState(Enum):
    """Whether a send is still wanted."""

    WANTED = "wanted"
    CANCELLED = "cancelled"
    SUPERSEDED = "superseded"
    """A hedge of the same entry answered first."""


@dataclass(slots=True, eq=False)
class SearcherAttempt:
    """One sending of an entry to one searcher.

    ``abort`` ends the call from another task; the connection task sets it before it sends.
    ``incarnation`` is what the searcher's reply said of itself, empty where it said nothing.
    """

    entry: QueueEntry
    health: SearcherHealth
    sent_at: Millis
    hedge: bool = False
    state: AttemptState = AttemptState.WANTED
    abort: Callable[[], None] | None = None
    incarnation: str = ""

    @property
    def searcher(self) -> SearcherId:
        """The searcher that the entry is sent to."""
        return self.health.searcher.id

    def cancel(self, state: AttemptState) -> None:
        """Mark the send as unwanted and cut its call, where it began."""
        self.state = state
        if self.abort is not None:
            self.abort()
