"""What an owner observed of one searcher, and how much work it may have now."""

from enum import Enum

from .._ids import Millis
from ..version import Searcher

FAILURES_TO_EJECT = 3
SLOW_FACTOR = 4.0
"""A searcher this many times slower than its fastest sibling is ejected."""

SLOW_MINIMUM_SAMPLES = 20
FIRST_EJECTION = Millis(500.0)
LONGEST_EJECTION = Millis(8000.0)
WARM_UP_STEP = 4
"""Successes after which a warming searcher may have one more request in flight."""

LATENCY_WEIGHT = 0.1


class SearcherState(Enum):
    """How an owner treats a searcher."""

    WARMING = "warming"
    ACTIVE = "active"
    EJECTED = "ejected"
    DRAINING = "draining"


class SearcherHealth:
    """One searcher as its owner sees it; the owner's lock guards it."""

    def __init__(self, searcher: Searcher, connections: int) -> None:
        self.searcher = searcher
        self.connections = connections
        self.state = SearcherState.WARMING
        self.in_flight = 0
        self.latency = Millis(0.0)
        self.samples = 0
        self.failures = 0
        self.successes = 0
        self.ejection = FIRST_EJECTION
        self.eligible_at = Millis(0.0)
        self.reported_load = 0

    def allowed(self, now: Millis) -> int:
        """Return the requests that may be in flight now."""
        match self.state:
            case SearcherState.ACTIVE:
                return self.connections
            case SearcherState.WARMING:
                return min(self.connections, 1 + self.successes // WARM_UP_STEP)
            case SearcherState.EJECTED:
                return 1 if now >= self.eligible_at else 0
            case SearcherState.DRAINING:
                return 0

    def succeed(self, latency: Millis) -> None:
        """Count a success; an ejected searcher starts to warm up again."""
        self.failures = 0
        self.successes += 1
        self.samples += 1
        if self.samples == 1:
            self.latency = latency
        self.latency = Millis(self.latency + LATENCY_WEIGHT * (latency - self.latency))
        if self.state is SearcherState.EJECTED:
            self.state = SearcherState.WARMING
            self.successes = 0
        elif self.state is SearcherState.WARMING and self.successes >= (
            WARM_UP_STEP * self.connections
        ):
            self.state = SearcherState.ACTIVE
            self.ejection = FIRST_EJECTION

    def fail(self) -> bool:
        """Count a failure; return ``True`` where it calls for an ejection."""
        self.failures += 1
        return self.failures >= FAILURES_TO_EJECT or self.state is SearcherState.EJECTED

    def is_slow(self, fastest: Millis) -> bool:
        """Tell whether this searcher is an outlier beside its ``fastest`` sibling."""
        known = self.samples >= SLOW_MINIMUM_SAMPLES and fastest > 0
        return known and self.latency > SLOW_FACTOR * fastest

    def eject(self, now: Millis) -> None:
        """Give it nothing until the ejection ends, then one request as a probe."""
        self.state = SearcherState.EJECTED
        self.eligible_at = Millis(now + self.ejection)
        self.ejection = min(LONGEST_EJECTION, Millis(self.ejection * 2))
        self.failures = 0
        self.successes = 0
        self.samples = 0

    def drain(self) -> None:
        """Give it no new work any more."""
        self.state = SearcherState.DRAINING
