"""When a query over many shards is answered, and how many answers its task waits for.

Load scenario: some of the shards are late, and an answer without them earns more than a late one.
"""

from collections.abc import Iterable

from ..._ids import Millis
from ...version.gateway import Route, Shards
from ._exchange import Request

ANSWER_MARGIN = Millis(7.0)
"""Milliseconds of the route's objective that are reserved for merging and writing the answer.

At the end of the wait, the answers of many shards may be ready at once. With 5 ms, a fifth of the
answers of 90 shards came 1 to 3 ms after an objective of 63 ms. The time on the network between
caller and gateway is reserved in addition.
"""

MIN_ANSWER_TIME = Millis(5.0)
"""Shortest wait for the answers of shards in milliseconds, whatever the objective."""

RETRY_AFTER = Millis(30.0)
"""Time in milliseconds after which a refused caller should try again.

By then the next change of the catalogue of searchers may have arrived.
"""


def answer_time(request: Request, route: Route) -> Millis:
    """Return the time at which a query is answered without the missing shards."""
    remaining = route.objective - request.network_time - ANSWER_MARGIN
    at = Millis(request.arrived_at + max(MIN_ANSWER_TIME, remaining))
    return min(request.deadline(route), at)


def batch_size(waiting: int, parts: int, needed: int, *, is_past_objective: bool) -> int:
    """Return how many calls have to finish before a query may be answered.

    ``waiting`` is the number of shards and parts with an attempt in flight, and ``parts`` that of
    the parts. ``needed`` is the number of shards that are missing from the least acceptable answer,
    which is sent as soon as it is complete if the objective has passed.
    """
    if not is_past_objective:
        return waiting
    return 1 if parts else min(waiting, max(1, needed))


def least_answers(request: Request, shards: Shards) -> int:
    """Return the number of shards that have to answer."""
    if request.part is not None:
        return min(len(request.part.positions), max(1, request.part.least))
    return shards.min_answers


def retry_after(waits: Iterable[Millis | None], needed: int) -> Millis:
    """Return when ``needed`` of the missing shards may have a searcher again.

    ``waits`` has for each of them when it may have one, or ``None`` if that is not known.
    """
    times = sorted(wait or RETRY_AFTER for wait in waits)
    return times[min(len(times), max(1, needed)) - 1]
