"""Functions that convert the messages of a request to and from Cap'n Proto structs.

Each ``target`` and ``source`` is a struct of ``peer.capnp``. The entry host of a search, which
received it from its caller, sends its parts to the owners of the services. The host that minted the
ticket of a booking sends the attempts of the booking to the owner of its service. An owner is the
host that sends requests to the searchers of a service.
"""

from typing import Any

from .._failures import Failure, NotRun, Reason, Step, Unknown
from .._ids import (
    Incarnation,
    Millis,
    QueryId,
    ServiceId,
    ShardId,
    SnapshotVersion,
    TicketId,
)
from .._ranks import Rank
from ..request import (
    Ask,
    Book,
    BookingOutcome,
    Forward,
    Hit,
    Hits,
    Ran,
    Reply,
    ServicePart,
    ServiceResult,
    VersionGone,
)
from ._struct_list import write_list


def write_ask(target: Any, ask: Ask) -> None:
    """Write an ask, with which the entry host asks an owner to run parts of a search."""
    target.query = ask.query
    target.rank = ask.rank.value
    target.remaining = ask.remaining
    target.number = ask.admission_number
    target.snapshot = ask.snapshot
    target.text = ask.text
    write_list(target.init("parts", len(ask.parts)), ask.parts, _write_part)


def _write_part(target: Any, part: ServicePart) -> None:
    target.service = part.service
    target.shards = list(part.shards)


def read_ask(source: Any) -> Ask:
    """Read an ask."""
    return Ask(
        QueryId(source.query),
        Rank(source.rank),
        Millis(source.remaining),
        source.number,
        SnapshotVersion(source.snapshot),
        source.text,
        tuple(
            ServicePart(ServiceId(part.service), tuple(map(ShardId, part.shards)))
            for part in source.parts
        ),
    )


def write_reply(target: Any, reply: Reply) -> None:
    """Write a reply, which holds the result of one service of an ask."""
    target.query = reply.query
    target.service = reply.service
    result = target.result
    match reply.result:
        case Hits() as hits:
            _write_hits(result.init("hits"), hits)
        case VersionGone(snapshot=snapshot, held=held):
            gone = result.init("versionGone")
            gone.snapshot = snapshot
            gone.held = list(held)
        case NotRun() as failure:
            _write_failure(result.init("notRun"), failure)
        case Unknown() as failure:
            _write_failure(result.init("unknown"), failure)


def read_reply(source: Any) -> Reply:
    """Read a reply, which holds the result of one service of an ask."""
    return Reply(QueryId(source.query), ServiceId(source.service), _read_result(source.result))


def _read_result(source: Any) -> ServiceResult:
    match str(source.which()):
        case "hits":
            return _read_hits(source.hits)
        case "versionGone":
            gone = source.versionGone
            held = tuple(map(SnapshotVersion, gone.held))
            return VersionGone(SnapshotVersion(gone.snapshot), held)
        case "notRun":
            return NotRun(*_read_failure(source.notRun))
        case _:
            return Unknown(*_read_failure(source.unknown))


def _write_hits(target: Any, hits: Hits) -> None:
    target.snapshot = hits.snapshot
    target.shards = list(hits.shards)
    write_list(target.init("hits", len(hits.hits)), hits.hits, _write_hit)


def _write_hit(target: Any, hit: Hit) -> None:
    target.id = hit.id
    target.score = hit.score
    target.shard = hit.shard
    target.document = hit.document


def _read_hits(source: Any) -> Hits:
    return Hits(
        SnapshotVersion(source.snapshot),
        tuple(map(ShardId, source.shards)),
        tuple(Hit(hit.id, hit.score, ShardId(hit.shard), hit.document) for hit in source.hits),
    )


def _write_failure(target: Any, failure: Failure) -> None:
    target.reason = failure.reason.value
    target.step = failure.step.value
    target.peer = failure.peer
    target.detail = failure.detail


def _read_failure(source: Any) -> tuple[Reason, Step, str, str]:
    return Reason(source.reason), Step(source.step), source.peer, source.detail


def write_book(target: Any, book: Book) -> None:
    """Write one attempt of a booking, which is sent to the owner of its service."""
    target.query = book.query
    target.ticket = book.ticket
    target.attempt = book.attempt
    target.service = book.service
    target.rank = book.rank.value
    target.remaining = book.remaining
    target.payload = book.payload


def read_book(source: Any) -> Book:
    """Read one attempt of a booking."""
    return Book(
        QueryId(source.query),
        TicketId(source.ticket),
        source.attempt,
        ServiceId(source.service),
        Rank(source.rank),
        Millis(source.remaining),
        source.payload,
    )


def write_forward(target: Any, forward: Forward) -> None:
    """Write a booking that is forwarded to the host that minted its ticket."""
    target.query = forward.query
    target.incarnation = forward.incarnation
    target.ticket = forward.ticket
    target.service = forward.service
    target.rank = forward.rank.value
    target.remaining = forward.remaining
    target.payload = forward.payload


def read_forward(source: Any) -> Forward:
    """Read a booking that is forwarded to the host that minted its ticket."""
    return Forward(
        QueryId(source.query),
        Incarnation(source.incarnation),
        TicketId(source.ticket),
        ServiceId(source.service),
        Rank(source.rank),
        Millis(source.remaining),
        source.payload,
    )


def write_outcome(target: Any, query: QueryId, outcome: BookingOutcome) -> None:
    """Write the outcome of a booking."""
    target.query = query
    match outcome:
        case Ran(result=result):
            target.result.ran = result
        case NotRun() as failure:
            _write_failure(target.result.init("notRun"), failure)
        case Unknown() as failure:
            _write_failure(target.result.init("unknown"), failure)


def read_outcome(source: Any) -> BookingOutcome:
    """Read the outcome of a booking."""
    match str(source.result.which()):
        case "ran":
            return Ran(source.result.ran)
        case "notRun":
            return NotRun(*_read_failure(source.result.notRun))
        case _:
            return Unknown(*_read_failure(source.result.unknown))
