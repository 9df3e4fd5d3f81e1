"""Handles the requests that this host receives from callers and operators.

Callers search and book; operators ask for the host's status and its latest events.
"""

import random
from typing import Any

from .._clock import Clock
from .._failures import NotRun, Reason, Step, Unknown
from .._ids import HostId, Millis, QueryId, TicketId
from .._ranks import Rank
from ..connection import BookingRequest, SearchRequest
from ..request import (
    Answer,
    Booking,
    BookingOutcome,
    Forward,
    Query,
    Ran,
    run_booking,
    run_search,
)
from ._concurrency import ConcurrencyLimit
from ._host_runtime import HostRuntime
from ._metrics import Metrics
from ._policy import AdmitAll, AdmitByCapacity
from ._status import status_fields
from ._tickets import TicketTable, parse_ticket
from ._timeline import Timeline
from ._timeline_merge import event_fields
from ._watch_role import WatchRole


class CallerService:
    """Runs the requests of callers and operators; counts the results of searches and bookings.

    A booking changes data at a searcher. Its ticket makes sure that it runs at most once.
    """

    def __init__(
        self,
        host: HostId,
        runtime: HostRuntime,
        tickets: TicketTable,
        timeline: Timeline,
        clock: Clock,
        role: WatchRole,
        metrics: Metrics,
    ) -> None:
        self.host = host
        self.runtime = runtime
        self.tickets = tickets
        self.timeline = timeline
        self.clock = clock
        self.role = role
        self.metrics = metrics
        self.random = random.Random()
        self.concurrency = ConcurrencyLimit(clock)

    def search(self, request: SearchRequest) -> Answer | NotRun:
        """Run a search and return its answer, or why it was not run."""
        started = self.clock.now()
        query = Query(
            self._new_id(),
            request.rank,
            Millis(started + request.remaining),
            self.random.random(),
            request.services,
            request.text,
            request.limit,
        )
        result = self._run_search(query)
        self._count_search(request.rank, result, Millis(self.clock.now() - started))
        return result

    def mint_ticket(self) -> TicketId | NotRun:
        """Return a new ticket for one booking, or why none is minted."""
        if self.runtime.owner.stopping:
            return NotRun(Reason.SHUTTING_DOWN, Step.TICKET, peer=self.host)
        return self.tickets.mint()

    def book(self, request: BookingRequest) -> BookingOutcome:
        """Run a booking, at most once for its ticket, and return its outcome."""
        parts = parse_ticket(request.ticket)
        if parts is None:
            return NotRun(Reason.BAD_REQUEST, Step.TICKET, detail="malformed ticket")
        booking = Booking(
            self._new_id(),
            request.ticket,
            parts.host,
            parts.incarnation,
            request.service,
            request.rank,
            Millis(self.clock.now() + request.remaining),
            request.payload,
        )
        outcome = run_booking(booking, self.tickets, self.runtime)
        self._count_booking(request.rank, outcome)
        return outcome

    def run_forwarded(self, forward: Forward) -> BookingOutcome:
        """Run a booking that another host forwarded, since this host minted its ticket.

        If the ticket is from an earlier run of this host, the outcome is unknown, as its records
        are lost.
        """
        if forward.incarnation != self.runtime.incarnation:
            return Unknown(Reason.MINTER_LOST, Step.TICKET, peer=self.host)
        booking = Booking(
            forward.query,
            forward.ticket,
            self.host,
            forward.incarnation,
            forward.service,
            forward.rank,
            Millis(self.clock.now() + forward.remaining),
            forward.payload,
        )
        return run_booking(booking, self.tickets, self.runtime)

    def status(self) -> dict[str, Any]:
        """Return the fields that ``masticgate status`` shows."""
        return status_fields(self.runtime, self.role, self.metrics)

    def events(self) -> list[dict[str, Any]]:
        """Return the latest changes of state of this host, oldest first."""
        return [event_fields(event) for event in self.timeline.list_events()]

    def _run_search(self, query: Query) -> Answer | NotRun:
        match self.runtime.policy.admission:
            case AdmitAll():
                return run_search(query, self.runtime)
            case AdmitByCapacity():
                return self._run_with_limit(query)

    def _run_with_limit(self, query: Query) -> Answer | NotRun:
        if not self.concurrency.acquire(query.rank):
            return NotRun(Reason.OVERLOAD, Step.ADMISSION, peer=self.host)
        result: Answer | NotRun | None = None
        try:
            result = run_search(query, self.runtime)
            return result
        finally:
            if result is not None and is_refused(result):
                self.concurrency.release_refused(query.rank)
            else:
                self.concurrency.release(query.rank, late=result is None or is_late(result))

    def _count_search(self, rank: Rank, result: Answer | NotRun, duration: Millis) -> None:
        match result:
            case NotRun(reason=reason):
                self.metrics.count(f"search.{rank.label}.not_run.{reason.value}")
            case Answer(whole=True):
                self.metrics.count(f"search.{rank.label}.whole")
                self.metrics.time(f"search.{rank.label}.ms", duration)
            case Answer():
                self.metrics.count(f"search.{rank.label}.partial")
                self.metrics.time(f"search.{rank.label}.ms", duration)

    def _count_booking(self, rank: Rank, outcome: BookingOutcome) -> None:
        match outcome:
            case Ran():
                self.metrics.count(f"booking.{rank.label}.ran")
            case NotRun(reason=reason):
                self.metrics.count(f"booking.{rank.label}.not_run.{reason.value}")
            case Unknown(reason=reason):
                self.metrics.count(f"booking.{rank.label}.unknown.{reason.value}")

    def _new_id(self) -> QueryId:
        return QueryId(f"{self.host}-{self.random.getrandbits(64):016x}")


def is_late(result: Answer | NotRun) -> bool:
    """Return whether a search ended at its deadline, with no answer or an incomplete one."""
    match result:
        case NotRun(reason=reason):
            return reason is Reason.DEADLINE
        case Answer(missing=missing):
            return any(item.failure.reason is Reason.DEADLINE for item in missing)


def is_refused(result: Answer | NotRun) -> bool:
    """Return whether a search was refused before it was sent to any service.

    A search whose deadline had passed by then counts as late, not as refused.
    """
    return isinstance(result, NotRun) and result.reason is not Reason.DEADLINE
