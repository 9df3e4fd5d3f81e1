"""Decides which queued work or hedge of a service goes to which idle connection.

A hedge is a second attempt of a search, at another searcher, while a slow first one is in flight.
"""

from collections.abc import Iterable, Mapping

from .._ids import Millis, ServiceId
from .._ranks import Rank
from ..version import Searcher
from ._hedge_budget import HedgeBudget
from ._hedge_candidates import HedgeCandidates
from ._idle_connections import IdleConnections
from ._policy import Policy
from ._rank_queue import RankQueue
from ._searcher_group import SearcherGroup, StateListener
from ._searcher_health import SearcherHealth
from ._work import BookingWork, QueueEntry, SearcherAttempt, WorkState

EXPIRY_INTERVAL = Millis(100.0)
"""The minimum time between two scans of the whole queue for work past its deadline."""


class Dispatcher:
    """Assigns the work of one service to its idle connections.

    It holds the queue, the state of the searchers and the idle connections. The task of one idle
    connection, the timer, also wakes up when a hedge is due or a searcher may get work again. The
    dispatcher has no lock of its own: callers hold the lock of the service pool.
    """

    def __init__(
        self,
        service: ServiceId,
        searchers: Iterable[tuple[Searcher, int]],
        floors: Mapping[Rank, float],
        policy: Policy,
        listener: StateListener,
    ) -> None:
        self.pending = RankQueue(policy.order, floors)
        self.budget = HedgeBudget(policy.hedging)
        self.searchers = SearcherGroup(service, listener)
        self.searchers.apply_shares(searchers)
        self.hedge_candidates = HedgeCandidates()
        self.idle_connections = IdleConnections()
        self.next_expiry_scan = Millis(0.0)

    def dispatch(self, now: Millis) -> list[QueueEntry]:
        """Assign all work that may be sent now; return the queued entries found to be expired.

        Due hedges are assigned first, except those less urgent than the most urgent queued work,
        which are assigned once the queue is empty.
        """
        expired = self._find_expired(now)
        if self.idle_connections:
            delay = self.budget.hedge_delay() if self.hedge_candidates.entries else None
            if delay is not None:
                self._assign_hedges(now, delay, self.pending.first_rank())
            while self.pending.size and self._assign_next(now, expired):
                pass
            if delay is not None and not self.pending.size:
                self._assign_hedges(now, delay, None)
            if self.needs_timer():
                self.idle_connections.ensure_timer()
        return expired

    def needs_timer(self) -> bool:
        """Return whether a wake-up is needed, since work is queued or a hedge may become due."""
        return bool(self.hedge_candidates.entries) or self.pending.size > 0

    def should_keep_timer(self) -> bool:
        """Return whether the timer keeps its role for its next wait.

        It does if a wake-up is needed or if searches were assigned since the last call: while
        work arrives, one wake-up at the end of a wait costs less than choosing and waking a timer
        at each attempt.
        """
        return self.hedge_candidates.pop_added() or self.needs_timer()

    def next_wake_up(self, now: Millis, latest: Millis) -> Millis:
        """Return when a hedge may become due or a searcher eligible next, at most ``latest``."""
        times = [latest]
        delay = self.budget.hedge_delay()
        if delay is not None:
            times.append(self.hedge_candidates.next_due(now, delay))
        eligible = self.searchers.next_eligible(now) if self.pending.size else None
        if eligible is not None:
            times.append(eligible)
        return min(times)

    def requeue(self, entry: QueueEntry, failed_searcher: SearcherHealth) -> None:
        """Queue an entry again after an attempt at ``failed_searcher`` failed."""
        self.hedge_candidates.discard(entry)
        entry.retries += 1
        entry.failed_searcher = failed_searcher
        entry.state = WorkState.PENDING
        self.pending.add(entry)

    def remove(self, entry: QueueEntry) -> None:
        """Mark an entry as done and remove it from the queue and the hedge candidates."""
        entry.state = WorkState.DONE
        self.pending.remove(entry)
        self.hedge_candidates.discard(entry)

    def _find_expired(self, now: Millis) -> list[QueueEntry]:
        if now < self.next_expiry_scan or not self.pending.size:
            return []
        self.next_expiry_scan = Millis(now + EXPIRY_INTERVAL)
        expired = [entry for entry in self.pending.entries() if entry.work.deadline <= now]
        for entry in expired:
            self.pending.remove(entry)
        return expired

    def _assign_next(self, now: Millis, expired: list[QueueEntry]) -> bool:
        """Assign the next queued entry; return ``False`` if no idle connection may get more work.

        An entry past its deadline is appended to ``expired`` instead.
        """
        fallback = self.searchers.choose(self.idle_connections.by_searcher, now)
        if fallback is None:
            return False
        entry = self.pending.pop(now)
        if entry.work.deadline <= now:
            expired.append(entry)
            return True
        self.pending.record_served(entry)
        self._assign(self._choose(entry, now) or fallback, entry, now)
        return True

    def _choose(self, entry: QueueEntry, now: Millis) -> SearcherHealth | None:
        """Return the best searcher for ``entry``, ``None`` if only excluded ones may get it.

        Excluded are the searcher at which ``entry`` failed and, for a booking, ejected searchers,
        which get one request as a probe. The caller falls back to an excluded searcher.
        """
        excluded = [] if entry.failed_searcher is None else [entry.failed_searcher]
        if isinstance(entry.work, BookingWork):
            excluded += self.searchers.list_ejected()
        return self.searchers.choose(self.idle_connections.by_searcher, now, excluded)

    def _assign_hedges(self, now: Millis, delay: Millis, least_urgent: Rank | None) -> None:
        """Assign the due hedges that the budget allows, the most urgent first.

        Leave out those less urgent than ``least_urgent``, if it is given.
        """
        for entry in self.hedge_candidates.list_due(now, delay):
            if least_urgent is not None and entry.work.rank > least_urgent:
                return
            sent_to = [attempt.health for attempt in entry.attempts]
            health = self.searchers.choose(self.idle_connections.by_searcher, now, sent_to)
            if health is None:
                continue
            if not self.budget.spend_on_hedge():
                return
            self._assign(health, entry, now, hedge=True)

    def _assign(
        self, health: SearcherHealth, entry: QueueEntry, now: Millis, *, hedge: bool = False
    ) -> None:
        attempt = SearcherAttempt(entry, health, now, hedge)
        entry.attempts.append(attempt)
        if hedge:
            self.hedge_candidates.discard(entry)
        else:
            entry.state = WorkState.SENT
            entry.sent_at = now
            self.hedge_candidates.add(entry)
            if entry.retries == 0:
                self.budget.earn()
        health.in_flight += 1
        self.idle_connections.assign(attempt)
