"""The booking attempts that this host received as the owner of the service.

The owner of a service is the host that queues its work. A booking is identified by its ticket. If
an attempt did not run, the booking may be attempted again under the next attempt number.
"""

from itertools import islice
from threading import Lock

from .._clock import Clock
from .._ids import Millis, TicketId

ATTEMPT_TTL = Millis(300_000.0)
"""The least time that an attempt is kept, unless ``MAX_ATTEMPTS`` are kept.

It is longer than twice ``TICKET_LIFETIME``, the least time that a ticket's outcome is kept.
"""

MAX_ATTEMPTS = 100_000
"""If this many attempts are kept, the oldest are removed before they expire."""

MAX_REMOVED_AT_ONCE = 2
"""The maximum number of old attempts that are removed each time an attempt is received."""


class BookingLog:
    """Accepts each attempt once, even if the pool of its service is closed and opened again.

    An attempt is recorded before it is queued or refused. Otherwise a second copy of its message
    could run after the first copy was refused and reported as "not run".
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
