"""One query over many shards: fan-out, hedges, and the merge of the greatest records."""

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
"""The size of one record on the wire; a shorter remainder is none."""

ANSWER_MARGIN = Millis(5.0)
"""Left of the objective for merging and writing, beside the ways to and from the caller."""

SHORTEST_ANSWER_TIME = Millis(5.0)

MOST_CAUSES = 4
"""Missing shards whose cause, and unusual parts whose receipt, is kept for the log."""

RETRY_AFTER = Millis(30.0)
"""A refused query is worth another try once the next catalogue event may have come."""


def run_gather(
    request: Request, route: Route, shards: Shards, upstream: UpstreamClient, inbox: Inbox
) -> Reply:
    """Ask one searcher of each shard and merge what answers in time."""
    return _Gather(request, route, shards, upstream, inbox).run()


class _Gather:
    """The state of one query, used by the task of its caller's connection only."""

    def __init__(
        self, request: Request, route: Route, shards: Shards, upstream: UpstreamClient, inbox: Inbox
    ) -> None:
        self.upstream = upstream
        self.inbox = inbox
        self.top = shards.top
        self.deadline = request.deadline(route)
        left = route.objective - request.network_time - ANSWER_MARGIN
        soon = Millis(max(SHORTEST_ANSWER_TIME, left))
        self.answer_at = min(self.deadline, Millis(request.arrived_at + soon))
        self.least = max(1, ceil(shards.min_shard_ratio * len(shards.services) - 1e-9))
        self.hedge_at: Millis | None = Millis(request.arrived_at + upstream.hedge_delay(route))
        self.waiting = [
            Attempts(request, route, service, upstream, inbox, self.deadline)
            for service in shards.services
        ]
        self.total = len(self.waiting)
        self.done: list[Attempts] = []

    def run(self) -> Reply:
        """Wait until every shard answered or the time is up."""
        for attempts in self.waiting:
            attempts.send_first()
        while not self._is_over():
            self.inbox.set_batch_size(len(self.waiting))
            match self.inbox.wait(self._next_time()):
                case CallerDisconnected():
                    self._cancel()
                    return Abandoned()
                case Call() as call:
                    self._take(call)
                case None:
                    self._hedge()
        return self._reply()

    def _is_over(self) -> bool:
        now = self.upstream.now()
        if now >= self.deadline or not any(attempts.pending for attempts in self.waiting):
            return True
        return now >= self.answer_at and len(self.done) >= self.least

    def _next_time(self) -> Millis:
        times = [self.deadline]
        if self.upstream.now() < self.answer_at:
            times.append(self.answer_at)
        if self.hedge_at is not None:
            times.append(self.hedge_at)
        return min(times)

    def _take(self, call: Call) -> None:
        for attempts in self.waiting:
            if not attempts.take(call):
                continue
            if attempts.answer is not None and attempts.answer.is_success:
                self.waiting.remove(attempts)
                self.done.append(attempts)
            elif not attempts.pending:
                attempts.retry()
            return

    def _hedge(self) -> None:
        if self.hedge_at is None or self.upstream.now() < self.hedge_at:
            return
        self.hedge_at = None
        for attempts in self.waiting:
            if attempts.pending:
                attempts.send_hedge()

    def _cancel(self) -> None:
        for attempts in (*self.waiting, *self.done):
            attempts.cancel()

    def _reply(self) -> Reply:
        answers = [attempts.answer for attempts in self.done if attempts.answer is not None]
        if len(answers) < self.least:
            self._cancel()
            return self._failure()
        stamps = tuple(answer.stamp for answer in answers)
        records = merge_records((answer.body for answer in answers), self.top)
        missing_causes = tuple(attempts.describe() for attempts in self.waiting[:MOST_CAUSES])
        irregular_parts = (answer for answer in answers if not answer.receive_info.is_regular)
        received = tuple(
            f"{a.searcher}: {a.receive_info}" for a in islice(irregular_parts, MOST_CAUSES)
        )
        return Merged(stamps, self.total - len(answers), records, missing_causes, received)

    def _failure(self) -> Reply:
        detail = f"{len(self.done)} of {self.total} shards"
        if not any(attempts.started for attempts in (*self.waiting, *self.done)):
            first = self.waiting[0].failure
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
