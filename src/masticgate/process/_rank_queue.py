"""Orders pending work: urgent first, with floors for the lower ranks."""

from collections.abc import Iterator, Mapping

from sortedcontainers import SortedKeyList

from .._ids import Millis
from .._ranks import Rank
from ._policy import ArrivalOrder, Order, RankOrder
from ._work import BookingWork, Entry, SearchWork

MAX_FLOOR_CREDIT = 2.0
"""The pieces of work that a rank may be owed; older claims lapse."""


def _number(entry: Entry) -> float:
    match entry.work:
        case SearchWork(number=number):
            return number
        case BookingWork():
            return 0.0


class RankQueue:
    """Pending entries of one service; its owner's lock guards it."""

    def __init__(self, order: Order, floors: Mapping[Rank, float]) -> None:
        self.order = order
        self.floors = dict(floors)
        self.credit = dict.fromkeys(Rank, 0.0)
        self.by_age: dict[Rank, dict[int, Entry]] = {rank: {} for rank in Rank}
        self.by_number = {rank: SortedKeyList(key=_number) for rank in Rank}

    def __len__(self) -> int:
        return sum(len(entries) for entries in self.by_age.values())

    def depth(self, rank: Rank) -> int:
        """Return the number of pending entries of ``rank``."""
        return len(self.by_age[rank])

    def oldest_wait(self, rank: Rank, now: Millis) -> Millis:
        """Return how long the oldest pending entry of ``rank`` has waited, 0 where none does."""
        oldest = next(iter(self.by_age[rank].values()), None)
        return Millis(now - oldest.queued_at) if oldest else Millis(0.0)

    def entries(self) -> Iterator[Entry]:
        """Iterate over all pending entries."""
        for rank in Rank:
            yield from self.by_age[rank].values()

    def add(self, entry: Entry) -> None:
        """Add a pending entry."""
        rank = entry.work.rank
        self.by_age[rank][id(entry)] = entry
        self.by_number[rank].add(entry)

    def remove(self, entry: Entry) -> None:
        """Remove an entry, pending or not."""
        rank = entry.work.rank
        if self.by_age[rank].pop(id(entry), None) is not None:
            self.by_number[rank].remove(entry)

    def pop(self, now: Millis) -> Entry | None:
        """Remove and return the entry to serve next."""
        match self.order:
            case ArrivalOrder():
                entry = self._oldest_of_all()
            case RankOrder(shared_order_after=limit):
                rank = self._next_rank()
                entry = None if rank is None else self._next_of(rank, now, limit)
        if entry is not None:
            self.remove(entry)
        return entry

    def _oldest_of_all(self) -> Entry | None:
        heads = [next(iter(entries.values())) for entries in self.by_age.values() if entries]
        return min(heads, key=lambda entry: entry.queued_at, default=None)

    def _next_rank(self) -> Rank | None:
        waiting = [rank for rank in Rank if self.by_age[rank]]
        if not waiting:
            return None
        for rank in Rank:
            earned = self.credit[rank] + self.floors.get(rank, 0.0)
            self.credit[rank] = min(MAX_FLOOR_CREDIT, earned) if rank in waiting else 0.0
        owed = [rank for rank in waiting if self.credit[rank] >= 1.0]
        chosen = owed[0] if owed else waiting[0]
        if owed:
            self.credit[chosen] -= 1.0
        return chosen

    def _next_of(self, rank: Rank, now: Millis, limit: Millis) -> Entry:
        if self.oldest_wait(rank, now) > limit:
            first: Entry = self.by_number[rank][0]
            return first
        return next(iter(self.by_age[rank].values()))
