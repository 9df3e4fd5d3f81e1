"""Counters, gauges and latency histograms, and their text for the metrics address."""

from bisect import bisect_left
from collections import Counter
from threading import RLock

from ..._ids import Millis

BUCKETS_MS = (2, 5, 10, 15, 20, 30, 40, 50, 65, 80, 100, 130, 170, 250, 400, 700, 1_200, 2_500)
"""The upper bounds of the histogram buckets, closest together around the latency objectives."""

PREFIX = "masticgate"


class Histogram:
    """The number of latencies in each bucket, and the sum of all latencies."""

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS_MS) + 1)
        self.sum = 0.0

    def add(self, latency: Millis) -> None:
        """Record one latency."""
        self.counts[bisect_left(BUCKETS_MS, latency)] += 1
        self.sum += latency


class Metrics:
    """The metrics of one gateway since its start."""

    def __init__(self) -> None:
        # A finalizer may run while a task holds the lock, and an error of it is counted.
        self.lock = RLock()
        self.counters: Counter[str] = Counter()
        self.gauges: dict[str, float] = {}
        self.histograms: dict[tuple[str, str], Histogram] = {}

    def count(self, name: str, number: int = 1) -> None:
        """Add ``number`` to the counter ``name``."""
        with self.lock:
            self.counters[name] += number

    def set_gauge(self, name: str, value: float) -> None:
        """Set the gauge ``name`` to ``value``."""
        with self.lock:
            self.gauges[name] = value

    def record_request(self, kind: str, outcome: str, latency: Millis) -> None:
        """Record a request that ended with ``outcome`` after ``latency``.

        ``kind`` is the rank of its route, such as ``rank0``, or ``none`` if it has no route.
        """
        with self.lock:
            self.histograms.setdefault((kind, outcome), Histogram()).add(latency)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        with self.lock:
            lines = [f"{PREFIX}_{name}_total {value}" for name, value in self.counters.items()]
            lines += [
                f"{PREFIX}_{name} {_format_gauge(value)}" for name, value in self.gauges.items()
            ]
            for (kind, outcome), histogram in self.histograms.items():
                lines += _render_histogram(f'kind="{kind}",outcome="{outcome}"', histogram)
        return ("\n".join(sorted(lines)) + "\n").encode()


def _format_gauge(value: float) -> str:
    """Return the text of a gauge; that of an integer is exact, however large it is."""
    return f"{value:d}" if isinstance(value, int) else f"{value:.10g}"


def _render_histogram(labels: str, histogram: Histogram) -> list[str]:
    name = f"{PREFIX}_request_ms"
    lines, total = [], 0
    for bound, count in zip((*BUCKETS_MS, "+Inf"), histogram.counts, strict=True):
        total += count
        lines.append(f'{name}_bucket{{{labels},le="{bound}"}} {total}')
    lines.append(f"{name}_count{{{labels}}} {total}")
    lines.append(f"{name}_sum{{{labels}}} {histogram.sum:.1f}")
    return lines
