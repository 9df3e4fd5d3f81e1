"""Counters, timers and gauges of the process, sent to statsd once a second."""

from collections import Counter
from threading import Lock

from statsd import StatsClient

from .._ids import Address, Millis
from ..connection import split_address
from ._settings import Settings

FLUSH_INTERVAL = Millis(1000.0)
"""The time between two flushes to statsd."""

MAX_TIMINGS = 200
"""The most timings of one name that one flush sends.

The sample rate sent with them tells statsd how many there were.
"""

MAX_PACKET_BYTES = 1400
"""The largest UDP packet to statsd, below the usual Ethernet MTU of 1500 bytes."""


class Metrics:
    """Collects metrics in memory, so that a request sends no packet; statsd is optional.

    ``totals`` holds the counters since the start and ``unsent`` those since the last flush.
    ``timings`` holds the durations to send at the next flush, and ``timing_counts`` how many were
    recorded, including those that are not sent.
    """

    def __init__(self, settings: Settings) -> None:
        self.lock = Lock()
        self.totals: Counter[str] = Counter()
        self.unsent: Counter[str] = Counter()
        self.timings: dict[str, list[float]] = {}
        self.timing_counts: Counter[str] = Counter()
        self.gauges: dict[str, float] = {}
        self.client: StatsClient | None = None
        if settings.statsd is not None:
            ip, port = split_address(Address(settings.statsd.address))
            prefix = f"{settings.statsd.prefix}.{settings.host}"
            self.client = StatsClient(ip, port, prefix, MAX_PACKET_BYTES)

    def count(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to the counter ``name``."""
        with self.lock:
            self.totals[name] += amount
            self.unsent[name] += amount

    def time(self, name: str, duration: Millis) -> None:
        """Record ``duration`` under the timer ``name``."""
        with self.lock:
            self.timing_counts[name] += 1
            kept = self.timings.setdefault(name, [])
            if len(kept) < MAX_TIMINGS:
                kept.append(duration)

    def set_gauge(self, name: str, value: float) -> None:
        """Set the gauge ``name`` to ``value``."""
        with self.lock:
            self.gauges[name] = value

    def read_totals(self) -> dict[str, int]:
        """Return all counters since the start of the process."""
        with self.lock:
            return dict(sorted(self.totals.items()))

    def flush(self) -> None:
        """Send what was recorded since the last flush, and the current gauges, to statsd."""
        with self.lock:
            unsent, self.unsent = self.unsent, Counter()
            timings, self.timings = self.timings, {}
            timing_counts, self.timing_counts = self.timing_counts, Counter()
            gauges = dict(self.gauges)
        if self.client is None:
            return
        with self.client.pipeline() as pipe:
            for name, amount in unsent.items():
                pipe.incr(name, amount)
            for name, durations in timings.items():
                rate = len(durations) / timing_counts[name]
                for duration in durations:
                    pipe.timing(name, duration, rate)
            for name, value in gauges.items():
                pipe.gauge(name, value)
