"""The regular exchange of demand and pressure between entry hosts and owners."""

from collections.abc import Callable
from threading import Lock

from .._clock import Clock
from .._ids import HostId, Millis, ServiceId
from .._ranks import Rank
from ._admission import AdmissionControl
from ._messages import Demand, Pressure, ServicePressure
from ._pools import Pools
from ._service_pool import ServicePool
from ._timeline import EventKind, TimeLine

PRESSURE_INTERVAL = Millis(200.0)
ASKER_LIFETIME = Millis(5000.0)

SendPressure = Callable[[Pressure], object]
SendDemand = Callable[[HostId, Demand], object]


class PressureExchange:
    """Tells entry hosts what this owner's services take, and owners what was refused here."""

    def __init__(
        self,
        own: HostId,
        pools: Pools,
        admission: AdmissionControl,
        timeline: TimeLine,
        clock: Clock,
    ) -> None:
        self.own = own
        self.pools = pools
        self.admission = admission
        self.timeline = timeline
        self.clock = clock
        self.lock = Lock()
        self.askers: dict[HostId, tuple[SendPressure, Millis]] = {}
        self.pressed: frozenset[ServiceId] = frozenset()

    def note_asker(self, host: HostId, answer: SendPressure) -> None:
        """Remember that ``host`` asks this owner, and the connection it asks over."""
        self.askers[host] = (answer, self.clock.now())

    def note_demand(self, demand: Demand) -> None:
        """Count what an entry host refused because of this owner's pressure."""
        pools = {pool.service: pool for pool in self.pools.list_pools()}
        for item in demand.refused:
            pool = pools.get(item.service)
            if pool is not None:
                pool.note_refused(item.rank, item.count)

    def run_once(self, send_demand: SendDemand) -> None:
        """Exchange once; the process calls this every :data:`PRESSURE_INTERVAL`."""
        for owner, refused in self.admission.take_refused().items():
            demand = Demand(tuple(refused))
            if owner == self.own:
                self.note_demand(demand)
            else:
                send_demand(owner, demand)
        services = tuple(self._measure(pool) for pool in self.pools.list_pools())
        reported = tuple(item for item in services if min(item.admitted) < 1.0)
        self._note_changes(reported)
        if reported:
            self.admission.note_pressure(self.own, reported)
            self._tell_askers(Pressure(reported))

    def _measure(self, pool: ServicePool) -> ServicePressure:
        shares = pool.measure_pressure()
        return ServicePressure(
            pool.service, (shares[Rank.URGENT], shares[Rank.STANDARD], shares[Rank.BULK])
        )

    def _tell_askers(self, pressure: Pressure) -> None:
        oldest = self.clock.now() - ASKER_LIFETIME
        for host, (answer, asked_at) in list(self.askers.items()):
            if asked_at < oldest:
                self.askers.pop(host, None)
            else:
                answer(pressure)

    def _note_changes(self, reported: tuple[ServicePressure, ...]) -> None:
        pressed = frozenset(item.service for item in reported)
        for service in sorted(pressed - self.pressed):
            self.timeline.add(EventKind.PRESSURE_CHANGED, service, "refusing")
        for service in sorted(self.pressed - pressed):
            self.timeline.add(EventKind.PRESSURE_CHANGED, service, "taking all")
        self.pressed = pressed
