"""The searches of a service that may be hedged.

A hedge is a second attempt at another searcher while a slow first attempt is in flight.
"""

from .._ids import Millis
from ._work import QueueEntry, SearchWork


class HedgeCandidates:
    """The searches in flight that may still be hedged, in the order in which they were sent.

    Bookings are excluded, since they may be sent only once. Callers hold the lock of the service
    pool.
    """

    def __init__(self) -> None:
        self.entries: dict[int, QueueEntry] = {}
        self.added = False

    def add(self, entry: QueueEntry) -> None:
        """Add an entry that was just sent, unless it is a booking."""
        if isinstance(entry.work, SearchWork):
            self.entries[id(entry)] = entry
            self.added = True

    def discard(self, entry: QueueEntry) -> None:
        """Remove an entry that was hedged, is being retried or is done."""
        self.entries.pop(id(entry), None)

    def list_due(self, now: Millis, delay: Millis) -> list[QueueEntry]:
        """Return the entries in flight for at least ``delay``, the most urgent first.

        Entries past their deadline are left out.
        """
        found: list[QueueEntry] = []
        for entry in self.entries.values():
            if entry.sent_at + delay > now:
                break
            if now < entry.work.deadline:
                found.append(entry)
        found.sort(key=lambda entry: entry.work.rank)
        return found

    def next_due(self, now: Millis, delay: Millis) -> Millis:
        """Return when the next entry that is not due yet becomes due.

        If there is none, return when an entry that is sent now would become due.
        """
        for entry in self.entries.values():
            if entry.sent_at + delay > now:
                return Millis(entry.sent_at + delay)
        return Millis(now + delay)

    def pop_added(self) -> bool:
        """Return whether an entry was added since the last call."""
        added, self.added = self.added, False
        return added
