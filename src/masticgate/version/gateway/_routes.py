"""One published configuration: which route serves a request, and by which services."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from ..._ids import ConfigurationVersion, Millis, RouteId, ServiceId


class Idempotency(Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


@dataclass(frozen=True, slots=True)
class OneService:
    """Every request goes to one service."""

    service: ServiceId


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One part of a split; its share is its weight over the sum of the weights."""

    service: ServiceId
    weight: float


@dataclass(frozen=True, slots=True)
class Split:
    """Requests are shared out among services by weight."""

    parts: tuple[WeightedService, ...]


@dataclass(frozen=True, slots=True)
class Shards:
    """Every request goes to all services; the greatest ``top`` records are returned.

    ``min_shard_ratio`` is the share of the shards, 0 to 1, below which an answer is a failure.
    """

    services: tuple[ServiceId, ...]
    top: int
    min_shard_ratio: float


Target = OneService | Split | Shards


@dataclass(frozen=True, slots=True)
class Route:
    """How the requests of one host name and path prefix are served.

    ``attempts`` bounds the searchers that one request is sent to, for each shard;
    ``timeout`` and ``objective`` are counted from the arrival of the request. ``rank`` 0 is the
    most urgent.
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
    """One service; ``connections`` is what one of its searchers accepts from all callers."""

    id: ServiceId
    connections: int


@dataclass(frozen=True, slots=True)
class Limits:
    """What a caller may send, and how long it may take."""

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    header_timeout: Millis = Millis(5_000.0)
    idle_timeout: Millis = Millis(15_000.0)


@dataclass(frozen=True, slots=True)
class RouteTable:
    """One published configuration."""

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
        """Return the route with the longest prefix of ``path``, ``None`` where none matches."""
        for route in self.by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def shard_services(self) -> set[ServiceId]:
        """Return the services that some route searches as shards."""
        return {
            service
            for route in self.routes
            if isinstance(route.target, Shards)
            for service in route.target.services
        }
