"""What the owner of a service knows about one searcher, and how much work it may send there.

The owner is the host that queues the service's work and holds the connections to its searchers.
"""

from dataclasses import dataclass
from enum import Enum
from math import log

from .._ids import Millis
from ..version import Searcher

FAILURES_TO_EJECT = 3
"""The number of consecutive failures after which a searcher is ejected.

An ejected searcher gets no work for a while.
"""

SLOW_FACTOR = 4.0
"""A searcher this many times slower than the fastest one of its service is ejected."""

SLOW_MIN_SAMPLES = 20
"""The number of successes before a searcher's latency is compared with that of the fastest."""

INITIAL_EJECTION_TIME = Millis(500.0)
MAX_EJECTION_TIME = Millis(8000.0)
"""The first and the longest duration of an ejection.

The duration doubles with each ejection, until the searcher has warmed up again.
"""

INITIAL_BACKOFF = Millis(20.0)
MAX_BACKOFF = Millis(500.0)
"""The first and the longest pause after a refusal.

The pause doubles with each refusal, until a request succeeds.
"""

WARM_UP_STEP = 4
"""The number of successes that raise the warm-up limit by one request in flight."""

LATENCY_WEIGHT = 0.1
"""The weight of the latest latency in a searcher's average."""

LATENCY_STEP = 1.25
"""Latencies are rounded to powers of this factor when a searcher is chosen.

Small differences in latency then do not affect the choice.
"""

LATENCY_TTL = Millis(3000.0)
"""The latency of an idle searcher is ignored once its last success is older than this."""

LOAD_CHECK_INTERVAL = Millis(4000.0)
"""The minimum time between two requests that ask one searcher for its load."""


class SearcherState(Enum):
    """How many requests a searcher gets at once."""

    WARMING = "warming"
    """One or a few, and more as requests succeed; none during the pause after a refusal."""

    ACTIVE = "active"
    """As many as this host has connections to it."""

    EJECTED = "ejected"
    """None until the ejection ends, then one as a probe."""

    DRAINING = "draining"
    """None, because it reported that it is shutting down."""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A searcher's report of its own load, which may be out of date or wrong.

    ``incarnation`` identifies one run of the searcher, so that a restart is detected. It is empty
    if the searcher states none.
    """

    load: int
    draining: bool
    incarnation: str = ""


class SearcherHealth:
    """The state of one searcher; callers hold the lock of the service pool.

    ``connections`` is the number of connections that this host should have to the searcher.
    ``open_connections`` is the number that have not closed yet, and ``closing_connections`` the
    number of these that have been told to close.

    ``warm_up_limit`` is how many requests may be in flight while the searcher is warming up.
    ``drained_incarnation`` is the incarnation that is shutting down, empty if unknown.
    ``lost_while_draining`` is set when a request or a load check fails while the searcher drains.
    """

    def __init__(self, searcher: Searcher) -> None:
        self.searcher = searcher
        self.connections = 0
        self.open_connections = 0
        self.closing_connections = 0
        self.in_flight = 0
        self.incarnation = ""
        self.reported_load = 0
        self.load_check_at = Millis(0.0)
        self.reset()

    def reset(self) -> None:
        """Treat the searcher as newly started: forget its latency, failures and ejections."""
        self.state = SearcherState.WARMING
        self.warm_up_limit = 1.0
        self.latency = Millis(0.0)
        self.last_success_at = Millis(0.0)
        self.samples = 0
        self.failures = 0
        self.next_ejection_time = INITIAL_EJECTION_TIME
        self.next_backoff = INITIAL_BACKOFF
        self.eligible_at = Millis(0.0)
        self.drained_incarnation = ""
        self.lost_while_draining = False

    def resize(self, searcher: Searcher, connections: int) -> int:
        """Set the searcher and how many connections it should have; return how many to open."""
        self.searcher = searcher
        self.connections = connections
        missing = max(0, connections - self.open_connections)
        self.open_connections += missing
        return missing

    def should_close(self) -> bool:
        """Return whether an idle connection has to close, and if so, count it as closing."""
        if self.open_connections - self.closing_connections <= self.connections:
            return False
        self.closing_connections += 1
        return True

    def record_closed_connection(self) -> bool:
        """Record that a closing connection closed; return whether it has to be opened again."""
        self.closing_connections -= 1
        if self.open_connections - self.closing_connections <= self.connections:
            return True
        self.open_connections -= 1
        return False

    def max_in_flight(self, now: Millis) -> int:
        """Return how many requests may be in flight at the searcher now."""
        match self.state:
            case SearcherState.ACTIVE:
                return self.connections
            case SearcherState.WARMING if now >= self.eligible_at:
                return min(self.connections, int(self.warm_up_limit))
            case SearcherState.EJECTED if now >= self.eligible_at:
                return min(self.connections, 1)
            case _:
                return 0

    def cost(self, now: Millis) -> tuple[float, int]:
        """Return the sort key for the choice among searchers, the lowest first.

        The requests in flight per slot and the latency seen here decide; a searcher to probe, or
        without a recent latency, comes first. The load that the searcher reports only breaks a
        tie, since it may be wrong.
        """
        probe = self.state is SearcherState.EJECTED
        stale = self.in_flight == 0 and now - self.last_success_at > LATENCY_TTL
        if probe or stale or self.latency <= 0.0:
            return 0.0, self.reported_load
        latency_step = round(log(self.latency) / log(LATENCY_STEP))
        return (
            self.in_flight + 1
        ) / self.searcher.slots * LATENCY_STEP**latency_step, self.reported_load

    def record_success(self, latency: Millis, now: Millis) -> None:
        """Record a success; an ejected searcher starts to warm up again."""
        self.failures = 0
        self.next_backoff = INITIAL_BACKOFF
        self.samples += 1
        self.last_success_at = now
        if self.samples == 1:
            self.latency = latency
        self.latency = Millis(self.latency + LATENCY_WEIGHT * (latency - self.latency))
        match self.state:
            case SearcherState.EJECTED:
                self.state = SearcherState.WARMING
                self.warm_up_limit = 1.0
            case SearcherState.WARMING:
                self._raise_warm_up_limit()
            case SearcherState.ACTIVE | SearcherState.DRAINING:
                return

    def record_failure(self) -> bool:
        """Record a failure; return whether the searcher should be ejected for it."""
        self.failures += 1
        if self.state is SearcherState.DRAINING:
            self.lost_while_draining = True
            return False
        return self.failures >= FAILURES_TO_EJECT or self.state is SearcherState.EJECTED

    def record_refusal(self, now: Millis) -> None:
        """Record that the searcher refused work because it is overloaded or not yet warm.

        It gets no work during a pause, and fewer requests at once after it. A refusal doesn't count
        as a failure.
        """
        if self.state is SearcherState.DRAINING:
            return
        if self.state is not SearcherState.EJECTED:
            self.state = SearcherState.WARMING
        self.warm_up_limit = max(1.0, min(self.warm_up_limit, float(self.connections)) / 2)
        self.eligible_at = Millis(now + self.next_backoff)
        self.next_backoff = min(MAX_BACKOFF, Millis(self.next_backoff * 2))

    def is_slow(self, fastest: Millis) -> bool:
        """Return whether the searcher is too slow compared with ``fastest``, the lowest latency."""
        comparable = self.samples >= SLOW_MIN_SAMPLES and fastest > 0
        return comparable and self.latency > SLOW_FACTOR * fastest

    def eject(self, now: Millis) -> None:
        """Mark the searcher as ejected, and set when the ejection ends."""
        self.state = SearcherState.EJECTED
        self.eligible_at = Millis(now + self.next_ejection_time)
        self.next_ejection_time = min(MAX_EJECTION_TIME, Millis(self.next_ejection_time * 2))
        self.failures = 0
        self.warm_up_limit = 1.0
        self.samples = 0

    def drain(self) -> None:
        """Mark this incarnation of the searcher as draining, so that it gets no new work."""
        if self.state is not SearcherState.DRAINING:
            self.state = SearcherState.DRAINING
            self.drained_incarnation = self.incarnation
            self.lost_while_draining = False

    def record_report(self, report: LoadReport) -> None:
        """Record a load report; reset a draining searcher that has restarted.

        It has restarted when it reports another incarnation and no longer drains. If one of the
        incarnations is unknown, it counts as restarted when it no longer drains and a request or
        load check has failed since it began to drain.
        """
        self.reported_load = report.load
        if self.state is SearcherState.DRAINING:
            if self._is_new(report) and not report.draining:
                self.reset()
            elif not self.drained_incarnation and not self.lost_while_draining:
                self.drained_incarnation = report.incarnation
        self.incarnation = report.incarnation

    def _is_new(self, report: LoadReport) -> bool:
        if report.incarnation and self.drained_incarnation:
            return report.incarnation != self.drained_incarnation
        return self.lost_while_draining

    def _raise_warm_up_limit(self) -> None:
        self.warm_up_limit += 1.0 / WARM_UP_STEP
        if self.warm_up_limit >= self.connections + 1:
            self.state = SearcherState.ACTIVE
            self.next_ejection_time = INITIAL_EJECTION_TIME
