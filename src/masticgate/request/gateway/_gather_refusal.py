"""Refusals of a query over many shards, before it is sent or after no attempt has run."""

from collections.abc import Iterable, Sequence

from ..._failures import NotRun, Reason, Step
from ..._ids import Millis, ServiceId
from ...version.gateway import Route
from ._answer_times import RETRY_AFTER, retry_after
from ._attempts import Attempts
from ._exchange import Request, UpstreamClient
from ._parts import PartAttempts
from ._reply import Refused


def refuse_unservable(
    request: Request,
    route: Route,
    services: Sequence[ServiceId],
    upstream: UpstreamClient,
    reachable: int,
    min_answers: int,
) -> Refused | None:
    """Refuse a query at once if too many shards to gather here cannot serve it in time.

    Their searchers leave, want a pause, or have no room before the query's deadline. ``services``
    are the shards to gather here, and ``reachable`` counts all shards of the query.
    """
    unservable = upstream.unservable(services)
    if unservable and reachable - len(unservable) < min_answers:
        detail = f"{len(unservable)} shards without a searcher that accepts queries"
        failure = NotRun(Reason.NO_SEARCHER, Step.ROUTE, unservable[0], detail)
        return Refused(503, failure, _retry_after(unservable, upstream, reachable, min_answers))
    needed = min_answers - (reachable - len(services))
    refusal = upstream.admit_query(request, route, services, needed)
    if refusal is None:
        return None
    failure = NotRun(Reason.OVERLOAD, Step.ADMISSION, detail=refusal.why)
    return Refused(503, failure, refusal.retry_after, room=refusal.room)


def refuse_unsent(
    attempts: Sequence[Attempts | PartAttempts],
    missing: Sequence[ServiceId],
    upstream: UpstreamClient,
    reachable: int,
    min_answers: int,
    detail: str,
) -> Refused:
    """Return the refusal of a query none of whose ``attempts`` may have run.

    The query may be tried again when its refused parts and shards have stated, or else when enough
    of the ``missing`` shards may have a searcher.
    """
    first = next((attempt.failure for attempt in attempts), None)
    reason = Reason.OVERLOAD if first is None else first.reason
    step = Step.FORWARD if first is None else first.step
    peer = "" if first is None else first.peer
    stated = [a.retry_after for a in attempts if a.retry_after is not None]
    if stated:
        wait = max(stated)
    elif missing:
        wait = _retry_after(missing, upstream, reachable, min_answers)
    else:
        wait = RETRY_AFTER
    return Refused(503, NotRun(reason, step, peer, detail), wait, longest_wait(attempts))


def longest_wait(attempts: Iterable[Attempts | PartAttempts]) -> Millis:
    """Return the longest time for which a shard waited for room."""
    return max((a.waited for a in attempts if isinstance(a, Attempts)), default=Millis(0.0))


def _retry_after(
    missing: Sequence[ServiceId], upstream: UpstreamClient, reachable: int, min_answers: int
) -> Millis:
    """Return when enough of the ``missing`` shards may have a searcher again.

    ``reachable`` counts all shards of the query, the missing ones included.
    """
    waits = [upstream.retry_after(service) for service in missing]
    return retry_after(waits, min_answers - (reachable - len(missing)))
