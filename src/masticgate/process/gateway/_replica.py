"""What a gateway believes of one searcher."""

from enum import Enum

from ..._ids import Millis
from ...connection.gateway import SearcherTask
from ._catalogue import SearcherEntry

FAILURES_TO_EJECT = 2
INITIAL_EJECTION_TIME = Millis(500.0)
MAX_EJECTION_TIME = Millis(4_000.0)
LATENCY_RATIO_WEIGHT = 0.15
MAX_LATENCY_RATIO = 4.0
"""A later answer counts no more, so that a single pause does not divert what follows."""

LATENCY_RATIO_TTL = Millis(2_000.0)
"""The slowness of an idle searcher counts as unknown once its last answer is older."""

FAILURE_RATE_WEIGHT = 0.2
FAILURE_RATE_HALF_LIFE = Millis(3_000.0)
"""The share of refused and failed sends halves in each such time without a send."""

MIN_FAILURE_RATE = 0.001
FAILURE_COST = 4.0
"""What a send that fails costs over one that succeeds: a repeat, and a part of the budget."""

LOAD_REPORT_TTL = Millis(300.0)
"""A searcher's own report of its load is ignored once it is older."""

COLD_START_FACTOR = 1.6
"""How much slower a searcher is expected to be right after its start."""


class ReplicaState(Enum):
    """How a gateway treats a searcher."""

    ACTIVE = "active"
    EJECTED = "ejected"
    LEAVING = "leaving"
    GONE = "gone"


class Replica:
    """One searcher and the connections to it; the fleet's lock guards it.

    ``slowness`` is its latency over the usual latency of the same route, and ``trouble`` the
    share of its sends that were refused or failed, both smoothed.
    """

    def __init__(self, entry: SearcherEntry, max_connections: int, now: Millis) -> None:
        self.entry = entry
        self.max_connections = max_connections
        self.state = ReplicaState.ACTIVE
        self.idle: list[SearcherTask] = []
        self.connection_count = 0
        self.in_flight = 0
        self.last_used_at = now
        self.cold_until = Millis(now + entry.cold)
        self.latency_ratio = 1.0
        self.latency_ratio_updated_at = Millis(0.0)
        self.failure_rate = 0.0
        self.failure_rate_updated_at = now
        self.other_requests = 0
        self.load_reported_at = Millis(0.0)
        self.consecutive_failures = 0
        self.next_ejection_time = INITIAL_EJECTION_TIME
        self.ejected_until = Millis(0.0)
        self.usable_until = Millis(0.0)

    def is_usable(self, now: Millis) -> bool:
        """Tell whether it may be sent a request now."""
        match self.state:
            case ReplicaState.ACTIVE:
                return True
            case ReplicaState.EJECTED:
                return now >= self.ejected_until and self.in_flight == 0
            case ReplicaState.LEAVING:
                return now < self.usable_until
            case ReplicaState.GONE:
                return False

    def has_capacity(self) -> bool:
        """Tell whether a connection is idle or may be opened."""
        return bool(self.idle) or self.connection_count < self.max_connections

    def cost(self, now: Millis) -> float:
        """Return what orders the choice among searchers, the lowest first."""
        latency_ratio = self.latency_ratio
        if self.in_flight == 0 and now - self.latency_ratio_updated_at > LATENCY_RATIO_TTL:
            latency_ratio = min(latency_ratio, 1.0)
        if now < self.cold_until:
            latency_ratio *= COLD_START_FACTOR
        other_requests = self.other_requests if now - self.load_reported_at < LOAD_REPORT_TTL else 0
        load_per_slot = (self.in_flight + other_requests) / self.entry.slots
        return latency_ratio * (1.0 + load_per_slot) + FAILURE_COST * self.current_failure_rate(now)

    def current_failure_rate(self, now: Millis) -> float:
        """Return the share of failed sends, less the time since it was last observed."""
        if self.failure_rate < MIN_FAILURE_RATE:
            return 0.0
        return float(
            self.failure_rate
            * 0.5 ** ((now - self.failure_rate_updated_at) / FAILURE_RATE_HALF_LIFE)
        )

    def raise_failure_rate(self, now: Millis) -> None:
        """Count a send that was refused or failed."""
        self._update_failure_rate(1.0, now)

    def _update_failure_rate(self, failed: float, now: Millis) -> None:
        failure_rate = self.current_failure_rate(now)
        self.failure_rate = failure_rate + FAILURE_RATE_WEIGHT * (failed - failure_rate)
        self.failure_rate_updated_at = now

    def record_success(self, ratio: float, now: Millis) -> bool:
        """Count an answer; return ``True`` where it ends an ejection."""
        self.consecutive_failures = 0
        self._update_failure_rate(0.0, now)
        self.latency_ratio += LATENCY_RATIO_WEIGHT * (
            min(ratio, MAX_LATENCY_RATIO) - self.latency_ratio
        )
        self.latency_ratio_updated_at = now
        if self.state is not ReplicaState.EJECTED:
            return False
        self.state = ReplicaState.ACTIVE
        self.next_ejection_time = INITIAL_EJECTION_TIME
        return True

    def record_failure(self, now: Millis) -> bool:
        """Count a failure; return ``True`` where it ejects the searcher."""
        self.consecutive_failures += 1
        self.raise_failure_rate(now)
        if self.state is ReplicaState.ACTIVE and self.consecutive_failures < FAILURES_TO_EJECT:
            return False
        if self.state not in (ReplicaState.ACTIVE, ReplicaState.EJECTED):
            return False
        self.state = ReplicaState.EJECTED
        self.ejected_until = Millis(now + self.next_ejection_time)
        self.next_ejection_time = min(MAX_EJECTION_TIME, Millis(self.next_ejection_time * 2))
        return True

    def start_leaving(self, usable_until: Millis) -> None:
        """Prefer any other searcher from now on, and send it nothing after ``usable_until``."""
        if self.state not in (ReplicaState.LEAVING, ReplicaState.GONE):
            self.state = ReplicaState.LEAVING
            self.usable_until = usable_until

    def restore(self) -> None:
        """Use it again: its listing was missing only for a while."""
        if self.state in (ReplicaState.LEAVING, ReplicaState.GONE):
            self.state = ReplicaState.ACTIVE
            self.consecutive_failures = 0
