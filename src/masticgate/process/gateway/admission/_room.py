"""The requests that wait for room at the searchers of one service, and whose turn it is.

Load scenarios: a burst of one kind of request, and callers that all retry at once. The order is by
rank and then by deadline. A caller that retries has less time left than new callers of its rank, so
that it comes first; nothing else identifies it, since each attempt has a new id.
"""

from bisect import insort
from dataclasses import dataclass

from ...._ids import Millis
from ....request.gateway import Call

LOWER_RANK_INTERVAL = 4
"""One in this many grants goes to a lower rank than that of the first request, if one waits.

Each kind of request has to be served at least a quarter as often as all together.
"""


@dataclass(frozen=True, slots=True)
class Waiting:
    """A call that waits, ``since`` when, and its ``number`` in the order of arrival."""

    call: Call
    since: Millis
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

    def enqueue(self, call: Call, now: Millis) -> int:
        """Add ``call`` unless it waits already; return how many requests are before it."""
        for index, waiting in enumerate(self.queue):
            if waiting.call is call:
                return index
        self.number += 1
        entry = Waiting(call, now, self.number)
        insort(self.queue, entry, key=lambda waiting: waiting.key)
        return self.queue.index(entry)

    def count_ahead(self, rank: int, deadline: Millis) -> int:
        """Return how many requests are before a new one with ``rank`` and ``deadline``."""
        return sum((w.rank, w.call.deadline) <= (rank, deadline) for w in self.queue)

    def grant(self) -> Call:
        """Reserve room for the request whose turn it is, and return its call.

        The queue must not be empty.
        """
        index = self._next_index()
        call = self.queue.pop(index).call
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

    def _next_index(self) -> int:
        """Return the position in the queue of the request whose turn it is."""
        first = self.queue[0].rank
        lower = [index for index, waiting in enumerate(self.queue) if waiting.rank != first]
        if not lower:
            self.grants = 0
            return 0
        self.grants += 1
        if self.grants < LOWER_RANK_INTERVAL:
            return 0
        self.grants = 0
        # By the wait and not by the rank, so that the lowest of several ranks does not starve.
        return min(lower, key=lambda index: self.queue[index].number)
