"""Decides which failure domains are evacuated; load scenario: an operator empties a domain.

While a domain is evacuated, its searchers are sent nothing: no first attempts, hedges, retries or
attempts for lack of any other searcher. Gatherers are gateways and are not affected.
"""

from ...._ids import FailureDomainId
from ....version.gateway import PEER_SERVICE, SearcherEntry

MAX_EVACUATIONS = 1_000
"""The number of evacuated domains that are kept; another writer may publish any number."""


class EvacuatedDomains:
    """The failure domains that are evacuated now."""

    def __init__(self) -> None:
        self.domains: set[FailureDomainId] = set()

    def covers(self, entry: SearcherEntry) -> bool:
        """Return whether the searcher of a listing is in an evacuated domain."""
        return bool(self.domains) and (
            entry.domain in self.domains and entry.service != PEER_SERVICE
        )

    def start(self, domain: FailureDomainId) -> bool:
        """Evacuate a domain; return ``False`` if it is already, or if there are too many."""
        if domain in self.domains or len(self.domains) >= MAX_EVACUATIONS:
            return False
        self.domains.add(domain)
        return True

    def end(self, domain: FailureDomainId) -> bool:
        """End the evacuation of a domain; return whether it was evacuated."""
        was_evacuated = domain in self.domains
        self.domains.discard(domain)
        return was_evacuated
