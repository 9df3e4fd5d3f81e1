"""The HTTP interface for callers and operators, as one werkzeug application.

It checks the input, passes it to a handler and encodes the outcome as JSON.

A caller may run a search in several services. The answer states its coverage, which is the share of
the searched data that it includes. A caller may also submit a booking, which runs at most once for
its ticket. The rank of a request, urgent, standard or bulk, decides which requests run first.
"""

import json
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Protocol, TypeVar

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from werkzeug.exceptions import HTTPException, RequestEntityTooLarge
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from .._failures import Failure, NotRun, Reason, Step, describe_failure
from .._ids import Millis, ServiceId, TicketId
from .._ranks import Rank
from ..request import Answer, BookingOutcome, Ran

MAX_REMAINING_MS = Millis(60_000.0)
"""The maximum of ``remaining_ms``, the time that a caller waits for its answer."""

RETRY_AFTER_SECONDS = 1
"""The value of the ``Retry-After`` header in responses after which a caller may try again."""

MAX_SERVICES = 1000
"""The maximum number of services that one search may name."""

MAX_TEXT_CHARACTERS = 4000
MAX_HITS = 1000
"""The maximum number of hits that one search may ask for."""


class _Body(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True)


BodyT = TypeVar("BodyT", bound=_Body)


class SearchBody(_Body):
    """The JSON body of a search."""

    services: list[str] = Field(min_length=1, max_length=MAX_SERVICES)
    text: str = Field(max_length=MAX_TEXT_CHARACTERS)
    rank: str = "standard"
    remaining_ms: float = Field(gt=0, le=MAX_REMAINING_MS, allow_inf_nan=False)
    minimum_coverage: float = Field(default=0.0, ge=0, le=1)
    limit: int = Field(default=10, ge=1, le=MAX_HITS)


class BookingBody(_Body):
    """The JSON body of a booking."""

    ticket: str = Field(min_length=1, max_length=200)
    service: str
    payload: dict[str, Any]
    rank: str = "standard"
    remaining_ms: float = Field(gt=0, le=MAX_REMAINING_MS, allow_inf_nan=False)


@dataclass(frozen=True, slots=True)
class SearchRequest:
    """A search whose input was checked.

    ``remaining`` is how long the caller waits for the answer; the handler turns it into a deadline
    on its own clock. ``limit`` is the number of hits to return.
    """

    services: tuple[ServiceId, ...]
    text: str
    rank: Rank
    remaining: Millis
    limit: int


@dataclass(frozen=True, slots=True)
class BookingRequest:
    """A booking whose input was checked.

    ``remaining`` is how long the caller waits for the outcome. ``payload`` is JSON.
    """

    ticket: TicketId
    service: ServiceId
    payload: str
    rank: Rank
    remaining: Millis


class CallerHandler(Protocol):
    """Serves the checked requests of callers and operators."""

    def search(self, request: SearchRequest) -> Answer | NotRun:
        """Return the answer to a search, or why it did not run."""
        ...

    def mint_ticket(self) -> TicketId | NotRun:
        """Return a new ticket, which allows one booking, or why there is none."""
        ...

    def book(self, request: BookingRequest) -> BookingOutcome:
        """Run a booking, at most once for its ticket, and return its outcome."""
        ...

    def status(self) -> dict[str, Any]:
        """Return the values that the command ``masticgate status`` shows."""
        ...

    def events(self) -> list[dict[str, Any]]:
        """Return the events of this host's timeline."""
        ...


STATUS_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.TOO_LARGE: 413,
    Reason.OVERLOAD: 429,
    Reason.DEADLINE: 504,
    Reason.TICKET_EXPIRED: 409,
    Reason.TICKET_IN_USE: 409,
    Reason.DEPARTMENT_LEFT: 410,
}
UNKNOWN_STATUS = 504
"""The status of a response to work that may or may not have run."""

DEFAULT_NOT_RUN_STATUS = 503
"""The status for work that did not run, for a reason that has no status of its own above."""

STATUSES_TO_RETRY = frozenset({429, 503})
"""The statuses with which the caller may send the request again later."""

URLS = Map(
    [
        Rule("/v1/search", endpoint="search", methods=["POST"]),
        Rule("/v1/tickets", endpoint="mint", methods=["POST"]),
        Rule("/v1/bookings", endpoint="book", methods=["POST"]),
        Rule("/v1/status", endpoint="status", methods=["GET"]),
        Rule("/v1/events", endpoint="events", methods=["GET"]),
    ]
)


class CallerApp:
    """Converts HTTP requests to checked requests, and their outcomes to HTTP responses.

    ``max_body_bytes`` bounds the body of a request.
    """

    def __init__(self, handler: CallerHandler, max_body_bytes: int) -> None:
        self.handler = handler
        self.max_body_bytes = max_body_bytes

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        request = Request(environ)
        request.max_content_length = self.max_body_bytes
        response = self.respond(request)
        return response(environ, start_response)

    def respond(self, request: Request) -> Response:
        """Return the response to ``request``, with a 4xx status if its input is invalid."""
        try:
            endpoint, _ = URLS.bind_to_environ(request.environ).match()
            return self._dispatch(endpoint, request)
        except RequestEntityTooLarge:
            return failure_response(NotRun(Reason.TOO_LARGE, Step.READ, detail="the request body"))
        except HTTPException as error:
            return _json_response(
                error.code or 500,
                {"outcome": "not_run", "reason": "bad_request", "detail": error.name},
            )

    def _dispatch(self, endpoint: str, request: Request) -> Response:
        match endpoint:
            case "search":
                return self._search(request)
            case "mint":
                return self._mint_ticket()
            case "book":
                return self._book(request)
            case "status":
                return _json_response(200, self.handler.status())
            case _:
                return _json_response(200, {"events": self.handler.events()})

    def _search(self, request: Request) -> Response:
        body = _read_body(request, SearchBody)
        if isinstance(body, NotRun):
            return failure_response(body)
        rank = _read_rank(body.rank)
        if isinstance(rank, NotRun):
            return failure_response(rank)
        services = tuple(map(ServiceId, body.services))
        remaining = Millis(body.remaining_ms)
        result = self.handler.search(
            SearchRequest(services, body.text, rank, remaining, body.limit)
        )
        match result:
            case NotRun():
                return failure_response(result)
            case Answer():
                return _answer_response(result, body.minimum_coverage)

    def _mint_ticket(self) -> Response:
        ticket = self.handler.mint_ticket()
        if isinstance(ticket, NotRun):
            return failure_response(ticket)
        return _json_response(201, {"ticket": ticket})

    def _book(self, request: Request) -> Response:
        body = _read_body(request, BookingBody)
        if isinstance(body, NotRun):
            return failure_response(body)
        rank = _read_rank(body.rank)
        if isinstance(rank, NotRun):
            return failure_response(rank)
        outcome = self.handler.book(
            BookingRequest(
                TicketId(body.ticket),
                ServiceId(body.service),
                json.dumps(body.payload, sort_keys=True),
                rank,
                Millis(body.remaining_ms),
            )
        )
        match outcome:
            case Ran(result=result):
                return _json_response(
                    200, {"outcome": "ran", "result": _parse_json_or_text(result)}
                )
            case _:
                return failure_response(outcome)


def failure_response(failure: Failure) -> Response:
    """Return the response for work that did not run, or that may or may not have run."""
    if isinstance(failure, NotRun):
        status = STATUS_BY_REASON.get(failure.reason, DEFAULT_NOT_RUN_STATUS)
        outcome = "not_run"
    else:
        status, outcome = UNKNOWN_STATUS, "unknown"
    body = {"outcome": outcome, **failure_fields(failure)}
    response = _json_response(status, body)
    if status in STATUSES_TO_RETRY:
        response.headers["Retry-After"] = str(RETRY_AFTER_SECONDS)
    return response


def failure_fields(failure: Failure) -> dict[str, str]:
    """Return the fields of a failure in a JSON response."""
    return {
        "reason": failure.reason.value,
        "step": failure.step.value,
        "peer": failure.peer,
        "detail": failure.detail,
        "message": describe_failure(failure),
    }


def _answer_response(answer: Answer, minimum_coverage: float) -> Response:
    enough = answer.coverage >= minimum_coverage
    body = {
        "outcome": "ran",
        "query": answer.query,
        "rank": answer.rank.label,
        "snapshot": answer.snapshot,
        "coverage": _round_down(answer.coverage),
        "whole": answer.whole,
        "enough": enough,
        "hits": [
            {
                "id": hit.id,
                "score": hit.score,
                "shard": hit.shard,
                "document": _parse_json_or_text(hit.document),
            }
            for hit in answer.hits
        ],
        "missing": [
            {"service": item.service, "shard": item.shard, **failure_fields(item.failure)}
            for item in answer.missing
        ],
    }
    if not enough:
        body["reason"] = Reason.COVERAGE.value
    return _json_response(200 if enough else 503, body)


def _round_down(coverage: float) -> float:
    """Round down to six decimal places, so that the coverage never seems higher than it is."""
    return math.floor(coverage * 1e6) / 1e6


def _read_body(request: Request, model: type[BodyT]) -> BodyT | NotRun:
    try:
        return model.model_validate_json(request.get_data(cache=False))
    except ValidationError as error:
        first = error.errors(include_url=False)[0]
        path = ".".join(map(str, first["loc"])) or "body"
        return NotRun(Reason.BAD_REQUEST, Step.READ, detail=f"{path}: {first['msg']}")


def _read_rank(label: str) -> Rank | NotRun:
    try:
        return Rank.from_label(label)
    except KeyError:
        return NotRun(Reason.BAD_REQUEST, Step.READ, detail=f"unknown rank {label!r}")


def _parse_json_or_text(text: str) -> Any:
    try:
        return json.loads(text)
    except ValueError:
        return text


def _json_response(status: int, body: dict[str, Any]) -> Response:
    return Response(json.dumps(body), status=status, mimetype="application/json")
