"""A published configuration of gateways: the routes of requests to services, and limits."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from math import ceil

from ..._ids import ConfigurationVersion, Millis, RouteId, ServiceId


class Idempotency(Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


@dataclass(frozen=True, slots=True)
class OneService:
    """Sends every request of a route to one service."""

    service: ServiceId


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One service of a split; its share of the requests is proportional to its weight."""

    service: ServiceId
    weight: float


@dataclass(frozen=True, slots=True)
class Split:
    """Distributes the requests of a route over several services by weight."""

    parts: tuple[WeightedService, ...]


@dataclass(frozen=True, slots=True)
class Shards:
    """Sends every request of a route to all services and merges their answers.

    Each service is one shard. An answer consists of records of a fixed length; the merged answer
    holds the greatest ``top`` of them, compared byte by byte. The request fails if the share of the
    shards that answer, from 0 to 1, is below ``min_shard_ratio``, or if none answers.
    """

    services: tuple[ServiceId, ...]
    top: int
    min_shard_ratio: float

    @property
    def min_answers(self) -> int:
        """The number of shards that have to answer."""
        # Without the subtraction, a rounding error could require one more shard.
        return max(1, ceil(self.min_shard_ratio * len(self.services) - 1e-9))


Target = OneService | Split | Shards


@dataclass(frozen=True, slots=True)
class Route:
    """How the requests for one host name and path prefix are served.

    ``kind`` says whether a request may run more than once. ``attempts`` is the number of searchers
    to which one request may be sent; a route with shards may send to as many for each shard.
    ``timeout`` is counted from the arrival of the request, and ``objective`` is the latency that an
    answer should not exceed, both in milliseconds. ``rank`` 0 is the most urgent.
    """

    id: RouteId
    host: str
    prefix: str
    kind: Idempotency
    target: Target
    attempts: int
    timeout: Millis
    objective: Millis
    rank: int


@dataclass(frozen=True, slots=True)
class ServiceEntry:
    """A service of a published configuration.

    ``connections`` is the number of connections that each of its searchers accepts from all
    gateways together. A searcher that is cold, which it is for ``cold_time`` after its start,
    tolerates ``cold_rate`` requests a second from all of them; 0 stands for any number.
    """

    id: ServiceId
    connections: int
    cold_rate: float = 0.0
    cold_time: Millis = Millis(0.0)


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits for a caller: the sizes of a request in bytes, and timeouts in milliseconds.

    A caller must send a whole request within ``header_timeout`` of its first bytes. A connection
    is closed after ``idle_timeout`` without a request.
    """

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    header_timeout: Millis = Millis(5_000.0)
    idle_timeout: Millis = Millis(15_000.0)

    def widen(self, other: "Limits") -> "Limits":
        """Return limits that allow whatever these or the ``other`` ones allow."""
        return Limits(
            max(self.header_bytes, other.header_bytes),
            max(self.body_bytes, other.body_bytes),
            max(self.header_timeout, other.header_timeout),
            max(self.idle_timeout, other.idle_timeout),
        )


@dataclass(frozen=True, slots=True)
class RouteTable:
    """A published configuration.

    ``by_host`` maps each host name, in lower case, to its routes, with the longest prefix first.
    """

    version: ConfigurationVersion
    routes: tuple[Route, ...]
    services: Mapping[ServiceId, ServiceEntry]
    limits: Limits
    by_host: Mapping[str, tuple[Route, ...]] = field(init=False)

    def __post_init__(self) -> None:
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        frozen = {host: tuple(routes) for host, routes in by_host.items()}
        object.__setattr__(self, "by_host", frozen)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route for ``host`` with the longest prefix of ``path``, or ``None``."""
        for route in self.by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def shard_services(self) -> set[ServiceId]:
        """Return the services that at least one route uses as shards."""
        return {
            service
            for route in self.routes
            if isinstance(route.target, Shards)
            for service in route.target.services
        }
