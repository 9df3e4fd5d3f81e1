"""Encodes the messages between hosts as Cap'n Proto frames, and decodes them again."""

from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import capnp

from .._failures import Failure, NotRun, Reason, Step, Unknown
from .._ids import (
    Address,
    FailureDomainId,
    HostId,
    Incarnation,
    Millis,
    QueryId,
    Revision,
    ServiceId,
    ShardId,
    SnapshotVersion,
    TicketId,
)
from .._ranks import Rank
from ..process import (
    Demand,
    Heartbeat,
    HeartbeatReply,
    Hello,
    Member,
    MemberState,
    Pressure,
    RefusedCount,
    ServicePressure,
)
from ..request import (
    Ask,
    Book,
    BookingOutcome,
    BookReply,
    Cancel,
    Forward,
    ForwardReply,
    Hit,
    Hits,
    Ran,
    Reply,
    ServicePart,
    SubReply,
    VersionGone,
)
from ..version import (
    CataloguePush,
    FetchVersions,
    Section,
    SectionId,
    SectionsPush,
    TextPush,
    Versions,
)

SCHEMA: Any = capnp.load(str(Path(__file__).with_name("peer.capnp")))

Message = (
    Hello
    | Ask
    | Reply
    | Cancel
    | Book
    | BookReply
    | Forward
    | ForwardReply
    | Heartbeat
    | HeartbeatReply
    | Demand
    | Pressure
    | FetchVersions
    | TextPush
    | CataloguePush
    | SectionsPush
)


class BadFrameError(Exception):
    """A frame that is truncated, too large, or holds no known message."""


def encode_message(message: Message) -> bytes:
    """Return ``message`` as one Cap'n Proto message, without its length."""
    frame = SCHEMA.Frame.new_message()
    match message:
        case Hello():
            _write_hello(frame.init("hello"), message)
        case Ask():
            _write_ask(frame.init("ask"), message)
        case Reply():
            _write_reply(frame.init("reply"), message)
        case Cancel(query=query):
            frame.cancel = query
        case Book():
            _write_book(frame.init("book"), message)
        case BookReply(query=query, outcome=outcome):
            _write_outcome(frame.init("bookReply"), query, outcome)
        case Forward():
            _write_forward(frame.init("forward"), message)
        case ForwardReply(query=query, outcome=outcome):
            _write_outcome(frame.init("forwardReply"), query, outcome)
        case Heartbeat():
            _write_heartbeat(frame.init("heartbeat"), message)
        case HeartbeatReply():
            _write_heartbeat(frame.init("heartbeatReply"), message)
        case Demand(refused=refused):
            _write_list(frame.init("demand", len(refused)), refused, _write_refused)
        case Pressure(services=services):
            _write_list(frame.init("pressure", len(services)), services, _write_pressure)
        case FetchVersions(have=have):
            _write_versions(frame.init("fetchVersions"), have)
        case TextPush(revision=revision, text=text):
            push = frame.init("textPush")
            push.revision = revision
            push.text = text
        case CataloguePush(text=text):
            frame.cataloguePush = text
        case SectionsPush():
            _write_sections(frame.init("sectionsPush"), message)
    return bytes(frame.to_bytes())


def decode_message(data: bytes) -> Message:
    """Return the message in ``data``.

    :raises BadFrameError: the data is no frame, or holds a value that no message may hold.
    """
    try:
        with SCHEMA.Frame.from_bytes(data) as frame:
            return _read_frame(frame)
    except (capnp.KjException, ValueError, KeyError, OverflowError) as error:
        raise BadFrameError(str(error).splitlines()[0] if str(error) else "undecodable") from error


def _read_frame(frame: Any) -> Message:
    match str(frame.which()):
        case "hello":
            return _read_hello(frame.hello)
        case "ask":
            return _read_ask(frame.ask)
        case "reply":
            return _read_reply(frame.reply)
        case "cancel":
            return Cancel(QueryId(frame.cancel))
        case "book":
            return _read_book(frame.book)
        case "bookReply":
            return BookReply(QueryId(frame.bookReply.query), _read_outcome(frame.bookReply))
        case "forward":
            return _read_forward(frame.forward)
        case "forwardReply":
            reply = frame.forwardReply
            return ForwardReply(QueryId(reply.query), _read_outcome(reply))
        case "heartbeat":
            return Heartbeat(*_read_heartbeat(frame.heartbeat))
        case "heartbeatReply":
            return HeartbeatReply(*_read_heartbeat(frame.heartbeatReply))
        case "demand":
            return Demand(tuple(_read_refused(item) for item in frame.demand))
        case "pressure":
            return Pressure(tuple(_read_pressure(item) for item in frame.pressure))
        case "fetchVersions":
            return FetchVersions(_read_versions(frame.fetchVersions))
        case "textPush":
            return TextPush(Revision(frame.textPush.revision), frame.textPush.text)
        case "cataloguePush":
            return CataloguePush(frame.cataloguePush)
        case "sectionsPush":
            return _read_sections(frame.sectionsPush)
        case other:
            raise BadFrameError(f"no message {other}")


def _write_list(target: Any, items: Iterable[Any], write_item: Callable[[Any, Any], None]) -> None:
    for index, item in enumerate(items):
        write_item(target[index], item)


def _write_hello(target: Any, hello: Hello) -> None:
    target.host = hello.host
    target.address = hello.address
    target.failureDomain = hello.failure_domain
    target.incarnation = hello.incarnation
    target.oldestProtocol = hello.oldest_protocol
    target.newestProtocol = hello.newest_protocol


def _read_hello(source: Any) -> Hello:
    return Hello(
        HostId(source.host),
        Address(source.address),
        FailureDomainId(source.failureDomain),
        Incarnation(source.incarnation),
        source.oldestProtocol,
        source.newestProtocol,
    )


def _write_ask(target: Any, ask: Ask) -> None:
    target.query = ask.query
    target.rank = ask.rank.value
    target.remaining = ask.remaining
    target.number = ask.number
    target.snapshot = ask.snapshot
    target.text = ask.text
    _write_list(target.init("parts", len(ask.parts)), ask.parts, _write_part)


def _write_part(target: Any, part: ServicePart) -> None:
    target.service = part.service
    target.shards = list(part.shards)


def _read_ask(source: Any) -> Ask:
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


def _write_reply(target: Any, reply: Reply) -> None:
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


def _read_reply(source: Any) -> Reply:
    return Reply(QueryId(source.query), ServiceId(source.service), _read_result(source.result))


def _read_result(source: Any) -> SubReply:
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
    _write_list(target.init("hits", len(hits.hits)), hits.hits, _write_hit)


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


def _write_book(target: Any, book: Book) -> None:
    target.query = book.query
    target.ticket = book.ticket
    target.attempt = book.attempt
    target.service = book.service
    target.rank = book.rank.value
    target.remaining = book.remaining
    target.payload = book.payload


def _read_book(source: Any) -> Book:
    return Book(
        QueryId(source.query),
        TicketId(source.ticket),
        source.attempt,
        ServiceId(source.service),
        Rank(source.rank),
        Millis(source.remaining),
        source.payload,
    )


def _write_forward(target: Any, forward: Forward) -> None:
    target.query = forward.query
    target.incarnation = forward.incarnation
    target.ticket = forward.ticket
    target.service = forward.service
    target.rank = forward.rank.value
    target.remaining = forward.remaining
    target.payload = forward.payload


def _read_forward(source: Any) -> Forward:
    return Forward(
        QueryId(source.query),
        Incarnation(source.incarnation),
        TicketId(source.ticket),
        ServiceId(source.service),
        Rank(source.rank),
        Millis(source.remaining),
        source.payload,
    )


def _write_outcome(target: Any, query: QueryId, outcome: BookingOutcome) -> None:
    target.query = query
    match outcome:
        case Ran(result=result):
            target.result.ran = result
        case NotRun() as failure:
            _write_failure(target.result.init("notRun"), failure)
        case Unknown() as failure:
            _write_failure(target.result.init("unknown"), failure)


def _read_outcome(source: Any) -> BookingOutcome:
    match str(source.result.which()):
        case "ran":
            return Ran(source.result.ran)
        case "notRun":
            return NotRun(*_read_failure(source.result.notRun))
        case _:
            return Unknown(*_read_failure(source.result.unknown))


def _write_versions(target: Any, versions: Versions) -> None:
    target.revision = versions.revision
    target.catalogue = versions.catalogue


def _read_versions(source: Any) -> Versions:
    return Versions(Revision(source.revision), SnapshotVersion(source.catalogue))


def _write_heartbeat(target: Any, heartbeat: Heartbeat | HeartbeatReply) -> None:
    target.events = heartbeat.events
    _write_versions(target.init("versions"), heartbeat.versions)
    _write_list(target.init("members", len(heartbeat.members)), heartbeat.members, _write_member)
    if heartbeat.digest:
        target.digest = list(heartbeat.digest)


def _read_heartbeat(
    source: Any,
) -> tuple[int, Versions, tuple[Member, ...], tuple[int, ...]]:
    members = tuple(_read_member(item) for item in source.members)
    return source.events, _read_versions(source.versions), members, tuple(source.digest)


def _write_member(target: Any, member: Member) -> None:
    target.host = member.host
    target.address = member.address
    target.failureDomain = member.failure_domain
    target.incarnation = member.incarnation
    target.state = member.state.value
    target.counter = member.counter


def _read_member(source: Any) -> Member:
    return Member(
        HostId(source.host),
        Address(source.address),
        FailureDomainId(source.failureDomain),
        Incarnation(source.incarnation),
        MemberState(source.state),
        source.counter,
    )


def _write_refused(target: Any, refused: RefusedCount) -> None:
    target.service = refused.service
    target.rank = refused.rank.value
    target.count = refused.count


def _read_refused(source: Any) -> RefusedCount:
    return RefusedCount(ServiceId(source.service), Rank(source.rank), source.count)


def _write_pressure(target: Any, pressure: ServicePressure) -> None:
    target.service = pressure.service
    target.admitted = list(pressure.admitted)


def _read_pressure(source: Any) -> ServicePressure:
    urgent, standard, bulk = source.admitted
    return ServicePressure(ServiceId(source.service), (urgent, standard, bulk))


def _write_sections(target: Any, push: SectionsPush) -> None:
    target.base = push.base
    target.revision = push.revision
    target.digest = push.digest
    target.removed = list(push.removed)
    _write_list(target.init("changed", len(push.changed)), push.changed, _write_section)


def _write_section(target: Any, section: Section) -> None:
    target.id = section.id
    target.text = section.text


def _read_sections(source: Any) -> SectionsPush:
    return SectionsPush(
        Revision(source.base),
        Revision(source.revision),
        source.digest,
        tuple(Section(SectionId(item.id), item.text) for item in source.changed),
        tuple(map(SectionId, source.removed)),
    )
