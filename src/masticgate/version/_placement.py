"""Assigns services to their owners by rendezvous hashing in two levels.

The owner of a service is the host that sends requests to its searchers. The first level assigns a
small group of hosts to each department, so that a search of one department reaches few owners
however many hosts there are. The second level distributes the department's services over the group.
"""

from collections.abc import Iterable, Sequence
from math import ceil

import xxhash

from .._ids import DepartmentId, HostId, ServiceId
from ._configuration import Configuration, Searcher

SERVICES_PER_OWNER = 3
"""The maximum number of services of one department that a host owns, if there are enough hosts."""

MIN_GROUP_HOSTS = 3
"""The minimum number of hosts that are assigned to a department, if there are that many."""

MAX_OWNER_CANDIDATES = 8
"""The maximum number of hosts among which the connections to one searcher are divided."""


def department_group_size(service_count: int) -> int:
    """Return how many hosts to assign to a department with ``service_count`` services."""
    return max(MIN_GROUP_HOSTS, ceil(service_count / SERVICES_PER_OWNER))


def rank_hosts(key: str, hosts: Iterable[HostId]) -> list[HostId]:
    """Return ``hosts`` in descending order of their rendezvous weight for ``key``."""
    return sorted(hosts, key=lambda host: (-_weight(key, host), host))


def department_group(
    department: DepartmentId, service_count: int, hosts: Iterable[HostId]
) -> list[HostId]:
    """Return the hosts that are assigned to ``department`` with its ``service_count`` services."""
    return rank_hosts(f"department:{department}", hosts)[: department_group_size(service_count)]


def connections_per_owner(searcher: Searcher, listed_hosts: int) -> int:
    """Return the number of connections that one owner may open to ``searcher``.

    A searcher runs as many requests at once as it has slots. One more connection than slots hides
    the network round trip between requests. Several hosts may consider themselves the owner at the
    same time, so the sum over all candidate owners stays within the searcher's limit, unless the
    limit is below one connection for each. ``listed_hosts`` is the number of hosts in the host
    list.
    """
    candidates = max(1, min(listed_hosts, MAX_OWNER_CANDIDATES))
    return max(1, min(searcher.slots + 1, searcher.connections // candidates))


def _weight(key: str, host: HostId) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}|{host}".encode())


def owner_table(
    configuration: Configuration, hosts: Sequence[HostId]
) -> dict[ServiceId, list[HostId]]:
    """Return the ranked owners of every service that has searchers.

    The first host of each list is the owner. The others follow in the order in which requests are
    sent to them if the owner is unreachable.

    No host owns more than an even share, rounded up, of the services of a department. Otherwise the
    owner with the most services would limit the rate of searches of the whole department.
    """
    department_services: dict[DepartmentId, list[ServiceId]] = {}
    for service in configuration.services.values():
        if service.searchers:
            department_services.setdefault(service.department, []).append(service.id)
    table: dict[ServiceId, list[HostId]] = {}
    for department, services in department_services.items():
        group = department_group(department, len(services), hosts)
        table.update(_assign_evenly(services, group))
    return table


def _assign_evenly(services: list[ServiceId], group: list[HostId]) -> dict[ServiceId, list[HostId]]:
    owned = dict.fromkeys(group, 0)
    max_owned = ceil(len(services) / max(1, len(group)))
    table: dict[ServiceId, list[HostId]] = {}
    for service in sorted(services):
        ranked = rank_hosts(f"service:{service}", group)
        owner = next((host for host in ranked if owned[host] < max_owned), None)
        if owner is not None:
            owned[owner] += 1
            ranked.remove(owner)
            ranked.insert(0, owner)
        table[service] = ranked
    return table
