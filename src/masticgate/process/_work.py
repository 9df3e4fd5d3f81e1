"""The pieces of work in the queue of a service, and the attempts to run them at a searcher."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from .._ids import Millis, QueryId, SearcherId, ServiceId, ShardId, SnapshotVersion, TicketId
from .._ranks import Rank
from ..request import BookingOutcome, ServiceResult
from ._searcher_health import SearcherHealth


@dataclass(frozen=True, slots=True)
class SearchWork:
    """The part of a search that one service answers.

    It is idempotent, so it may be sent to several searchers. ``admission_number`` is a random
    number, drawn once for each query: the hosts that queue its parts serve an overloaded rank in
    the order of these numbers, so that all finish the same queries.
    """

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
    """One attempt of a booking, which may be sent to one searcher only.

    A booking changes data at the searcher. ``ticket`` identifies the booking, so that it runs at
    most once. ``attempt`` is the number of this attempt; another may be started with the same
    ticket only after this one did not run.
    """

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
    """Whether a piece of work is queued, was sent, or needs nothing more."""

    PENDING = "pending"
    SENT = "sent"
    DONE = "done"


Result = ServiceResult | BookingOutcome


@dataclass(slots=True, eq=False)
class QueueEntry:
    """A piece of work that is queued or in flight, with its attempts in flight.

    ``failure`` is the result of the last attempt if the work is being retried, and
    ``failed_searcher`` the searcher of that attempt.
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
        """Pass the result to the function that was submitted with the work."""
        self.work.deliver(result)  # type: ignore[arg-type]


class AttemptState(Enum):
    """Whether the result of an attempt is still wanted."""

    WANTED = "wanted"
    CANCELLED = "cancelled"
    SUPERSEDED = "superseded"
    """Another attempt at the same work answered first."""


@dataclass(slots=True, eq=False)
class SearcherAttempt:
    """One attempt to run an entry's work at one searcher.

    ``hedge`` marks a second attempt that was made while a slow first one was in flight. ``abort``
    aborts the call to the searcher from another task; the connection task sets it before it sends.
    ``incarnation`` identifies the run of the searcher that refused the work, empty if unknown.
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
        """The id of the searcher that the work is sent to."""
        return self.health.searcher.id

    def cancel(self, state: AttemptState) -> None:
        """Mark the attempt as unwanted, and abort its call to the searcher if that was started."""
        self.state = state
        if self.abort is not None:
            self.abort()
