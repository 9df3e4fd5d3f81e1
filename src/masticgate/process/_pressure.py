"""The regular exchange of pressure and demand between the owners of services and entry hosts.

An owner queues the work of its services and reports their pressure: the share of each rank's
queries that a service can take. An entry host, which receives queries from callers, refuses some
of them under pressure and reports how many to the owner, since they are part of the demand.
"""

from collections.abc import Callable
from threading import Lock

from .._clock import Clock
from .._ids import HostId, Millis, ServiceId
from .._ranks import Rank
from ._admission import AdmissionControl
from ._messages import Demand, Pressure, ServicePressure
from ._pools import ServicePools
from ._service_pool import ServicePool
from ._timeline import EventKind, Timeline

PRESSURE_INTERVAL = Millis(200.0)
"""The time between two exchanges."""

ENTRY_HOST_TTL = Millis(5000.0)
"""An entry host gets pressure reports until this long after the last search that it sent."""

SendPressure = Callable[[Pressure], object]
SendDemand = Callable[[HostId, Demand], object]


class PressureReporter:
    """Reports pressure to entry hosts, and reports to owners how many queries this host refused."""

    def __init__(
        self,
        own_host: HostId,
        pools: ServicePools,
        admission: AdmissionControl,
        timeline: Timeline,
        clock: Clock,
    ) -> None:
        self.own_host = own_host
        self.pools = pools
        self.admission = admission
        self.timeline = timeline
        self.clock = clock
        self.lock = Lock()
        self.entry_hosts: dict[HostId, tuple[SendPressure, Millis]] = {}
        self.limited_services: frozenset[ServiceId] = frozenset()

    def record_entry_host(self, host: HostId, send_pressure: SendPressure) -> None:
        """Record that ``host`` sent a search; ``send_pressure`` sends to it on the same link."""
        self.entry_hosts[host] = (send_pressure, self.clock.now())

    def handle_demand(self, demand: Demand) -> None:
        """Count the queries that an entry host refused as demand of this host's services."""
        pools = {pool.service: pool for pool in self.pools.list_pools()}
        for item in demand.refused:
            pool = pools.get(item.service)
            if pool is not None:
                pool.record_refused(item.rank, item.count)

    def run_once(self, send_demand: SendDemand) -> None:
        """Report demand and pressure; called once every :data:`PRESSURE_INTERVAL`."""
        for owner, refused in self.admission.pop_refused().items():
            demand = Demand(tuple(refused))
            if owner == self.own_host:
                self.handle_demand(demand)
            else:
                send_demand(owner, demand)
        services = tuple(self._measure(pool) for pool in self.pools.list_pools())
        reported = tuple(item for item in services if min(item.admitted) < 1.0)
        self._record_changes(reported)
        if reported:
            self.admission.record_pressure(self.own_host, reported)
            self._send_pressure(Pressure(reported))

    def _measure(self, pool: ServicePool) -> ServicePressure:
        shares = pool.measure_pressure()
        return ServicePressure(
            pool.service, (shares[Rank.URGENT], shares[Rank.STANDARD], shares[Rank.BULK])
        )

    def _send_pressure(self, pressure: Pressure) -> None:
        oldest = self.clock.now() - ENTRY_HOST_TTL
        for host, (send_pressure, last_search_at) in list(self.entry_hosts.items()):
            if last_search_at < oldest:
                self.entry_hosts.pop(host, None)
            else:
                send_pressure(pressure)

    def _record_changes(self, reported: tuple[ServicePressure, ...]) -> None:
        limited_services = frozenset(item.service for item in reported)
        for service in sorted(limited_services - self.limited_services):
            self.timeline.add(EventKind.PRESSURE_CHANGED, service, "refusing")
        for service in sorted(self.limited_services - limited_services):
            self.timeline.add(EventKind.PRESSURE_CHANGED, service, "taking all")
        self.limited_services = limited_services
