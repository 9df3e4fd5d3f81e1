"""Plans which gateway gathers which shards of a query, so that most bytes stay in one domain.

A gatherer is a gateway that sends queries to shards and merges their answers for other gateways.
"""

from collections.abc import Sequence, Set
from math import ceil

from ..._ids import FailureDomainId
from ...request.gateway import Part
from ...version.gateway import Route, Shards
from ._rendezvous import rendezvous_weight

Domains = Set[FailureDomainId]


def plan_parts(
    route: Route,
    shards: Sequence[Domains],
    gatherer_domains: Domains,
    own_domain: FailureDomainId | None,
    may_miss: int,
    key: str,
) -> tuple[tuple[int, ...], tuple[Part, ...]]:
    """Return the positions of the shards to gather here, and the parts for other gatherers.

    ``shards`` has, for each shard of ``route``, the failure domains in which it has a searcher.
    ``own_domain`` is that of this gateway if it is a gatherer itself; it then gathers the shards
    with a searcher in its own domain. The other shards go to as few domains of
    ``gatherer_domains`` as a greedy choice finds. Of equally good domains, ``key`` determines one,
    so that queries are spread over them. Shards without a gatherer in their domains are added to
    the largest part, or gathered here.

    ``may_miss`` is the number of shards without which the query is still answered. Each part may
    miss its share of them, rounded up, before its answer is waited for past the objective.
    """
    remaining = dict(enumerate(shards))
    here = [p for p, domains in remaining.items() if own_domain in domains]
    for position in here:
        del remaining[position]
    parts: list[tuple[FailureDomainId, list[int]]] = []
    while remaining:
        domain, positions = _best_domain(remaining, gatherer_domains, key)
        if not positions:
            break
        parts.append((domain, positions))
        for position in positions:
            del remaining[position]
    if own_domain is not None or not parts:
        here += remaining
    else:
        max(parts, key=lambda part: len(part[1]))[1].extend(remaining)
    return tuple(sorted(here)), tuple(
        Part(
            tuple(sorted(positions)),
            max(1, len(positions) - ceil(may_miss * len(positions) / len(shards))),
            route,
            domain,
        )
        for domain, positions in parts
    )


def plan_whole(route: Route, shards: int, gatherer_domains: Domains, key: str) -> Part:
    """Return all ``shards`` of a query as one part, for any of the gatherers.

    A gateway that does not know the failure domains of the shards can forward no smaller parts. Any
    domain of ``gatherer_domains`` is preferred, by ``key``, so that queries are spread over them.
    """
    domain = max(gatherer_domains, key=lambda domain: rendezvous_weight(key, domain))
    assert isinstance(route.target, Shards)
    return Part(tuple(range(shards)), max(1, route.target.min_answers), route, domain)


def _best_domain(
    remaining: dict[int, Domains], gatherer_domains: Domains, key: str
) -> tuple[FailureDomainId, list[int]]:
    """Return the domain that has searchers of most of the remaining shards, and these shards."""
    found = {
        domain: [position for position, domains in remaining.items() if domain in domains]
        for domain in gatherer_domains
    }
    best = max(
        found, key=lambda d: (len(found[d]), rendezvous_weight(key, d)), default=FailureDomainId("")
    )
    return best, found.get(best, [])
