"""The connections to searchers, each with a task of its own.

A searcher is a server that runs the searches and bookings of one service. The pool of the service
queues this work and chooses the searchers. The task waits for work from the pool, sends it to the
searcher and reports the result to the pool.
"""

from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from pydantic_core import to_json

from .._clock import Clock
from .._failures import NotRun, Reason, Step, Unknown
from .._ids import Millis, SearcherId, ShardId, SnapshotVersion
from ..process import (
    BookingWork,
    CheckLoad,
    CloseConnection,
    LoadReport,
    NoWork,
    SearcherAttempt,
    SearchWork,
    ServicePool,
)
from ..request import BookingOutcome, Hit, Hits, Ran, ServiceResult, VersionGone
from ..version import Searcher
from ._http_connection import HttpConnection, HttpFailure, HttpReply

RESPONSE_GRACE = Millis(5.0)
"""How long to wait for a response after the deadline of the work.

The searcher stops at the same deadline, and its response takes a moment to arrive.
"""

LOAD_TIMEOUT = Millis(1000.0)
"""The time limit of a request for the searcher's load."""

NOT_RUN_REASONS = {
    "draining": Reason.SEARCHER_DRAINING,
    "shed": Reason.SEARCHER_SHED,
    "cold": Reason.SEARCHER_SHED,
}
"""The reasons in a refusal which mean that the searcher did not run the work."""


class _HitItem(BaseModel):
    model_config = ConfigDict(extra="ignore")
    id: str
    score: float = Field(allow_inf_nan=False)
    shard: str
    document: Any = None


class _HitsBody(BaseModel):
    model_config = ConfigDict(extra="ignore")
    snapshot: int = Field(ge=0, lt=2**63)
    shards: list[str]
    hits: list[_HitItem]


class _VersionGoneBody(BaseModel):
    model_config = ConfigDict(extra="ignore")
    held: list[Annotated[int, Field(ge=0, lt=2**63)]] = Field(max_length=64)


class _RefusalBody(BaseModel):
    model_config = ConfigDict(extra="ignore")
    reason: str = ""
    incarnation: str = ""


class _LoadBody(BaseModel):
    model_config = ConfigDict(extra="ignore")
    load: int = Field(default=0, ge=0)
    draining: bool = False
    incarnation: str = ""


def run_searcher_connection(pool: ServicePool, searcher: Searcher, clock: Clock) -> None:
    """Run work from ``pool`` over a connection to ``searcher`` until the pool closes it.

    If the pool needs the connection again by then, another one is opened.
    """
    wanted = True
    while wanted:
        connection = HttpConnection(searcher.address)
        try:
            _serve(pool, searcher, connection, clock)
        finally:
            connection.close()
            wanted = pool.record_closed_connection(searcher)


def _serve(pool: ServicePool, searcher: Searcher, connection: HttpConnection, clock: Clock) -> None:
    while True:
        match pool.wait_for_work(searcher):
            case CloseConnection():
                return
            case NoWork():
                continue
            case CheckLoad():
                connection.allow_requests()
                pool.record_load(searcher, _read_load(connection.get("/load", LOAD_TIMEOUT)))
            case SearcherAttempt() as attempt:
                _run_attempt(pool, attempt, connection, clock)


def _read_load(reply: HttpReply | HttpFailure) -> LoadReport | None:
    match reply:
        case HttpReply(status=200, body=body):
            try:
                parsed = _LoadBody.model_validate_json(body)
            except ValidationError:
                return None
            return LoadReport(parsed.load, parsed.draining, parsed.incarnation)
        case _:
            return None


def _run_attempt(
    pool: ServicePool, attempt: SearcherAttempt, connection: HttpConnection, clock: Clock
) -> None:
    connection.allow_requests()
    if not pool.may_send(attempt, connection.abort):
        pool.abandon(attempt)
        return
    match attempt.entry.work:
        case SearchWork() as work:
            pool.finish(attempt, _search(connection, work, attempt, clock))
        case BookingWork() as work:
            pool.finish(attempt, _book(connection, work, attempt, clock))


def _search(
    connection: HttpConnection, work: SearchWork, attempt: SearcherAttempt, clock: Clock
) -> ServiceResult:
    remaining = Millis(work.deadline - clock.now())
    body = {
        "query": work.query,
        "snapshot": work.snapshot,
        "shards": work.shards,
        "rank": work.rank.label,
        "remaining_ms": round(remaining, 1),
        "text": work.text,
    }
    reply = connection.post("/search", to_json(body), Millis(remaining + RESPONSE_GRACE))
    match reply:
        case HttpReply(status=200, body=answer):
            return _read_hits(answer, work, attempt.searcher)
        case HttpReply(status=410, body=answer):
            return _read_version_gone(answer, work, attempt.searcher)
        case _:
            return _read_failure(reply, attempt)


def _read_hits(body: bytes, work: SearchWork, searcher: SearcherId) -> ServiceResult:
    try:
        parsed = _HitsBody.model_validate_json(body)
    except ValidationError:
        return Unknown(Reason.SEARCHER_ERROR, Step.UPSTREAM, searcher, "invalid response body")
    if parsed.snapshot != work.snapshot:
        detail = f"asked for snapshot {work.snapshot}, got {parsed.snapshot}"
        return Unknown(Reason.WRONG_VERSION, Step.UPSTREAM, searcher, detail)
    hits = tuple(
        Hit(hit.id, hit.score, ShardId(hit.shard), to_json(hit.document).decode())
        for hit in parsed.hits
    )
    return Hits(SnapshotVersion(parsed.snapshot), tuple(map(ShardId, parsed.shards)), hits)


def _read_version_gone(body: bytes, work: SearchWork, searcher: SearcherId) -> ServiceResult:
    try:
        held = _VersionGoneBody.model_validate_json(body).held
    except ValidationError:
        return Unknown(Reason.SEARCHER_ERROR, Step.UPSTREAM, searcher, "invalid response body")
    return VersionGone(work.snapshot, tuple(map(SnapshotVersion, held)))


def _book(
    connection: HttpConnection, work: BookingWork, attempt: SearcherAttempt, clock: Clock
) -> BookingOutcome:
    remaining = Millis(work.deadline - clock.now())
    body = {
        "ticket": work.ticket,
        "attempt": work.attempt,
        "service": work.service,
        "remaining_ms": round(remaining, 1),
        "payload": work.payload,
    }
    reply = connection.post_once("/book", to_json(body), Millis(remaining + RESPONSE_GRACE))
    match reply:
        case HttpReply(status=200, body=result):
            return Ran(result.decode("utf-8", errors="replace"))
        case _:
            return _read_failure(reply, attempt)


def _read_failure(reply: HttpReply | HttpFailure, attempt: SearcherAttempt) -> NotRun | Unknown:
    """Return why work failed.

    The result is ``NotRun`` only if the searcher states that the work did not run, or if no part
    of the request was sent.
    """
    searcher = attempt.searcher
    match reply:
        case HttpFailure(sent=False, message=message):
            return NotRun(Reason.SEARCHER_REFUSED, Step.CONNECT, searcher, message)
        case HttpFailure(message=message):
            return Unknown(Reason.SEARCHER_LOST, Step.UPSTREAM, searcher, message)
        case HttpReply(status=503 | 409 | 429, body=body):
            return _read_refusal(body, attempt)
        case HttpReply(status=status):
            return Unknown(Reason.SEARCHER_ERROR, Step.UPSTREAM, searcher, f"status {status}")


def _read_refusal(body: bytes, attempt: SearcherAttempt) -> NotRun | Unknown:
    """Return the failure that a refusal states, and record the searcher's incarnation.

    If the searcher does not state a known reason, it may have run the work.
    """
    try:
        parsed = _RefusalBody.model_validate_json(body)
    except ValidationError:
        return Unknown(
            Reason.SEARCHER_ERROR, Step.UPSTREAM, attempt.searcher, "invalid refusal body"
        )
    attempt.incarnation = parsed.incarnation
    reason = NOT_RUN_REASONS.get(parsed.reason)
    if reason is None:
        return Unknown(Reason.SEARCHER_ERROR, Step.UPSTREAM, attempt.searcher, parsed.reason)
    return NotRun(reason, Step.UPSTREAM, attempt.searcher, parsed.reason)
