"""One task for each connection to a searcher: take work, send it, hand back the result."""

import json
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from .._clock import Clock
from .._failures import NotRun, Reason, Step, Unknown
from .._ids import Millis, SearcherId, ShardId, SnapshotVersion
from ..process import BookingWork, Idle, SearchWork, Send, ServicePool, Stopped
from ..request import BookingOutcome, Hit, Hits, Ran, SubReply, VersionGone
from ..version import Searcher
from ._http_call import HttpCall, HttpLost, HttpReply

GRACE = Millis(5.0)
"""Added to the deadline before the call is given up, since the searcher keeps it too."""

NOT_RUN_REASONS = {
    "draining": Reason.SEARCHER_DRAINING,
    "shed": Reason.SEARCHER_SHED,
    "cold": Reason.SEARCHER_SHED,
}


class _HitText(BaseModel):
    model_config = ConfigDict(extra="ignore")
    id: str
    score: float = Field(allow_inf_nan=False)
    shard: str
    document: Any = None


class _HitsText(BaseModel):
    model_config = ConfigDict(extra="ignore")
    snapshot: int = Field(ge=0, lt=2**63)
    shards: list[str]
    hits: list[_HitText]


class _GoneText(BaseModel):
    model_config = ConfigDict(extra="ignore")
    held: list[int]


class _RefusalText(BaseModel):
    model_config = ConfigDict(extra="ignore")
    reason: str = ""


def run_searcher_connection(pool: ServicePool, searcher: Searcher, clock: Clock) -> None:
    """Serve ``pool`` over one connection to ``searcher`` until the pool stops."""
    call = HttpCall(searcher.address)
    try:
        while True:
            match pool.take(searcher.id):
                case Stopped():
                    return
                case Idle():
                    continue
                case Send() as send:
                    _run_send(pool, send, call, clock)
    finally:
        call.close()


def _run_send(pool: ServicePool, send: Send, call: HttpCall, clock: Clock) -> None:
    if not pool.may_send(send, call.abort):
        pool.abandon(send)
        return
    match send.entry.work:
        case SearchWork() as work:
            pool.finish(send, _search(call, work, send.searcher, clock))
        case BookingWork() as work:
            pool.finish(send, _book(call, work, send.searcher, clock))


def _search(call: HttpCall, work: SearchWork, searcher: SearcherId, clock: Clock) -> SubReply:
    remaining = Millis(work.deadline - clock.now())
    body = {
        "query": work.query,
        "snapshot": work.snapshot,
        "shards": work.shards,
        "rank": work.rank.label,
        "remaining_ms": round(remaining, 1),
        "text": work.text,
    }
    reply = call.post("/search", json.dumps(body).encode(), Millis(remaining + GRACE))
    match reply:
        case HttpReply(status=200, body=answer):
            return _read_hits(answer, work, searcher)
        case HttpReply(status=410, body=answer):
            return _read_gone(answer, work, searcher)
        case _:
            return _read_failure(reply, searcher)


def _read_hits(body: bytes, work: SearchWork, searcher: SearcherId) -> SubReply:
    try:
        text = _HitsText.model_validate_json(body)
    except ValidationError:
        return Unknown(Reason.SEARCHER_ERROR, Step.UPSTREAM, searcher, "unreadable answer")
    if text.snapshot != work.snapshot:
        detail = f"asked for snapshot {work.snapshot}, got {text.snapshot}"
        return Unknown(Reason.WRONG_VERSION, Step.UPSTREAM, searcher, detail)
    hits = tuple(
        Hit(hit.id, hit.score, ShardId(hit.shard), json.dumps(hit.document)) for hit in text.hits
    )
    return Hits(SnapshotVersion(text.snapshot), tuple(map(ShardId, text.shards)), hits)


def _read_gone(body: bytes, work: SearchWork, searcher: SearcherId) -> SubReply:
    try:
        held = _GoneText.model_validate_json(body).held
    except ValidationError:
        return Unknown(Reason.SEARCHER_ERROR, Step.UPSTREAM, searcher, "unreadable answer")
    return VersionGone(work.snapshot, tuple(SnapshotVersion(v) for v in held if v >= 0))


def _book(call: HttpCall, work: BookingWork, searcher: SearcherId, clock: Clock) -> BookingOutcome:
    remaining = Millis(work.deadline - clock.now())
    body = {
        "ticket": work.ticket,
        "attempt": work.attempt,
        "service": work.service,
        "remaining_ms": round(remaining, 1),
        "payload": work.payload,
    }
    reply = call.post_once("/book", json.dumps(body).encode(), Millis(remaining + GRACE))
    match reply:
        case HttpReply(status=200, body=result):
            return Ran(result.decode("utf-8", errors="replace"))
        case _:
            return _read_failure(reply, searcher)


def _read_failure(reply: HttpReply | HttpLost, searcher: SearcherId) -> NotRun | Unknown:
    """Return ``NotRun`` only on the searcher's own word, or where no byte left."""
    match reply:
        case HttpLost(sent=False, message=message):
            return NotRun(Reason.SEARCHER_REFUSED, Step.CONNECT, searcher, message)
        case HttpLost(message=message):
            return Unknown(Reason.SEARCHER_LOST, Step.UPSTREAM, searcher, message)
        case HttpReply(status=503 | 409 | 429, body=body):
            return _read_refusal(body, searcher)
        case HttpReply(status=status):
            return Unknown(Reason.SEARCHER_ERROR, Step.UPSTREAM, searcher, f"status {status}")


def _read_refusal(body: bytes, searcher: SearcherId) -> NotRun | Unknown:
    try:
        word = _RefusalText.model_validate_json(body).reason
    except ValidationError:
        return Unknown(Reason.SEARCHER_ERROR, Step.UPSTREAM, searcher, "unreadable refusal")
    reason = NOT_RUN_REASONS.get(word)
    if reason is None:
        return Unknown(Reason.SEARCHER_ERROR, Step.UPSTREAM, searcher, f"unknown refusal {word!r}")
    return NotRun(reason, Step.UPSTREAM, searcher, word)
