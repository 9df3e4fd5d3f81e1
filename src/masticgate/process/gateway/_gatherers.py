"""The choice of the gateways that gather parts of queries for all, from the running ones.

To gather a part of a query is to send it to one searcher of each of some shards and to merge the
answers. A gatherer does that for the shards with searchers in its own failure domain, to which it
keeps connections.
"""

from collections.abc import Collection, Set
from dataclasses import dataclass
from math import ceil

from ..._ids import Address, FailureDomainId, HostId
from ._rendezvous import rendezvous_weight

MIN_CONNECTIONS_TO_GATHER = 2
"""The connections to each searcher that a gatherer needs: one for a first attempt, one to hedge.

They bound the number of gatherers.
"""

MIN_GATHERERS = 12
"""The number of gatherers of a small system; up to this size, every gateway gathers."""

MEMBERS_PER_GATHERER = 16
"""In a large system, one in this many gateways gathers."""

MIN_RELATIVE_RATE = 0.4
"""A gateway that can gather less than this part of what another in its domain can is left out."""

MIN_GATHERERS_PER_DOMAIN = 2
"""The number of gatherers of each domain below which none is left out."""


@dataclass(frozen=True, slots=True)
class Member:
    """A running gateway that could gather queries.

    ``address`` is where it accepts queries of other gateways. ``rate`` is the number of queries a
    second for which its processor and its network link suffice.
    """

    host: HostId
    address: Address
    domain: FailureDomainId
    rate: float


@dataclass(frozen=True, slots=True)
class Gatherer:
    """A gateway that gathers parts of queries for others, as a seed names it."""

    address: Address
    domain: FailureDomainId


def gatherer_count(members: int, connections: int) -> int:
    """Return how many of ``members`` gateways gather queries.

    ``connections`` is the number that one searcher accepts from all gateways together.
    """
    wanted = max(MIN_GATHERERS, members // MEMBERS_PER_GATHERER)
    return max(1, min(wanted, connections // MIN_CONNECTIONS_TO_GATHER))


def choose_gatherers(
    members: Collection[Member],
    shard_domains: Set[FailureDomainId],
    connections: int,
    in_use: Set[Address] = frozenset(),
) -> tuple[Member, ...]:
    """Return the gatherers: in each domain with shards, the members that can gather most.

    ``shard_domains`` are the failure domains in which the shards have searchers; where no member is
    in one of them, the other domains are used. All gateways that know the same members choose the
    same ones, and one that leaves is replaced by at most one other. Those ``in_use`` come before
    all others.
    """
    domains: dict[FailureDomainId, list[Member]] = {}
    for member in members:
        domains.setdefault(member.domain, []).append(member)
    local = {domain: domains[domain] for domain in domains if domain in shard_domains} or domains
    if not local:
        return ()
    per_domain = ceil(gatherer_count(len(members), connections) / len(local))
    return tuple(
        member
        for group in local.values()
        for member in _choose_in_domain(group, per_domain, in_use)
    )


def _choose_in_domain(members: list[Member], count: int, in_use: Set[Address]) -> list[Member]:
    members = sorted(members, key=lambda m: (-m.rate, rendezvous_weight("", m.host), m.host))
    members.sort(key=lambda m: m.address not in in_use)
    chosen = members[:count]
    least_rate = max(member.rate for member in chosen) * MIN_RELATIVE_RATE
    capable = [member for member in chosen if member.rate >= least_rate]
    return capable if len(capable) >= MIN_GATHERERS_PER_DOMAIN else chosen
