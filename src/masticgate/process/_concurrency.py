"""Limits the searches that one host has in progress for its callers.

The limit applies whatever pressure the owners of the services report.
"""

from collections.abc import Mapping
from threading import Lock

from .._clock import Clock
from .._ids import Millis
from .._ranks import Rank

INITIAL_LIMIT = 16.0
MIN_LIMIT = 8.0
MAX_LIMIT = 256.0
"""The limit at first, the lowest and the highest, in searches in progress."""

DECREASE_FACTOR = 0.9
"""The limit is multiplied by this when a search is late."""

DECREASE_INTERVAL = Millis(100.0)
"""The limit falls at most once in this time, however many searches are late."""

RANK_SHARES: Mapping[Rank, float] = {Rank.URGENT: 0.75, Rank.STANDARD: 0.5, Rank.BULK: 0.5}
"""The share of the limit that one rank may use, so that no rank shuts the others out.

Only these shares are enforced: together, the ranks may exceed the limit.
"""


class ConcurrencyLimit:
    """Limits the searches in progress of each rank to a share of ``limit``.

    ``limit`` rises with each search that ends in time, and falls when searches are late.

    This protects the host when a flood starts, before any owner has reported its pressure, and when
    this host itself is short of processor time.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.lock = Lock()
        self.limit = INITIAL_LIMIT
        self.in_progress = dict.fromkeys(Rank, 0)
        self.decreased_at = clock.now()

    def acquire(self, rank: Rank) -> bool:
        """Record the start of a search; return ``False`` if its rank has too many in progress."""
        with self.lock:
            if self.in_progress[rank] >= self.limit * RANK_SHARES[rank]:
                return False
            self.in_progress[rank] += 1
            return True

    def release_refused(self, rank: Rank) -> None:
        """Record the end of a search that was refused before it was sent to any service.

        It doesn't change the limit, since it says nothing about the load.
        """
        with self.lock:
            self.in_progress[rank] -= 1

    def release(self, rank: Rank, *, late: bool) -> None:
        """Record the end of a search.

        ``late`` says that it was incomplete at its deadline, or ended with an exception.
        """
        with self.lock:
            self.in_progress[rank] -= 1
            if not late:
                self.limit = min(MAX_LIMIT, self.limit + 1.0 / self.limit)
                return
            now = self.clock.now()
            if now - self.decreased_at >= DECREASE_INTERVAL:
                self.decreased_at = now
                self.limit = max(MIN_LIMIT, self.limit * DECREASE_FACTOR)
