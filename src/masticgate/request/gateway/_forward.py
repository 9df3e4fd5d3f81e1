"""Serves a request by sending it to one searcher of a service and relaying the answer."""

from dataclasses import replace

from ..._failures import Reason, Step, Unknown
from ..._ids import Millis, ServiceId
from ...version.gateway import Idempotency, Route
from ._attempts import Attempts
from ._exchange import (
    Call,
    CallerDisconnected,
    GatewayStopping,
    Inbox,
    Request,
    RoomGranted,
    UpstreamClient,
)
from ._reply import Abandoned, Failed, Refused, Relayed, Reply

RETRY_AFTER = Millis(50.0)
"""Time in milliseconds after which a refused caller should try again.

A searcher runs a limited number of requests at once. If that many are running, one of them ends
after about half the running time of a request.
"""

MAX_CONNECT_TIME = Millis(25.0)
"""A request that is not idempotent goes to another searcher if the connection takes longer.

It is several round trips within a region; a host that is down does not answer at all.
"""

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""HTTP statuses that tell a caller that its request did not run.

The answer to a request that may have run must not have one of them.
"""

RELAYED_ERROR_STATUSES = frozenset(range(300, 600)) - NOT_RUN_STATUSES
"""HTTP statuses other than success that are relayed from a searcher to the caller unchanged."""


def run_forward(
    request: Request, route: Route, service: ServiceId, upstream: UpstreamClient, inbox: Inbox
) -> Reply:
    """Send ``request`` to one searcher of ``service`` and return the reply for its caller.

    An idempotent request may be sent to another searcher while an attempt is slow, as a hedge, or
    after an attempt failed, as a retry. Any other request is sent to another searcher only if it
    did not run, for example while the connection to the first one is still opening. While no
    searcher has room, the request waits for its turn if it can still be served in time.
    """
    forward = _Forward(request, route, service, upstream, inbox)
    try:
        return forward.run()
    finally:
        forward.attempts.stop_waiting()


class _Forward:
    """The state of one request, which only the task of its caller's connection uses."""

    def __init__(
        self,
        request: Request,
        route: Route,
        service: ServiceId,
        upstream: UpstreamClient,
        inbox: Inbox,
    ) -> None:
        self.upstream = upstream
        self.inbox = inbox
        self.repeatable = route.kind is Idempotency.IDEMPOTENT
        self.deadline = request.deadline(route)
        self.attempts = Attempts(request, route, service, upstream, inbox, self.deadline)
        self.stopping = False
        self.hedge_delay = upstream.hedge_delay(route)
        if not self.repeatable:
            self.hedge_delay = min(self.hedge_delay, MAX_CONNECT_TIME)
        self.hedge_at: Millis | None = Millis(request.arrived_at + self.hedge_delay)

    def run(self) -> Reply:
        """Send the request, wait for an answer until the deadline, and return the reply."""
        self.attempts.send_first()
        while self.attempts.unfinished and self.upstream.now() < self.deadline:
            match self.inbox.wait(self._next_wake_up()):
                case CallerDisconnected():
                    self.attempts.cancel()
                    return Abandoned()
                case GatewayStopping():
                    self.stopping = True
                    self.deadline = self.upstream.now()
                case RoomGranted() as granted:
                    self.attempts.handle_grant(granted)
                    self._delay_hedge()
                case Call() as call:
                    self._handle_call(call)
                case None:
                    self._handle_time()
            if self._is_answered():
                break
        return self._build_reply()

    def _is_answered(self) -> bool:
        return self.attempts.answer is not None and self.attempts.answer.is_success

    def _handle_call(self, call: Call) -> None:
        if not self.attempts.handle_outcome(call) or self._is_answered() or self.attempts.pending:
            return
        if self.repeatable or not self.attempts.possibly_ran:
            self.attempts.retry()

    def _next_wake_up(self) -> Millis:
        if self.attempts.is_waiting:
            return min(self.deadline, self.attempts.recheck_at)
        return self.deadline if self.hedge_at is None else min(self.deadline, self.hedge_at)

    def _handle_time(self) -> None:
        if self.attempts.is_waiting:
            self.attempts.recheck_room()
            self._delay_hedge()
        else:
            self._send_hedge_if_due()

    def _delay_hedge(self) -> None:
        """Count the time to the hedge from now on, if a call that waited was sent just now."""
        if self.attempts.pending and self.hedge_at is not None:
            self.hedge_at = Millis(self.upstream.now() + self.hedge_delay)

    def _send_hedge_if_due(self) -> None:
        if self.hedge_at is not None and self.upstream.now() >= self.hedge_at:
            self.hedge_at = None
            if self.repeatable or not self.attempts.started:
                self.attempts.send_hedge()

    def _build_reply(self) -> Reply:
        attempts = self.attempts
        answer = attempts.answer
        if answer is not None and (answer.is_success or answer.status in RELAYED_ERROR_STATUSES):
            return Relayed(answer, attempts.describe_attempts(), attempts.waited)
        failure = attempts.build_failure()
        attempts.cancel()
        if not attempts.may_have_run:
            if self.upstream.now() >= self.deadline:
                reason = Reason.SHUTTING_DOWN if self.stopping else Reason.DEADLINE
                failure = replace(failure, reason=reason, step=Step.QUEUE)
            room = None if attempts.refusal is None else attempts.refusal.room
            return Refused(503, failure, self._retry_after(), attempts.waited, room)
        if self.upstream.now() >= self.deadline:
            return Failed(504, Unknown(Reason.DEADLINE, Step.UPSTREAM, failure.peer))
        return Failed(502, Unknown(failure.reason, failure.step, failure.peer, failure.detail))

    def _retry_after(self) -> Millis:
        """Return after which time the caller should try again a request that did not run."""
        attempts = self.attempts
        if attempts.refusal is not None and attempts.refusal.retry_after is not None:
            return attempts.refusal.retry_after
        service = attempts.service
        return (
            self.upstream.retry_after(service)
            or self.upstream.busy_retry_after(attempts.route, service, self.deadline)
            or RETRY_AFTER
        )
