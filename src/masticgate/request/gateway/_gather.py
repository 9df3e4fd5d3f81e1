"""Serves a query over many shards: sends it to every shard, hedges slow ones, merges records.

The services of a query's route are the shards. A record is a fixed number of bytes, and the
greatest records of all shards, compared byte by byte, are the answer.
"""

from collections.abc import Iterable
from heapq import nlargest
from itertools import islice
from math import ceil

from ..._failures import NotRun, Reason, Step, Unknown
from ..._ids import Millis
from ...version.gateway import Route, Shards
from ._attempts import Attempts
from ._exchange import Call, CallerDisconnected, Inbox, Request, UpstreamClient
from ._reply import Abandoned, Failed, Merged, Refused, Reply

RECORD_BYTES = 16
"""Size of one record in a body; a shorter remainder at the end of the body is ignored."""

ANSWER_MARGIN = Millis(5.0)
"""Milliseconds of the route's objective that are reserved for merging and writing the answer.

The time on the network between caller and gateway is reserved in addition.
"""

MIN_ANSWER_TIME = Millis(5.0)
"""Shortest wait for the answers of shards in milliseconds, whatever the objective."""

MAX_LOGGED_SHARDS = 4
"""The maximum number of missing shards, and of irregular answers, described in a log line."""

RETRY_AFTER = Millis(30.0)
"""Time in milliseconds after which a refused caller should try again.

By then the next change of the catalogue of searchers may have arrived.
"""


def run_gather(
    request: Request, route: Route, shards: Shards, upstream: UpstreamClient, inbox: Inbox
) -> Reply:
    """Send ``request`` to one searcher of each shard and merge the answers that arrive in time."""
    return _Gather(request, route, shards, upstream, inbox).run()


class _Gather:
    """The state of one query, which only the task of its caller's connection uses.

    ``answer_at`` is the time at which the query is answered without the missing shards, provided
    that ``min_answers`` shards have answered.
    """

    def __init__(
        self, request: Request, route: Route, shards: Shards, upstream: UpstreamClient, inbox: Inbox
    ) -> None:
        self.upstream = upstream
        self.inbox = inbox
        self.top = shards.top
        self.deadline = request.deadline(route)
        remaining = route.objective - request.network_time - ANSWER_MARGIN
        answer_time = Millis(max(MIN_ANSWER_TIME, remaining))
        self.answer_at = min(self.deadline, Millis(request.arrived_at + answer_time))
        # Without the subtraction, a rounding error could require one more shard.
        self.min_answers = max(1, ceil(shards.min_shard_ratio * len(shards.services) - 1e-9))
        self.hedge_at: Millis | None = Millis(request.arrived_at + upstream.hedge_delay(route))
        self.unanswered = [
            Attempts(request, route, service, upstream, inbox, self.deadline)
            for service in shards.services
        ]
        self.shard_count = len(self.unanswered)
        self.answered: list[Attempts] = []

    def run(self) -> Reply:
        """Send the query to all shards, wait for their answers, and return the reply.

        The wait ends when no attempt for an unanswered shard is in flight or the deadline has
        passed, and from ``answer_at`` on as soon as ``min_answers`` shards have answered.
        """
        for attempts in self.unanswered:
            attempts.send_first()
        while not self._is_finished():
            pending = sum(attempts.pending for attempts in self.unanswered)
            self.inbox.set_batch_size(pending)
            match self.inbox.wait(self._next_wake_up()):
                case CallerDisconnected():
                    self._cancel()
                    return Abandoned()
                case Call() as call:
                    self._handle_call(call)
                case None:
                    self._send_hedges_if_due()
        return self._build_reply()

    def _is_finished(self) -> bool:
        now = self.upstream.now()
        if now >= self.deadline or not any(attempts.pending for attempts in self.unanswered):
            return True
        return now >= self.answer_at and len(self.answered) >= self.min_answers

    def _next_wake_up(self) -> Millis:
        times = [self.deadline]
        if self.upstream.now() < self.answer_at:
            times.append(self.answer_at)
        if self.hedge_at is not None:
            times.append(self.hedge_at)
        return min(times)

    def _handle_call(self, call: Call) -> None:
        for attempts in self.unanswered:
            if not attempts.handle_outcome(call):
                continue
            if attempts.answer is not None and attempts.answer.is_success:
                self.unanswered.remove(attempts)
                self.answered.append(attempts)
            elif not attempts.pending:
                attempts.retry()
            return

    def _send_hedges_if_due(self) -> None:
        if self.hedge_at is None or self.upstream.now() < self.hedge_at:
            return
        self.hedge_at = None
        for attempts in self.unanswered:
            if attempts.pending:
                attempts.send_hedge()
            elif not attempts.attempt_count:
                attempts.send_first()

    def _cancel(self) -> None:
        for attempts in (*self.unanswered, *self.answered):
            attempts.cancel()

    def _build_reply(self) -> Reply:
        answers = [attempts.answer for attempts in self.answered if attempts.answer is not None]
        if len(answers) < self.min_answers:
            self._cancel()
            return self._build_failure()
        stamps = tuple(answer.stamp for answer in answers)
        records = merge_records((answer.body for answer in answers), self.top)
        missing_causes = tuple(
            attempts.describe_missing_answer() for attempts in self.unanswered[:MAX_LOGGED_SHARDS]
        )
        irregular_answers = (answer for answer in answers if not answer.receive_info.is_regular)
        irregular_parts = tuple(
            f"{a.searcher}: {a.receive_info}" for a in islice(irregular_answers, MAX_LOGGED_SHARDS)
        )
        return Merged(
            stamps, self.shard_count - len(answers), records, missing_causes, irregular_parts
        )

    def _build_failure(self) -> Reply:
        detail = f"{len(self.answered)} of {self.shard_count} shards answered"
        if not any(attempts.started for attempts in (*self.unanswered, *self.answered)):
            first = self.unanswered[0].failure
            refused = NotRun(first.reason, first.step, first.peer, detail)
            return Refused(503, refused, RETRY_AFTER)
        if self.upstream.now() >= self.deadline:
            return Failed(504, Unknown(Reason.DEADLINE, Step.MERGE, detail=detail))
        return Failed(502, Unknown(Reason.COVERAGE, Step.MERGE, detail=detail))


def merge_records(bodies: Iterable[bytes], top: int) -> bytes:
    """Return the greatest ``top`` records of all bodies, greatest first."""
    records = (
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    )
    return b"".join(nlargest(top, records))
