"""The attempts of bookings that this process took, so that a doubled message never runs twice."""

from threading import Lock

from .._clock import Clock
from .._failures import NotRun, Reason, Step
from .._ids import Millis, TicketId

ATTEMPT_KEPT = Millis(300_000.0)
"""Longer than a ticket may be used, so that a message that comes later names no live ticket."""

MAX_ATTEMPTS = 100_000
"""Where so many are kept, new bookings are refused rather than old attempts forgotten."""


class BookedAttempts:
    """Remembers attempts for as long as their tickets may be used, over all service pools."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.lock = Lock()
        self.taken: dict[tuple[TicketId, int], Millis] = {}

    def claim(self, ticket: TicketId, attempt: int) -> NotRun | None:
        """Take one attempt, once; return why it cannot be taken."""
        with self.lock:
            now = self.clock.now()
            self._drop_expired(now)
            if (ticket, attempt) in self.taken:
                detail = "the same attempt came twice"
                return NotRun(Reason.TICKET_IN_USE, Step.QUEUE, detail=detail)
            if len(self.taken) >= MAX_ATTEMPTS:
                return NotRun(Reason.OVERLOAD, Step.QUEUE, detail="too many bookings are kept")
            self.taken[ticket, attempt] = Millis(now + ATTEMPT_KEPT)
            return None

    def _drop_expired(self, now: Millis) -> None:
        while self.taken:
            oldest = next(iter(self.taken))
            if self.taken[oldest] > now:
                return
            del self.taken[oldest]
