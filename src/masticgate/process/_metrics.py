"""Counters, timers and gauges, sent to statsd once a second."""

from collections import Counter
from threading import Lock

from statsd import StatsClient

from .._ids import Address, Millis
from ..connection import split_address
from ._settings import Settings

FLUSH_INTERVAL = Millis(1000.0)
MAX_TIMINGS = 200
"""Timings of one name sent a flush; the rest are counted by their sample rate."""

MAX_PACKET_BYTES = 1400


class Metrics:
    """Counts in memory, so that a busy request costs no packet; statsd is optional."""

    def __init__(self, settings: Settings) -> None:
        self.lock = Lock()
        self.totals: Counter[str] = Counter()
        self.unsent: Counter[str] = Counter()
        self.timings: dict[str, list[float]] = {}
        self.timing_counts: Counter[str] = Counter()
        self.gauges: dict[str, float] = {}
        self.client: StatsClient | None = None
        if settings.statsd is not None:
            number, port = split_address(Address(settings.statsd.address))
            prefix = f"{settings.statsd.prefix}.{settings.host}"
            self.client = StatsClient(number, port, prefix, MAX_PACKET_BYTES)

    def count(self, name: str, number: int = 1) -> None:
        """Add to a counter."""
        with self.lock:
            self.totals[name] += number
            self.unsent[name] += number

    def time(self, name: str, duration: Millis) -> None:
        """Record a duration."""
        with self.lock:
            self.timing_counts[name] += 1
            kept = self.timings.setdefault(name, [])
            if len(kept) < MAX_TIMINGS:
                kept.append(duration)

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        with self.lock:
            self.gauges[name] = value

    def read_totals(self) -> dict[str, int]:
        """Return all counters since the start."""
        with self.lock:
            return dict(sorted(self.totals.items()))

    def flush(self) -> None:
        """Send what was counted since the last flush."""
        with self.lock:
            unsent, self.unsent = self.unsent, Counter()
            timings, self.timings = self.timings, {}
            timing_counts, self.timing_counts = self.timing_counts, Counter()
            gauges = dict(self.gauges)
        if self.client is None:
            return
        with self.client.pipeline() as pipe:
            for name, number in unsent.items():
                pipe.incr(name, number)
            for name, durations in timings.items():
                rate = len(durations) / timing_counts[name]
                for duration in durations:
                    pipe.timing(name, duration, rate)
            for name, value in gauges.items():
                pipe.gauge(name, value)
