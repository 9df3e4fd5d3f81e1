"""Runs a booking at most once, under the ticket that a host minted for it.

A ticket allows one attempt at a time. The host that minted it, the minter, sends each attempt to
the owner of the service, which is the host that sends requests to the service's searchers. Every
other host forwards the booking to the minter.
"""

from collections.abc import Sequence
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeout
from dataclasses import dataclass
from queue import Empty
from typing import Protocol

from .._clock import remaining_seconds
from .._failures import NotRun, Reason, Step, Unknown
from .._ids import HostId, Incarnation, Millis, QueryId, ServiceId, TicketId
from .._ranks import Rank
from ._messages import Book, BookingOutcome, BookReply, Cancel, Forward, ForwardReply
from ._runtime import Inbox, Runtime

ANSWER_RESERVE = Millis(5.0)
"""Time in milliseconds before the deadline, reserved for returning the outcome to the caller."""

CANCEL_TIMEOUT = Millis(50.0)
"""Longest wait in milliseconds for an owner to confirm that a cancelled booking did not run."""


@dataclass(frozen=True, slots=True)
class Booking:
    """A caller's booking or work order, which is not idempotent.

    ``host`` and ``incarnation`` identify the minter of ``ticket``: a host, and one run of it.
    ``deadline`` is a point on this host's monotonic clock.
    """

    id: QueryId
    ticket: TicketId
    host: HostId
    incarnation: Incarnation
    service: ServiceId
    rank: Rank
    deadline: Millis
    payload: str


class Tickets(Protocol):
    """The tickets that this run of the host minted, and the outcomes of their attempts."""

    def begin(self, booking: Booking) -> "Attempt | Future[BookingOutcome] | NotRun | Unknown":
        """Begin an attempt under the ticket of ``booking``.

        Return the future outcome of an earlier attempt if that attempt is running or may have run,
        or if ``booking`` is a duplicate of an earlier request. Return a failure if the ticket
        allows no attempt.
        """
        ...

    def record_outcome(self, attempt: "Attempt", outcome: BookingOutcome) -> None:
        """Record the outcome of ``attempt`` and pass it to every request that waits for it."""
        ...


@dataclass(frozen=True, slots=True)
class Attempt:
    """Permission to send a booking once; ``number`` counts the attempts under one ticket."""

    ticket: TicketId
    number: int


def run_booking(booking: Booking, tickets: Tickets, runtime: Runtime) -> BookingOutcome:
    """Run ``booking`` at most once under its ticket, and return its outcome.

    ``NotRun`` means that this request did not run the booking and never will. Another request under
    the ticket may have run it, or may still do so.
    """
    if not runtime.is_own_ticket(booking.ticket):
        return _forward(booking, runtime)
    begun = tickets.begin(booking)
    match begun:
        case NotRun() | Unknown():
            return begun
        case Future():
            return _join_attempt(booking, begun, runtime)
        case Attempt():
            return _run_attempt(booking, begun, tickets, runtime)


def _run_attempt(
    booking: Booking, attempt: Attempt, tickets: Tickets, runtime: Runtime
) -> BookingOutcome:
    """Run ``attempt`` and record its outcome, also when an exception ends it."""
    outcome: BookingOutcome = Unknown(Reason.INTERNAL, Step.TICKET)
    try:
        outcome = _send_once(booking, attempt, runtime)
    finally:
        tickets.record_outcome(attempt, outcome)
        runtime.discard_replies(booking.id)
    return outcome


def _join_attempt(
    booking: Booking, attempt_outcome: "Future[BookingOutcome]", runtime: Runtime
) -> BookingOutcome:
    """Wait for the outcome of an attempt that another request began under the same ticket."""
    try:
        return attempt_outcome.result(timeout=remaining_seconds(booking.deadline, runtime.clock))
    except FutureTimeout:
        return Unknown(Reason.DEADLINE, Step.TICKET)


def _forward(booking: Booking, runtime: Runtime) -> BookingOutcome:
    """Forward ``booking`` to the minter of its ticket and return the minter's outcome.

    If the minter is unreachable or does not reply, the outcome is unknown, since an earlier
    request may have run the booking there.
    """
    inbox = runtime.open_inbox()
    message = Forward(
        booking.id,
        booking.incarnation,
        booking.ticket,
        booking.service,
        booking.rank,
        _remaining(booking, runtime),
        booking.payload,
    )
    minter_lost = Unknown(Reason.MINTER_LOST, Step.FORWARD, peer=booking.host)
    if runtime.send(booking.host, message, inbox) is not None:
        return minter_lost
    reply = _await_reply(inbox, booking.deadline, runtime)
    runtime.discard_replies(booking.id)
    return reply if reply is not None else minter_lost


def _send_once(booking: Booking, attempt: Attempt, runtime: Runtime) -> BookingOutcome:
    """Send the booking to an owner of its service.

    Refuse it if there is no configuration yet, or if the service is unknown, runs no bookings, or
    belongs to a department that is leaving.
    """
    configuration = runtime.configuration()
    service = configuration.services.get(booking.service) if configuration else None
    if configuration is None or service is None or not service.bookings:
        return NotRun(Reason.UNKNOWN_SERVICE, Step.ROUTE, peer=booking.service)
    if configuration.is_leaving(service):
        return NotRun(Reason.DEPARTMENT_LEFT, Step.ROUTE, peer=booking.service)
    return _send_to_owner(booking, attempt, runtime.owners(booking.service), runtime)


def _send_to_owner(
    booking: Booking, attempt: Attempt, owners: Sequence[HostId], runtime: Runtime
) -> BookingOutcome:
    """Send the booking to the first of ``owners`` to which it can be sent, and to no other.

    Once the message has been sent, that owner may have run the booking.
    """
    for owner in owners:
        inbox = runtime.open_inbox()
        if runtime.clock.now() >= booking.deadline - ANSWER_RESERVE:
            return NotRun(Reason.DEADLINE, Step.ROUTE, peer=booking.service)
        message = Book(
            booking.id,
            booking.ticket,
            attempt.number,
            booking.service,
            booking.rank,
            _remaining(booking, runtime),
            booking.payload,
        )
        if runtime.send(owner, message, inbox) is None:
            return _await_owner(booking, owner, inbox, runtime)
    return NotRun(Reason.NO_OWNER, Step.ROUTE, peer=booking.service)


def _await_owner(booking: Booking, owner: HostId, inbox: Inbox, runtime: Runtime) -> BookingOutcome:
    """Wait for the owner's outcome, and cancel the booking if none arrives in time.

    The cancel message is sent before the deadline, so that the owner can still confirm that the
    booking did not run.
    """
    reply_deadline = Millis(booking.deadline - ANSWER_RESERVE)
    cancel_time = min(CANCEL_TIMEOUT, (reply_deadline - runtime.clock.now()) / 2)
    outcome = _await_reply(inbox, Millis(reply_deadline - cancel_time), runtime)
    if outcome is None:
        runtime.send(owner, Cancel(booking.id), None)
        outcome = _await_reply(inbox, reply_deadline, runtime)
    return outcome or Unknown(Reason.DEADLINE, Step.FORWARD, peer=owner)


def _await_reply(inbox: Inbox, deadline: Millis, runtime: Runtime) -> BookingOutcome | None:
    try:
        delivery = inbox.get(timeout=remaining_seconds(deadline, runtime.clock))
    except Empty:
        return None
    match delivery.message:
        case BookReply(outcome=outcome) | ForwardReply(outcome=outcome):
            return outcome
        case _:
            return None


def _remaining(booking: Booking, runtime: Runtime) -> Millis:
    return Millis(booking.deadline - ANSWER_RESERVE - runtime.clock.now())
