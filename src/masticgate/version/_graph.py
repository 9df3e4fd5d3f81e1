"""Finds the services that a search depends on, and cycles among dependencies."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from .._failures import NotRun, Reason, Step
from .._ids import ServiceId
from ._configuration import Configuration, Service


@dataclass(frozen=True, slots=True)
class Scope:
    """The services of one search, including all direct and indirect dependencies.

    ``needed`` lists the services that have searchers; the coverage of the answer counts their
    shards. ``leaving`` contains the ids of the needed services whose department is leaving.
    """

    needed: tuple[Service, ...]
    leaving: frozenset[ServiceId]

    @property
    def remaining(self) -> tuple[Service, ...]:
        """The services that still receive work, because their department is not leaving."""
        return tuple(service for service in self.needed if service.id not in self.leaving)


def expand_services(configuration: Configuration, names: Iterable[ServiceId]) -> Scope | NotRun:
    """Return the scope of a search in the services ``names``, or why it cannot run.

    The scope contains every service that one of ``names`` depends on, directly or indirectly. A
    service without searchers only groups others and is not part of the scope.
    """
    seen: dict[ServiceId, Service] = {}
    pending = list(names)
    for name in pending:
        service = configuration.services.get(name)
        if service is None:
            return NotRun(Reason.UNKNOWN_SERVICE, Step.ROUTE, peer=name)
        if configuration.is_leaving(service):
            return NotRun(Reason.DEPARTMENT_LEFT, Step.ROUTE, peer=name, detail=service.department)
    while pending:
        name = pending.pop()
        if name in seen:
            continue
        seen[name] = configuration.services[name]
        pending.extend(seen[name].depends_on)
    needed = tuple(sorted((s for s in seen.values() if s.searchers), key=lambda s: s.id))
    leaving = frozenset(s.id for s in needed if configuration.is_leaving(s))
    return Scope(needed, leaving)


def find_cycle(dependencies: Mapping[ServiceId, tuple[ServiceId, ...]]) -> list[ServiceId]:
    """Return the services of one dependency cycle in order, or an empty list if there is none."""
    finished: set[ServiceId] = set()
    for root in dependencies:
        path: list[ServiceId] = []
        on_path: set[ServiceId] = set()
        stack: list[tuple[ServiceId, bool]] = [(root, True)]
        while stack:
            service, entering = stack.pop()
            if not entering:
                path.pop()
                on_path.discard(service)
                finished.add(service)
                continue
            if service in on_path:
                return path[path.index(service) :]
            if service in finished:
                continue
            path.append(service)
            on_path.add(service)
            stack.append((service, False))
            stack.extend((needed, True) for needed in dependencies.get(service, ()))
    return []
