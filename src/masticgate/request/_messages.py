"""Messages that hosts exchange about one request.

The host that received the request from its caller sends the parts of a search to the owners of the
services, which are the hosts that send requests to the services' searchers. It forwards a booking
to the host that minted the ticket, which sends each attempt to the owner of the service.
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
    """One hit of a search; ``document`` is the JSON text of the document that was found."""

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
    """A searcher of the service no longer holds ``snapshot``, or does not hold it yet.

    ``held`` lists the versions of the snapshots that it holds. The other searchers of the service
    are taken to hold the same.
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

    If a search restarts on another snapshot, it gets a new ``query`` id. ``remaining`` is the
    remaining time for the search in milliseconds, and ``text`` the caller's search text.
    ``admission_number`` is drawn once for each query, uniformly from [0, 1), so that all owners
    order the queries in overloaded queues in the same way. A restart keeps it.
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
    """The result of a search at one service, sent by the owner of the service."""

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
    """A reply in the inbox of a request, and the host that sent it.

    If the link to the host was lost, ``message`` is a failed reply that the receiving host created.
    """

    source: HostId
    message: Reply | BookReply | ForwardReply
