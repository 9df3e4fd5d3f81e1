"""Messages that hosts exchange about one request.

The entry host received the request from its caller. It sends the parts of a search and the
attempts of a booking to the owners of the services, which are the hosts that send requests to the
services' searchers.
"""

from dataclasses import dataclass

from .._failures import NotRun, Unknown
from .._ids import (
    HostId,
    Incarnation,
    Millis,
    QueryId,
    ServiceId,
    ShardId,
    SnapshotVersion,
    TicketId,
)
from .._ranks import Rank


@dataclass(frozen=True, slots=True)
class Hit:
    """One hit of a search; ``document`` is the JSON text that the searcher returned for it."""

    id: str
    score: float
    shard: ShardId
    document: str = ""


@dataclass(frozen=True, slots=True)
class Hits:
    """The hits of one service, the shards that were searched, and the snapshot they are from."""

    snapshot: SnapshotVersion
    shards: tuple[ShardId, ...]
    hits: tuple[Hit, ...]


@dataclass(frozen=True, slots=True)
class VersionGone:
    """The searchers of a service no longer hold ``snapshot``, or do not hold it yet.

    ``held`` lists the versions of the index that they hold.
    """

    snapshot: SnapshotVersion
    held: tuple[SnapshotVersion, ...]


ServiceResult = Hits | VersionGone | NotRun | Unknown


@dataclass(frozen=True, slots=True)
class ServicePart:
    """The part of a search that is sent to one service, with the shards to search."""

    service: ServiceId
    shards: tuple[ShardId, ...]


@dataclass(frozen=True, slots=True)
class Ask:
    """Asks an owner to run ``parts`` of one search.

    ``remaining`` is the remaining time for the search in milliseconds, and ``text`` the caller's
    search text. ``admission_number`` is drawn once for each query, uniformly from [0, 1), so that
    all owners order the queries in overloaded queues in the same way.
    """

    query: QueryId
    rank: Rank
    remaining: Millis
    admission_number: float
    snapshot: SnapshotVersion
    text: str
    parts: tuple[ServicePart, ...]


@dataclass(frozen=True, slots=True)
class Reply:
    """The result of one service of a search, sent by its owner."""

    query: QueryId
    service: ServiceId
    result: ServiceResult


@dataclass(frozen=True, slots=True)
class Cancel:
    """Asks an owner to cancel a search, or a booking attempt that is still queued.

    A cancelled search gets no reply. A cancelled booking attempt gets a reply that it did not run;
    an attempt that was already sent to a searcher continues.
    """

    query: QueryId


@dataclass(frozen=True, slots=True)
class Ran:
    """The outcome of a booking that ran; ``result`` is the JSON text that the searcher returned."""

    result: str


BookingOutcome = Ran | NotRun | Unknown


@dataclass(frozen=True, slots=True)
class Book:
    """Asks an owner to run one attempt of a booking."""

    query: QueryId
    ticket: TicketId
    attempt: int
    service: ServiceId
    rank: Rank
    remaining: Millis
    payload: str


@dataclass(frozen=True, slots=True)
class BookReply:
    """The outcome of one attempt of a booking, sent by the owner that received it."""

    query: QueryId
    outcome: BookingOutcome


@dataclass(frozen=True, slots=True)
class Forward:
    """Forwards a booking to the host that minted its ticket.

    ``incarnation`` identifies the run of that host in which it minted the ticket.
    """

    query: QueryId
    incarnation: Incarnation
    ticket: TicketId
    service: ServiceId
    rank: Rank
    remaining: Millis
    payload: str


@dataclass(frozen=True, slots=True)
class ForwardReply:
    """The outcome of a forwarded booking, sent by the host that minted its ticket."""

    query: QueryId
    outcome: BookingOutcome


@dataclass(frozen=True, slots=True)
class Delivery:
    """A message in the inbox of a request, and the host that sent it."""

    source: HostId
    message: Reply | BookReply | ForwardReply
