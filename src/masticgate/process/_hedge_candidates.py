"""The searches that may be hedged: each is in flight at one searcher."""

from .._ids import Millis
from ._work import QueueEntry, SearchWork


class HedgeCandidates:
    """Entries that were sent once, in the order of sending; the service pool's lock guards them.

    A booking is never among them.
    """

    def __init__(self) -> None:
        self.entries: dict[int, QueueEntry] = {}
        self.added = False

    def add(self, entry: QueueEntry) -> None:
        """Add an entry that was just sent, unless it may not be sent twice."""
        if isinstance(entry.work, SearchWork):
            self.entries[id(entry)] = entry
            self.added = True

    def discard(self, entry: QueueEntry) -> None:
        """Remove an entry that is hedged, retried or done."""
        self.entries.pop(id(entry), None)

    def list_due(self, now: Millis, delay: Millis) -> list[QueueEntry]:
        """Return what has been in flight for ``delay``, urgent first."""
        found: list[QueueEntry] = []
        for entry in self.entries.values():
            if entry.sent_at + delay > now:
                break
            if now < entry.work.deadline:
                found.append(entry)
        found.sort(key=lambda entry: entry.work.rank)
        return found

    def next_due(self, now: Millis, delay: Millis) -> Millis:
        """Return when the next entry falls due that is not due yet, or the next one sent would."""
        for entry in self.entries.values():
            if entry.sent_at + delay > now:
                return Millis(entry.sent_at + delay)
        return Millis(now + delay)

    def pop_added(self) -> bool:
        """Tell whether an entry was added since the last call."""
        added, self.added = self.added, False
        return added
