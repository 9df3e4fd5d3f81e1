"""Chooses the hosts that watch the platform, a few in each failure domain.

The other hosts receive new configurations and snapshots from the watchers. Rendezvous hashing lets
every host make the same choice without coordination.
"""

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
    """Return whether ``own_host`` should watch the platform.

    ``usable`` lists the usable hosts of its failure domain ``domain``, itself included. The
    :data:`WATCHERS_PER_DOMAIN` of them with the highest rendezvous weights are the watchers. If
    ``own_host`` cannot reach any of these, it makes the choice among itself and the hosts that it
    can reach.
    """
    ranked = rank_hosts(f"watchers:{domain}", usable)
    watchers = ranked[:WATCHERS_PER_DOMAIN]
    if own_host in watchers:
        return True
    if any(host in reachable for host in watchers):
        return False
    substitutes = [host for host in ranked if host == own_host or host in reachable]
    return own_host in substitutes[:WATCHERS_PER_DOMAIN]
