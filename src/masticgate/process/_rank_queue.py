"""Orders pending work: urgent first, with floors for the lower ranks."""

from collections.abc import Iterator, Mapping

from sortedcontainers import SortedKeyList

from .._ids import Millis
from .._ranks import Rank
from ._policy import ArrivalOrder, Order, RankOrder
from ._work import BookingWork, QueueEntry, SearchWork

MAX_FLOOR_CREDIT = 2.0
"""The pieces of work that a rank may be owed; older claims lapse."""


def _admission_number(entry: QueueEntry) -> float:
    match entry.work:
        case SearchWork(admission_number=admission_number):
            return admission_number
        case BookingWork():
            return 0.0


class RankQueue:
    """Pending entries of one service; its owner's lock guards it."""

    def __init__(self, order: Order, floors: Mapping[Rank, float]) -> None:
        self.order = order
        self.size = 0
        self.floors = dict(floors)
        self.credit = dict.fromkeys(Rank, 0.0)
        self.by_arrival: dict[Rank, dict[int, QueueEntry]] = {rank: {} for rank in Rank}
        self.by_admission_number = {rank: SortedKeyList(key=_admission_number) for rank in Rank}

    def __len__(self) -> int:
        return self.size

    def depth(self, rank: Rank) -> int:
        """Return the number of pending entries of ``rank``."""
        return len(self.by_arrival[rank])

    def oldest_wait(self, rank: Rank, now: Millis) -> Millis:
        """Return how long the oldest pending entry of ``rank`` has waited, 0 where none does."""
        oldest = next(iter(self.by_arrival[rank].values()), None)
        return Millis(now - oldest.queued_at) if oldest else Millis(0.0)

    def entries(self) -> Iterator[QueueEntry]:
        """Iterate over all pending entries."""
        for rank in Rank:
            yield from self.by_arrival[rank].values()

    def add(self, entry: QueueEntry) -> None:
        """Add a pending entry."""
        rank = entry.work.rank
        self.by_arrival[rank][id(entry)] = entry
        self.by_admission_number[rank].add(entry)
        self.size += 1

    def remove(self, entry: QueueEntry) -> None:
        """Remove an entry, pending or not."""
        rank = entry.work.rank
        if self.by_arrival[rank].pop(id(entry), None) is not None:
            self.by_admission_number[rank].remove(entry)
            self.size -= 1

    def first_rank(self) -> Rank | None:
        """Return the most urgent rank that waits."""
        return next((rank for rank in Rank if self.by_arrival[rank]), None)

    def pop(self, now: Millis) -> QueueEntry:
        """Remove and return the entry to serve next.

        :raises IndexError: nothing is pending.
        """
        match self.order:
            case ArrivalOrder():
                entry = self._oldest_entry()
            case RankOrder(shared_order_after=shared_order_after):
                entry = self._next_entry(self._next_rank(), now, shared_order_after)
        self.remove(entry)
        return entry

    def record_served(self, entry: QueueEntry) -> None:
        """Count a popped entry as served: each waiting rank earns its floor.

        An entry that expired in the queue is not charged, so that it uses up no floor.
        """
        served = entry.work.rank
        for rank in Rank:
            if rank is served and self.credit[rank] >= 1.0:
                self.credit[rank] -= 1.0
            if not self.by_arrival[rank]:
                self.credit[rank] = 0.0
            else:
                earned = self.credit[rank] + self.floors.get(rank, 0.0)
                self.credit[rank] = min(MAX_FLOOR_CREDIT, earned)

    def _oldest_entry(self) -> QueueEntry:
        heads = [next(iter(entries.values())) for entries in self.by_arrival.values() if entries]
        return min(heads, key=lambda entry: entry.queued_at)

    def _next_rank(self) -> Rank:
        waiting = [rank for rank in Rank if self.by_arrival[rank]]
        owed = [rank for rank in waiting if self.credit[rank] >= 1.0]
        return (owed or waiting)[0]

    def _next_entry(self, rank: Rank, now: Millis, shared_order_after: Millis) -> QueueEntry:
        if self.oldest_wait(rank, now) > shared_order_after:
            first: QueueEntry = self.by_admission_number[rank][0]
            return first
        return next(iter(self.by_arrival[rank].values()))
