"""The state of one searcher as one gateway sees it, and the cost by which it is chosen."""

from enum import Enum

from ..._ids import Millis
from ...connection.gateway import SearcherTask
from ...version.gateway import SearcherEntry

FAILURES_TO_EJECT = 2
"""The number of consecutive failures after which a searcher is ejected."""

INITIAL_EJECTION_TIME = Millis(500.0)
"""The duration of the first ejection; each further one without a success lasts twice as long."""

MAX_EJECTION_TIME = Millis(4_000.0)
"""The upper bound on the duration of an ejection."""

LATENCY_RATIO_WEIGHT = 0.15
"""The weight of the latest answer in the smoothed latency ratio."""

SLOW_LATENCY_RATIO = 1.3
"""A searcher with a higher smoothed ratio may be slow, and not only have paused once."""

SLOW_RATIO_WEIGHT = 0.4
"""The weight of a late answer of such a searcher.

Two late answers in a row then outweigh that another searcher is in another failure domain.
"""

MAX_LATENCY_RATIO = 4.0
"""The bound on the latency ratio of one answer.

It keeps a single pause of a searcher from diverting later requests to others.
"""

LATENCY_RATIO_TTL = Millis(2_000.0)
"""How long the latency ratio of an idle searcher counts after its last answer.

After that, a ratio over 1 counts as 1.
"""

FAILURE_RATE_WEIGHT = 0.2
"""The weight of the latest attempt in the smoothed failure rate."""

FAILURE_RATE_HALF_LIFE = Millis(3_000.0)
"""The time in which the failure rate halves while the searcher is sent no requests."""

MIN_FAILURE_RATE = 0.001
"""A lower failure rate counts as zero."""

FAILURE_COST = 4.0
"""The cost of a failed attempt relative to a successful one.

A failed attempt has to be repeated, and each repeat uses a part of the budget for repeats.
"""

OVERDUE_COST = 2.0
"""The cost of a call in flight that had no answer when a hedge was due.

It exceeds that of another failure domain, so that requests turn to another searcher at once and not
only after late answers.
"""

LOAD_REPORT_TTL = Millis(300.0)
"""How long the load that a searcher reports is taken into account."""

ROOM_PER_SLOT = 2
"""The requests for each slot of a searcher for which it has room: one that runs and one that waits.

A searcher that always has the next request loses no time between two, and the requests beyond that
wait at the gateway, which orders them by rank. With 3, urgent requests met their objective less
often behind others in the queue of the searcher.
"""

COLD_START_FACTOR = 1.6
"""The factor by which a searcher is expected to be slower right after its start."""


class ReplicaState(Enum):
    """How a gateway treats a searcher.

    An ``ACTIVE`` searcher is sent requests. An ``EJECTED`` one failed repeatedly; once its ejection
    time is over, it is sent one request at a time as a probe. A ``LEAVING`` one is used only if
    there is no other, and a ``GONE`` one is sent nothing.
    """

    ACTIVE = "active"
    EJECTED = "ejected"
    LEAVING = "leaving"
    GONE = "gone"


class Replica:
    """One searcher and the connections to it; the fleet's lock guards it.

    ``latency_ratio`` is its latency relative to the usual latency of the same route, and
    ``failure_rate`` is the share of its attempts that were refused or failed; both are smoothed.
    ``other_requests`` is the number of requests at the searcher that this gateway did not send, by
    the searcher's latest report, and ``overdue`` the number of calls in flight that had no answer
    when a hedge was due. Until ``paused_until``, the searcher wants no requests.
    """

    def __init__(self, entry: SearcherEntry, max_connections: int, now: Millis) -> None:
        self.entry = entry
        self.max_connections = max_connections
        self.state = ReplicaState.ACTIVE
        self.idle: list[SearcherTask] = []
        self.connection_count = 0
        self.in_flight = 0
        self.overdue = 0
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
        self.paused_until = Millis(0.0)

    def is_usable(self, now: Millis) -> bool:
        """Return whether the searcher may be sent a request now."""
        if self.is_paused(now):
            return False
        match self.state:
            case ReplicaState.ACTIVE:
                return True
            case ReplicaState.EJECTED:
                return now >= self.ejected_until and self.in_flight == 0
            case ReplicaState.LEAVING:
                return now < self.usable_until
            case ReplicaState.GONE:
                return False

    def is_paused(self, now: Millis) -> bool:
        """Return whether the searcher has asked for a pause that is not over."""
        return now < self.paused_until

    def abstains(self, now: Millis) -> bool:
        """Return whether the searcher cannot be sent a request because it leaves or pauses.

        An ejected searcher does not abstain, since a request may be tried there.
        """
        return self.is_paused(now) or (not self.is_listed and not self.is_usable(now))

    @property
    def is_listed(self) -> bool:
        """Whether the searcher is listed and not about to leave, as all gateways see it."""
        return self.state in (ReplicaState.ACTIVE, ReplicaState.EJECTED)

    def has_capacity(self) -> bool:
        """Return whether a connection is idle or another one may be opened."""
        return bool(self.idle) or self.connection_count < self.max_connections

    def free_places(self, now: Millis) -> int:
        """Return for how many more requests the searcher has room and connections.

        The requests of other gateways count less the older the report of them is, since they end
        meanwhile; after ``LOAD_REPORT_TTL``, only the calls of this gateway count.
        """
        connections = len(self.idle) + max(0, self.max_connections - self.connection_count)
        connections = max(connections, int(self.has_capacity()))
        freshness = max(0.0, 1.0 - (now - self.load_reported_at) / LOAD_REPORT_TTL)
        load = self.in_flight + int(self.other_requests * freshness)
        return max(0, min(connections, self.entry.slots * ROOM_PER_SLOT - load))

    def has_room(self, now: Millis) -> bool:
        """Return whether the searcher has room for another request."""
        return self.free_places(now) > 0

    def cost(self, now: Millis) -> float:
        """Return the cost of a request at this searcher; the lowest cost is preferred.

        It grows with the searcher's latency, its load and its failure rate.
        """
        latency_ratio = self.latency_ratio
        if self.in_flight == 0 and now - self.latency_ratio_updated_at > LATENCY_RATIO_TTL:
            latency_ratio = min(latency_ratio, 1.0)
        if now < self.cold_until:
            latency_ratio *= COLD_START_FACTOR
        other_requests = self.other_requests if now - self.load_reported_at < LOAD_REPORT_TTL else 0
        load_per_slot = (self.in_flight + other_requests) / self.entry.slots
        return (
            latency_ratio * (1.0 + load_per_slot)
            + OVERDUE_COST * self.overdue
            + FAILURE_COST * self.current_failure_rate(now)
        )

    def current_failure_rate(self, now: Millis) -> float:
        """Return the failure rate, decayed by the time since its last update."""
        if self.failure_rate < MIN_FAILURE_RATE:
            return 0.0
        return float(
            self.failure_rate
            * 0.5 ** ((now - self.failure_rate_updated_at) / FAILURE_RATE_HALF_LIFE)
        )

    def raise_failure_rate(self, now: Millis) -> None:
        """Record an attempt that was refused or failed."""
        self._update_failure_rate(1.0, now)

    def _update_failure_rate(self, failed: float, now: Millis) -> None:
        failure_rate = self.current_failure_rate(now)
        self.failure_rate = failure_rate + FAILURE_RATE_WEIGHT * (failed - failure_rate)
        self.failure_rate_updated_at = now

    def record_success(self, ratio: float, now: Millis) -> bool:
        """Record an answer; return ``True`` if it ends an ejection.

        ``ratio`` is its latency relative to the usual latency of the route.
        """
        self.consecutive_failures = 0
        self._update_failure_rate(0.0, now)
        is_slow = ratio > self.latency_ratio > SLOW_LATENCY_RATIO
        weight = SLOW_RATIO_WEIGHT if is_slow else LATENCY_RATIO_WEIGHT
        self.latency_ratio += weight * (min(ratio, MAX_LATENCY_RATIO) - self.latency_ratio)
        self.latency_ratio_updated_at = now
        if self.state is not ReplicaState.EJECTED:
            return False
        self.state = ReplicaState.ACTIVE
        self.next_ejection_time = INITIAL_EJECTION_TIME
        return True

    def record_failure(self, now: Millis) -> bool:
        """Record a failure; return ``True`` if it ejects the searcher, or does so again."""
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

    def pause(self, until: Millis) -> None:
        """Send no requests before ``until``, or before the end of a longer pause."""
        self.paused_until = max(self.paused_until, until)

    def start_leaving(self, usable_until: Millis) -> None:
        """Prefer any other searcher from now on, and send nothing after ``usable_until``."""
        if self.state not in (ReplicaState.LEAVING, ReplicaState.GONE):
            self.state = ReplicaState.LEAVING
            self.usable_until = usable_until

    def restore(self) -> None:
        """Make a leaving or gone searcher active again."""
        if self.state in (ReplicaState.LEAVING, ReplicaState.GONE):
            self.state = ReplicaState.ACTIVE
            self.consecutive_failures = 0
