"""The encoding of the messages between hosts as Cap'n Proto structs, and their decoding."""

from pathlib import Path
from typing import Any

import capnp

from .._ids import (
    QueryId,
    Revision,
)
from ..process import (
    Demand,
    Heartbeat,
    HeartbeatReply,
    Hello,
    Pressure,
)
from ..request import (
    Ask,
    Book,
    BookReply,
    Cancel,
    Forward,
    ForwardReply,
    Reply,
)
from ..version import (
    CataloguePush,
    FetchVersions,
    SectionsPush,
    TextPush,
)
from ._process_structs import (
    read_heartbeat,
    read_hello,
    read_pressure,
    read_refused,
    write_heartbeat,
    write_hello,
    write_pressure,
    write_refused,
)
from ._request_structs import (
    read_ask,
    read_book,
    read_forward,
    read_outcome,
    read_reply,
    write_ask,
    write_book,
    write_forward,
    write_outcome,
    write_reply,
)
from ._struct_list import write_list
from ._version_structs import read_sections, read_versions, write_sections, write_versions

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
    """A received frame is truncated, too large, or cannot be decoded."""


def encode_message(message: Message) -> bytes:
    """Return ``message`` encoded as one Cap'n Proto message, without a length prefix."""
    frame = SCHEMA.Frame.new_message()
    match message:
        case Hello():
            write_hello(frame.init("hello"), message)
        case Ask():
            write_ask(frame.init("ask"), message)
        case Reply():
            write_reply(frame.init("reply"), message)
        case Cancel(query=query):
            frame.cancel = query
        case Book():
            write_book(frame.init("book"), message)
        case BookReply(query=query, outcome=outcome):
            write_outcome(frame.init("bookReply"), query, outcome)
        case Forward():
            write_forward(frame.init("forward"), message)
        case ForwardReply(query=query, outcome=outcome):
            write_outcome(frame.init("forwardReply"), query, outcome)
        case Heartbeat():
            write_heartbeat(frame.init("heartbeat"), message)
        case HeartbeatReply():
            write_heartbeat(frame.init("heartbeatReply"), message)
        case Demand(refused=refused):
            write_list(frame.init("demand", len(refused)), refused, write_refused)
        case Pressure(services=services):
            write_list(frame.init("pressure", len(services)), services, write_pressure)
        case FetchVersions(current=current):
            write_versions(frame.init("fetchVersions"), current)
        case TextPush(revision=revision, text=text):
            push = frame.init("textPush")
            push.revision = revision
            push.text = text
        case CataloguePush(text=text):
            frame.cataloguePush = text
        case SectionsPush():
            write_sections(frame.init("sectionsPush"), message)
    return bytes(frame.to_bytes())


def decode_message(data: bytes) -> Message:
    """Return the message that is encoded in ``data``.

    :raises BadFrameError: ``data`` is not a valid ``Frame`` struct, or a value is not allowed.
    """
    try:
        with SCHEMA.Frame.from_bytes(data) as frame:
            return _read_frame(frame)
    except (capnp.KjException, ValueError, KeyError, OverflowError) as error:
        raise BadFrameError(str(error).splitlines()[0] if str(error) else "undecodable") from error


def _read_frame(frame: Any) -> Message:
    match str(frame.which()):
        case "hello":
            return read_hello(frame.hello)
        case "ask":
            return read_ask(frame.ask)
        case "reply":
            return read_reply(frame.reply)
        case "cancel":
            return Cancel(QueryId(frame.cancel))
        case "book":
            return read_book(frame.book)
        case "bookReply":
            return BookReply(QueryId(frame.bookReply.query), read_outcome(frame.bookReply))
        case "forward":
            return read_forward(frame.forward)
        case "forwardReply":
            reply = frame.forwardReply
            return ForwardReply(QueryId(reply.query), read_outcome(reply))
        case "heartbeat":
            return Heartbeat(*read_heartbeat(frame.heartbeat))
        case "heartbeatReply":
            return HeartbeatReply(*read_heartbeat(frame.heartbeatReply))
        case "demand":
            return Demand(tuple(read_refused(item) for item in frame.demand))
        case "pressure":
            return Pressure(tuple(read_pressure(item) for item in frame.pressure))
        case "fetchVersions":
            return FetchVersions(read_versions(frame.fetchVersions))
        case "textPush":
            return TextPush(Revision(frame.textPush.revision), frame.textPush.text)
        case "cataloguePush":
            return CataloguePush(frame.cataloguePush)
        case "sectionsPush":
            return read_sections(frame.sectionsPush)
        case other:
            raise BadFrameError(f"unknown message kind {other}")
