"""Describes for operators how two accepted configurations differ."""

from collections.abc import Iterator

from .._ids import DepartmentId, ServiceId
from ._configuration import Configuration, Service
from ._name_changes import describe_name_changes


def compare_configurations(before: Configuration, after: Configuration) -> list[str]:
    """Return one line of text for each change from ``before`` to ``after``.

    The line of a department that starts to leave is followed by one line for each service of
    another department that depends on it directly. Changes of ``leaves_on`` are not described.
    """
    return [
        *_deployment_changes(before, after),
        *_department_changes(before, after),
        *_service_changes(before, after),
        *_floor_changes(before, after),
    ]


def dependants_of(configuration: Configuration, department: DepartmentId) -> list[ServiceId]:
    """Return the services of other departments that depend directly on ``department``."""
    services = configuration.services
    return sorted(
        service.id
        for service in services.values()
        if service.department != department
        and any(services[needed].department == department for needed in service.depends_on)
    )


def _deployment_changes(before: Configuration, after: Configuration) -> Iterator[str]:
    if before.deployment != after.deployment:
        yield f"the deployment changes from {before.deployment} to {after.deployment}"


def _department_changes(before: Configuration, after: Configuration) -> Iterator[str]:
    for department in sorted(after.leaving - before.leaving):
        yield f"department {department} leaves: it receives no new work"
        for service in dependants_of(after, department):
            yield f"  {service} depends on it: its answers will list it as missing"
    for department in sorted(before.leaving - after.leaving):
        if department in after.departments:
            yield f"department {department} is no longer leaving"
    yield from describe_name_changes("department", set(before.departments), set(after.departments))


def _service_changes(before: Configuration, after: Configuration) -> Iterator[str]:
    yield from describe_name_changes("service", before.services.keys(), after.services.keys())
    for name in sorted(set(before.services) & set(after.services)):
        yield from _changes_of_service(before.services[name], after.services[name])


def _changes_of_service(before: Service, after: Service) -> Iterator[str]:
    if before.department != after.department:
        yield f"service {after.id} moves from {before.department} to {after.department}"
    for needed in sorted(set(before.depends_on) ^ set(after.depends_on)):
        verb = "now depends" if needed in after.depends_on else "no longer depends"
        yield f"service {after.id} {verb} on {needed}"
    if before.bookings != after.bookings:
        yield f"service {after.id} {'now' if after.bookings else 'no longer'} accepts bookings"
    old = {searcher.id: searcher for searcher in before.searchers}
    new = {searcher.id: searcher for searcher in after.searchers}
    for name in sorted(set(old) - set(new)):
        yield f"service {after.id} loses searcher {name}"
    for name in sorted(set(new) - set(old)):
        yield f"service {after.id} gains searcher {name}"
    for name in sorted(set(old) & set(new)):
        if old[name] != new[name]:
            yield (
                f"searcher {name} of service {after.id} "
                "changes its address, failure domain or limits"
            )


def _floor_changes(before: Configuration, after: Configuration) -> Iterator[str]:
    for rank, floor in after.floors.items():
        if floor != before.floors.get(rank):
            yield f"the floor of {rank.label} work changes from {before.floors[rank]} to {floor}"
