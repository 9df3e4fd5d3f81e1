"""The booking attempts that this host received as the owner of their service.

A booking is identified by its ticket and may be attempted again after an attempt did not run.
"""

from itertools import islice
from threading import Lock

from .._clock import Clock
from .._ids import Millis, TicketId

ATTEMPT_TTL = Millis(300_000.0)
"""The time for which an attempt is kept, longer than the outcome of its ticket is kept."""

MAX_ATTEMPTS = 100_000
"""The number of attempts from which on the oldest are removed, whatever their age."""

MAX_REMOVED_AT_ONCE = 2
"""The most attempts that are removed each time that one is recorded."""


class BookingLog:
    """Accepts each attempt once, even if the pool of its service is closed and opened again.

    An attempt is recorded before anything is decided about it, so that a second copy of its
    message can never run after the first one was refused as "not run".
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.lock = Lock()
        self.received: dict[tuple[TicketId, int], Millis] = {}

    def record_attempt(self, ticket: TicketId, attempt: int) -> bool:
        """Record an attempt; return ``False`` if it was received before."""
        now = self.clock.now()
        with self.lock:
            self._remove_old(now)
            if (ticket, attempt) in self.received:
                return False
            self.received[ticket, attempt] = now
            return True

    def _remove_old(self, now: Millis) -> None:
        for attempt, received in list(islice(self.received.items(), MAX_REMOVED_AT_ONCE)):
            if now - received > ATTEMPT_TTL or len(self.received) >= MAX_ATTEMPTS:
                del self.received[attempt]
