"""The tickets that this incarnation minted, and what became of each."""

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
"""How long after its minting a ticket may be used; its outcome is kept as long again."""

MAX_TICKETS = 50_000
MAX_REMOVED_AT_ONCE = 16
MAX_REQUESTS_PER_TICKET = 64
"""The requests for one ticket that may begin or join an attempt."""

SEPARATOR = "~"


class TicketState(Enum):
    """What may be done with a ticket."""

    MINTED = "minted"
    RUNNING = "running"
    SETTLED = "settled"


@dataclass(slots=True)
class _Record:
    """One ticket; ``requests`` holds what each request was or will be told."""

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
    """What a ticket's text says."""

    host: HostId
    incarnation: Incarnation


def parse_ticket(ticket: TicketId) -> TicketParts | None:
    """Return the minter that ``ticket`` names, ``None`` where it is no ticket."""
    parts = ticket.split(SEPARATOR)
    if len(parts) != 4 or not parts[1].isdecimal() or len(parts[1]) > 19:
        return None
    return TicketParts(HostId(parts[0]), Incarnation(int(parts[1])))


class TicketTable:
    """Mints tickets and lets each booking run at most once."""

    def __init__(self, host: HostId, incarnation: Incarnation, clock: Clock) -> None:
        self.host = host
        self.incarnation = incarnation
        self.clock = clock
        self.lock = Lock()
        self.sequence = 0
        self.records: dict[TicketId, _Record] = {}
        self.unresolved: dict[QueryId, TicketId] = {}

    def mint(self) -> TicketId | NotRun:
        """Return a new ticket, or why none can be had."""
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
        """Start an attempt, join the one that runs or ran, or say why neither can be."""
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
            if len(record.requests) >= MAX_REQUESTS_PER_TICKET:
                return NotRun(Reason.OVERLOAD, Step.TICKET, peer=self.host)
            if record.state is TicketState.RUNNING:
                record.requests[booking.id] = record.outcome
                return record.outcome
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
        """Record ``outcome``; after "not run" the same ticket may be submitted again."""
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
        """Record the owner's late outcome of an attempt that nobody waits for any more.

        A retry then gets the true outcome in place of "unknown", or may run where it did not.
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
        """Make ``outcome`` final for the latest attempt, unless it is known already."""
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
        """Drop the oldest records once their outcome is no longer kept."""
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
