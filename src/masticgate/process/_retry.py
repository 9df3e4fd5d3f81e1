"""Decides after which failures work may be retried, and at what cost."""

from enum import Enum

from .._failures import NotRun, Reason, Unknown
from ._work import QueueEntry, Result, SearchWork

MAX_RETRIES = 2
"""The maximum number of retries of one piece of work."""

FREE_RETRY_REASONS = frozenset({Reason.SEARCHER_DRAINING, Reason.SEARCHER_REFUSED})
"""The failures that cost the searcher no work, so that a retry adds no load."""

RETRY_REASONS = FREE_RETRY_REASONS | {
    Reason.SEARCHER_SHED,
    Reason.SEARCHER_LOST,
    Reason.SEARCHER_ERROR,
}
"""All failures after which a search may be retried."""


class RetryCost(Enum):
    """What a retry takes from the service's budget of hedges and retries."""

    FREE = "free"
    TOKEN = "token"
    FORBIDDEN = "forbidden"


def retry_cost(entry: QueueEntry, result: Result) -> RetryCost:
    """Return the cost of a retry of ``entry`` after ``result``.

    Retries of a booking are forbidden, since it may be sent only once.
    """
    if not isinstance(entry.work, SearchWork) or entry.retries >= MAX_RETRIES:
        return RetryCost.FORBIDDEN
    match result:
        case NotRun(reason=reason) | Unknown(reason=reason) if reason in FREE_RETRY_REASONS:
            return RetryCost.FREE
        case NotRun(reason=reason) | Unknown(reason=reason) if reason in RETRY_REASONS:
            return RetryCost.TOKEN
        case _:
            return RetryCost.FORBIDDEN
