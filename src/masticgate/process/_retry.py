"""Which failed sends may be tried again elsewhere, and at what cost."""

from enum import Enum

from .._failures import NotRun, Reason, Unknown
from ._work import QueueEntry, Result, SearchWork

MAX_RETRIES = 2

FREE_RETRY_REASONS = frozenset({Reason.SEARCHER_DRAINING, Reason.SEARCHER_REFUSED})
"""Failures that cost the searcher no work; a retry after them is no extra load."""

RETRY_REASONS = FREE_RETRY_REASONS | {
    Reason.SEARCHER_SHED,
    Reason.SEARCHER_LOST,
    Reason.SEARCHER_ERROR,
}


class RetryCost(Enum):
    """What one more send of an entry takes from the service's budget."""

    FREE = "free"
    TOKEN = "token"
    FORBIDDEN = "forbidden"


def retry_cost(entry: QueueEntry, result: Result) -> RetryCost:
    """Return the cost of sending ``entry`` again after ``result``; a booking never is."""
    if not isinstance(entry.work, SearchWork) or entry.retries >= MAX_RETRIES:
        return RetryCost.FORBIDDEN
    match result:
        case NotRun(reason=reason) | Unknown(reason=reason) if reason in FREE_RETRY_REASONS:
            return RetryCost.FREE
        case NotRun(reason=reason) | Unknown(reason=reason) if reason in RETRY_REASONS:
            return RetryCost.TOKEN
        case _:
            return RetryCost.FORBIDDEN
