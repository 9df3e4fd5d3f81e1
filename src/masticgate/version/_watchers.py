"""Which hosts watch the platform: a few for each failure domain, by rendezvous hashing."""

from collections.abc import Container, Sequence

from .._ids import FailureDomainId, HostId
from ._placement import rank_hosts

WATCHERS_PER_DOMAIN = 2


def should_watch(
    own_host: HostId,
    domain: FailureDomainId,
    usable: Sequence[HostId],
    reachable: Container[HostId],
) -> bool:
    """Tell whether ``own`` is to watch the platform.

    ``usable`` holds the usable hosts of its failure domain, itself included. The first
    :data:`WATCHERS_PER_DOMAIN` of them by rendezvous weight watch. A host that reaches none of
    those ranks itself among the hosts it does reach instead.
    """
    ranked = rank_hosts(f"watchers:{domain}", usable)
    watchers = ranked[:WATCHERS_PER_DOMAIN]
    if own_host in watchers:
        return True
    if any(host in reachable for host in watchers):
        return False
    substitutes = [host for host in ranked if host == own_host or host in reachable]
    return own_host in substitutes[:WATCHERS_PER_DOMAIN]
