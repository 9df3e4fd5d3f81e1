"""Decides when the shards of a query are hedged, and how much of the budget a hedge may use.

Load scenarios: some searchers are slow for seconds or pause for 200 to 250 ms, so that the answers
of a few shards of each query are late; and the budget for repeats runs out while they are.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from ..._ids import Millis

SECOND_ANSWER_FACTOR = 1.25
"""The time that is left for the answer to a hedge, as a multiple of an upper quartile.

It is near the 95th percentile of searchers that are not slow.
"""

MIN_ANSWER_FACTOR = 0.6
"""No answer takes less time than this multiple of the upper quartile."""

MAX_HEDGES = 2
"""The number of hedges for each shard; a route may allow fewer attempts."""

FEW_SHARDS = 0.1
"""If at most this share of the shards is unanswered, a hedge decides whether the answer is whole.

If more are, hedges repeat much of the query, and the searchers or this gateway may be overloaded.
"""

DECISIVE_SHARE = 1.0
ORDINARY_SHARE = 0.75
SECOND_SHARE = 0.5
"""The part of a budget that hedges of each urgency may use; the rest is for more urgent repeats."""

MAX_SECOND_SHARE = 0.25
"""The part of a budget that less urgent hedges may use in one second.

A slow phase of 8 s would otherwise use it up in its first second.
"""

MIN_PER_SECOND = 2
"""The number of less urgent hedges that are allowed in one second, however small the budget is."""


WAVE_SPREAD = Millis(2.0)
"""Hedges that are due within this time of each other are sent together.

The first attempts of a query are sent over some milliseconds; its task need not wake for each.
"""


class Urgency(Enum):
    """How much depends on a hedge.

    A ``DECISIVE`` one is sent for one of the few shards without which the answer is not whole. An
    ``ORDINARY`` one is sent for one of many, and a ``SECOND`` one after another hedge that may
    still be answered.
    """

    DECISIVE = "decisive"
    ORDINARY = "ordinary"
    SECOND = "second"


@dataclass(frozen=True, slots=True)
class BudgetUse:
    """The use of the budget for repeats of one service.

    ``allowed`` is the number of repeats in a window. ``used`` is how many were sent in the present
    one, and ``used_in_last_second`` how many of them in the last second.
    """

    allowed: float
    used: int
    used_in_last_second: int


def may_hedge(urgency: Urgency, use: BudgetUse, reserve: float) -> bool:
    """Return whether a budget allows a hedge; ``reserve`` repeats are kept for retries."""
    match urgency:
        case Urgency.DECISIVE:
            share = DECISIVE_SHARE
        case Urgency.ORDINARY:
            share = ORDINARY_SHARE
        case Urgency.SECOND:
            share = SECOND_SHARE
    if use.used + 1 + reserve > share * use.allowed:
        return False
    paced = max(MIN_PER_SECOND, MAX_SECOND_SHARE * use.allowed)
    return urgency is Urgency.DECISIVE or use.used_in_last_second < paced


def hedge_urgency(unanswered: int, shards: int, hedges: int) -> Urgency:
    """Return the urgency of a hedge for one of the ``unanswered`` shards of a query.

    ``shards`` is the number of all shards, and ``hedges`` that of earlier hedges for this one.
    """
    if hedges:
        return Urgency.SECOND
    return Urgency.DECISIVE if unanswered <= max(1.0, FEW_SHARDS * shards) else Urgency.ORDINARY


class HedgeSchedule:
    """The times at which the shards of one query are hedged; the task of the query uses it.

    ``delay`` is the age at which an attempt is late, and ``answer_time`` the upper quartile of the
    latencies, if it is known. An attempt is hedged earlier than at ``delay`` if its hedge could not
    be answered before ``answer_at`` otherwise. ``due_at`` is the time of the next hedges.
    """

    def __init__(self, delay: Millis, answer_time: Millis | None, answer_at: Millis) -> None:
        self.delay = delay
        self.answer_time = answer_time
        self.answer_at = answer_at
        self.due_at: Millis | None = None

    def hedge_time(self, sent_at: Millis) -> Millis:
        """Return when an attempt that was sent at ``sent_at`` is hedged.

        Attempts that are not late are hedged rarely: the age is at least the upper quartile.
        """
        delay = self.delay
        if self.answer_time is not None:
            latest = self.answer_at - sent_at - SECOND_ANSWER_FACTOR * self.answer_time
            delay = min(delay, Millis(max(self.answer_time, latest)))
        return Millis(sent_at + delay)

    def is_last_chance(self, now: Millis) -> bool:
        """Return whether a second hedge would be too late if it waited for one that is sent now."""
        if self.answer_time is None:
            return False
        return self.hedge_time(now) + self.answer_time > self.answer_at

    def is_late(self, sent_at: Millis, now: Millis) -> bool:
        """Return whether an attempt that was sent at ``sent_at`` is hedged now."""
        return self.hedge_time(sent_at) <= now + WAVE_SPREAD

    def record_sent(self, now: Millis) -> None:
        """Schedule the hedges of attempts that are sent now."""
        at = self.hedge_time(now)
        self.due_at = at if self.due_at is None else min(self.due_at, at)

    def is_due(self, now: Millis) -> bool:
        """Return whether a hedge is due."""
        return self.due_at is not None and now >= self.due_at

    def schedule(self, sent_times: Iterable[Millis], now: Millis) -> None:
        """Schedule the hedges of attempts that were sent at ``sent_times`` and are unanswered.

        Hedges that were due before are not tried again, so that ``due_at`` is never in the past and
        the task of the query never wakes without need.
        """
        times = (self.hedge_time(at) for at in sent_times if not self.is_late(at, now))
        self.due_at = min(times, default=None)

    def is_useful(self, now: Millis, *, is_below_minimum: bool) -> bool:
        """Return whether the answer to an attempt that is sent now may still be merged.

        Past the objective, that is the case only while too few shards have answered.
        """
        fastest = MIN_ANSWER_FACTOR * (self.answer_time or 0.0)
        return is_below_minimum or now + fastest < self.answer_at
