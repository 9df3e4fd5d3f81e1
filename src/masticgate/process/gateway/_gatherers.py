"""The choice of the gateways that gather queries for all, from the members of the system.

To gather a query is to send it to one searcher of each of its shards and to merge the answers. A
gatherer keeps connections to the searchers of all shards, so that a few gateways gather for all.
"""

from collections.abc import Collection, Set
from dataclasses import dataclass

from ..._ids import Address, FailureDomainId, HostId
from ._rendezvous import rendezvous_weight

MIN_CONNECTIONS_TO_GATHER = 2
"""The connections to each searcher that a gatherer needs: one for a first attempt, one to hedge."""

MIN_GATHERERS = 6
"""The number of gatherers of a small system, so that the loss of one is a small part."""

MEMBERS_PER_GATHERER = 32
"""In a large system, one in this many gateways gathers."""

REMOTE_RATE_SHARE = 0.5
"""The rate of a gateway in a domain without shards counts for this part.

All answers that it gathers come from other domains.
"""

MIN_LOCAL_SHARE = 0.66
"""If this share of the gatherers is in the domains of the shards, the others are left out."""


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


def gatherer_count(members: int, connections: int) -> int:
    """Return how many of ``members`` gateways gather queries.

    ``connections`` is the number that one searcher accepts from all gateways together.
    """
    wanted = max(MIN_GATHERERS, members // MEMBERS_PER_GATHERER)
    return max(1, min(wanted, connections // MIN_CONNECTIONS_TO_GATHER))


def choose_gatherers(
    members: Collection[Member], shard_domains: Set[FailureDomainId], connections: int
) -> tuple[Member, ...]:
    """Return the gatherers: the members that can gather most, and nearest to the shards.

    ``shard_domains`` are the failure domains in which the shards have searchers. All gateways that
    know the same members choose the same ones, and one that leaves is replaced by one other.
    """

    def is_local(member: Member) -> bool:
        return not shard_domains or member.domain in shard_domains

    def rank(member: Member) -> tuple[float, int, HostId]:
        rate = member.rate if is_local(member) else member.rate * REMOTE_RATE_SHARE
        return -rate, rendezvous_weight("", member.host), member.host

    count = gatherer_count(len(members), connections)
    chosen = sorted(members, key=rank)[:count]
    local = [member for member in chosen if is_local(member)]
    return tuple(local if len(local) >= MIN_LOCAL_SHARE * count else chosen)
