"""The configuration that is built from a valid text of the operators."""

from collections.abc import Mapping
from dataclasses import dataclass
from functools import cached_property

from .._ids import Address, DepartmentId, FailureDomainId, Revision, SearcherId, ServiceId
from .._ranks import Rank


@dataclass(frozen=True, slots=True)
class Department:
    """A department of a customer.

    A department that is leaving receives no new work. ``leaves_on`` is the date on which it leaves
    according to the operators, or an empty string; no decision depends on it.
    """

    id: DepartmentId
    leaving: bool
    leaves_on: str = ""


@dataclass(frozen=True, slots=True)
class Searcher:
    """A searcher, an upstream server that runs the searches or bookings of a service.

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

    The searchers are replicas of one another. ``bookings`` is ``True`` if they run bookings.
    """

    id: ServiceId
    department: DepartmentId
    depends_on: tuple[ServiceId, ...]
    searchers: tuple[Searcher, ...]
    bookings: bool


@dataclass(frozen=True)
class Configuration:
    """The contents of a valid text; ``revision`` is the number that the platform gave the text.

    ``floors`` maps each rank to the share of a service's work that is reserved for it under
    overload.
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
