"""The messages of one request between its entry host and the owners of services."""

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
    """One result; ``document`` is the searcher's own JSON text."""

    id: str
    score: float
    shard: ShardId
    document: str = ""


@dataclass(frozen=True, slots=True)
class Hits:
    """What a searcher found, in which shards, of which snapshot."""

    snapshot: SnapshotVersion
    shards: tuple[ShardId, ...]
    hits: tuple[Hit, ...]


@dataclass(frozen=True, slots=True)
class VersionGone:
    """The searchers no longer hold, or do not yet hold, the snapshot asked for."""

    snapshot: SnapshotVersion
    held: tuple[SnapshotVersion, ...]


ServiceResult = Hits | VersionGone | NotRun | Unknown


@dataclass(frozen=True, slots=True)
class ServicePart:
    """The part of a search that one service answers."""

    service: ServiceId
    shards: tuple[ShardId, ...]


@dataclass(frozen=True, slots=True)
class Ask:
    """Asks an owner for the parts of one search; ``remaining`` is the time left.

    ``admission_number`` is drawn once per query, uniformly from [0, 1); it orders the overloaded
    queues of all owners alike.
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
    """An owner's result for one service of a search."""

    query: QueryId
    service: ServiceId
    result: ServiceResult


@dataclass(frozen=True, slots=True)
class Cancel:
    """Tells an owner that nobody waits for a query or a booking attempt any more."""

    query: QueryId


@dataclass(frozen=True, slots=True)
class Ran:
    """A booking ran; ``result`` is the searcher's own JSON text."""

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
    """An owner's outcome for one attempt of a booking."""

    query: QueryId
    outcome: BookingOutcome


@dataclass(frozen=True, slots=True)
class Forward:
    """Hands a booking to the host whose incarnation minted its ticket."""

    query: QueryId
    incarnation: Incarnation
    ticket: TicketId
    service: ServiceId
    rank: Rank
    remaining: Millis
    payload: str


@dataclass(frozen=True, slots=True)
class ForwardReply:
    """The minting host's outcome for a forwarded booking."""

    query: QueryId
    outcome: BookingOutcome


@dataclass(frozen=True, slots=True)
class Delivery:
    """One message that reached the inbox of a request, and the host it came from."""

    source: HostId
    message: Reply | BookReply | ForwardReply
