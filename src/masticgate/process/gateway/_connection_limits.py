"""The limit on the connections of this gateway to one searcher."""

from collections.abc import Set

from ..._ids import FailureDomainId
from ._shares import GatewayShares

DEFAULT_CONNECTIONS = 8
"""The connection limit for a searcher whose service the configuration does not name."""

MAX_SHARD_CONNECTIONS = 4
"""The connections of one gateway to each searcher of a shard, whatever its share.

A searcher runs about two requests at once, and a gatherer has hundreds of searchers; requests that
wait for a slow searcher must not take a task each.
"""


def max_connections(
    accepted: int | None,
    domains: Set[FailureDomainId] | None,
    shares: GatewayShares,
    *,
    is_shard: bool,
) -> int:
    """Return this gateway's connection limit for each searcher of a service.

    ``accepted`` is the number that a searcher accepts from all gateways, if it is known, and
    ``domains`` are those with searchers of the same shard, or ``None`` if the service is none.
    """
    if accepted is None:
        return DEFAULT_CONNECTIONS
    share = shares.max_connections(accepted, domains)
    return min(share, MAX_SHARD_CONNECTIONS) if is_shard else share
