"""What an owner measures of one service: its demand by rank and its capacity."""

from collections.abc import Mapping
from math import exp

from .._ids import Millis
from .._ranks import Rank

DEMAND_WINDOW = Millis(1500.0)
CAPACITY_WINDOW = Millis(10_000.0)
MINIMUM_EVIDENCE = 20.0
"""Completions under backlog before the capacity counts as known."""

FIRST_HEADROOM = 1.05
"""Admitted work over the estimated capacity; a little too much keeps the slots busy."""

SMALLEST_HEADROOM = 0.8
LARGEST_HEADROOM = 4.0
HEADROOM_STEP = 0.04
"""How much a tick changes the headroom: up while nothing waits long, down while work does."""

SHORT_WAIT = Millis(50.0)
LONG_WAIT = Millis(150.0)

ENGAGE_WAIT = Millis(100.0)
"""Work has to wait this long before any is refused."""

RELEASE_AFTER = Millis(2000.0)
"""Nothing is refused any more once no work has waited so long for this time."""

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
        self.last_wait = Millis(now - RELEASE_AFTER)
        self.headroom = FIRST_HEADROOM

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

    def tick(self, now: Millis, longest_wait: Millis) -> None:
        """Fold the counts since the last tick into the averages."""
        self._adapt(now, longest_wait)
        elapsed = max(1.0, now - self.last_tick)
        self.last_tick = now
        weight = 1.0 - exp(-elapsed / DEMAND_WINDOW)
        for rank in Rank:
            rate = self.arrived[rank] / elapsed
            self.demand[rank] += weight * (rate - self.demand[rank])
            self.arrived[rank] = 0
        decay = exp(-elapsed / CAPACITY_WINDOW)
        self.busy_completions *= decay
        self.busy_slot_millis *= decay

    def shares(self, slots: int, floors: Mapping[Rank, float]) -> dict[Rank, float]:
        """Return the share of each rank's demand to admit: all of it while the queue is short."""
        capacity = self.capacity(slots)
        if capacity is None or self.last_tick - self.last_wait >= RELEASE_AFTER:
            return dict.fromkeys(Rank, 1.0)
        return share_capacity(capacity * self.headroom, self.demand, floors)

    def _adapt(self, now: Millis, longest_wait: Millis) -> None:
        """Correct an estimate that proves too low or too high by how long work waits."""
        if longest_wait >= ENGAGE_WAIT:
            self.last_wait = now
        if longest_wait < SHORT_WAIT:
            self.headroom = min(LARGEST_HEADROOM, self.headroom * (1 + HEADROOM_STEP))
        elif longest_wait > LONG_WAIT:
            self.headroom = max(SMALLEST_HEADROOM, self.headroom * (1 - HEADROOM_STEP))
        if now - self.last_wait >= RELEASE_AFTER:
            self.headroom = FIRST_HEADROOM

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
