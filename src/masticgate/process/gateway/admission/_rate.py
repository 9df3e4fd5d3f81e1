"""The rate at which room comes free at the searchers of one service.

Load scenario: slow searchers whose queues fill up. The rate of answers while requests wait is the
capacity that this gateway gets; the rate of answers at other times is only that of its requests.
"""

from ...._clock import MILLIS_PER_SECOND
from ...._ids import Millis

RATE_HALF_LIFE = Millis(1_000.0)
"""The time in which the weight of what was measured halves.

Searchers turn slow for 5 to 8 s, and the rate has to follow within one or two.
"""

PRIOR_TIME = Millis(200.0)
"""The weight of the rate that is expected before any is measured, as a time of measurement.

It is about the length of a usual pause of a searcher, in which no request is completed.
"""


class FreeingRate:
    """The smoothed number of calls that complete in a second while requests wait.

    ``completed`` and ``busy_time`` decay alike; their ratio is the rate.
    """

    def __init__(self, now: Millis) -> None:
        self.completed = 0.0
        self.busy_time = 0.0
        self.busy = False
        self.updated_at = now

    def set_busy(self, busy: bool, now: Millis) -> None:
        """Record whether requests wait from now on."""
        self._advance(now)
        self.busy = busy

    def record_completion(self, now: Millis) -> None:
        """Record that a searcher has completed a call; it counts while requests wait."""
        self._advance(now)
        if self.busy:
            self.completed += 1.0

    def per_second(self, expected: float, now: Millis) -> float:
        """Return the rate; ``expected`` is assumed as far as nothing was measured."""
        self._advance(now)
        prior = expected * PRIOR_TIME / MILLIS_PER_SECOND
        time = (self.busy_time + PRIOR_TIME) / MILLIS_PER_SECOND
        return (self.completed + prior) / time

    def _advance(self, now: Millis) -> None:
        elapsed = max(0.0, now - self.updated_at)
        decay = 0.5 ** (elapsed / RATE_HALF_LIFE)
        self.completed *= decay
        self.busy_time = self.busy_time * decay + (elapsed if self.busy else 0.0)
        self.updated_at = now
