"""The queue of one service's work, which is served by rank or by arrival as the policy says.

The rank of work is its urgency: urgent, standard or bulk. By rank, urgent work is served first, and
the floor of a lower rank is the share of the served work that it gets even when more urgent work is
queued.
"""

from collections.abc import Iterator, Mapping

from sortedcontainers import SortedKeyList

from .._ids import Millis
from .._ranks import Rank
from ._policy import ArrivalOrder, Order, RankOrder
from ._work import BookingWork, QueueEntry, SearchWork

MAX_FLOOR_CREDIT = 2.0
"""The limit on the credit for a rank's unused floor, in pieces of work; credit above it is lost."""


def _admission_number(entry: QueueEntry) -> float:
    match entry.work:
        case SearchWork(admission_number=admission_number):
            return admission_number
        case BookingWork():
            return 0.0


class RankQueue:
    """The queued entries of one service; callers hold the lock of the service pool.

    ``credit`` counts the pieces of work that each rank is owed by its floor. ``by_arrival`` and
    ``by_admission_number`` hold the same entries in two orders. The admission number is a random
    number, drawn once for each query, so that all owners of its services order overloaded queues
    in the same way. A booking has none and comes first.
    """

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
        """Return the number of queued entries of ``rank``."""
        return len(self.by_arrival[rank])

    def oldest_wait(self, rank: Rank, now: Millis) -> Millis:
        """Return how long ago the entry at the head of ``rank`` arrived, 0 if there is none.

        A retried entry is queued last but keeps its time of arrival, so it may be older.
        """
        oldest = next(iter(self.by_arrival[rank].values()), None)
        return Millis(now - oldest.queued_at) if oldest else Millis(0.0)

    def entries(self) -> Iterator[QueueEntry]:
        """Iterate over all queued entries."""
        for rank in Rank:
            yield from self.by_arrival[rank].values()

    def add(self, entry: QueueEntry) -> None:
        """Add an entry to the queue."""
        rank = entry.work.rank
        self.by_arrival[rank][id(entry)] = entry
        self.by_admission_number[rank].add(entry)
        self.size += 1

    def remove(self, entry: QueueEntry) -> None:
        """Remove an entry if it is queued."""
        rank = entry.work.rank
        if self.by_arrival[rank].pop(id(entry), None) is not None:
            self.by_admission_number[rank].remove(entry)
            self.size -= 1

    def first_rank(self) -> Rank | None:
        """Return the most urgent rank of which work is queued, ``None`` if nothing is queued."""
        return next((rank for rank in Rank if self.by_arrival[rank]), None)

    def pop(self, now: Millis) -> QueueEntry:
        """Remove and return the entry to serve next.

        :raises IndexError: nothing is queued.
        """
        match self.order:
            case ArrivalOrder():
                entry = self._oldest_entry()
            case RankOrder(shared_order_after=shared_order_after):
                entry = self._next_entry(self._next_rank(), now, shared_order_after)
        self.remove(entry)
        return entry

    def record_served(self, entry: QueueEntry) -> None:
        """Record that a popped entry was served, and credit each waiting rank with its floor.

        A rank without queued work loses its credit. The method isn't called for an entry past its
        deadline, which uses up no credit.
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
