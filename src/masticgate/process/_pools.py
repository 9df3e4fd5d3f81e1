"""The service pools that this host has open.

A service pool holds the queue of one service and the connections to its searchers. It is open on
the host that owns the service. A host that owned it before, or that another host takes for the
owner, keeps a pool open until no work has arrived for a while.
"""

from collections.abc import Callable, Mapping
from threading import Lock

from .._clock import Clock
from .._ids import Millis, SearcherId, ServiceId
from .._ranks import Rank
from ..version import Configuration, Searcher, Service, connections_per_owner
from ._policy import Policy
from ._searcher_health import SearcherState
from ._service_pool import ServicePool
from ._timeline import EventKind, Timeline

POOL_IDLE_TIMEOUT = Millis(10_000.0)
"""A pool of a service that this host does not own is closed after this long without work."""

ConnectionStarter = Callable[[ServicePool, Searcher], None]
"""Starts the task of one connection of a pool to a searcher."""


class ServicePools:
    """Opens a pool and starts its connection tasks when a service's first work arrives.

    ``closing`` holds closed pools that may still have open connections. ``configured`` holds what
    each open pool was last configured with.
    """

    def __init__(
        self,
        policy: Policy,
        clock: Clock,
        timeline: Timeline,
        start_connection: ConnectionStarter,
    ) -> None:
        self.policy = policy
        self.clock = clock
        self.timeline = timeline
        self.start_connection = start_connection
        self.lock = Lock()
        self.pools: dict[ServiceId, ServicePool] = {}
        self.closing: dict[ServiceId, ServicePool] = {}
        self.configured: dict[ServiceId, tuple[Service, int, Mapping[Rank, float]]] = {}

    def get(self, configuration: Configuration, service: Service, host_count: int) -> ServicePool:
        """Return the pool of ``service``, after opening or reconfiguring it if needed.

        ``host_count`` is the number of hosts among which each searcher's connections are shared.
        """
        with self.lock:
            pool = self.pools.get(service.id)
            if pool is None:
                return self._open(configuration, service, host_count)
            if self.configured[service.id] != (service, host_count, configuration.floors):
                self._apply_configuration(pool, configuration, service, host_count)
            return pool

    def list_pools(self) -> list[ServicePool]:
        """Return the open pools."""
        with self.lock:
            return list(self.pools.values())

    def close_unused(self, configuration: Configuration, owned: set[ServiceId]) -> None:
        """Close the pools that are no longer needed.

        These are pools of services that are no longer configured or whose department is leaving,
        and idle pools of services that are not in ``owned``.
        """
        now = self.clock.now()
        with self.lock:
            for name, pool in list(self.pools.items()):
                service = configuration.services.get(name)
                unneeded = service is None or configuration.is_leaving(service)
                idle = name not in owned and now - pool.last_used_at > POOL_IDLE_TIMEOUT
                if unneeded or idle:
                    self._close(name)

    def stop(self) -> None:
        """Close every pool, which settles the queued work."""
        with self.lock:
            for name in list(self.pools):
                self._close(name)

    def _open(self, configuration: Configuration, service: Service, host_count: int) -> ServicePool:
        """Open a pool; one that was closed is reused while it is kept in ``closing``."""
        pool = self.closing.pop(service.id, None)
        if pool is None:
            pool = ServicePool(
                service.id,
                (),
                configuration.floors,
                self.policy,
                self.clock,
                self._record_searcher_change,
            )
        self.pools[service.id] = pool
        self.timeline.add(EventKind.POOL_OPENED, service.id)
        self._apply_configuration(pool, configuration, service, host_count)
        return pool

    def _apply_configuration(
        self, pool: ServicePool, configuration: Configuration, service: Service, host_count: int
    ) -> None:
        """Apply the configuration to ``pool`` and start the connections that it lacks."""
        shares = [
            (searcher, connections_per_owner(searcher, host_count))
            for searcher in service.searchers
        ]
        self.configured[service.id] = (service, host_count, configuration.floors)
        for searcher in pool.apply_configuration(shares, configuration.floors):
            self.start_connection(pool, searcher)

    def _close(self, name: ServiceId) -> None:
        pool = self.pools.pop(name)
        pool.stop()
        self.closing = {
            name: pool for name, pool in self.closing.items() if pool.open_connections()
        }
        self.closing[name] = pool
        self.configured.pop(name)
        self.timeline.add(EventKind.POOL_CLOSED, name)

    def _record_searcher_change(
        self, service: ServiceId, searcher: SearcherId, state: SearcherState
    ) -> None:
        self.timeline.add(EventKind.SEARCHER_CHANGED, searcher, f"{state.value}, of {service}")
