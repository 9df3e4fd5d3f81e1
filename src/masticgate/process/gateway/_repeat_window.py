"""A sliding window that bounds one gateway's hedges and retries for one service."""

from collections import deque
from itertools import takewhile

from ..._clock import MILLIS_PER_SECOND
from ..._ids import Millis
from ...request.gateway import BudgetUse
from ._settings import RepeatBounds

BUCKETS_PER_WINDOW = 10
"""The number of buckets into which the requests of one window are counted."""


class RepeatWindow:
    """Counts the requests and the repeats of the last window; the lock of ``Fleet`` guards it.

    A repeat is a hedge or a retry; every other attempt counts as a request. The repeats may number
    at most ``ratio`` times the requests, plus ``slack``; both limits are for this gateway alone. A
    gateway that has just started does not know how much it repeated before, so its slack grows from
    zero over the first window.

    ``repeats`` holds the time of each repeat, and ``requests`` the number and the request count of
    each bucket; both begin with the oldest.
    """

    def __init__(
        self, bounds: RepeatBounds, ratio: float, slack: float, started_at: Millis
    ) -> None:
        self.window = bounds.window
        self.ratio = ratio
        self.slack = slack
        self.started_at = started_at
        self.repeats: deque[Millis] = deque()
        self.requests: deque[tuple[int, int]] = deque()

    def record_request(self, now: Millis) -> None:
        """Record an attempt that is not a repeat."""
        bucket = self._bucket(now)
        if self.requests and self.requests[-1][0] == bucket:
            self.requests[-1] = (bucket, self.requests[-1][1] + 1)
        else:
            self._expire(now)
            self.requests.append((bucket, 1))

    def spend(self, now: Millis) -> bool:
        """Spend one repeat, or return ``False`` if none remains."""
        self._expire(now)
        if len(self.repeats) + 1 > self._max_repeats(now):
            return False
        self.repeats.append(now)
        return True

    def use(self, now: Millis) -> BudgetUse:
        """Return the use of the budget."""
        self._expire(now)
        recent = takewhile(lambda at: now - at < MILLIS_PER_SECOND, reversed(self.repeats))
        return BudgetUse(self._max_repeats(now), len(self.repeats), sum(1 for _ in recent))

    def used_share(self, now: Millis) -> float:
        """Return the part of the allowed repeats that were sent within the window."""
        self._expire(now)
        return len(self.repeats) / max(1.0, self._max_repeats(now))

    def is_empty(self, now: Millis) -> bool:
        """Return whether there was no request or repeat within the window."""
        self._expire(now)
        return not self.repeats and not self.requests

    def _max_repeats(self, now: Millis) -> float:
        active_share = min(1.0, (now - self.started_at) / self.window)
        return self.ratio * sum(count for _, count in self.requests) + self.slack * active_share

    def _expire(self, now: Millis) -> None:
        while self.repeats and now - self.repeats[0] > self.window:
            self.repeats.popleft()
        oldest = self._bucket(now) - BUCKETS_PER_WINDOW
        while self.requests and self.requests[0][0] <= oldest:
            self.requests.popleft()

    def _bucket(self, now: Millis) -> int:
        return int(now * BUCKETS_PER_WINDOW / self.window)
