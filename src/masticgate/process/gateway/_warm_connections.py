"""Which connections to searchers a gateway keeps open ahead of requests."""

from dataclasses import dataclass

from ..._ids import Millis, ServiceId
from ...version.gateway import PEER_SERVICE
from ._listings import Listings
from ._rendezvous import rendezvous_weight
from ._replica import Replica, ReplicaState
from ._settings import GatewaySettings

WARM_SEARCHERS = 2
"""The number of searchers of each shard to which a gatherer keeps a connection open.

The second one is for hedges: a new connection costs a searcher as much time as half of a short
request, and a hedge has to be answered before the objective.
"""

RENEWAL_WINDOW = Millis(20_000.0)
"""An expired idle connection is replaced if its searcher was sent a request within this time."""

SHARD_RENEWAL_WINDOW = Millis(6_000.0)
"""The same for the searchers of shards, of which a gatherer has hundreds and uses some to hedge."""


@dataclass(frozen=True, slots=True)
class WarmConnections:
    """The rule for the searchers of the present listings; the lock of ``Fleet`` is held.

    ``keeps_warm`` says whether this gateway keeps connections open to the searchers of ``shards``.
    """

    listings: Listings
    settings: GatewaySettings
    shards: set[ServiceId]
    keeps_warm: bool

    def find_missing(self, now: Millis) -> list[Replica]:
        """Return the searchers to which a connection is kept open, and that have none."""
        return [
            replica
            for service in (self.shards if self.keeps_warm else ())
            for replica in self._warm_replicas(service, now)
            if replica.connection_count == 0
        ]

    def is_in_use(self, replica: Replica, now: Millis) -> bool:
        """Return whether an expired idle connection of a searcher is worth replacing.

        One to a gatherer is not: each of hundreds of gateways would keep one open to each gatherer.
        """
        service = replica.entry.service
        if service == PEER_SERVICE:
            return False
        is_shard = service in self.shards
        window = RENEWAL_WINDOW
        if is_shard:
            window = SHARD_RENEWAL_WINDOW if self.keeps_warm else Millis(0.0)
        if now - replica.last_used_at < window:
            return True
        return self.keeps_warm and is_shard and replica in self._warm_replicas(service, now)

    def _warm_replicas(self, service: ServiceId, now: Millis) -> list[Replica]:
        """Return the searchers of a shard to which this gateway keeps a connection open.

        They are the ones for first attempts, in this gateway's domain if there is one.
        """
        active = [
            replica
            for replica in self.listings.of_service(service)
            if replica.state is ReplicaState.ACTIVE and not replica.is_withheld(now)
        ]
        active.sort(
            key=lambda r: (
                r.entry.domain != self.settings.domain,
                rendezvous_weight(self.settings.host, r.entry.id),
            )
        )
        return active[:WARM_SEARCHERS]
