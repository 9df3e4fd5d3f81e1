"""Parts of a query that other gateways, the gatherers, gather for this one."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from ..._failures import NotRun
from ..._ids import Millis, ServiceId
from ...version.gateway import Route
from ._attempts import Attempts
from ._exchange import Answered, Call, Inbox, Part, Request, UpstreamClient

ParseMissing = Callable[[Answered], tuple[int, ...] | None]
"""Returns the positions of the shards that are missing from a gatherer's answer.

The result is ``None`` if the answer does not state them.
"""


@dataclass(frozen=True, slots=True)
class MergedPart:
    """The valid answer of a gatherer; ``missing`` are the shards of the part without an answer."""

    answer: Answered
    part: Part
    missing: tuple[int, ...]

    def describe(self) -> str:
        """Return a short text about the part for the log."""
        count = f"{len(self.part.positions) - len(self.missing)} of {len(self.part.positions)}"
        answer = self.answer
        return f"{count} shards by {answer.searcher} in {answer.latency:.0f} ms"


class PartAttempts:
    """Sends one part to gatherers, to another one only if the part did not run."""

    def __init__(self, attempts: Attempts, part: Part, parse_missing: ParseMissing) -> None:
        self.attempts = attempts
        self.part = part
        self.parse_missing = parse_missing

    @property
    def service(self) -> ServiceId:
        """The service name of the gatherers."""
        return self.attempts.service

    @property
    def pending(self) -> bool:
        """Whether an attempt has no outcome yet."""
        return self.attempts.pending

    @property
    def started(self) -> bool:
        """Whether a searcher may have received the part.

        A gatherer that refuses a part has sent it to none.
        """
        return self.attempts.may_have_run or self.attempts.pending_started

    @property
    def possibly_ran(self) -> bool:
        """Whether a gatherer may have sent the part to searchers, by the outcomes so far."""
        return self.attempts.possibly_ran

    @property
    def may_have_run(self) -> bool:
        """Whether a gatherer may have sent the part to searchers."""
        return self.attempts.may_have_run

    @property
    def retry_after(self) -> Millis | None:
        """When the last gatherer that refused the part wants it again, if it stated that."""
        return self.attempts.retry_after

    @property
    def failure(self) -> NotRun:
        """The latest failure of an attempt."""
        return self.attempts.failure

    def send_first(self) -> bool:
        """Send the part to a gatherer; return ``False`` if none can accept it."""
        return self.attempts.send_first()

    def retry(self) -> bool:
        """Send the part to another gatherer after a refusal; return whether it was sent."""
        return self.attempts.retry()

    def replace_unsent(self) -> None:
        """Send the part to another gatherer if the connection to the first is still opening."""
        if self.pending and not self.attempts.started:
            self.attempts.send_hedge()

    def handle_outcome(self, call: Call) -> bool:
        """Record the outcome of ``call``; return ``False`` if it is not an attempt in flight."""
        return self.attempts.handle_outcome(call)

    def merged_answer(self) -> MergedPart | None:
        """Return the answer if it is valid: it has a stamp for each shard that is not missing."""
        answer = self.attempts.answer
        if answer is None or not answer.is_success:
            return None
        missing = self.parse_missing(answer)
        if missing is None or not set(missing) <= set(self.part.positions):
            return None
        if len(answer.stamp.split(", ")) != len(self.part.positions) - len(missing):
            return None
        return MergedPart(answer, self.part, missing)

    def describe_missing_answer(self) -> str:
        """Return a short text that says why the part has not been answered."""
        return f"{len(self.part.positions)} shards: {self.attempts.describe_missing_answer()}"

    def cancel(self) -> None:
        """Cancel every attempt without an outcome."""
        self.attempts.cancel()


@dataclass(frozen=True, slots=True)
class PartSender:
    """Sends parts to the gatherers, which count as the searchers of one service.

    ``request`` is the query and ``route`` the route to the gatherers. The part's attempts have the
    deadline of the query.
    """

    request: Request
    route: Route
    service: ServiceId
    upstream: UpstreamClient
    parse_missing: ParseMissing

    def prepare(self, part: Part, inbox: Inbox, deadline: Millis) -> PartAttempts:
        """Return the attempts to have a part of the query gathered; none is sent yet."""
        attempts = Attempts(
            replace(self.request, part=part),
            self.route,
            self.service,
            self.upstream,
            inbox,
            deadline,
        )
        return PartAttempts(attempts, part, self.parse_missing)
