"""The tickets that this host minted (created) since it started, and the outcome of each.

A ticket identifies one booking. A caller gets it before the booking and sends it with each
request for it, so that the booking runs at most once.
"""

import secrets
from concurrent.futures import Future
from dataclasses import dataclass, field
from enum import Enum
from itertools import islice
from threading import Lock

from .._clock import Clock
from .._failures import NotRun, Reason, Step, Unknown
from .._ids import HostId, Incarnation, Millis, QueryId, TicketId
from ..request import Attempt, Booking, BookingOutcome, Ran

TICKET_LIFETIME = Millis(120_000.0)
"""How long after it is minted a ticket may start an attempt.

The outcome is kept at least twice as long.
"""

MAX_TICKETS = 50_000
"""The maximum number of tickets that are kept; more are refused as overload."""

MAX_REMOVED_AT_ONCE = 16
"""The maximum number of expired tickets that are removed when one is minted."""

MAX_REQUESTS_PER_TICKET = 64
"""The maximum number of requests for one ticket that may start an attempt or join a running one."""

SEPARATOR = "~"
"""Separates the parts of a ticket: host, incarnation, sequence number and a random part."""


class TicketState(Enum):
    """Whether an attempt may be started with a ticket."""

    MINTED = "minted"
    """No attempt was started, or the last one did not run; the next request starts one."""

    RUNNING = "running"
    """An attempt is running; further requests wait for its outcome."""

    SETTLED = "settled"
    """An attempt ran or may have run; further requests get its outcome."""


@dataclass(slots=True)
class _Record:
    """The state of one ticket.

    ``outcome`` is the outcome of the latest attempt, or of the next one if that did not run or
    none was started. ``content`` is the service and the payload of the booking, and ``query`` the
    request that started the latest attempt. ``late_outcome`` is an outcome that the owner sent
    after that request stopped waiting, but before the request recorded its own. ``requests`` maps
    each request that started or joined an attempt to its outcome.
    """

    expires_at: Millis
    state: TicketState = TicketState.MINTED
    attempt: int = 0
    outcome: "Future[BookingOutcome]" = field(default_factory=Future)
    content: tuple[str, str] | None = None
    query: QueryId = QueryId("")
    late_outcome: BookingOutcome | None = None
    requests: "dict[QueryId, Future[BookingOutcome]]" = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class TicketParts:
    """The host that minted a ticket, and its incarnation, which identifies one run of the host."""

    host: HostId
    incarnation: Incarnation


def parse_ticket(ticket: TicketId) -> TicketParts | None:
    """Return the minter that ``ticket`` names, ``None`` if it isn't a well-formed ticket."""
    parts = ticket.split(SEPARATOR)
    if len(parts) != 4 or not parts[1].isdecimal() or len(parts[1]) > 19:
        return None
    return TicketParts(HostId(parts[0]), Incarnation(int(parts[1])))


class TicketTable:
    """Mints tickets and lets each booking run at most once.

    ``unresolved`` maps each request that started an attempt to its ticket, until the outcome of
    the attempt is certain.
    """

    def __init__(self, host: HostId, incarnation: Incarnation, clock: Clock) -> None:
        self.host = host
        self.incarnation = incarnation
        self.clock = clock
        self.lock = Lock()
        self.sequence = 0
        self.records: dict[TicketId, _Record] = {}
        self.unresolved: dict[QueryId, TicketId] = {}

    def mint(self) -> TicketId | NotRun:
        """Return a new ticket, or why none is minted."""
        with self.lock:
            self._remove_expired()
            if len(self.records) >= MAX_TICKETS:
                return NotRun(Reason.OVERLOAD, Step.TICKET, peer=self.host)
            self.sequence += 1
            parts = (self.host, str(self.incarnation), str(self.sequence), secrets.token_hex(8))
            ticket = TicketId(SEPARATOR.join(parts))
            expires_at = Millis(self.clock.now() + TICKET_LIFETIME)
            self.records[ticket] = _Record(expires_at)
            return ticket

    def begin(self, booking: Booking) -> "Attempt | Future[BookingOutcome] | NotRun | Unknown":
        """Start or join the attempt of a booking, or return why neither is possible.

        Return the new attempt, or the future outcome of one that is running or may have run. A
        request that is repeated gets the outcome of its first copy.
        """
        with self.lock:
            record = self.records.get(booking.ticket)
            if record is None:
                return Unknown(Reason.TICKET_UNKNOWN, Step.TICKET, peer=self.host)
            content = (booking.service, booking.payload)
            if record.content not in (None, content):
                detail = "the ticket belongs to another booking"
                return NotRun(Reason.TICKET_IN_USE, Step.TICKET, self.host, detail)
            earlier = record.requests.get(booking.id)
            if earlier is not None:
                return earlier
            if record.state is TicketState.SETTLED:
                return record.outcome
            has_room = len(record.requests) < MAX_REQUESTS_PER_TICKET
            if record.state is TicketState.RUNNING:
                if has_room:
                    record.requests[booking.id] = record.outcome
                return record.outcome
            if not has_room:
                return NotRun(Reason.OVERLOAD, Step.TICKET, peer=self.host)
            if self.clock.now() >= record.expires_at:
                return NotRun(Reason.TICKET_EXPIRED, Step.TICKET, peer=self.host)
            record.content = content
            record.state = TicketState.RUNNING
            record.attempt += 1
            record.query = booking.id
            record.requests[booking.id] = record.outcome
            self.unresolved[booking.id] = booking.ticket
            return Attempt(booking.ticket, record.attempt)

    def record_outcome(self, attempt: Attempt, outcome: BookingOutcome) -> None:
        """Record the outcome of an attempt; after "not run" the ticket may be used again."""
        with self.lock:
            record = self.records.get(attempt.ticket)
            if record is None or record.attempt != attempt.number:
                return
            if record.state is not TicketState.RUNNING:
                return
            waiting = record.outcome
            record.state = TicketState.SETTLED
            self._resolve(record, outcome)
            if record.late_outcome is not None:
                self._resolve(record, record.late_outcome)
        waiting.set_result(outcome)

    def record_late_outcome(self, query: QueryId, outcome: BookingOutcome) -> None:
        """Record an outcome that the owner sent after its request stopped waiting for it.

        A later request for the ticket then gets this outcome instead of "unknown", or starts
        another attempt if this one did not run.
        """
        with self.lock:
            ticket = self.unresolved.get(query)
            record = self.records.get(ticket) if ticket is not None else None
            if record is None:
                return
            if record.state is TicketState.RUNNING:
                record.late_outcome = outcome
            else:
                self._resolve(record, outcome)

    def _resolve(self, record: _Record, outcome: BookingOutcome) -> None:
        """Apply ``outcome`` to the latest attempt, unless its outcome is already certain."""
        if record.query not in self.unresolved:
            return
        match outcome:
            case NotRun():
                record.state = TicketState.MINTED
                record.outcome = Future()
            case Ran():
                record.outcome = _completed_future(outcome)
            case Unknown():
                record.outcome = _completed_future(outcome)
                return
        record.late_outcome = None
        del self.unresolved[record.query]

    def _remove_expired(self) -> None:
        """Remove the oldest records whose outcome need not be kept any longer."""
        limit = self.clock.now() - TICKET_LIFETIME
        for ticket, record in list(islice(self.records.items(), MAX_REMOVED_AT_ONCE)):
            if record.expires_at > limit:
                return
            if record.state is not TicketState.RUNNING:
                self.unresolved.pop(record.query, None)
                del self.records[ticket]


def _completed_future(outcome: BookingOutcome) -> "Future[BookingOutcome]":
    future: Future[BookingOutcome] = Future()
    future.set_result(outcome)
    return future
