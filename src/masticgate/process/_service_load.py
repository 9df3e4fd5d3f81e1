"""What an owner measures of one service: its demand by rank, and the work it can take."""

from collections.abc import Mapping
from dataclasses import dataclass
from math import exp

from .._ids import Millis
from .._ranks import Rank

DEMAND_WINDOW = Millis(1500.0)
DEMAND_JUMP_FACTOR = 2.0
DEMAND_JUMP_COUNT = 30
"""Demand that rises by this factor, by this many pieces of work, is taken over at once."""

CAPACITY_WINDOW = Millis(10_000.0)
MIN_COMPLETIONS = 20.0
"""Completions under backlog before the capacity counts as known."""

MAX_COMPLETION_GAP = Millis(500.0)
"""A longer time between two completions is a stall of this host, not of the searchers."""

INITIAL_SHARE = 0.95
"""The part of the estimated capacity that is admitted first."""

TARGET_BACKLOG = Millis(30.0)
"""The backlog, as the time its searchers need for it, above which less is admitted."""

SAMPLE_WEIGHT = 0.3
"""The weight of the latest tick in the averages of backlog and utilisation."""

MAX_GROWTH = 0.2
MAX_DECREASE = 0.06
"""The most that one tick changes the admitted rate: up where slots idle, down on backlog."""

MIN_REFUSAL_WAIT = Millis(100.0)
"""Work has to wait this long before any is refused."""

RELEASE_AFTER = Millis(2000.0)
"""Refusing ends once all demand has fitted for this time."""


@dataclass(frozen=True, slots=True)
class PoolSample:
    """One look at a pool.

    ``slots`` may be filled now, ``in_flight`` pieces of work are sent, ``pending`` wait, the
    oldest of them for ``longest_wait``.
    """

    now: Millis
    slots: int
    in_flight: int
    pending: int
    max_wait: Millis


class ServiceLoad:
    """Demand and admitted rate of one service; the lock of its pool guards it.

    The first admitted rate comes from the completions a slot while work was waiting. From then
    on it follows what it leads to: idle slots raise it, a backlog lowers it.
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
        """Count work asked for, whether it came here or was refused at its entry."""
        self.arrived[rank] += count

    def record_completion(self, now: Millis, slots: int, backlog: bool) -> None:
        """Count one completion; ``backlog`` tells whether work still waits for full slots."""
        elapsed = now - self.last_completion
        if self.had_backlog and elapsed < MAX_COMPLETION_GAP:
            self.busy_completions += 1
            self.busy_slot_millis += elapsed * slots
        self.last_completion = now
        self.had_backlog = backlog

    def update(self, sample: PoolSample) -> None:
        """Fold what happened since the last tick into the averages."""
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
        """Return the share of each rank's demand to admit: all of it until work waits long."""
        if self.admitted_rate is None:
            return dict.fromkeys(Rank, 1.0)
        shares = share_capacity(self.admitted_rate, self.demand, floors)
        if min(shares.values()) < 1.0:
            self.limited_at = self.last_update
        elif self.last_update - self.limited_at >= RELEASE_AFTER:
            self.admitted_rate = None
        return shares

    def capacity(self, slots: int) -> float | None:
        """Return completions a millisecond over ``slots`` slots, ``None`` while unknown."""
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
        """Follow a searcher that was lost or came back at once."""
        if self.admitted_rate is not None and slots and self.slots and slots != self.slots:
            self.admitted_rate *= slots / self.slots
        self.slots = slots or self.slots

    def _adjust_rate(self, sample: PoolSample) -> None:
        """Follow the backlog and the idle slots that the admitted rate leads to.

        The age of the oldest work would mislead: under overload the work with the highest numbers
        waits until its deadline, however short the queue is.
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

    Each rank gets what the more urgent ones leave, but never less than its floor, and no more
    than it asks for. Both rates are in the same unit.
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
