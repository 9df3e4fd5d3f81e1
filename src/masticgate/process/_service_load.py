"""What an owner measures of one service: its demand by rank, and the work it can take."""

from collections.abc import Mapping
from dataclasses import dataclass
from math import exp

from .._ids import Millis
from .._ranks import Rank

DEMAND_WINDOW = Millis(1500.0)
DEMAND_JUMP = 2.0
DEMAND_JUMP_COUNT = 30
"""Demand that rises by this factor, by this many pieces of work, is taken over at once."""

CAPACITY_WINDOW = Millis(10_000.0)
MINIMUM_EVIDENCE = 20.0
"""Completions under backlog before the capacity counts as known."""

LONGEST_GAP = Millis(500.0)
"""A longer time between two completions is a stall of this host, not of the searchers."""

FIRST_SHARE = 0.95
"""The part of the estimated capacity that is admitted first."""

TARGET_BACKLOG = Millis(30.0)
"""The backlog, as the time its searchers need for it, above which less is admitted."""

TICK_WEIGHT = 0.3
"""The weight of the latest tick in the averages of backlog and utilisation."""

GROWTH = 0.2
DECREASE = 0.06
"""The most that one tick changes the admitted rate: up where slots idle, down on backlog."""

ENGAGE_WAIT = Millis(100.0)
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
    longest_wait: Millis


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
        self.last_tick = now
        self.exceeded_at = now
        self.rate: float | None = None
        self.slots = 0
        self.backlog = 0.0
        self.utilisation = 1.0

    def arrive(self, rank: Rank, count: int = 1) -> None:
        """Count work asked for, whether it came here or was refused at its entry."""
        self.arrived[rank] += count

    def complete(self, now: Millis, slots: int, backlog: bool) -> None:
        """Count one completion; ``backlog`` tells whether work still waits for full slots."""
        elapsed = now - self.last_completion
        if self.had_backlog and elapsed < LONGEST_GAP:
            self.busy_completions += 1
            self.busy_slot_millis += elapsed * slots
        self.last_completion = now
        self.had_backlog = backlog

    def tick(self, reading: PoolSample) -> None:
        """Fold what happened since the last tick into the averages."""
        self._follow_slots(reading.slots)
        self._engage(reading)
        self._adapt(reading)
        elapsed = max(1.0, reading.now - self.last_tick)
        self.last_tick = reading.now
        weight = 1.0 - exp(-elapsed / DEMAND_WINDOW)
        for rank in Rank:
            self._average(rank, elapsed, weight)
        decay = exp(-elapsed / CAPACITY_WINDOW)
        self.busy_completions *= decay
        self.busy_slot_millis *= decay

    def shares(self, floors: Mapping[Rank, float]) -> dict[Rank, float]:
        """Return the share of each rank's demand to admit: all of it until work waits long."""
        if self.rate is None:
            return dict.fromkeys(Rank, 1.0)
        shares = share_capacity(self.rate, self.demand, floors)
        if min(shares.values()) < 1.0:
            self.exceeded_at = self.last_tick
        elif self.last_tick - self.exceeded_at >= RELEASE_AFTER:
            self.rate = None
        return shares

    def capacity(self, slots: int) -> float | None:
        """Return completions a millisecond over ``slots`` slots, ``None`` while unknown."""
        if self.busy_completions < MINIMUM_EVIDENCE:
            return None
        return self.busy_completions / max(1.0, self.busy_slot_millis) * slots

    def _engage(self, reading: PoolSample) -> None:
        if self.rate is not None or reading.longest_wait < ENGAGE_WAIT:
            return
        capacity = self.capacity(reading.slots)
        if capacity is not None:
            self.rate = capacity * FIRST_SHARE
            self.exceeded_at = reading.now

    def _follow_slots(self, slots: int) -> None:
        """Follow a searcher that was lost or came back at once."""
        if self.rate is not None and slots and self.slots and slots != self.slots:
            self.rate *= slots / self.slots
        self.slots = slots or self.slots

    def _adapt(self, reading: PoolSample) -> None:
        """Follow the backlog and the idle slots that the admitted rate leads to.

        The age of the oldest work would mislead: under overload the work with the highest numbers
        waits until its deadline, however short the queue is.
        """
        if self.rate is None or not reading.slots:
            return
        used = min(1.0, reading.in_flight / reading.slots)
        self.utilisation += TICK_WEIGHT * (used - self.utilisation)
        self.backlog += TICK_WEIGHT * (reading.pending / self.rate - self.backlog)
        excess = max(0.0, min(1.0, self.backlog / TARGET_BACKLOG - 1.0))
        limits = self.last_tick == self.exceeded_at
        growth = GROWTH * (1.0 - self.utilisation) if limits else 0.0
        self.rate *= 1.0 + growth - DECREASE * excess

    def _average(self, rank: Rank, elapsed: float, weight: float) -> None:
        known = self.demand[rank]
        count = self.arrived[rank]
        rate = count / elapsed
        jumped = count >= DEMAND_JUMP_COUNT and rate > known * DEMAND_JUMP
        self.demand[rank] = rate if jumped else known + weight * (rate - known)
        self.arrived[rank] = 0


def share_capacity(
    capacity: float, demand: Mapping[Rank, float], floors: Mapping[Rank, float]
) -> dict[Rank, float]:
    """Return the share of each rank's demand that ``capacity`` can take, from 0 to 1.

    Each rank gets what the more urgent ones leave, but never less than its floor, and no more
    than it asks for. Both rates are in the same unit.
    """
    kept = {rank: min(demand[rank], floors.get(rank, 0.0) * capacity) for rank in Rank}
    left = capacity
    shares: dict[Rank, float] = {}
    for rank in Rank:
        below = sum(kept[other] for other in Rank if other > rank)
        granted = min(demand[rank], max(kept[rank], left - below))
        left = max(0.0, left - granted)
        shares[rank] = granted / demand[rank] if demand[rank] > 0 else 1.0
    return shares
