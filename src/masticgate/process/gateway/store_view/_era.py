"""Decides what holds after a restore; scenario: the store goes back to a copy some seconds old.

The store then has a higher era. Its revisions are given out again, and what was written since the
copy is lost until the operators and the searchers write it again.
"""

from dataclasses import dataclass

from ...._ids import SearcherId, StoreEra
from ....version.gateway import SearcherEntry

MAX_DEPARTURES = 2_000
"""The number of departures that are remembered; it takes days until that many searchers leave."""

Start = tuple[int, int]
"""The start time and the sequence of a listing; a later listing has a higher one."""


@dataclass(frozen=True, slots=True)
class EraBegun:
    """The store has another era than before; ``before`` is ``None`` for the first one seen."""

    before: StoreEra | None
    after: StoreEra


class StoreView:
    """The era of the store that is followed, and the searchers that have left.

    ``departed`` maps each searcher that has left in the present era to its last known listing, and
    ``departed_before`` those that left in an earlier one, whose departure the copy may have lost.
    Only the task that follows the store uses it.
    """

    def __init__(self) -> None:
        self.era: StoreEra | None = None
        self.departed: dict[SearcherId, Start] = {}
        self.departed_before: dict[SearcherId, Start] = {}

    def is_other_era(self, era: StoreEra | None) -> bool:
        """Return whether an answer shows another era, so that everything has to be read again."""
        return era is not None and era != self.era

    def begin(self, era: StoreEra | None) -> EraBegun | None:
        """Record the era of contents that are about to be applied; return it if it is another one.

        An answer without an era says nothing.
        """
        if era is None or era == self.era:
            return None
        begun = EraBegun(self.era, era)
        if self.era is not None:
            for searcher, start in self.departed.items():
                _remember(self.departed_before, searcher, start)
            self.departed.clear()
        self.era = era
        return begun

    def record_departure(self, entry: SearcherEntry) -> None:
        """Remember that a searcher left, with its last known listing."""
        _remember(self.departed, entry.id, (entry.born, entry.sequence))

    def is_restored_departure(self, entry: SearcherEntry) -> bool:
        """Return whether a listing is of a searcher whose departure the store has lost.

        It is, unless the listing has a later start or a higher sequence than the last one known. A
        searcher that left in the present era is used by any new listing of it.
        """
        last = self.departed_before.get(entry.id)
        return last is not None and entry.born <= last[0] and entry.sequence <= last[1]

    def record_listing(self, entry: SearcherEntry) -> None:
        """Record that the listing of a searcher is applied, so that its departure is over."""
        self.departed.pop(entry.id, None)
        self.departed_before.pop(entry.id, None)


def _remember(departures: dict[SearcherId, Start], searcher: SearcherId, start: Start) -> None:
    known = departures.pop(searcher, start)
    departures[searcher] = max(known, start)
    while len(departures) > MAX_DEPARTURES:
        del departures[next(iter(departures))]
