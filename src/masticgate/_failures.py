"""Failures that are returned instead of raised, with their reason, step and peer.

The type of a failure says whether the work certainly did not run or may have run. The peer is the
host, searcher, service or address that the failure concerns, or an empty string.
"""

from dataclasses import dataclass
from enum import Enum


class Step(Enum):
    """The step of a request at which a failure occurred.

    ``READ`` is reading input, ``PIN`` is choosing a snapshot, and ``ROUTE`` is choosing the
    services of a request and a host or searcher for each. ``FORWARD`` is sending to another host
    and waiting for its reply, and ``UPSTREAM`` is calling a searcher and waiting for its response.
    ``TICKET`` is minting or using a booking's ticket.
    """

    READ = "read"
    ADMISSION = "admission"
    PIN = "pin"
    ROUTE = "route"
    FORWARD = "forward"
    QUEUE = "queue"
    CONNECT = "connect"
    SEND = "send"
    UPSTREAM = "upstream"
    MERGE = "merge"
    TICKET = "ticket"


class Reason(Enum):
    """The reason for a failure.

    An owner is the host that sends requests to a service's searchers, and a minter the host that
    minted a ticket. A host or searcher is lost if it is unreachable or gave no whole response; a
    minter is also lost if it has restarted. An owner is silent if this host has no link to it and
    is not opening one, or if it left a heartbeat unanswered for too long. A searcher that sheds
    work declines it without running it. ``SEARCHER_REFUSED`` means that nothing could be sent to
    the searcher.

    ``VERSION_GONE`` means that a searcher does not hold the snapshot, and ``WRONG_VERSION`` that it
    answered from another one. ``BUDGET`` means that the budget for hedges and retries was used up,
    and ``COVERAGE`` that too few of the shards answered.
    """

    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    UNKNOWN_SERVICE = "unknown_service"
    NO_CONFIGURATION = "no_configuration"
    NO_SNAPSHOT = "no_snapshot"
    DEPARTMENT_LEFT = "department_left"
    DEADLINE = "deadline"
    OVERLOAD = "overload"
    SHUTTING_DOWN = "shutting_down"
    NO_OWNER = "no_owner"
    NO_SEARCHER = "no_searcher"
    OWNER_LOST = "owner_lost"
    OWNER_SILENT = "owner_silent"
    SEARCHER_DRAINING = "searcher_draining"
    SEARCHER_SHED = "searcher_shed"
    SEARCHER_REFUSED = "searcher_refused"
    SEARCHER_LOST = "searcher_lost"
    SEARCHER_ERROR = "searcher_error"
    VERSION_GONE = "version_gone"
    WRONG_VERSION = "wrong_version"
    CANCELLED = "cancelled"
    BUDGET = "budget"
    COVERAGE = "coverage"
    TICKET_UNKNOWN = "ticket_unknown"
    TICKET_EXPIRED = "ticket_expired"
    TICKET_IN_USE = "ticket_in_use"
    MINTER_LOST = "minter_lost"
    PLATFORM = "platform"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class NotRun:
    """The work did not run and never will."""

    reason: Reason
    step: Step
    peer: str = ""
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Unknown:
    """The work may or may not have run, and this host cannot determine which."""

    reason: Reason
    step: Step
    peer: str = ""
    detail: str = ""


Failure = NotRun | Unknown


def describe_failure(failure: Failure) -> str:
    """Return one line of text that describes ``failure`` to a person."""
    outcome = "not run" if isinstance(failure, NotRun) else "unknown"
    parts = [f"{outcome}: {failure.reason.value} at {failure.step.value}"]
    if failure.peer:
        parts.append(f"of {failure.peer}")
    if failure.detail:
        parts.append(f"({failure.detail})")
    return " ".join(parts)
