"""What an owner measures of one service: its demand by rank and its capacity."""

from collections.abc import Mapping
from math import exp

from .._ids import Millis
from .._ranks import Rank

DEMAND_WINDOW = Millis(1500.0)
CAPACITY_WINDOW = Millis(10_000.0)
MINIMUM_EVIDENCE = 20.0
"""Completions under backlog before the capacity counts as known."""

FIRST_HEADROOM = 0.95
SMALLEST_HEADROOM = 0.8
LARGEST_HEADROOM = 4.0
"""Bounds of admitted work over the estimated capacity."""

HEADROOM_GAIN = 0.04
"""The most that one tick changes the headroom."""

TARGET_BACKLOG = Millis(30.0)
"""The backlog, as the time its searchers need for it, at which the headroom is right."""

BACKLOG_WEIGHT = 0.3
"""The weight of the latest tick in the averaged backlog."""

ENGAGE_WAIT = Millis(100.0)
"""Work has to wait this long before any is refused."""

DEMAND_JUMP = 2.0
DEMAND_JUMP_COUNT = 30
"""Demand that rises by this factor, by this many pieces of work, is taken over at once."""

RELEASE_AFTER = Millis(2000.0)
"""Refusing ends once all demand has fitted for this time."""

LONGEST_GAP = Millis(500.0)
"""A longer time between two completions is a stall of this host, not of the searchers."""


class ServiceLoad:
    """Demand and capacity of one service; the lock of its pool guards it.

    Capacity is the rate of completions a slot while work was waiting, so that it is known
    without a word from the searchers.
    """

    def __init__(self, now: Millis) -> None:
        self.arrived = dict.fromkeys(Rank, 0)
        self.demand = dict.fromkeys(Rank, 0.0)
        self.busy_completions = 0.0
        self.busy_slot_millis = 0.0
        self.last_completion = now
        self.had_backlog = False
        self.last_tick = now
        self.engaged = False
        self.exceeded_at = now
        self.headroom = FIRST_HEADROOM
        self.backlog = 0.0

    def arrive(self, rank: Rank, count: int = 1) -> None:
        """Count work asked for, whether it came here or was refused at its entry."""
        self.arrived[rank] += count

    def complete(self, now: Millis, slots: int, backlog: bool) -> None:
        """Count one completion; ``backlog`` tells whether work still waits."""
        elapsed = now - self.last_completion
        if self.had_backlog and elapsed < LONGEST_GAP:
            self.busy_completions += 1
            self.busy_slot_millis += elapsed * slots
        self.last_completion = now
        self.had_backlog = backlog

    def tick(self, now: Millis, slots: int, pending: int, longest_wait: Millis) -> None:
        """Fold the counts since the last tick into the averages.

        ``pending`` pieces of work wait now, the oldest for ``longest_wait``.
        """
        self._engage(now, longest_wait)
        self._adapt(slots, pending)
        elapsed = max(1.0, now - self.last_tick)
        self.last_tick = now
        weight = 1.0 - exp(-elapsed / DEMAND_WINDOW)
        for rank in Rank:
            self._average(rank, elapsed, weight)
        decay = exp(-elapsed / CAPACITY_WINDOW)
        self.busy_completions *= decay
        self.busy_slot_millis *= decay

    def _average(self, rank: Rank, elapsed: float, weight: float) -> None:
        known = self.demand[rank]
        count = self.arrived[rank]
        rate = count / elapsed
        jumped = count >= DEMAND_JUMP_COUNT and rate > known * DEMAND_JUMP
        self.demand[rank] = rate if jumped else known + weight * (rate - known)
        self.arrived[rank] = 0

    def shares(self, slots: int, floors: Mapping[Rank, float]) -> dict[Rank, float]:
        """Return the share of each rank's demand to admit: all of it until work waits long."""
        capacity = self.capacity(slots)
        if capacity is None or not self.engaged:
            return dict.fromkeys(Rank, 1.0)
        shares = share_capacity(capacity * self.headroom, self.demand, floors)
        if min(shares.values()) < 1.0:
            self.exceeded_at = self.last_tick
        elif self.last_tick - self.exceeded_at >= RELEASE_AFTER:
            self.engaged = False
        return shares

    def _engage(self, now: Millis, longest_wait: Millis) -> None:
        if longest_wait >= ENGAGE_WAIT and not self.engaged:
            self.engaged = True
            self.exceeded_at = now
            self.headroom = FIRST_HEADROOM

    def _adapt(self, slots: int, pending: int) -> None:
        """Correct an estimate that proves too low or too high by the backlog it leads to.

        The age of the oldest work would mislead: under overload the work with the highest numbers
        waits until its deadline, however short the queue is.
        """
        capacity = self.capacity(slots)
        if not capacity:
            return
        self.backlog += BACKLOG_WEIGHT * (pending / capacity - self.backlog)
        error = max(-1.0, min(1.0, (TARGET_BACKLOG - self.backlog) / TARGET_BACKLOG))
        changed = self.headroom * (1 + HEADROOM_GAIN * error)
        self.headroom = max(SMALLEST_HEADROOM, min(LARGEST_HEADROOM, changed))

    def capacity(self, slots: int) -> float | None:
        """Return completions a millisecond over ``slots`` slots, ``None`` while unknown."""
        if self.busy_completions < MINIMUM_EVIDENCE:
            return None
        return self.busy_completions / max(1.0, self.busy_slot_millis) * slots


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
