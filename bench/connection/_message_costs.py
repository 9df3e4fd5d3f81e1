"""Measures messages between two hosts: bytes on the wire and processor time at both ends."""

import socket
from collections.abc import Callable

from masticgate import (
    Address,
    FailureDomainId,
    HostId,
    Incarnation,
    Millis,
    QueryId,
    Rank,
    Revision,
    ServiceId,
    ShardId,
    SnapshotVersion,
)
from masticgate.connection import FrameSocket, Message, encode_message
from masticgate.process import Heartbeat, Member, MemberState, Pressure, ServicePressure
from masticgate.request import Ask, Hit, Hits, Reply, ServicePart
from masticgate.version import Versions

SIZES = [1, 5, 20]
"""Numbers of items in a message."""

HITS = 10
LENGTH_PREFIX_BYTES = 4
"""The bytes before each message that give its length."""

QUERY = QueryId("host-0001-0123456789abcdef")
VERSIONS = Versions(Revision(1000), SnapshotVersion(1000))


def ask(parts: int) -> Message:
    """Return an ask, the request to an owner, for ``parts`` services."""
    return Ask(
        QUERY,
        Rank.STANDARD,
        Millis(230.0),
        0.5,
        SnapshotVersion(1000),
        "lamp",
        tuple(
            ServicePart(ServiceId(f"safety-desk/{n}"), (ShardId("s0"), ShardId("s1")))
            for n in range(parts)
        ),
    )


def reply(hits: int) -> Message:
    """Return an owner's reply for one service, with ``hits`` hits."""
    found = tuple(Hit(f"document-{n}", 0.5, ShardId("s0"), '{"title":"lamp"}') for n in range(hits))
    return Reply(
        QUERY,
        ServiceId("safety-desk/1"),
        Hits(SnapshotVersion(1000), (ShardId("s0"), ShardId("s1")), found),
    )


def heartbeat(members: int) -> Message:
    """Return a heartbeat that carries updates about ``members`` hosts."""
    return Heartbeat(1000, VERSIONS, tuple(member_entry(n) for n in range(members)))


def digest_heartbeat() -> Message:
    """Return a heartbeat that carries only a digest of the membership table."""
    return Heartbeat(1000, VERSIONS, (), tuple(range(2**31, 2**31 + 64)))


def pressure(services: int) -> Message:
    """Return an owner's report of the pressure on ``services`` services."""
    shares = (1.0, 0.5, 0.1)
    return Pressure(
        tuple(ServicePressure(ServiceId(f"safety-desk/{n}"), shares) for n in range(services))
    )


def member_entry(number: int) -> Member:
    """Return the entry of one host in the membership table."""
    return Member(
        HostId(f"host-{number:04}"),
        Address(f"127.0.0.1:{7000 + number}"),
        FailureDomainId("north-1"),
        Incarnation(1_700_000_000_000_000_000 + number),
        MemberState.ALIVE,
    )


def wire_bytes(message: Message) -> float:
    """Return the number of bytes that a message takes on the wire."""
    return float(len(encode_message(message)) + LENGTH_PREFIX_BYTES)


def exchange_call(message: Message) -> Callable[[], object]:
    """Return a call that encodes, sends, reads and decodes ``message`` over a TCP connection."""
    listener = socket.create_server(("127.0.0.1", 0))
    client = socket.create_connection(listener.getsockname())
    server, _ = listener.accept()
    listener.close()
    sender, receiver = FrameSocket(client), FrameSocket(server)
    messages = receiver.read_messages()

    def exchange() -> object:
        sender.send(message)
        return next(messages)

    return exchange
