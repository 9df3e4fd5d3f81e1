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

    def __init__(self, entry: SearcherEntry, connections: int, now: Millis) -> None:
        self.entry = entry
        self.connections = connections
        self.state = ReplicaState.ACTIVE
        self.idle: list[SearcherTask] = []
        self.tasks = 0
        self.in_flight = 0
        self.used_at = now
        self.cold_until = Millis(now + entry.cold)
        self.slowness = 1.0
        self.measured_at = Millis(0.0)
        self.trouble = 0.0
        self.trouble_at = now
        self.waiting = 0
        self.reported_at = Millis(0.0)
        self.failures = 0
        self.ejection = INITIAL_EJECTION_TIME
        self.eligible_at = Millis(0.0)
        self.usable_until = Millis(0.0)

    def is_usable(self, now: Millis) -> bool:
        """Tell whether it may be sent a request now."""
        match self.state:
            case ReplicaState.ACTIVE:
                return True
            case ReplicaState.EJECTED:
                return now >= self.eligible_at and self.in_flight == 0
            case ReplicaState.LEAVING:
                return now < self.usable_until
            case ReplicaState.GONE:
                return False

    def has_room(self) -> bool:
        """Tell whether a connection is idle or may be opened."""
        return bool(self.idle) or self.tasks < self.connections

    def cost(self, now: Millis) -> float:
        """Return what orders the choice among searchers, the lowest first."""
        slowness = self.slowness
        if self.in_flight == 0 and now - self.measured_at > LATENCY_RATIO_TTL:
            slowness = min(slowness, 1.0)
        if now < self.cold_until:
            slowness *= COLD_START_FACTOR
        waiting = self.waiting if now - self.reported_at < LOAD_REPORT_TTL else 0
        busy = (self.in_flight + waiting) / self.entry.slots
        return slowness * (1.0 + busy) + FAILURE_COST * self.trouble_now(now)

    def trouble_now(self, now: Millis) -> float:
        """Return the share of failed sends, less the time since it was last observed."""
        if self.trouble < MIN_FAILURE_RATE:
            return 0.0
        return float(self.trouble * 0.5 ** ((now - self.trouble_at) / FAILURE_RATE_HALF_LIFE))

    def note_trouble(self, now: Millis) -> None:
        """Count a send that was refused or failed."""
        self._note_outcome(1.0, now)

    def _note_outcome(self, failed: float, now: Millis) -> None:
        trouble = self.trouble_now(now)
        self.trouble = trouble + FAILURE_RATE_WEIGHT * (failed - trouble)
        self.trouble_at = now

    def succeed(self, ratio: float, now: Millis) -> bool:
        """Count an answer; return ``True`` where it ends an ejection."""
        self.failures = 0
        self._note_outcome(0.0, now)
        self.slowness += LATENCY_RATIO_WEIGHT * (min(ratio, MAX_LATENCY_RATIO) - self.slowness)
        self.measured_at = now
        if self.state is not ReplicaState.EJECTED:
            return False
        self.state = ReplicaState.ACTIVE
        self.ejection = INITIAL_EJECTION_TIME
        return True

    def fail(self, now: Millis) -> bool:
        """Count a failure; return ``True`` where it ejects the searcher."""
        self.failures += 1
        self.note_trouble(now)
        if self.state is ReplicaState.ACTIVE and self.failures < FAILURES_TO_EJECT:
            return False
        if self.state not in (ReplicaState.ACTIVE, ReplicaState.EJECTED):
            return False
        self.state = ReplicaState.EJECTED
        self.eligible_at = Millis(now + self.ejection)
        self.ejection = min(MAX_EJECTION_TIME, Millis(self.ejection * 2))
        return True

    def leave(self, usable_until: Millis) -> None:
        """Prefer any other searcher from now on, and send it nothing after ``usable_until``."""
        if self.state not in (ReplicaState.LEAVING, ReplicaState.GONE):
            self.state = ReplicaState.LEAVING
            self.usable_until = usable_until

    def return_to_list(self) -> None:
        """Use it again: its listing was missing only for a while."""
        if self.state in (ReplicaState.LEAVING, ReplicaState.GONE):
            self.state = ReplicaState.ACTIVE
            self.failures = 0
