"""The known searchers by service and failure domain, and what is withheld from cold ones."""

from collections.abc import Callable, Collection, Sequence
from threading import Lock

from ..._clock import Clock
from ..._ids import Address, FailureDomainId, Millis, SearcherId, ServiceId
from ...version.gateway import MAX_SEARCHERS, SearcherEntry, ServiceEntry
from ._choice import usable_domains
from ._listings import LAST_RESORT_SHARE, Listings
from ._log import EventLog
from ._metrics import Metrics
from ._replica import Replica
from ._settings import GatewaySettings
from ._unserved import UnservedServices
from .searchers import ColdBound, ColdLimits, SenderKind


class KnownSearchers:
    """The part of :class:`Fleet` that applies listings and evacuations, and answers about them.

    ``lock`` guards the state of all searchers. ``services`` and ``replicas`` are those of
    ``listings``. ``shard_services`` are the services that are searched as shards, and
    ``services_with_cold_bound`` those that limit what a cold searcher is sent.
    ``max_connections`` returns the connection limit for each searcher of a service.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
        max_connections: Callable[[ServiceId], int],
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.log = log
        self.metrics = metrics
        self.lock = Lock()
        self.cold_limits = ColdLimits(settings.seeds)
        self.listings = Listings(clock, log, max_connections, self.cold_limits)
        self.services = self.listings.services
        self.replicas = self.listings.replicas
        self.unserved = UnservedServices(self.listings)
        self.shard_services: set[ServiceId] = set()
        self.services_with_cold_bound: dict[ServiceId, ServiceEntry] = {}

    def has_room(self, searcher: SearcherId) -> bool:
        """Return whether a listing of ``searcher`` can be applied.

        That is the case if the searcher is known, or the number of searchers is below its bound.
        """
        with self.lock:
            return searcher in self.replicas or len(self.replicas) < MAX_SEARCHERS

    def apply_listing(self, entry: SearcherEntry) -> None:
        """Apply the present listing of a searcher, unless it is outdated."""
        with self.lock:
            self.listings.apply(entry, self.settings.drain)

    def remove_searcher(
        self, searcher: SearcherId, why: str, usable_time: Millis | None = None
    ) -> SearcherEntry | None:
        """Stop using a searcher and return its last listing; ``why`` is written to the log.

        It is still used for ``usable_time`` if there is no other; the default is
        ``LAST_RESORT_SHARE`` of the ``drain`` setting.
        """
        if usable_time is None:
            usable_time = Millis(self.settings.drain * LAST_RESORT_SHARE)
        with self.lock:
            replica = self.replicas.get(searcher)
            if replica is None:
                return None
            self.listings.start_leaving(replica, why, usable_time)
            return replica.entry

    def evacuate(self, domain: FailureDomainId) -> bool:
        """Send nothing to the searchers of a domain; return ``False`` if that is so already."""
        with self.lock:
            services = self.listings.evacuate(domain)
            self.unserved.update(services or (), self.clock.now())
        return services is not None

    def end_evacuation(self, domain: FailureDomainId) -> bool:
        """Use the searchers of a domain again; return whether it was evacuated."""
        with self.lock:
            return self.listings.evacuated.end(domain)

    def find_unlisted(self, listed: set[SearcherId]) -> set[SearcherId]:
        """Return the searchers that this gateway uses although they are not in ``listed``.

        Gatherers are left out, since the platform does not list them.
        """
        with self.lock:
            return self.listings.find_unlisted(listed)

    def searcher_domains(self, services: Sequence[ServiceId]) -> list[set[FailureDomainId]]:
        """Return the failure domains in which each service has usable searchers.

        Gatherers in a domain whose searchers are withheld gather its shards from other domains.
        """
        now = self.clock.now()
        with self.lock:
            return [usable_domains(self.listings.of_service(service), now) for service in services]

    def domains_of_shards(self) -> set[FailureDomainId]:
        """Return the failure domains that have listed searchers of shards."""
        with self.lock:
            return set[FailureDomainId]().union(
                *self.listings.domains(self.shard_services).values()
            )

    def searcher_count(self, service: ServiceId) -> int:
        """Return the number of searchers of a service that are listed or about to leave."""
        with self.lock:
            return len(self.listings.of_service(service))

    def unservable(self, services: Sequence[ServiceId]) -> list[ServiceId]:
        """Return those of ``services`` whose searchers all leave or pause, or that have none."""
        if not self.unserved.services:
            return []
        with self.lock:
            return self.unserved.find(services, self.clock.now())

    def retry_after(self, service: ServiceId) -> Millis | None:
        """Return when a searcher of ``service`` may accept a request again, in milliseconds.

        The result is ``None`` unless all of them leave or want a pause, or there is none. It is
        spread, so that refused callers do not return together.
        """
        with self.lock:
            return self.unserved.retry_after(service, self.clock.now())

    def record_senders(
        self, seed: Address, kind: SenderKind, own: str | None, senders: Collection[str]
    ) -> None:
        """Record the gateways that a seed counts as senders, and the name of this one."""
        with self.lock:
            self.cold_limits.record(seed, kind, own, senders, self.clock.now())

    def _record_departure(self, replica: Replica, why: str) -> None:
        self.listings.record_departure(replica, why, self.settings.drain)
        self.unserved.update([replica.entry.service], self.clock.now())

    def _apply_cold_bounds(self) -> None:
        margin = self.settings.cold
        bounds = {
            service.id: ColdBound(service.cold_rate, margin.over, margin.slack, service.cold_time)
            for service in self.services_with_cold_bound.values()
        }
        self.cold_limits.apply(self.settings.seeds, bounds, self.shard_services)

    def _count_cold_refusal(self, service: ServiceId) -> None:
        """Count a request that could not be sent since a searcher is cold; the lock is held."""
        now = self.clock.now()
        if any(replica.cold_wait(now) for replica in self.listings.of_service(service)):
            self.metrics.count("cold_refused")
