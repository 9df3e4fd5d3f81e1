"""Decides whether a request that finds no room waits for it or is refused.

Load scenarios: a burst of one kind of request, and slow searchers whose queues fill up. A request
that can still be served in time waits; any other is refused at once, so that its caller can use the
time that it has left.
"""

from dataclasses import dataclass

from ...._clock import MILLIS_PER_SECOND
from ...._ids import Millis
from ....request.gateway import Decision, Refuse, RoomState, Send, Wait

MAX_JITTER = 1.5
"""Refused callers are told to return after up to this many times the expected wait."""

MAX_RETRY_SHARE = 1 / 3
"""The largest part of a caller's remaining time after which it is told to return."""

MIN_RETRY_AFTER = Millis(10.0)
"""The shortest time after which a caller is told to return, also if it has little time left.

Without it, a caller whose time runs out would return ever sooner, and each return costs work.
"""

RECHECK_INTERVAL = Millis(25.0)
"""How long the first request waits before it looks for room again without being woken.

Room also comes free when a searcher is listed, a pause or an ejection ends, a connection closes or
a report of load expires. It is well below the shortest objective, 63 ms.
"""

MAX_RECHECK_FACTOR = 8
"""Later requests look less often, up to this many times the interval, to save processor time."""


@dataclass(frozen=True, slots=True)
class Demand:
    """What a request needs.

    It must be answered by ``deadline``, and earns its full benefit until ``objective_at``.
    ``latency`` is the usual time of a searcher for it.
    """

    deadline: Millis
    objective_at: Millis
    latency: Millis


@dataclass(frozen=True, slots=True)
class Queue:
    """The queue that a request joins.

    ``ahead`` is the number of requests before it, and ``rate`` that of the requests for which room
    comes free in a second, or 0 if it is not known.
    """

    ahead: int
    rate: float
    room: RoomState


def decide(demand: Demand, queue: Queue, now: Millis, jitter: float) -> Decision:
    """Return what to do with a request; ``jitter`` is between 1.0 and ``MAX_JITTER``.

    It is never refused while there is room. Otherwise it is refused if its answer is expected after
    the deadline, or after the objective although its caller can still meet that by a retry.
    """
    if queue.room.free > 0:
        return Send()
    known_wait = expected_wait(queue.ahead, queue.rate)
    wait = known_wait or Millis(0.0)
    answer_at = now + wait + demand.latency
    retry_after = limit_retry_after(known_wait or demand.latency, demand.deadline, now, jitter)
    if answer_at > demand.deadline:
        why = f"no room before the deadline, expected wait {wait:.0f} ms"
        return Refuse(retry_after, why, queue.room)
    retry_meets_objective = now + retry_after + demand.latency <= demand.objective_at
    if answer_at > demand.objective_at and retry_meets_objective:
        why = f"no room before the objective, expected wait {wait:.0f} ms"
        return Refuse(retry_after, why, queue.room)
    recheck = RECHECK_INTERVAL * min(queue.ahead + 1, MAX_RECHECK_FACTOR)
    return Wait(Millis(min(now + recheck, demand.deadline)))


def expected_wait(ahead: int, rate: float) -> Millis | None:
    """Return how long ``ahead`` requests and one more wait for room, or ``None`` if unknown."""
    return Millis((ahead + 1) / rate * MILLIS_PER_SECOND) if rate > 0.0 else None


def limit_retry_after(wait: Millis, deadline: Millis, now: Millis, jitter: float) -> Millis:
    """Return after which time a caller should try again if room is expected after ``wait``.

    The upper bound varies too. Otherwise all callers that it applies to would return together.
    """
    longest = max(0.0, deadline - now) * MAX_RETRY_SHARE * jitter / MAX_JITTER
    return Millis(max(MIN_RETRY_AFTER, min(wait * jitter, longest)))
