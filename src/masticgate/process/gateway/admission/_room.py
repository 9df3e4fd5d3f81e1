"""The requests that wait for room at the searchers of one service, and whose turn it is.

Load scenarios: a burst of one kind of request, and callers that all retry at once. The order is by
rank and then by deadline. A caller that retries has less time left than new callers of its rank, so
that it comes first; nothing else identifies it, since each attempt has a new id.

A request whose objective cannot be met any more comes after those of its rank that can still meet
theirs. In the order of deadlines alone, a longer burst would make all requests late.
"""

from bisect import insort
from dataclasses import dataclass

from ...._ids import Millis
from ....request.gateway import Call

LOWER_RANK_INTERVAL = 8
"""One in this many grants goes to a lower rank than that of the first request, if one waits.

Each kind of request has to be served at least a quarter as often as all together. With 4, a burst
of short urgent requests was served less often than the longer ones of the rank below.
"""


@dataclass(frozen=True, slots=True)
class Waiting:
    """A call that waits, and its ``number`` in the order of arrival.

    Sent after ``late_at``, it misses the objective of its route.
    """

    call: Call
    late_at: Millis
    number: int

    @property
    def rank(self) -> int:
        """The rank of the call's route; 0 is the most urgent."""
        return self.call.route.rank

    @property
    def key(self) -> tuple[int, float, int]:
        """The position in the queue: by rank, deadline and arrival."""
        return self.rank, self.call.deadline, self.number


class Room:
    """The queue of one service.

    ``reserved`` holds the calls that were granted room and have not been sent yet, by their object
    ids. ``grants`` counts the consecutive grants to the first request while a lower rank waited.
    """

    def __init__(self) -> None:
        self.queue: list[Waiting] = []
        self.reserved: dict[int, Call] = {}
        self.number = 0
        self.grants = 0

    @property
    def is_in_use(self) -> bool:
        """Return whether a call waits, or was granted room and has not been sent yet."""
        return bool(self.queue or self.reserved)

    def enqueue(self, call: Call, late_at: Millis) -> None:
        """Add ``call`` unless it waits already."""
        if any(waiting.call is call for waiting in self.queue):
            return
        self.number += 1
        insort(self.queue, Waiting(call, late_at, self.number), key=lambda waiting: waiting.key)

    def count_ahead(self, call: Call, now: Millis) -> int:
        """Return how many waiting requests come before ``call``, which waits."""
        for index, waiting in enumerate(self.queue):
            if waiting.call is call:
                return self._count_before(index, waiting.rank, now >= waiting.late_at, now)
        return len(self.queue)

    def count_ahead_of_new(self, rank: int, deadline: Millis, now: Millis) -> int:
        """Return how many waiting requests come before a new one, which is not late."""
        index = sum((w.rank, w.call.deadline) <= (rank, deadline) for w in self.queue)
        return self._count_before(index, rank, False, now)

    def grant(self, now: Millis) -> Call:
        """Reserve room for the request whose turn it is, and return its call.

        The queue must not be empty.
        """
        call = self.queue.pop(self._next_index(now)).call
        self.reserved[id(call)] = call
        return call

    def take_reservation(self, call: Call) -> bool:
        """End the reservation of ``call``, if it has one; return whether it had."""
        return self.reserved.pop(id(call), None) is not None

    def remove(self, call: Call) -> bool:
        """Remove ``call`` from the queue and the reservations; return whether it was there."""
        for index, waiting in enumerate(self.queue):
            if waiting.call is call:
                del self.queue[index]
                return True
        return self.take_reservation(call)

    def _count_before(self, index: int, rank: int, late: bool, now: Millis) -> int:
        """Return how many requests come before one at ``index`` that has ``rank``."""
        before = sum(w.rank < rank or late or now < w.late_at for w in self.queue[:index])
        if late:
            before += sum(w.rank == rank and now < w.late_at for w in self.queue[index + 1 :])
        return before

    def _next_index(self, now: Millis) -> int:
        """Return the position in the queue of the request whose turn it is."""
        first = self.queue[0].rank
        split = next((i for i, w in enumerate(self.queue) if w.rank != first), len(self.queue))
        self.grants = self.grants + 1 if split < len(self.queue) else 0
        if self.grants < LOWER_RANK_INTERVAL:
            return next((i for i in range(split) if now < self.queue[i].late_at), 0)
        self.grants = 0
        # By the wait and not by the rank, so that the lowest of several ranks does not starve.
        lower = range(split, len(self.queue))
        return min(lower, key=lambda i: (now >= self.queue[i].late_at, self.queue[i].number))
