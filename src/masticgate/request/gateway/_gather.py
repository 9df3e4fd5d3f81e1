"""Serves a query over many shards: sends it to every shard, hedges slow ones, merges records.

The services of a query's route are the shards. A record is a fixed number of bytes, and the
greatest records of all shards, compared byte by byte, are the answer. Another gateway may gather a
part of the shards; it merges their records, and this gateway merges the parts.
"""

from collections.abc import Iterable
from dataclasses import replace

from ..._failures import Reason, Step, Unknown
from ..._ids import Millis, SearcherId
from ...version.gateway import Route, Shards
from ._answer_times import answer_time, batch_size, least_answers
from ._attempts import Attempts
from ._exchange import (
    Answered,
    Call,
    CallerDisconnected,
    GatewayStopping,
    Inbox,
    Request,
    RoomGranted,
    UpstreamClient,
)
from ._gather_log import describe_irregular, describe_missing
from ._gather_plan import GatherPlan, plan_here
from ._gather_refusal import longest_wait, refuse_unsent, refuse_unservable
from ._hedging import MAX_HEDGES, HedgeSchedule, Urgency, hedge_urgency
from ._parts import PartAttempts, PartSender
from ._records import RecordMerger
from ._reply import Abandoned, Failed, Merged, Refused, Reply


def run_gather(
    request: Request,
    route: Route,
    shards: Shards,
    upstream: UpstreamClient,
    inbox: Inbox,
    plan: GatherPlan | None = None,
    merger: RecordMerger | None = None,
) -> Reply:
    """Gather ``request`` as planned, by default all here, and merge the answers in time.

    If ``request`` asks for a part only, the other shards do not count.
    """
    if plan is None or request.part is not None:
        plan = plan_here(request, shards)
    gather = _Gather(request, route, shards, upstream, inbox, plan, merger or RecordMerger())
    try:
        return gather.run()
    finally:
        gather.stop_waiting()
        gather.release_permit()


class _Gather:
    """The state of one query, which only the task of its caller's connection uses.

    ``answer_at`` is the time at which the query is answered without the missing shards, provided
    that ``min_answers`` shards have answered. ``unanswered`` maps the position of each shard that
    is gathered here, and has not answered, to its attempts. ``parts`` are those that other gateways
    have not answered yet, and ``answers`` are the merged parts and the answers of single shards.
    ``closed_attempts`` are those that are over, and ``queued`` those that wait for room at the
    searchers of their shards. ``unavailable`` holds the shards that did not answer to their
    gatherers and have not been sent the query here. ``lost_count`` counts those gathered here whose
    attempts have all failed.
    """

    def __init__(
        self,
        request: Request,
        route: Route,
        shards: Shards,
        upstream: UpstreamClient,
        inbox: Inbox,
        plan: GatherPlan,
        merger: RecordMerger,
    ) -> None:
        self.request = replace(request, part=None)
        self.route = route
        self.shards = shards
        self.upstream = upstream
        self.inbox = inbox
        self.plan = plan
        self.merger = merger
        self.deadline = request.deadline(route)
        self.answer_at = answer_time(request, route)
        self.positions = set(plan.here).union(*(part.positions for part in plan.parts))
        self.is_part = request.part is not None
        self.min_answers = least_answers(request, shards)
        delay, second_time = upstream.hedge_delay(route), upstream.second_answer_time(route)
        self.hedging = HedgeSchedule(delay, second_time, self.answer_at)
        self.unanswered: dict[int, Attempts] = {}
        self.parts: list[PartAttempts] = []
        self.answers: list[Answered] = []
        self.answered: set[int] = set()
        self.closed_attempts: list[Attempts | PartAttempts] = []
        self.queued: list[Attempts] = []
        self.unavailable: set[int] = set()
        self.lost_count = 0
        self.gatherers: list[str] = []
        self.has_permit = False
        self.leaving: list[SearcherId] = []

    def run(self) -> Reply:
        """Send the query to all shards, wait for their answers, and return the reply.

        The wait ends when no attempt for an unanswered shard is in flight or the deadline has
        passed, and from ``answer_at`` on as soon as ``min_answers`` shards have answered. Answers
        that have arrived by then are merged.
        """
        services = [self.shards.services[position] for position in self.plan.here]
        refusal = refuse_unservable(
            self.request, self.route, services, self.upstream, len(self.positions), self.min_answers
        )
        if refusal is not None:
            return refusal
        self.hedging.record_sent(self.upstream.now())
        if self.plan.sender is not None:
            self._forward_parts(self.plan.sender)
        self._send_to_shards(self.plan.here)
        while True:
            finished = self._is_hopeless() or (
                self._is_finished() and not self._retry_unavailable()
            )
            self.inbox.set_batch_size(self._batch_size())
            match self.inbox.wait(self.upstream.now() if finished else self._next_wake_up()):
                case CallerDisconnected():
                    self._cancel()
                    return Abandoned()
                case Call() as call:
                    self._handle_call(call)
                case _ if finished:
                    return self._build_reply()
                case GatewayStopping():
                    self.deadline = self.upstream.now()
                case RoomGranted() as granted:
                    self._handle_grant(granted)
                case None:
                    self._handle_time()

    def release_permit(self) -> None:
        """Return the permit to gather parts here, if one was taken."""
        if self.has_permit and self.plan.permits is not None:
            self.plan.permits.release()
            self.has_permit = False

    def _forward_parts(self, sender: PartSender) -> None:
        """Send the parts to gatherers; gather here those that none can accept."""
        for part in self.plan.parts:
            attempts = sender.prepare(part, self.inbox, self.deadline)
            if attempts.send_first():
                self.parts.append(attempts)
            else:
                self._gather_part_here(attempts)

    def _send_to_shards(self, positions: Iterable[int]) -> None:
        """Send the query to one searcher of each shard."""
        for position in positions:
            service = self.shards.services[position]
            attempts = Attempts(
                self.request, self.route, service, self.upstream, self.inbox, self.deadline
            )
            self.unanswered[position] = attempts
            attempts.send_first()
            self._note_wait(attempts)

    def _note_wait(self, attempts: Attempts) -> None:
        """Add the attempts for a shard to ``queued`` if they wait for room."""
        if attempts.is_waiting and attempts not in self.queued:
            self.queued.append(attempts)

    def _handle_grant(self, granted: RoomGranted) -> None:
        """Send the query to a shard whose searchers have room for it now."""
        if any(attempts.handle_grant(granted) for attempts in self.queued):
            self._drop_sent(self.upstream.now())

    def _drop_sent(self, now: Millis) -> None:
        """Keep those of ``queued`` that still wait, and schedule the hedges of the others."""
        waiting = [attempts for attempts in self.queued if attempts.is_waiting]
        if len(waiting) < len(self.queued):
            self.hedging.record_sent(now)
        self.queued = waiting

    def stop_waiting(self) -> None:
        """End the wait for room at each shard."""
        for attempts in (*self.queued, *self.unanswered.values()):
            attempts.stop_waiting()

    def _waiting(self) -> Iterable[Attempts | PartAttempts]:
        """Return the attempts for the shards and parts without an answer."""
        yield from self.unanswered.values()
        yield from self.parts

    def _has_unfinished(self) -> bool:
        """Return whether a call is in flight or waits for room."""
        return bool(self.queued) or any(attempts.pending for attempts in self._waiting())

    def _batch_size(self) -> int:
        waiting = sum(attempts.pending for attempts in self._waiting())
        needed = self.min_answers - len(self.answered)
        is_past_objective = self.upstream.now() >= self.answer_at
        return batch_size(waiting, len(self.parts), needed, is_past_objective=is_past_objective)

    def _is_finished(self) -> bool:
        now = self.upstream.now()
        if now >= self.deadline or not self._has_unfinished():
            return True
        return now >= self.answer_at and len(self.answered) >= self.min_answers

    def _retry_unavailable(self) -> bool:
        """Send the query here to the shards that did not answer to their gatherers.

        Do so only if too few shards have answered. A shard that is sent the query is no longer
        ``unavailable``, so that it is asked once and its answer merged once. Return whether a call
        is in flight.
        """
        if len(self.answered) >= self.min_answers or self.upstream.now() >= self.deadline:
            return False
        positions = [
            position
            for position in sorted(self.unavailable)
            if self._may_ask_again(position)
            and self.upstream.allow_retry(self.shards.services[position])
        ]
        self.unavailable.difference_update(positions)
        self._send_to_shards(positions)
        return self._has_unfinished()

    def _next_wake_up(self) -> Millis:
        times = [self.deadline]
        if self.upstream.now() < self.answer_at:
            times.append(self.answer_at)
        if self.hedging.due_at is not None:
            times.append(self.hedging.due_at)
        times.extend(attempts.recheck_at for attempts in self.queued)
        return min(times)

    def _handle_call(self, call: Call) -> None:
        for attempts in self.parts:
            if attempts.handle_outcome(call):
                self._handle_part(attempts)
                return
        match call.outcome:
            case Answered(searcher=searcher, is_leaving=True):
                self.leaving.append(searcher)
        for position, shard in self.unanswered.items():
            if not shard.handle_outcome(call):
                continue
            if shard.answer is not None and shard.answer.is_success:
                del self.unanswered[position]
                self.answered.add(position)
                self.closed_attempts.append(shard)
                self.answers.append(shard.answer)
            elif shard.only_late_pending and self._is_useful() and shard.retry():
                self.hedging.record_sent(self.upstream.now())
            elif shard.is_waiting:
                self._note_wait(shard)
            elif not shard.pending:
                self._record_lost_shard()
            return

    def _record_lost_shard(self) -> None:
        """Record that a shard cannot answer.

        A part is answered without it, as the answers of other parts may suffice for the query.
        """
        self.lost_count += 1
        if self.is_part:
            reachable = max(1, len(self.positions) - self.lost_count)
            self.min_answers = min(self.min_answers, reachable)

    def _is_hopeless(self) -> bool:
        """Return whether too many shards are lost, whatever the others answer."""
        return len(self.positions) - self.lost_count < self.min_answers

    def _handle_part(self, attempts: PartAttempts) -> None:
        """Take over the answer of a part, or gather it here if its gatherer is lost."""
        if attempts.pending:
            return
        answer = attempts.merged_answer()
        if answer is None:
            if attempts.possibly_ran or not attempts.retry():
                self.parts.remove(attempts)
                self._gather_part_here(attempts)
            return
        self.parts.remove(attempts)
        self.closed_attempts.append(attempts)
        self.answers.append(answer.answer)
        self.answered.update(set(attempts.part.positions) - set(answer.missing))
        self.unavailable.update(answer.missing)
        self.gatherers.append(answer.describe())

    def _handle_time(self) -> None:
        """Hedge slow shards, and replace parts whose connections are still opening, once due.

        Ask again about shards that have had no room.
        """
        now = self.upstream.now()
        if self.queued:
            for waiting in self.queued:
                waiting.recheck_room()
            self._drop_sent(now)
        if not self.hedging.is_due(now):
            return
        for attempts in self.parts:
            attempts.replace_unsent()
        for shard in self.unanswered.values():
            if not shard.attempt_count:
                if not shard.is_waiting:
                    shard.send_first()
                    self._note_wait(shard)
            elif shard.pending and self.hedging.is_late(shard.sent_at, now):
                self._hedge(shard, now)
        self.hedging.schedule((s.sent_at for s in self.unanswered.values() if s.may_hedge), now)

    def _hedge(self, shard: Attempts, now: Millis) -> None:
        """Hedge a late shard, twice if it is one of few and a second hedge would be late."""
        urgency = hedge_urgency(len(self.unanswered), len(self.positions), shard.hedges)
        is_sent = shard.send_hedge(urgency, MAX_HEDGES if self._is_useful() else shard.hedges)
        if is_sent and urgency is Urgency.DECISIVE and self.hedging.is_last_chance(now):
            shard.send_hedge(Urgency.SECOND, MAX_HEDGES)
        # A hedge that replaces an attempt whose connection is still opening may have to wait.
        self._note_wait(shard)

    def _gather_part_here(self, attempts: PartAttempts) -> None:
        """Gather the shards of a part here, unless too many queries do that already.

        If the part may have run, it takes one of the budget for repeats, and only those shards are
        gathered again that no other searchers can serve than those allowed for the query.
        """
        self.closed_attempts.append(attempts)
        positions = attempts.part.positions
        if attempts.may_have_run:
            positions = tuple(filter(self._may_ask_again, positions))
            if not positions or not self.upstream.allow_retry(attempts.service):
                return
        if self.plan.permits is not None:
            self.has_permit = self.has_permit or self.plan.permits.acquire()
            if not self.has_permit:
                return
            self.plan.permits.record_part(again=attempts.may_have_run)
        self.hedging.record_sent(self.upstream.now())
        self._send_to_shards(positions)

    def _is_useful(self) -> bool:
        """Return whether the answer to an attempt that is sent now may still be merged."""
        is_below_minimum = len(self.answered) < self.min_answers
        return self.hedging.is_useful(self.upstream.now(), is_below_minimum=is_below_minimum)

    def _may_ask_again(self, position: int) -> bool:
        """Return whether a shard can have no more searchers than the route allows for a query."""
        service = self.shards.services[position]
        return self.upstream.searcher_count(service) <= self.route.attempts

    def _cancel(self) -> None:
        for attempts in (*self._waiting(), *self.closed_attempts):
            attempts.cancel()

    def _build_reply(self) -> Reply:
        missing = tuple(sorted(self.positions - self.answered))
        why = describe_missing(missing, self.shards, self.unanswered, self.parts, self.unavailable)
        if len(self.answered) < self.min_answers:
            self._cancel()
            return replace(self._build_failure(), missing_causes=why)
        stamps = tuple(stamp for answer in self.answers for stamp in answer.stamp.split(", "))
        records = self.merger.merge([answer.body for answer in self.answers], self.shards.top)
        return Merged(
            stamps,
            len(missing),
            records,
            missing,
            tuple(self.gatherers),
            why,
            describe_irregular(self.answers),
            tuple(self.leaving),
            longest_wait((*self.unanswered.values(), *self.closed_attempts)),
        )

    def _counts_as_sent(self, attempts: Attempts | PartAttempts) -> bool:
        """Return whether the query must not be refused because of some attempts.

        A refused part is sent to another gatherer at no cost to the budget for repeats, to which
        requests that searchers declined count as well.
        """
        return attempts.started if self.is_part else attempts.may_have_run

    def _build_failure(self) -> Refused | Failed:
        detail = f"{len(self.answered)} of {len(self.positions)} shards answered"
        everything = (*self._waiting(), *self.closed_attempts)
        if not any(self._counts_as_sent(attempts) for attempts in everything):
            missing = [self.shards.services[p] for p in sorted(self.positions - self.answered)]
            return refuse_unsent(
                everything, missing, self.upstream, len(self.positions), self.min_answers, detail
            )
        if self.upstream.now() >= self.deadline:
            return Failed(504, Unknown(Reason.DEADLINE, Step.MERGE, detail=detail))
        return Failed(502, Unknown(Reason.COVERAGE, Step.MERGE, detail=detail))
