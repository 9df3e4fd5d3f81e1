"""The latest latencies of requests to searchers, bounded in number and in age."""

from collections import deque

from sortedcontainers import SortedList

from .._ids import Millis

MAX_SAMPLES = 256
"""The maximum number of latencies that are kept."""

MAX_AGE = Millis(5000.0)
"""The age at which a latency is discarded, unless only :data:`MIN_SAMPLES` are left."""

MIN_SAMPLES = 20
"""The fewest latencies from which a percentile is computed."""


class LatencyWindow:
    """Computes percentiles of the latest latencies.

    It isn't thread-safe: the object that holds it guards it with its own lock.
    """

    def __init__(self) -> None:
        self.samples: deque[tuple[Millis, Millis]] = deque()
        self.sorted_latencies = SortedList()

    def record(self, now: Millis, latency: Millis) -> None:
        """Record ``latency``, and discard the latencies that are too old or too many."""
        self.samples.append((now, latency))
        self.sorted_latencies.add(latency)
        while len(self.samples) > MAX_SAMPLES or self._is_outdated(now):
            self.sorted_latencies.remove(self.samples.popleft()[1])

    def percentile(self, percent: float) -> Millis | None:
        """Return the latency that at least ``percent`` per cent of the samples do not exceed.

        Return ``None`` while there are too few samples.
        """
        count = len(self.sorted_latencies)
        if count < MIN_SAMPLES:
            return None
        found: Millis = self.sorted_latencies[min(count - 1, int(count * percent / 100.0))]
        return found

    def _is_outdated(self, now: Millis) -> bool:
        return len(self.samples) > MIN_SAMPLES and now - self.samples[0][0] > MAX_AGE
