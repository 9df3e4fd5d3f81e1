"""The configuration that results from an accepted text of the operators."""

from collections.abc import Mapping
from dataclasses import dataclass
from functools import cached_property

from .._ids import Address, DepartmentId, FailureDomainId, Revision, SearcherId, ServiceId
from .._ranks import Rank


@dataclass(frozen=True, slots=True)
class Department:
    """A department of a customer.

    A department that is leaving receives no new work. ``leaves_on`` is the date that the operators
    gave for this, or an empty string; no decision depends on it.
    """

    id: DepartmentId
    leaving: bool
    leaves_on: str = ""


@dataclass(frozen=True, slots=True)
class Searcher:
    """A searcher of a service, which is an upstream that runs searches or bookings.

    ``slots`` is the number of requests that it runs at once, and ``connections`` the number of
    connections that it accepts from all hosts together.
    """

    id: SearcherId
    address: Address
    failure_domain: FailureDomainId
    slots: int
    connections: int


@dataclass(frozen=True, slots=True)
class Service:
    """A service, the services that it depends on, and its searchers.

    The searchers are replicas of one another. ``bookings`` is whether the service runs bookings.
    """

    id: ServiceId
    department: DepartmentId
    depends_on: tuple[ServiceId, ...]
    searchers: tuple[Searcher, ...]
    bookings: bool


@dataclass(frozen=True)
class Configuration:
    """The contents of an accepted text; ``revision`` is the platform's number of the text.

    ``floors`` gives, for each rank, the share of a service's work that is reserved for this rank
    under overload.
    """

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
        """Return whether ``service`` belongs to a department that is leaving."""
        return service.department in self.leaving
