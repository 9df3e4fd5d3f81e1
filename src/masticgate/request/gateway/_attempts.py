"""The attempts of one request at one service: the first one and a few repeats.

An attempt sends the request to one searcher. A repeat is a hedge, sent while an earlier attempt
is slow, or a retry, sent after an attempt failed.
"""

from dataclasses import replace

from ..._failures import NotRun, Reason, Step, describe_failure
from ..._ids import Millis, SearcherId, ServiceId
from ...version.gateway import Idempotency, Route
from ._admission import Refuse, Send, Wait
from ._exchange import (
    Answered,
    Call,
    Declined,
    Inbox,
    InFlightCall,
    Lost,
    Repeat,
    Request,
    RoomGranted,
    UpstreamClient,
)
from ._hedging import MAX_HEDGES, Urgency


class Attempts:
    """Sends one request to searchers of one service, at most as often as the route allows.

    ``tried`` holds the searchers of all attempts. ``reached_searcher`` says whether one of them may
    have received the request, and ``possibly_ran`` whether one may have run it, both according to
    the outcomes so far. ``cancelled_after_start`` says whether an attempt was cancelled after
    sending may have begun. ``answer`` is a successful answer, or else the first one with an error.

    ``failure`` is the latest failure of an attempt, or why none could be sent. Its type is
    ``NotRun`` even if the request may have run; only :attr:`may_have_run` says that.
    ``repeat_failure`` says why the budget or the upstream client last refused a repeat. ``hedges``
    counts the hedges that were tried, and ``sent_at`` is the time of the latest attempt.

    ``waiting_call`` is the call that waits for room at a searcher, if one does, and ``recheck_at``
    is when it is asked about again. ``waited`` is the time for which calls have waited, and
    ``refusal`` is set if one was refused for lack of room. ``declined_retry_after`` is
    what a gatherer that had no room for the request stated as the time to try again.
    """

    def __init__(
        self,
        request: Request,
        route: Route,
        service: ServiceId,
        upstream: UpstreamClient,
        inbox: Inbox,
        deadline: Millis,
    ) -> None:
        self.request = request
        self.route = route
        self.service = service
        self.upstream = upstream
        self.inbox = inbox
        self.deadline = deadline
        self.in_flight_calls: dict[int, InFlightCall] = {}
        self.tried: set[SearcherId] = set()
        self.reached_searcher = False
        self.possibly_ran = False
        self.attempt_count = 0
        self.failure = NotRun(Reason.NO_SEARCHER, Step.ROUTE, service)
        self.answer: Answered | None = None
        self.repeat_failure: NotRun | None = None
        self.hedges = 0
        self.sent_at = Millis(0.0)
        self.cancelled_after_start = False
        self.waiting_call: Call | None = None
        self.waiting_since = Millis(0.0)
        self.recheck_at = Millis(0.0)
        self.waited = Millis(0.0)
        self.refusal: Refuse | None = None
        self.declined_retry_after: Millis | None = None

    @property
    def pending(self) -> bool:
        """Return whether an attempt has no outcome yet."""
        return bool(self.in_flight_calls)

    @property
    def pending_started(self) -> bool:
        """Return whether a byte of an attempt without an outcome may have been sent."""
        return any(in_flight_call.call.started for in_flight_call in self.in_flight_calls.values())

    @property
    def started(self) -> bool:
        """Return whether a searcher may have received the request."""
        return self.reached_searcher or self.cancelled_after_start or self.pending_started

    @property
    def may_have_run(self) -> bool:
        """Return whether a searcher may have run the request.

        Attempts in flight do not count until :meth:`cancel` is called.
        """
        return self.possibly_ran or self.cancelled_after_start

    @property
    def is_waiting(self) -> bool:
        """Return whether an attempt waits for room at a searcher."""
        return self.waiting_call is not None

    @property
    def unfinished(self) -> bool:
        """Return whether an attempt has no outcome yet or waits to be sent."""
        return self.pending or self.is_waiting

    @property
    def retry_after(self) -> Millis | None:
        """Return when a request that was refused for lack of room may be tried again.

        It is in milliseconds; the refusal may be that of a gatherer.
        """
        return self.declined_retry_after if self.refusal is None else self.refusal.retry_after

    @property
    def only_late_pending(self) -> bool:
        """Return whether every attempt in flight is likely late; there may be none."""
        return all(c.call.overdue or c.call.likely_late for c in self.in_flight_calls.values())

    @property
    def may_hedge(self) -> bool:
        """Return whether an attempt is in flight, and the route and the query allow a hedge."""
        return (
            self.pending and self.hedges < MAX_HEDGES and self.attempt_count < self.route.attempts
        )

    def send_first(self) -> bool:
        """Send the first attempt; return ``False`` if no searcher can accept it.

        In that case it may wait for room. If the answer is likely late, hedge the attempt at once,
        as far as the budget allows it.
        """
        if not self._send(None):
            return False
        self._hedge_if_likely_late()
        return True

    def handle_grant(self, granted: RoomGranted) -> bool:
        """Send the call that waits, if there is room for it now.

        Return ``False`` if ``granted`` is not for this call. It is also ignored if the call was
        sent meanwhile.
        """
        call = self.waiting_call
        if call is None or granted.call is not call:
            return False
        if self.upstream.now() >= self.deadline:
            self.stop_waiting()
        else:
            self._dispatch(call)
        return True

    def recheck_room(self) -> None:
        """Ask again about the call that waits, if that is due."""
        if self.waiting_call is None or self.upstream.now() < self.recheck_at:
            return
        if self.upstream.now() >= self.deadline:
            self.stop_waiting()
        else:
            self._wait_for_room(self.waiting_call)

    def stop_waiting(self) -> None:
        """End the wait for room; the call that waits is not sent."""
        if self.waiting_call is not None:
            self.upstream.leave(self.waiting_call)
            self._end_wait()

    def send_hedge(self, urgency: Urgency = Urgency.DECISIVE, max_hedges: int = 1) -> bool:
        """Send a hedge, if the deadline, the route's limit and the budget allow it.

        Return whether it was sent. No more than ``max_hedges`` are tried.
        """
        if self.is_waiting:
            return False
        for in_flight_call in self.in_flight_calls.values():
            if in_flight_call.call.started:
                self.upstream.record_overdue(in_flight_call)
        if self.hedges >= max_hedges:
            return False
        self.hedges += 1
        return self._repeat(Repeat.HEDGE, urgency)

    def _hedge_if_likely_late(self) -> None:
        """Send an early hedge, which is not a sign that the first attempt is overdue."""
        is_idempotent = self.route.kind is Idempotency.IDEMPOTENT
        if is_idempotent and any(c.call.likely_late for c in self.in_flight_calls.values()):
            self.hedges = int(self.pending_started and self._repeat(Repeat.HEDGE))

    def handle_outcome(self, call: Call) -> bool:
        """Record the outcome of ``call``; return ``False`` if it is not an attempt in flight."""
        in_flight_call = self.in_flight_calls.pop(id(call), None)
        if in_flight_call is None:
            return False
        match call.outcome:
            case Answered() as answer:
                self.reached_searcher = self.possibly_ran = True
                self._record_answer(answer)
            case Declined(searcher=searcher, reason=reason, retry_after=retry_after):
                self.reached_searcher = True
                self.declined_retry_after = retry_after
                self.failure = NotRun(reason, Step.UPSTREAM, searcher)
            case Lost(searcher=searcher, sent=sent, detail=detail):
                self.reached_searcher = self.reached_searcher or sent
                self.possibly_ran = self.possibly_ran or sent
                self.failure = NotRun(Reason.SEARCHER_LOST, Step.UPSTREAM, searcher, detail)
            case None:
                self.failure = NotRun(Reason.INTERNAL, Step.UPSTREAM, in_flight_call.searcher)
        return True

    def retry(self) -> bool:
        """Send a retry after a failure, if the deadline, the route's limit and the budget allow it.

        Return whether it was sent.
        """
        return self._repeat(Repeat.RETRY)

    def build_failure(self) -> NotRun:
        """Return the latest failure, with the number of attempts in its detail."""
        detail = "; ".join(filter(None, (self.failure.detail, self.describe_attempts())))
        return replace(self.failure, detail=detail)

    def describe_attempts(self) -> str:
        """Return the number of attempts, and why a repeat was last refused, if one was."""
        if self.repeat_failure is None:
            return f"attempts: {self.attempt_count}"
        return f"attempts: {self.attempt_count}, repeat {describe_failure(self.repeat_failure)}"

    def describe_missing_answer(self) -> str:
        """Return a short text that says why the service has not answered."""
        if self.is_waiting:
            return f"{self.service}: waits for room since {self._waiting_time():.0f} ms"
        if not self.in_flight_calls:
            return (
                f"{self.service}: {describe_failure(self.failure)}, "
                f"attempts: {self.attempt_count}"
            )
        searchers = ", ".join(
            f"{c.searcher}{'' if c.call.started else ' (connecting)'}"
            for c in self.in_flight_calls.values()
        )
        return f"{self.service}: no answer yet from {searchers}, {self.describe_attempts()}"

    def cancel(self) -> None:
        """Cancel every attempt without an outcome; one that has not been sent never will be."""
        self.stop_waiting()
        for in_flight_call in self.in_flight_calls.values():
            in_flight_call.cancel()
        self.cancelled_after_start = self.cancelled_after_start or self.pending_started
        self.in_flight_calls.clear()

    def _record_answer(self, answer: Answered) -> None:
        if answer.is_success or self.answer is None:
            self.answer = answer
        if not answer.is_success:
            reason, detail = Reason.SEARCHER_ERROR, f"status {answer.status}"
            self.failure = NotRun(reason, Step.UPSTREAM, answer.searcher, detail)

    def _repeat(self, kind: Repeat, urgency: Urgency = Urgency.DECISIVE) -> bool:
        """Send the request again, if the deadline, the route's limit and the budget allow it.

        If no searcher can have received it so far, the new attempt replaces the one in flight and
        does not use the budget.
        """
        if self.upstream.now() >= self.deadline or self.attempt_count >= self.route.attempts:
            return False
        if not self.started:
            if self.pending and not self.upstream.has_searcher(self.service, self.tried):
                return False
            if self._withdraw():
                return self._send(None)
            if self.route.kind is not Idempotency.IDEMPOTENT:
                return False
        if kind is Repeat.HEDGE and self.upstream.is_full(self.service):
            # It could not be sent, and the budget would be spent in vain.
            self.repeat_failure = NotRun(Reason.OVERLOAD, Step.CONNECT, self.service, "no room")
            return False
        match kind:
            case Repeat.HEDGE:
                allowed = self.upstream.allow_hedge(self.service, urgency)
            case Repeat.RETRY:
                allowed = self.upstream.allow_retry(
                    self.service, possibly_ran=self.may_have_run or self.pending_started
                )
        if not allowed:
            self.repeat_failure = NotRun(Reason.BUDGET, Step.ROUTE, self.service)
            return False
        return self._send(kind)

    def _withdraw(self) -> bool:
        """Withdraw the attempts in flight; return ``False`` if sending one of them has begun.

        A withdrawn attempt does not count towards the route's limit, since no searcher receives it.
        """
        for key, in_flight_call in list(self.in_flight_calls.items()):
            if not in_flight_call.withdraw():
                return False
            del self.in_flight_calls[key]
            self.attempt_count -= 1
        return True

    def _send(self, repeat: Repeat | None) -> bool:
        call = Call(self.request, self.route, self.service, self.deadline, self.inbox, repeat)
        return self._dispatch(call)

    def _dispatch(self, call: Call, *, may_wait: bool = True) -> bool:
        """Send ``call``, or let it wait if it is no repeat and no searcher has room for it."""
        in_flight_call = self.upstream.send(call, self.tried)
        if isinstance(in_flight_call, NotRun):
            if call.repeat:
                self.repeat_failure = in_flight_call
                return False
            self.failure = in_flight_call
            if may_wait and in_flight_call.reason is Reason.OVERLOAD:
                return self._wait_for_room(call)
            self._end_wait()
            return False
        self._end_wait()
        self.attempt_count += 1
        self.sent_at = self.upstream.now()
        self.tried.add(in_flight_call.searcher)
        self.in_flight_calls[id(call)] = in_flight_call
        return True

    def _wait_for_room(self, call: Call) -> bool:
        """Do with ``call`` what admission control decides; return whether it was sent."""
        match self.upstream.admit(call):
            case Send():
                return self._dispatch(call, may_wait=False)
            case Wait(until=until):
                if not self.is_waiting:
                    self.waiting_since = self.upstream.now()
                self.waiting_call = call
                self.recheck_at = until
            case Refuse(room=None):
                self._end_wait()
            case Refuse(why=why) as refusal:
                self._end_wait()
                self.refusal = refusal
                self.failure = NotRun(Reason.OVERLOAD, Step.ADMISSION, self.service, why)
        return False

    def _waiting_time(self) -> Millis:
        return Millis(self.upstream.now() - self.waiting_since)

    def _end_wait(self) -> None:
        if self.waiting_call is not None:
            self.waiting_call = None
            self.waited = Millis(self.waited + self._waiting_time())
