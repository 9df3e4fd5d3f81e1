"""Requests, the calls that send them to searchers, and the outcomes of the calls.

The protocols describe what a request needs of the gateway: a queue of outcomes and a client that
sends calls over the gateway's connections to searchers.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from ..._failures import NotRun, Reason
from ..._ids import (
    ConnectionNumber,
    FailureDomainId,
    Millis,
    RequestId,
    SearcherId,
    ServiceId,
)
from ...version.gateway import Route
from ._admission import Decision, Refuse
from ._hedging import Urgency

Header = tuple[bytes, bytes]


@dataclass(frozen=True, slots=True)
class Part:
    """Some shards of a query, which another gateway gathers.

    ``positions`` are those of the shards among all shards of ``route``, in ascending order. It is
    the route of the query, by which the other gateway serves the part whatever configuration it has
    itself. ``least`` is the number of answers with which the part is
    answered in time; with fewer, it is waited for. ``domain`` is the failure domain whose gatherers
    are preferred.
    """

    positions: tuple[int, ...]
    least: int
    route: Route
    domain: FailureDomainId = FailureDomainId("")


@dataclass(frozen=True, slots=True)
class Request:
    """A request as a gateway received it, from a caller or from another gateway.

    ``id`` is the caller's id of the request; if the caller sends it again, it uses another id.
    ``target`` is the path with its query string, as received. ``host`` is the host name in the
    ``Host`` header, without the port, and ``headers`` holds the headers to forward.
    ``caller_timeout`` is how long the caller waits for its answer, counted from ``arrived_at``, in
    milliseconds. ``is_first_on_connection`` says whether this is the first request on its
    connection. ``network_time`` is the estimated time that the request and its answer spend on the
    network between caller and gateway; the route's objective includes it. ``part`` is set if one
    gateway forwards the request to another, which gathers some of the shards.
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
    part: Part | None = None

    @property
    def path(self) -> str:
        """The path without the query string."""
        return self.target.partition(b"?")[0].decode("latin-1")

    def deadline(self, route: Route) -> Millis:
        """Return the time at which the request times out on ``route``.

        The caller timeout applies if it is shorter than the route's timeout.
        """
        caller_timeout = route.timeout if self.caller_timeout is None else self.caller_timeout
        return Millis(self.arrived_at + min(caller_timeout, route.timeout))


class BodyFraming(Enum):
    """How the end of an answer's body was marked.

    The body had a ``Content-Length``, came in chunks, or ended when the connection was closed.
    """

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"


@dataclass(frozen=True, slots=True)
class ReceiveInfo:
    """How an answer was received.

    ``skipped`` counts the answers that were skipped on the same connection since its previous
    accepted answer. They had no request id or another one, or more than one id or stamp.
    """

    connection: ConnectionNumber = ConnectionNumber(0)
    framing: BodyFraming = BodyFraming.LENGTH
    skipped: int = 0

    @property
    def is_regular(self) -> bool:
        """Return whether the answer stated where it ends and no others were skipped before it."""
        return self.framing is not BodyFraming.CLOSE and not self.skipped

    def __str__(self) -> str:
        return (
            f"connection {self.connection}, ended by {self.framing.value}, {self.skipped} skipped"
        )


REGULAR_RECEIVE_INFO = ReceiveInfo()


@dataclass(frozen=True, slots=True)
class Answered:
    """A complete answer of a searcher, which may report an error of the searcher.

    ``stamp`` authenticates the answer; it is empty if the searcher sent none. ``latency`` includes
    the time to open the connection if it was opened for this request. ``is_leaving`` says whether
    the searcher said that it leaves.
    """

    searcher: SearcherId
    status: int
    headers: tuple[Header, ...]
    body: bytes
    stamp: str
    latency: Millis
    receive_info: ReceiveInfo = REGULAR_RECEIVE_INFO
    is_leaving: bool = False

    @property
    def is_success(self) -> bool:
        """Return whether the answer has a 2xx status and a stamp, as a success must have."""
        return 200 <= self.status < 300 and bool(self.stamp)


@dataclass(frozen=True, slots=True)
class Declined:
    """The searcher reported that it did not run the request.

    If it is a gatherer whose searchers have no room for the request, ``retry_after`` is the time in
    milliseconds after which they may have.
    """

    searcher: SearcherId
    reason: Reason
    retry_after: Millis | None = None


@dataclass(frozen=True, slots=True)
class Lost:
    """No valid answer was received; the request may have run unless ``sent`` is ``False``.

    ``lacked_memory`` is set if this gateway had no memory for the answer.
    """

    searcher: SearcherId
    sent: bool
    detail: str
    lacked_memory: bool = False


Outcome = Answered | Declined | Lost


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller closed its connection."""


@dataclass(frozen=True, slots=True)
class GatewayStopping:
    """The gateway is about to end; the request has to be answered without further waiting."""


class Repeat(Enum):
    """Why a request is sent to a service again.

    A hedge is sent while an earlier attempt is slow, a retry after an attempt failed.
    """

    HEDGE = "hedge"
    RETRY = "retry"


@dataclass(slots=True)
class Call:
    """One attempt: a request that is sent to one searcher.

    The task of the searcher's connection sets ``outcome``. ``deadline`` is a point on the
    gateway's clock. ``started`` is set before the first byte is sent, ``cancelled`` when the
    outcome is no longer needed, and ``overdue`` when the call had no outcome when a hedge was due.
    The upstream client sets ``sent_at``, and ``likely_late`` if the answer may well be late and a
    hedge may be sent at once.
    """

    request: Request
    route: Route
    service: ServiceId
    deadline: Millis
    inbox: "Inbox"
    repeat: Repeat | None = None
    started: bool = False
    cancelled: bool = False
    overdue: bool = False
    sent_at: Millis = Millis(0.0)
    likely_late: bool = False
    outcome: Outcome | None = field(default=None)


@dataclass(frozen=True, slots=True)
class RoomGranted:
    """Room came free for ``call``, which waited for it; it is kept until the call is sent."""

    call: Call


class Sending(Protocol):
    """A request of which the connection to a searcher has not accepted all bytes yet."""

    def advance(self) -> bool:
        """Send what the connection accepts now; return whether it has to be called again."""
        ...

    def fileno(self) -> int:
        """Return the descriptor of the connection, or -1 if it is closed."""
        ...

    def abort(self) -> None:
        """End the connection, so that the searcher does not get the rest."""
        ...


Event = Call | RoomGranted | CallerDisconnected | GatewayStopping
"""What the wait of a request ends with."""


class Inbox(Protocol):
    """Queue on which the task of one request waits for outcomes of its calls, and for room.

    The wait also ends if the caller closes its connection, or when the gateway is about to end.
    """

    def put(self, call: Call) -> None:
        """Add a call that has an outcome; any task may call this."""
        ...

    def grant(self, granted: RoomGranted) -> None:
        """Wake the waiting task, because there is room for a call; any task may call this."""
        ...

    def finish_sending(self, call: Call, sending: Sending) -> None:
        """Send the rest of the request of ``call`` in the waiting task; any task may call this.

        What is not sent when the request has been answered, or is given up, never will be.
        """
        ...

    def set_batch_size(self, number: int) -> None:
        """Wake the waiting task only once ``number`` calls, or one without success, have finished.

        A wait that begins when a call has already finished returns at once.
        """
        ...

    def wait(self, deadline: Millis) -> Event | None:
        """Return the next finished call or granted room, or ``None`` at ``deadline``."""
        ...


class InFlightCall(Protocol):
    """A call that was passed to the connection of ``searcher`` and has no outcome yet."""

    call: Call
    searcher: SearcherId

    def cancel(self) -> None:
        """Cancel the call: close its connection if it was started, or else do not send it."""
        ...

    def withdraw(self) -> bool:
        """Cancel the call unless sending it has begun; return whether it was cancelled."""
        ...


class UpstreamClient(Protocol):
    """Client that sends calls to the searchers of services and limits the repeats."""

    def now(self) -> Millis:
        """Return the time on the gateway's clock."""
        ...

    def send(self, call: Call, tried: set[SearcherId]) -> InFlightCall | NotRun:
        """Send ``call`` to a searcher of its service that is not in ``tried``.

        Return ``NotRun`` if no searcher can accept it, with the reason ``OVERLOAD`` if one will
        once it has room.
        """
        ...

    def admit(self, call: Call) -> Decision:
        """Decide about a call for which :meth:`send` found no searcher with room.

        If the result is ``Wait``, the inbox of the call gets a ``RoomGranted`` when it may be sent.
        A call that waits is asked about again at the time that ``Wait`` states, until it is sent or
        :meth:`leave` is called.
        """
        ...

    def leave(self, call: Call) -> None:
        """Stop waiting for room for ``call``, which is not sent."""
        ...

    def admit_query(
        self, request: Request, route: Route, services: Sequence[ServiceId], needed: int
    ) -> Refuse | None:
        """Refuse a query if fewer than ``needed`` of ``services`` can serve it in time."""
        ...

    def is_full(self, service: ServiceId) -> bool:
        """Return whether no searcher of ``service`` has room that nobody waits for.

        It is never full if the configuration has one rank.
        """
        ...

    def busy_retry_after(self, route: Route, service: ServiceId, deadline: Millis) -> Millis | None:
        """Return when searchers that declined a request have room again, if that is known.

        The result is in milliseconds and varies; it is at most a third of the time left.
        """
        ...

    def has_searcher(self, service: ServiceId, tried: set[SearcherId]) -> bool:
        """Return whether a searcher of ``service`` that is not in ``tried`` could accept a call."""
        ...

    def unservable(self, services: Sequence[ServiceId]) -> list[ServiceId]:
        """Return those of ``services`` that have no searcher to send to.

        All of their searchers leave or want a pause, or there is none.
        """
        ...

    def retry_after(self, service: ServiceId) -> Millis | None:
        """Return when a searcher of ``service`` may accept a request again, in milliseconds.

        The result is ``None`` unless all of them leave or want a pause, or there is none. It
        varies, so that refused callers do not return together.
        """
        ...

    def searcher_count(self, service: ServiceId) -> int:
        """Return the number of known searchers of ``service``."""
        ...

    def record_overdue(self, call: InFlightCall) -> None:
        """Record that a searcher has not answered when a hedge was due."""
        ...

    def hedge_delay(self, route: Route) -> Millis:
        """Return how long after its arrival a request on ``route`` is hedged."""
        ...

    def second_answer_time(self, route: Route) -> Millis | None:
        """Return the time that a hedge on ``route`` needs for its answer, if it is known."""
        ...

    def allow_hedge(self, service: ServiceId, urgency: Urgency) -> bool:
        """Return whether a hedge may be sent, and if so, spend a repeat of the service's budget.

        The ``urgency`` determines the part of the budget that the hedge may use.
        """
        ...

    def allow_retry(self, service: ServiceId, *, possibly_ran: bool = True) -> bool:
        """Return whether a retry may be sent, and if so, spend a repeat of the service's budget.

        ``possibly_ran`` says whether an earlier attempt may have run.
        """
        ...
