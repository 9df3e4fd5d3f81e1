"""The choice of the searcher, or of the gatherer, to which a call is sent."""

from collections.abc import Collection, Set

from ..._failures import NotRun, Reason, Step
from ..._ids import FailureDomainId, Millis, SearcherId
from ...request.gateway import Call, Repeat
from ...version.gateway import PEER_SERVICE
from ._rendezvous import rendezvous_weight
from ._replica import Replica, ReplicaState

CROSS_DOMAIN_COST = 0.8
"""Added to the cost of a searcher in another failure domain, for its round trip and traffic.

It exceeds the cost that one late answer adds, so that a single late answer of a searcher in the
gateway's own domain does not move requests to another domain.
"""

MAX_GATHERER_FAILURE_RATE = 0.15
"""A gatherer with a higher failure rate is the last choice; one failure counts for about 1 s."""


def choose_replica(
    call: Call,
    known: Collection[Replica],
    tried: Set[SearcherId],
    own_domain: FailureDomainId,
    now: Millis,
    *,
    is_shard: bool,
    needs_room: bool = False,
) -> Replica | NotRun:
    """Return the best of the ``known`` searchers that is not in ``tried``, or why there is none.

    ``is_shard`` says whether the call is one of a query over many shards. If ``needs_room`` is set,
    a searcher that can accept the call only to let it wait for long does not count.
    """
    untried = [replica for replica in known if replica.entry.id not in tried]
    usable = [replica for replica in untried if replica.is_usable(now)]
    if not usable and _may_use_ejected(call, tried, is_shard=is_shard):
        usable = [
            replica
            for replica in untried
            if replica.state is ReplicaState.EJECTED and not replica.is_paused(now)
        ]
    if not usable:
        detail = _describe_known(known, now)
        return NotRun(Reason.NO_SEARCHER, Step.ROUTE, call.service, detail)
    free = [
        replica
        for replica in usable
        if (replica.has_room(now) if needs_room else replica.has_capacity())
    ]
    if not free:
        return NotRun(Reason.OVERLOAD, Step.CONNECT, call.service, "all connections are busy")
    if call.service == PEER_SERVICE:
        return min(free, key=lambda replica: _gatherer_sort_key(replica, call, now))
    return min(free, key=lambda replica: _searcher_sort_key(replica, own_domain, now))


def _describe_known(known: Collection[Replica], now: Millis) -> str:
    """Return how many searchers are known, and how many of them leave or pause."""
    leaving = sum(not replica.is_listed for replica in known)
    paused = sum(replica.is_paused(now) for replica in known)
    counts = [f"{len(known)} searchers known"]
    counts += [f"{leaving} leave"] if leaving else []
    counts += [f"{paused} paused"] if paused else []
    return ", ".join(counts)


def _may_use_ejected(call: Call, tried: Set[SearcherId], *, is_shard: bool) -> bool:
    """Return whether a call may go to an ejected searcher for lack of any other.

    A retry may, and the query of a shard: while answers of many searchers are lost, all of a
    shard can be ejected at once, although most of their answers arrive.
    """
    return call.repeat is not Repeat.HEDGE and (bool(tried) or is_shard)


def _gatherer_sort_key(replica: Replica, call: Call, now: Millis) -> tuple[bool, bool, bool, int]:
    """Return the key of a gatherer; the lowest one is chosen.

    The parts of all gateways are spread evenly over the gatherers of their domains that have not
    just failed.
    """
    failed = replica.current_failure_rate(now) > MAX_GATHERER_FAILURE_RATE
    leaving = replica.state is ReplicaState.LEAVING
    part = call.request.part
    elsewhere = part is not None and part.domain != replica.entry.domain
    return leaving, failed, elsewhere, rendezvous_weight(call.request.id, replica.entry.id)


def _searcher_sort_key(
    replica: Replica, own_domain: FailureDomainId, now: Millis
) -> tuple[bool, float]:
    in_other_domain = replica.entry.domain != own_domain
    cost = replica.cost(now) + (CROSS_DOMAIN_COST if in_other_domain else 0.0)
    return replica.state is ReplicaState.LEAVING, cost
