"""Encodes and decodes the heartbeats of gateways and the replies of the seeds to them."""

import json
from collections.abc import Collection
from dataclasses import dataclass
from math import isfinite
from zlib import crc32

from ..._fields import FieldError, decode_json, is_name
from ..._ids import FailureDomainId, HostId, Millis
from ...connection.gateway import parse_address, parse_number
from ._gatherers import Gatherer, Member
from ._membership import HEARTBEAT_INTERVAL, MAX_HEARTBEAT_INTERVAL, MAX_HEARTBEATS, Heartbeat
from ._process_reports import EndedProcess, ProcessReport, decode_ended, encode_ended, encode_report

HEARTBEAT_HOST = "heartbeat.gateway"
"""The Host header by which a gateway recognizes a heartbeat."""

MAX_MEMBERS = 1_000_000
"""A larger number of members in a reply to a heartbeat is ignored."""

MAX_NAMED_GATHERERS = 1_000
"""The number of gatherers that a seed names, and that are accepted in one reply to a heartbeat."""


@dataclass(frozen=True, slots=True)
class SentHeartbeat:
    """What a gateway states in a heartbeat to one seed.

    ``member`` is ``None`` while the gateway cannot gather queries. ``known_digest`` is that of the
    gatherers that the seed named last. ``asks_for_previous`` asks for the process that ran on the
    same host before. ``known_members`` is the number of gateways that the seeds stated, or 0.
    ``slow`` has the encoded reports of slow searchers if the gateway gathers.
    """

    host: HostId
    process: ProcessReport
    member: Member | None
    interval: Millis
    known_digest: str | None
    asks_for_previous: bool
    known_members: int = 0
    slow: str | None = None


@dataclass(frozen=True, slots=True)
class AnsweredPrevious:
    """What a seed knows of the process that ran before on the host that asks."""

    ended: EndedProcess | None


@dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """What a seed states in a reply to a heartbeat.

    ``relay_domain`` is the seed's failure domain if it relays the platform's catalogue. ``members``
    is the number of running gateways, or ``None`` if it is invalid. ``gatherers`` is ``None`` if
    the sender knows them already, ``digest`` identifies them, and ``previous`` is ``None`` unless
    the heartbeat asked for it. ``slow`` is the undecoded field with the reports of slow searchers.
    ``position`` is that of the sender among the gateways that the seed counts, and their number.
    """

    is_ready: bool
    relay_domain: FailureDomainId | None
    members: int | None
    gatherers: frozenset[Gatherer] | None
    digest: str
    previous: AnsweredPrevious | None
    slow: object = None
    position: tuple[int, int] | None = None


def encode_heartbeat(heartbeat: SentHeartbeat) -> dict[str, object]:
    """Return the query of a heartbeat."""
    query: dict[str, object] = {
        "host": heartbeat.host,
        "process": encode_report(heartbeat.process),
    }
    if heartbeat.asks_for_previous:
        query["previous"] = 1
    if heartbeat.slow is not None:
        query["slow"] = heartbeat.slow
    if heartbeat.known_digest is not None:
        query["known"] = heartbeat.known_digest
    if heartbeat.known_members:
        query["members"] = heartbeat.known_members
    own = heartbeat.member
    if own is not None:
        query |= {"peer": own.address, "domain": own.domain, "rate": round(own.rate, 1)}
        query["interval"] = round(heartbeat.interval)
    return query


def decode_heartbeat(query: dict[str, list[str]], now: Millis) -> Heartbeat:
    """Return the heartbeat that a query states; one that is invalid states no member."""
    reported = parse_number(query.get("members", ["0"])[0].encode())
    known = reported if reported is not None and reported <= MAX_MEMBERS else 0
    unknown = Heartbeat(None, HEARTBEAT_INTERVAL, now, known)
    try:
        host, domain = HostId(query["host"][0]), FailureDomainId(query["domain"][0])
        address = parse_address(query["peer"][0])
        rate, interval = float(query["rate"][0]), Millis(float(query["interval"][0]))
    except (KeyError, ValueError):
        return unknown
    if address is None or not (0.0 < interval <= MAX_HEARTBEAT_INTERVAL and isfinite(rate)):
        return unknown
    if not (is_name(host) and is_name(domain)):
        return unknown
    return Heartbeat(Member(host, address, domain, rate), interval, now, known)


def encode_reply(
    domain: FailureDomainId,
    *,
    is_ready: bool,
    is_relay: bool,
    members: int,
    gatherers: Collection[Gatherer],
    known_digest: str,
    previous: AnsweredPrevious | None,
    slow: list[list[object]] | None,
    position: tuple[int, int] | None,
    now: Millis,
) -> bytes:
    """Return the body of a reply to a heartbeat.

    It names ``gatherers`` unless ``known_digest``, which the heartbeat stated, is theirs. ``slow``
    has the reports of slow searchers, or is ``None`` if the heartbeat had none.
    """
    named = sorted([gatherer.address, gatherer.domain] for gatherer in gatherers)
    digest = digest_gatherers(named)
    reply: dict[str, object] = {
        "domain": domain,
        "ready": is_ready,
        "relays": is_relay,
        "members": members,
    }
    if position is not None:
        reply["position"] = list(position)
    if known_digest != digest:
        reply |= {"gatherers": named, "digest": digest}
    if previous is not None:
        reply["previous"] = encode_ended(previous.ended, now)
    if slow is not None:
        reply["slow"] = slow
    return json.dumps(reply, separators=(",", ":")).encode()


def decode_reply(body: bytes, now: Millis) -> HeartbeatReply | None:
    """Return the reply to a heartbeat, or ``None`` if it is invalid as a whole.

    Fields that are invalid on their own are left out.
    """
    try:
        reply = decode_json(body)
    except FieldError:
        return None
    if not isinstance(reply, dict):
        return None
    members, domain, digest = (reply.get(name) for name in ("members", "domain", "digest"))
    relays = reply.get("relays") is True and is_name(domain)
    return HeartbeatReply(
        is_ready=reply.get("ready") is True,
        relay_domain=FailureDomainId(str(domain)) if relays else None,
        members=members if isinstance(members, int) and 0 < members <= MAX_MEMBERS else None,
        gatherers=decode_gatherers(reply["gatherers"]) if "gatherers" in reply else None,
        digest=str(digest) if is_name(digest) else "",
        previous=(
            AnsweredPrevious(decode_ended(reply["previous"], now)) if "previous" in reply else None
        ),
        slow=reply.get("slow"),
        position=decode_position(reply.get("position")),
    )


def decode_gatherers(value: object) -> frozenset[Gatherer]:
    """Return the gatherers that a reply to a heartbeat names; invalid ones are left out."""
    gatherers = set()
    for item in value[:MAX_NAMED_GATHERERS] if isinstance(value, list) else ():
        match item:
            case [text, str(domain)] if (address := parse_address(text)) and is_name(domain):
                gatherers.add(Gatherer(address, FailureDomainId(domain)))
    return frozenset(gatherers)


def decode_position(value: object) -> tuple[int, int] | None:
    """Return the position of this gateway among those that a seed counts, and their number."""
    match value:
        case [int(position), int(number)] if 0 <= position < number <= MAX_HEARTBEATS + 1:
            return position, number
        case _:
            return None


def digest_gatherers(gatherers: list[list[str]]) -> str:
    """Return a short text that differs for different gatherers, so that they are sent once."""
    return f"{crc32(repr(gatherers).encode()):x}"
