"""The state of one searcher as one gateway sees it, and the cost by which it is chosen."""

from enum import Enum

from ..._ids import Millis
from ...connection.gateway import SearcherTask
from ...version.gateway import SearcherEntry
from .evacuation import EvacuatedDomains
from .searchers import ColdGuard, ColdLimits, ConcurrencyLimit, Speed

FAILURES_TO_EJECT = 2
"""The number of consecutive failures after which a searcher is ejected."""

INITIAL_EJECTION_TIME = Millis(500.0)
"""The duration of the first ejection; each further one without a success lasts twice as long."""

MAX_EJECTION_TIME = Millis(4_000.0)
"""The upper bound on the duration of an ejection."""

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


EVACUATION_CHECK_TIME = Millis(1_000.0)
"""The time after which an evacuation may have ended; how long it lasts is not known."""


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

    ``speed`` estimates its latency relative to the usual latency of the same route, ``limit``
    bounds the requests that it should have in progress, and ``failure_rate`` is the smoothed share
    of its attempts that were refused or failed.
    ``other_requests`` is the number of requests at the searcher that this gateway did not send, by
    the searcher's latest report, and ``overdue`` the number of calls in flight that had no answer
    when a hedge was due. Until ``paused_until``, the searcher wants no requests. ``evacuated``
    holds the failure domains that are evacuated. The searcher is cold until ``cold_until``, and
    ``cold`` bounds what it gets meanwhile.
    """

    def __init__(
        self,
        entry: SearcherEntry,
        max_connections: int,
        now: Millis,
        evacuated: EvacuatedDomains | None = None,
        cold_limits: ColdLimits | None = None,
    ) -> None:
        self.entry = entry
        self.evacuated = evacuated or EvacuatedDomains()
        self.cold = ColdGuard(
            entry.id, entry.service, cold_limits or ColdLimits(()), Millis(now + entry.cold)
        )
        self.max_connections = max_connections
        self.state = ReplicaState.ACTIVE
        self.idle: list[SearcherTask] = []
        self.connection_count = 0
        self.in_flight = 0
        self.overdue = 0
        self.last_used_at = now
        self.cold_until = Millis(now + entry.cold)
        self.speed = Speed()
        self.limit = ConcurrencyLimit(entry.slots)
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
        if not self.accepts(now):
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

    def is_evacuated(self) -> bool:
        """Return whether the searcher is in a failure domain that is evacuated."""
        return self.evacuated.covers(self.entry)

    def is_withheld(self, now: Millis) -> bool:
        """Return whether the searcher gets nothing now, not even a connection."""
        return self.is_paused(now) or self.is_evacuated()

    def cold_wait(self, now: Millis) -> Millis:
        """Return for how long the searcher gets nothing since it is cold."""
        return self.cold.wait(now)

    def set_cold(self, until: Millis) -> None:
        """Treat the searcher as cold until a time; without a bound, its cost stays as it is."""
        self.cold.until = until
        if self.cold.is_bounded():
            self.cold_until = until

    def extend_cold(self, duration: Millis, now: Millis) -> None:
        """Treat the searcher as cold for at least ``duration`` from now on."""
        self.set_cold(max(self.cold.until, Millis(now + duration)))

    def accepts(self, now: Millis) -> bool:
        """Return whether anything may be sent to the searcher now, whatever its state is."""
        return not self.is_withheld(now) and not self.cold.wait(now)

    def is_last_resort(self, now: Millis) -> bool:
        """Return whether a request may be tried although the searcher is ejected."""
        return self.state is ReplicaState.EJECTED and self.accepts(now)

    def withheld_time(self, now: Millis) -> Millis:
        """Return how long the searcher gets nothing at least, or 0 if it may get something."""
        evacuation = EVACUATION_CHECK_TIME if self.is_evacuated() else Millis(0.0)
        return max(evacuation, Millis(self.paused_until - now), self.cold_wait(now))

    def abstains(self, now: Millis) -> bool:
        """Return whether the searcher cannot be sent a request: it leaves or accepts nothing.

        An ejected searcher does not abstain, since a request may be tried there.
        """
        return not self.accepts(now) or (not self.is_listed and not self.is_usable(now))

    @property
    def is_listed(self) -> bool:
        """Whether the searcher is listed and not about to leave, as all gateways see it."""
        return self.state in (ReplicaState.ACTIVE, ReplicaState.EJECTED)

    def has_capacity(self) -> bool:
        """Return whether a connection is idle or another one may be opened."""
        return bool(self.idle) or self.connection_count < self.max_connections

    def in_progress(self, now: Millis) -> int:
        """Return the number of requests at the searcher, as far as this gateway knows."""
        is_fresh = now - self.load_reported_at < LOAD_REPORT_TTL
        return self.in_flight + (self.other_requests if is_fresh else 0)

    def free_places(self, now: Millis) -> int:
        """Return for how many more requests the searcher has room and connections.

        The requests of other gateways count less the older the report of them is, since they end
        meanwhile; after ``LOAD_REPORT_TTL``, only the calls of this gateway count.
        """
        connections = len(self.idle) + max(0, self.max_connections - self.connection_count)
        connections = max(connections, int(self.has_capacity()))
        freshness = max(0.0, 1.0 - (now - self.load_reported_at) / LOAD_REPORT_TTL)
        load = self.in_flight + int(self.other_requests * freshness)
        places = min(int(self.limit.value(now)), self.entry.slots * ROOM_PER_SLOT)
        return max(0, min(connections, places - load))

    def has_room(self, now: Millis) -> bool:
        """Return whether the searcher has room for another request."""
        return self.free_places(now) > 0

    def cost(self, now: Millis, *, may_probe: bool = True) -> float:
        """Return the cost of a request at this searcher; the lowest cost is preferred.

        It grows with the searcher's latency, its load and its failure rate. ``may_probe`` says
        whether the request may find out if the searcher is still slow.
        """
        factor = self.speed.factor(now, may_probe=may_probe)
        if now < self.cold_until:
            factor *= COLD_START_FACTOR
        return (
            factor * (1.0 + self.in_progress(now) / self.entry.slots)
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

    def record_success(self, now: Millis) -> bool:
        """Record an answer; return ``True`` if it ends an ejection."""
        self.consecutive_failures = 0
        self._update_failure_rate(0.0, now)
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
