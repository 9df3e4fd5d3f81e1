"""The latest latencies of a service's sends, bounded in number and in age."""

from collections import deque

from sortedcontainers import SortedList

from .._ids import Millis

MAX_SAMPLES = 256
MAX_AGE = Millis(5000.0)
MIN_SAMPLES = 20


class LatencyWindow:
    """Tells percentiles of the latest latencies; its owner's lock guards it."""

    def __init__(self) -> None:
        self.samples: deque[tuple[Millis, Millis]] = deque()
        self.sorted_latencies = SortedList()

    def record(self, now: Millis, latency: Millis) -> None:
        """Record ``latency``, and drop what is too old or too much."""
        self.samples.append((now, latency))
        self.sorted_latencies.add(latency)
        while len(self.samples) > MAX_SAMPLES or self._is_outdated(now):
            self.sorted_latencies.remove(self.samples.popleft()[1])

    def percentile(self, percent: float) -> Millis | None:
        """Return the latency that ``percent`` of the samples do not exceed.

        Returns ``None`` while there are too few samples.
        """
        count = len(self.sorted_latencies)
        if count < MIN_SAMPLES:
            return None
        found: Millis = self.sorted_latencies[min(count - 1, int(count * percent / 100.0))]
        return found

    def _is_outdated(self, now: Millis) -> bool:
        return len(self.samples) > MIN_SAMPLES and now - self.samples[0][0] > MAX_AGE
