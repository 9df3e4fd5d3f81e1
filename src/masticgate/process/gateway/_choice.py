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

It exceeds what the ordinary variation of latencies adds to the cost of a searcher in the gateway's
own domain.
"""

OPENING_COST = 0.3
"""Added to the cost of a searcher to which no connection is idle, for the time to open one.

It counts for hedges and retries, which have little time left.
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
        usable = [replica for replica in untried if replica.is_last_resort(now)]
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
    with_room = [replica for replica in free if replica.has_room(now)]
    return min(
        with_room or free, key=lambda replica: _searcher_sort_key(replica, call, own_domain, now)
    )


def may_hedge_at_once(
    call: Call,
    chosen: Replica,
    known: Collection[Replica],
    tried: Set[SearcherId],
    now: Millis,
) -> bool:
    """Return whether ``chosen`` may well answer late, and the call may be hedged at once for that.

    That takes another searcher with a free slot, so that early hedges stop under load.
    """
    if call.service == PEER_SERVICE or not chosen.speed.is_doubtful(now):
        return False
    return any(
        replica is not chosen
        and replica.entry.id not in tried
        and replica.is_usable(now)
        and replica.has_capacity()
        and replica.in_progress(now) < replica.entry.slots
        for replica in known
    )


def usable_domains(known: Collection[Replica], now: Millis) -> set[FailureDomainId]:
    """Return the failure domains whose gatherers can gather from one of the ``known`` searchers.

    A domain whose searchers are evacuated, or cold, is one of them if another domain has a usable
    searcher: its gatherers send there, and their capacity is not lost with the searchers.
    """
    usable: set[FailureDomainId] = set()
    spared: set[FailureDomainId] = set()
    for replica in known:
        if not replica.is_listed:
            continue
        if replica.is_usable(now):
            usable.add(replica.entry.domain)
        elif replica.is_evacuated() or replica.cold_wait(now):
            spared.add(replica.entry.domain)
    return usable | spared if usable else usable


def _describe_known(known: Collection[Replica], now: Millis) -> str:
    """Return how many searchers are known, and how many of them leave or are withheld."""
    leaving = sum(not replica.is_listed for replica in known)
    paused = sum(replica.is_paused(now) for replica in known)
    cold = sum(replica.cold_wait(now) > 0 for replica in known)
    evacuated = sum(replica.is_evacuated() for replica in known)
    counts = [f"{len(known)} searchers known"]
    counts += [f"{leaving} leave"] if leaving else []
    counts += [f"{paused} paused"] if paused else []
    counts += [f"{evacuated} evacuated"] if evacuated else []
    counts += [f"{cold} cold"] if cold else []
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
    replica: Replica, call: Call, own_domain: FailureDomainId, now: Millis
) -> tuple[bool, float]:
    """Return the key of a searcher; the lowest one is chosen.

    A hedge or retry is no probe, since an earlier attempt is late or failed already.
    """
    cost = replica.cost(now, may_probe=call.repeat is None)
    if replica.entry.domain != own_domain:
        cost += CROSS_DOMAIN_COST
    if call.repeat is not None and not replica.idle:
        cost += OPENING_COST
    return replica.state is ReplicaState.LEAVING, cost
