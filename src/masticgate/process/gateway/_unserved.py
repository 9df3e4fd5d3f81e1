"""The services that have no searcher to send to."""

import random
from collections.abc import Iterable, Sequence

from ..._ids import Millis, ServiceId
from ._listings import Listings

NO_SEARCHER_WAIT = Millis(300.0)
"""The time after which a service whose searchers all leave may have another one."""

MAX_RETURN_SPREAD = 1.2
"""Refused callers are told to return after up to this many times the shortest wait."""


class UnservedServices:
    """The services without a searcher that may be sent a request; the lock of ``Fleet`` guards it.

    ``services`` holds the shards that had no searcher when it was last updated.
    """

    def __init__(self, listings: Listings) -> None:
        self.listings = listings
        self.services: set[ServiceId] = set()
        self.random = random.Random()

    def update(self, services: Iterable[ServiceId], now: Millis) -> None:
        """Add those of ``services`` that have no searcher to send to."""
        self.services.update(service for service in services if self._abstain(service, now))

    def find(self, services: Sequence[ServiceId], now: Millis) -> list[ServiceId]:
        """Return those of ``services`` that had no searcher at the last update, and have none."""
        return [s for s in services if s in self.services and self._abstain(s, now)]

    def retry_after(self, service: ServiceId, now: Millis) -> Millis | None:
        """Return when a searcher of ``service`` may accept a request again, in milliseconds.

        The result is ``None`` unless all of them leave or accept nothing now, or there is none. It
        is spread, so that refused callers do not return together.
        """
        if not self._abstain(service, now):
            return None
        waits = [
            replica.withheld_time(now)
            for replica in self.listings.of_service(service)
            if replica.is_listed
        ]
        wait = min(waits, default=NO_SEARCHER_WAIT)
        return Millis(wait * self.random.uniform(1.0, MAX_RETURN_SPREAD))

    def _abstain(self, service: ServiceId, now: Millis) -> bool:
        """Return whether no searcher of a service may be sent a request."""
        return all(replica.abstains(now) for replica in self.listings.of_service(service))
