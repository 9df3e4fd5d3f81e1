"""One accepted configuration: departments, services, searchers and floors."""

from collections.abc import Mapping
from dataclasses import dataclass
from functools import cached_property

from .._ids import Address, DepartmentId, FailureDomainId, Revision, SearcherId, ServiceId
from .._ranks import Rank


@dataclass(frozen=True, slots=True)
class Department:
    """A customer's department; a leaving one receives no new work."""

    id: DepartmentId
    leaving: bool
    leaves_on: str = ""


@dataclass(frozen=True, slots=True)
class Searcher:
    """One upstream: ``slots`` requests run at once, ``connections`` is its limit."""

    id: SearcherId
    address: Address
    failure_domain: FailureDomainId
    slots: int
    connections: int


@dataclass(frozen=True, slots=True)
class Service:
    """A service, its searchers (replicas of one another) and what it depends on."""

    id: ServiceId
    department: DepartmentId
    depends_on: tuple[ServiceId, ...]
    searchers: tuple[Searcher, ...]
    bookings: bool


@dataclass(frozen=True)
class Configuration:
    """An accepted text; ``revision`` is the platform's number for it."""

    revision: Revision
    deployment: str
    floors: Mapping[Rank, float]
    departments: Mapping[DepartmentId, Department]
    services: Mapping[ServiceId, Service]

    @cached_property
    def leaving(self) -> frozenset[DepartmentId]:
        """The departments that are leaving."""
        return frozenset(d.id for d in self.departments.values() if d.leaving)

    def is_leaving(self, service: Service) -> bool:
        """Tell whether ``service`` belongs to a leaving department."""
        return service.department in self.leaving
