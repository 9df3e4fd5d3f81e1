"""What a request sends to searchers, and what comes back."""

from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from ..._failures import NotRun, Reason
from ..._ids import (
    ConfigurationVersion,
    ConnectionNumber,
    Millis,
    RequestId,
    SearcherId,
    ServiceId,
)
from ...version.gateway import Route

Header = tuple[bytes, bytes]


@dataclass(frozen=True, slots=True)
class Request:
    """One attempt of a caller at a request.

    ``target`` is the path with its query string, as received; ``headers`` are those to forward.
    ``caller_timeout`` is how long the caller waits for its answer, counted from ``arrived_at``, in
    milliseconds. ``is_first_on_connection`` is whether the caller opened its connection for this
    request. ``network_time`` is the estimated part of the route's objective that passes on the
    network between caller and gateway, both directions together. A request from another gateway
    names the ``version`` of the configuration to serve it by.
    """

    id: RequestId
    method: bytes
    target: bytes
    host: str
    headers: tuple[Header, ...]
    body: bytes
    caller_timeout: Millis | None
    arrived_at: Millis
    is_first_on_connection: bool = False
    network_time: Millis = Millis(0.0)
    version: ConfigurationVersion | None = None

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    def deadline(self, route: Route) -> Millis:
        """Return when to give up: the caller's patience and the route's timeout bound it."""
        caller_timeout = route.timeout if self.caller_timeout is None else self.caller_timeout
        return Millis(self.arrived_at + min(caller_timeout, route.timeout))


class BodyFraming(Enum):
    """What told that an answer was whole."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"


@dataclass(frozen=True, slots=True)
class ReceiveInfo:
    """How an answer was received.

    ``skipped`` counts the answers to other requests that came on its connection since the last.
    """

    connection: ConnectionNumber = ConnectionNumber(0)
    framing: BodyFraming = BodyFraming.LENGTH
    skipped: int = 0

    @property
    def is_regular(self) -> bool:
        """Tell whether the answer said where it ends, and came alone."""
        return self.framing is not BodyFraming.CLOSE and not self.skipped

    def __str__(self) -> str:
        return (
            f"connection {self.connection}, ended by {self.framing.value}, {self.skipped} skipped"
        )


REGULAR_RECEIVE_INFO = ReceiveInfo()


@dataclass(frozen=True, slots=True)
class Answered:
    """A searcher's whole answer, a failure of its own included.

    ``stamp`` authenticates the answer; it is empty where the searcher sent none.
    """

    searcher: SearcherId
    status: int
    headers: tuple[Header, ...]
    body: bytes
    stamp: str
    latency: Millis
    receive_info: ReceiveInfo = REGULAR_RECEIVE_INFO

    @property
    def is_success(self) -> bool:
        """Tell whether a caller may take it as a success."""
        return 200 <= self.status < 300 and bool(self.stamp)


@dataclass(frozen=True, slots=True)
class Declined:
    """The searcher said that it did not run the request."""

    searcher: SearcherId
    reason: Reason


@dataclass(frozen=True, slots=True)
class Lost:
    """No answer came; the request may have run unless ``sent`` is ``False``."""

    searcher: SearcherId
    sent: bool
    detail: str


Outcome = Answered | Declined | Lost


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller closed its connection."""


class Repeat(Enum):
    """Why a send is repeated."""

    HEDGE = "hedge"
    RETRY = "retry"


@dataclass(slots=True)
class Call:
    """One send of a request to one searcher; the connection's task fills in the outcome.

    ``deadline`` is on the gateway's clock. ``started`` turns ``True`` before the first byte is
    sent, and ``cancelled`` when nobody waits for the outcome any more.
    """

    request: Request
    route: Route
    service: ServiceId
    deadline: Millis
    inbox: "Inbox"
    repeat: Repeat | None = None
    started: bool = False
    cancelled: bool = False
    outcome: Outcome | None = field(default=None)


class Inbox(Protocol):
    """Where the task of one request waits for outcomes and for its caller to leave."""

    def put(self, call: Call) -> None:
        """Hand over a call whose outcome is known; any task may call this."""
        ...

    def set_batch_size(self, number: int) -> None:
        """Let a wait go on until so many calls finished, or one of them without success."""
        ...

    def wait(self, deadline: Millis) -> Call | CallerDisconnected | None:
        """Return the next finished call, or ``None`` at ``until``."""
        ...


class InFlightCall(Protocol):
    """A call on its way."""

    call: Call
    searcher: SearcherId

    def cancel(self) -> None:
        """Cut the connection, so that the searcher drops the request."""
        ...


class UpstreamClient(Protocol):
    """Sends calls to the searchers of services."""

    def now(self) -> Millis:
        """Return the gateway's clock."""
        ...

    def send(self, call: Call, tried: set[SearcherId]) -> InFlightCall | NotRun:
        """Send ``call`` to a searcher of its service that is not in ``tried``."""
        ...

    def hedge_delay(self, route: Route) -> Millis:
        """Return the age at which a send on ``route`` is repeated elsewhere."""
        ...

    def allow_hedge(self, service: ServiceId) -> bool:
        """Take one repeat of ``service`` from the budget, leaving the reserve of retries."""
        ...

    def allow_retry(self, service: ServiceId) -> bool:
        """Take one repeat of ``service`` from the budget after a send that failed."""
        ...
