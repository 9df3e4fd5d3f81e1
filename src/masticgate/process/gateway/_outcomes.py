"""Applies the outcomes of calls to the state of their searchers."""

from collections.abc import Iterable

from ..._failures import Reason
from ..._ids import Millis
from ...connection.gateway import Load
from ...request.gateway import Answered, BodyFraming, Call, Declined, Lost
from ...version.gateway import PEER_SERVICE
from ._hedge_delays import HedgeDelays
from ._listings import Listings
from ._log import EventLog, LogEvent
from ._metrics import Metrics
from ._replica import Replica
from .searchers import AnswerTime, Evidence, Overdue

MAX_QUEUE = 6.0
"""The bound on the requests for each slot that explain a late answer.

Searchers state their load, and may state it wrongly.
"""


class Outcomes:
    """Updates the statistics and states of searchers; the lock of ``Fleet`` guards it.

    ``hedge_delays`` holds the usual latencies of the routes.
    """

    def __init__(
        self, hedge_delays: HedgeDelays, listings: Listings, log: EventLog, metrics: Metrics
    ) -> None:
        self.hedge_delays = hedge_delays
        self.listings = listings
        self.log = log
        self.metrics = metrics

    def record(self, replica: Replica, call: Call, load: Load | None, now: Millis) -> None:
        """Update a searcher from the outcome of one call, and the load stated with it.

        The call no longer counts as one in flight.
        """
        queue = self._record_load(replica, load, now)
        match call.outcome:
            case Answered(status=status) as answer if status < 500:
                self._record_answer(replica, call, answer, queue, now)
            case Declined(reason=Reason.NO_SEARCHER):
                why = "another searcher has its address"
                self.listings.start_leaving(replica, why, Millis(0.0))
            case Answered(status=503) | Declined() if replica.is_paused(now):
                return
            case Declined():
                replica.raise_failure_rate(now)
                replica.limit.record_refusal(replica.in_progress(now), now)
            case Lost(lacked_memory=lacked_memory) if call.cancelled or lacked_memory:
                return
            case Answered() | Lost():
                if isinstance(call.outcome, Lost) and not call.outcome.sent:
                    self.listings.presume_cold(replica)
                self._record_failure(replica, call, now)

    def record_overdue(self, replica: Replica, call: Call, now: Millis) -> None:
        """Record that a call has no answer when a hedge is due; it may be recorded again later."""
        replica.overdue += not call.overdue
        call.overdue = True
        usual = self.hedge_delays.usual_latency(call.route.id)
        if usual is not None:
            ratio = (now - call.sent_at) / usual
            self.record_evidence(replica, Overdue(ratio, call.sent_at), now)

    def log_ejection(self, replica: Replica, request: str, detail: str) -> None:
        """Log that a searcher is ejected because of its failures."""
        self.log.write(
            LogEvent.SEARCHER_EJECTED,
            searcher=replica.entry.id,
            service=replica.entry.service,
            request=request,
            failures=replica.consecutive_failures,
            detail=detail,
            next_ejection_ms=round(replica.next_ejection_time),
        )

    def _record_load(self, replica: Replica, load: Load | None, now: Millis) -> float:
        """Record the load that a searcher stated; return its requests for each slot."""
        if load is None:
            return (replica.in_flight + 1) / replica.entry.slots
        requests = load.running + load.waiting
        replica.other_requests = max(0, requests - replica.in_flight - 1)
        replica.load_reported_at = now
        replica.speed.record_slowdown(load.slowdown, now)
        return min(MAX_QUEUE, requests / max(1, load.slots))

    def _record_answer(
        self, replica: Replica, call: Call, answer: Answered, queue: float, now: Millis
    ) -> None:
        if answer.receive_info.framing is BodyFraming.CLOSE:
            self.metrics.count("answers_ended_by_close")
        ratio = self.hedge_delays.record(
            call.route.id, answer.latency, now, first_attempt=not call.repeat
        )
        replica.limit.record_answer(ratio, replica.in_progress(now) + 1, queue, now)
        evidence = AnswerTime(ratio, answer.latency, call.sent_at, queue)
        self.record_evidence(replica, evidence, now)
        if replica.record_success(now):
            self.log.write(LogEvent.SEARCHER_BACK, searcher=replica.entry.id)

    def record_evidence(self, replica: Replica, evidence: Evidence, now: Millis) -> bool:
        """Update the estimate of a searcher's speed, and log if it has become or ceased to be slow.

        Return whether it has. Gatherers are left out, since their latency depends on the parts that
        they are sent.
        """
        if replica.entry.service == PEER_SERVICE:
            return False
        was_slow = replica.speed.is_slow(now)
        replica.speed.record(evidence, now)
        is_slow = replica.speed.is_slow(now)
        if is_slow != was_slow:
            self.log.write(
                LogEvent.SEARCHER_SLOW if is_slow else LogEvent.SEARCHER_RECOVERED,
                searcher=replica.entry.id,
                service=replica.entry.service,
                factor=round(replica.speed.late_factor if is_slow else replica.speed.base, 2),
                evidence=type(evidence).__name__,
            )
        return is_slow != was_slow

    def set_gauges(self, replicas: Iterable[Replica], now: Millis) -> None:
        """Update the gauges of the searchers that are slow or limited."""
        known = [replica for replica in replicas if replica.entry.service != PEER_SERVICE]
        slow = sum(replica.speed.is_slow(now) for replica in known)
        self.metrics.set_gauge("searchers_slow", slow)
        limited = sum(replica.limit.is_limited(now) for replica in known)
        self.metrics.set_gauge("searchers_limited", limited)

    def _record_failure(self, replica: Replica, call: Call, now: Millis) -> None:
        self.metrics.count("searcher_failures")
        detail = call.outcome.detail if isinstance(call.outcome, Lost) else "error status"
        if replica.record_failure(now):
            self.log_ejection(replica, call.request.id, detail)
