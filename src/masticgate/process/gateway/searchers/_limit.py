"""An adaptive limit on the requests in progress at one searcher.

Load scenarios: searchers that slow down long before they are full, and searchers that refuse. The
limit rises by a constant while answers are fast at the limit, and falls by a factor when the
searcher refuses, or while its latency exceeds what its queue explains.
"""

from ...._clock import MILLIS_PER_SECOND
from ...._ids import Millis

ASSUMED_QUEUE = 12
"""The number of waiting requests that a searcher is assumed to accept beside its slots."""

KNEE_RATIO = 2.0
"""Above this many times the latency that the queue explains, the searcher handles too many."""

PERSISTENCE = Millis(250.0)
"""Slow answers lower the limit only if there has been no fast one for this time.

It is the longest pause that is no sign of load.
"""

DECREASE_FACTOR = 0.75
"""The limit falls to this share of the requests in progress."""

DECREASE_INTERVAL = Millis(200.0)
"""The least time between two decreases, in which the effect of the first one shows."""

INCREASE = 0.5
"""The increase with each fast answer at the limit."""

RECOVERY_PER_S = 0.5
"""The increase in each second without a decrease, by which old evidence is discarded."""


class ConcurrencyLimit:
    """The limit of one searcher; the lock of ``Fleet`` guards it.

    It counts the requests of all gateways, as far as they are known. It begins at its upper bound,
    the slots and the queue, so that searchers that do not slow down are not limited.
    """

    def __init__(self, slots: int) -> None:
        self.bound = float(slots + ASSUMED_QUEUE)
        self.limit = self.bound
        self.updated_at = Millis(0.0)
        self.slow_since: Millis | None = None
        self.decreased_at: Millis | None = None

    def value(self, now: Millis) -> float:
        """Return the number of requests that may be in progress at the searcher."""
        recovered = self.limit + RECOVERY_PER_S * (now - self.updated_at) / MILLIS_PER_SECOND
        return min(self.bound, recovered)

    def is_limited(self, now: Millis) -> bool:
        """Return whether the limit is below its upper bound."""
        return self.value(now) < self.bound

    def record_answer(self, ratio: float, in_progress: int, queue: float, now: Millis) -> None:
        """Record an answer that took ``ratio`` times the usual latency.

        ``in_progress`` is the number of requests at the searcher when the answer arrived, this one
        included, and ``queue`` the same for each of its slots.
        """
        if ratio <= KNEE_RATIO * max(1.0, queue):
            self.slow_since = None
            if in_progress + 1 >= self.value(now):
                self._set(self.value(now) + INCREASE, now)
            return
        if self.slow_since is None:
            self.slow_since = now
        if now - self.slow_since >= PERSISTENCE and in_progress > 1:
            self._decrease(in_progress, now)

    def record_refusal(self, in_progress: int, now: Millis) -> None:
        """Record that the searcher refused a request with ``in_progress`` requests there."""
        self._decrease(in_progress, now)

    def _decrease(self, in_progress: int, now: Millis) -> None:
        if self.decreased_at is not None and now - self.decreased_at < DECREASE_INTERVAL:
            return
        self.decreased_at = now
        self._set(DECREASE_FACTOR * min(self.value(now), float(in_progress)), now)

    def _set(self, limit: float, now: Millis) -> None:
        self.limit, self.updated_at = min(self.bound, max(1.0, limit)), now
