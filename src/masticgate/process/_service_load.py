"""Measures one service's demand by rank, and the rate of work that it can admit.

The rank of work is its urgency: urgent, standard or bulk. The owner of the service, which queues
its work, keeps these statistics and reports the admitted share of each rank to the other hosts.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from math import exp

from .._ids import Millis
from .._ranks import Rank

DEMAND_WINDOW = Millis(1500.0)
"""The time constant of the moving average of demand."""

DEMAND_JUMP_FACTOR = 2.0
DEMAND_JUMP_COUNT = 30
"""The latest demand replaces its average at once if it is more than this many times the average,
and at least this many pieces of work arrived since the last update."""

CAPACITY_WINDOW = Millis(10_000.0)
"""The time constant with which older completions lose their weight in the capacity."""

MIN_COMPLETIONS = 20.0
"""The capacity counts as known after this many completions while other work was waiting."""

MAX_COMPLETION_GAP = Millis(500.0)
"""A longer time between two completions counts as a stall of this host, not of the searchers, and
is left out of the capacity."""

INITIAL_SHARE = 0.95
"""The share of the estimated capacity that is admitted when refusing begins."""

TARGET_BACKLOG = Millis(30.0)
"""The backlog above which the admitted rate is lowered.

A backlog is stated as the time in which it would be completed at the admitted rate.
"""

SAMPLE_WEIGHT = 0.3
"""The weight of the latest sample in the averages of backlog and utilisation."""

MAX_GROWTH = 0.2
MAX_DECREASE = 0.06
"""The largest relative changes of the admitted rate in one update: it rises while slots are idle,
and falls while there is a backlog."""

MIN_REFUSAL_WAIT = Millis(100.0)
"""The time that some work has to have waited before any is refused."""

RELEASE_AFTER = Millis(2000.0)
"""Refusing ends once the admitted rate has covered all demand for this long."""


@dataclass(frozen=True, slots=True)
class PoolSample:
    """The state of a service's queue and searchers at one moment.

    ``slots`` is how many requests the searchers can run at once, ``in_flight`` how many attempts
    are running, ``pending`` how much work is queued, and ``max_wait`` how long the oldest of that
    has waited.
    """

    now: Millis
    slots: int
    in_flight: int
    pending: int
    max_wait: Millis


class ServiceLoad:
    """The demand and the admitted rate of one service; callers hold the lock of its pool.

    Everything is admitted until work has waited too long. The first admitted rate is then
    estimated from the completions per slot while work was waiting. After that it is corrected by
    its own effect: idle slots raise it, a backlog lowers it.

    ``admitted_rate`` and ``demand`` are in pieces of work per millisecond. ``limited_at`` is the
    last update at which the admitted rate did not cover all demand.
    """

    def __init__(self, now: Millis) -> None:
        self.arrived = dict.fromkeys(Rank, 0)
        self.demand = dict.fromkeys(Rank, 0.0)
        self.busy_completions = 0.0
        self.busy_slot_millis = 0.0
        self.last_completion = now
        self.had_backlog = False
        self.last_update = now
        self.limited_at = now
        self.admitted_rate: float | None = None
        self.slots = 0
        self.backlog = 0.0
        self.utilisation = 1.0

    def record_arrivals(self, rank: Rank, count: int = 1) -> None:
        """Record demand, whether the work arrived here or its entry host refused it.

        The entry host of a request is the host that received it from the caller.
        """
        self.arrived[rank] += count

    def record_completion(self, now: Millis, slots: int, backlog: bool) -> None:
        """Record one completion; ``backlog`` says whether other work is still queued."""
        elapsed = now - self.last_completion
        if self.had_backlog and elapsed < MAX_COMPLETION_GAP:
            self.busy_completions += 1
            self.busy_slot_millis += elapsed * slots
        self.last_completion = now
        self.had_backlog = backlog

    def update(self, sample: PoolSample) -> None:
        """Update the averages and the admitted rate with what happened since the last update."""
        self._scale_to_slots(sample.slots)
        self._start_refusing(sample)
        self._adjust_rate(sample)
        elapsed = max(1.0, sample.now - self.last_update)
        self.last_update = sample.now
        weight = 1.0 - exp(-elapsed / DEMAND_WINDOW)
        for rank in Rank:
            self._update_demand(rank, elapsed, weight)
        decay = exp(-elapsed / CAPACITY_WINDOW)
        self.busy_completions *= decay
        self.busy_slot_millis *= decay

    def shares(self, floors: Mapping[Rank, float]) -> dict[Rank, float]:
        """Return the share of each rank's demand to admit, 1 while nothing has to be refused.

        Also end refusing once :data:`RELEASE_AFTER` allows it. ``floors`` maps each rank to the
        share of the capacity that it is guaranteed.
        """
        if self.admitted_rate is None:
            return dict.fromkeys(Rank, 1.0)
        shares = share_capacity(self.admitted_rate, self.demand, floors)
        if min(shares.values()) < 1.0:
            self.limited_at = self.last_update
        elif self.last_update - self.limited_at >= RELEASE_AFTER:
            self.admitted_rate = None
        return shares

    def capacity(self, slots: int) -> float | None:
        """Return the completions per millisecond of ``slots`` slots, ``None`` while unknown."""
        if self.busy_completions < MIN_COMPLETIONS:
            return None
        return self.busy_completions / max(1.0, self.busy_slot_millis) * slots

    def _start_refusing(self, sample: PoolSample) -> None:
        if self.admitted_rate is not None or sample.max_wait < MIN_REFUSAL_WAIT:
            return
        capacity = self.capacity(sample.slots)
        if capacity is not None:
            self.admitted_rate = capacity * INITIAL_SHARE
            self.limited_at = sample.now

    def _scale_to_slots(self, slots: int) -> None:
        """Scale the admitted rate at once when the slots change, as when a searcher is lost."""
        if self.admitted_rate is not None and slots and self.slots and slots != self.slots:
            self.admitted_rate *= slots / self.slots
        self.slots = slots or self.slots

    def _adjust_rate(self, sample: PoolSample) -> None:
        """Correct the admitted rate by the backlog and the idle slots that it leads to.

        The age of the oldest work would be a misleading measure of the backlog: under overload,
        work is served by admission number, a random number of its query, so that the work with the
        highest numbers waits until its deadline, however short the queue is.
        """
        if self.admitted_rate is None or not sample.slots:
            return
        used_share = min(1.0, sample.in_flight / sample.slots)
        self.utilisation += SAMPLE_WEIGHT * (used_share - self.utilisation)
        self.backlog += SAMPLE_WEIGHT * (sample.pending / self.admitted_rate - self.backlog)
        excess = max(0.0, min(1.0, self.backlog / TARGET_BACKLOG - 1.0))
        is_limiting = self.last_update == self.limited_at
        growth = MAX_GROWTH * (1.0 - self.utilisation) if is_limiting else 0.0
        self.admitted_rate *= 1.0 + growth - MAX_DECREASE * excess

    def _update_demand(self, rank: Rank, elapsed: float, weight: float) -> None:
        average = self.demand[rank]
        count = self.arrived[rank]
        rate = count / elapsed
        jumped = count >= DEMAND_JUMP_COUNT and rate > average * DEMAND_JUMP_FACTOR
        self.demand[rank] = rate if jumped else average + weight * (rate - average)
        self.arrived[rank] = 0


def share_capacity(
    capacity: float, demand: Mapping[Rank, float], floors: Mapping[Rank, float]
) -> dict[Rank, float]:
    """Return the share of each rank's demand that ``capacity`` can take, from 0 to 1.

    Each rank gets the capacity that the more urgent ranks and the floors of the less urgent ones
    leave, but at least its own floor, which is a share of the capacity, and at most its demand.
    ``capacity`` and ``demand`` are rates in the same unit.
    """
    guaranteed = {rank: min(demand[rank], floors.get(rank, 0.0) * capacity) for rank in Rank}
    remaining = capacity
    shares: dict[Rank, float] = {}
    for rank in Rank:
        below = sum(guaranteed[other] for other in Rank if other > rank)
        granted = min(demand[rank], max(guaranteed[rank], remaining - below))
        remaining = max(0.0, remaining - granted)
        shares[rank] = granted / demand[rank] if demand[rank] > 0 else 1.0
    return shares
