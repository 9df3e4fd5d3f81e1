"""Which host owns a service: rendezvous hashing in two levels.

The first level gives each department a small group of hosts, so that a search of one department
reaches few owners however many hosts there are; the second spreads its services over the group.
"""

from collections.abc import Iterable, Sequence
from math import ceil

import xxhash

from .._ids import DepartmentId, HostId, ServiceId
from ._configuration import Configuration, Searcher

SERVICES_PER_OWNER = 3
"""The number of services of one department that a host owns, where hosts suffice."""

MIN_GROUP_HOSTS = 3
MAX_OWNER_CANDIDATES = 8
"""At most this many hosts share the connections of one searcher."""


def department_group_size(services: int) -> int:
    """Return the number of hosts that own a department of ``services`` services."""
    return max(MIN_GROUP_HOSTS, ceil(services / SERVICES_PER_OWNER))


def rank_hosts(key: str, hosts: Iterable[HostId]) -> list[HostId]:
    """Return ``hosts`` by falling rendezvous weight for ``key``."""
    return sorted(hosts, key=lambda host: (-_weight(key, host), host))


def department_group(
    department: DepartmentId, services: int, hosts: Iterable[HostId]
) -> list[HostId]:
    """Return the group of hosts that own the services of ``department``."""
    return rank_hosts(f"department:{department}", hosts)[: department_group_size(services)]


def connections_per_owner(searcher: Searcher, listed_hosts: int) -> int:
    """Return the connections that one owner may hold to ``searcher``.

    One more than the slots hides the round trip. However many of the candidate owners believe
    that they own the service, their sum stays within the searcher's limit.
    """
    candidates = max(1, min(listed_hosts, MAX_OWNER_CANDIDATES))
    return max(1, min(searcher.slots + 1, searcher.connections // candidates))


def _weight(key: str, host: HostId) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}|{host}".encode())


def owner_table(
    configuration: Configuration, hosts: Sequence[HostId]
) -> dict[ServiceId, list[HostId]]:
    """Return the ranked owners of every service that has searchers.

    Within a department's group no host owns more than its even share, so that the busiest owner
    does not decide how much a search of the whole department can take.
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
