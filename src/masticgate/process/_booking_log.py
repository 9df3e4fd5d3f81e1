"""The booking attempts that have reached this host as their owner."""

from itertools import islice
from threading import Lock

from .._clock import Clock
from .._ids import Millis, TicketId

ATTEMPT_TTL = Millis(300_000.0)
"""How long an attempt is remembered, longer than the outcome of a ticket is kept."""

MAX_ATTEMPTS = 100_000
MAX_REMOVED_AT_ONCE = 2


class BookingLog:
    """Lets each attempt through once, also where the pool of its service is opened anew.

    The attempt is remembered before anything is decided about it, so that a second copy of its
    message can never run after the first one was refused as "not run".
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.lock = Lock()
        self.received: dict[tuple[TicketId, int], Millis] = {}

    def record_attempt(self, ticket: TicketId, attempt: int) -> bool:
        """Remember the attempt; return ``False`` where it has come before."""
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
