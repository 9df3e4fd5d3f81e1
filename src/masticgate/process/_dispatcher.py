"""Decides which idle connection of a service gets which pending work or hedge."""

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
"""How often the whole queue is searched for work whose deadline passed."""


class Dispatcher:
    """The queue, the searchers and the idle connections; the service pool's lock guards them."""

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
        self.next_expiry = Millis(0.0)

    def dispatch(self, now: Millis) -> list[QueueEntry]:
        """Hand out all work that may be sent now; return the entries found expired."""
        expired = self._find_expired(now)
        if self.idle_connections:
            delay = self.budget.hedge_delay() if self.hedge_candidates.entries else None
            if delay is not None:
                self._send_hedges(now, delay, self.pending.first_rank())
            while self.pending.size and self._send_next(now, expired):
                pass
            if delay is not None and not self.pending.size:
                self._send_hedges(now, delay, None)
            if self.needs_timer():
                self.idle_connections.ensure_timer()
        return expired

    def needs_timer(self) -> bool:
        """Tell whether something may fall due while nobody calls :meth:`run`."""
        return bool(self.hedge_candidates.entries) or self.pending.size > 0

    def should_keep_timer(self) -> bool:
        """Tell whether the timer has to wait on, since work came after it last asked.

        While work comes, one wake-up an interval is cheaper than to arm the timer at each send.
        """
        return self.hedge_candidates.pop_added() or self.needs_timer()

    def next_wake_up(self, now: Millis, latest: Millis) -> Millis:
        """Return when there may be a hedge to send or a searcher to try again."""
        times = [latest]
        delay = self.budget.hedge_delay()
        if delay is not None:
            times.append(self.hedge_candidates.next_due(now, delay))
        eligible = self.searchers.next_eligible(now) if self.pending.size else None
        if eligible is not None:
            times.append(eligible)
        return min(times)

    def requeue(self, entry: QueueEntry, failed_searcher: SearcherHealth) -> None:
        """Put an entry back after a send failed."""
        self.hedge_candidates.discard(entry)
        entry.retries += 1
        entry.failed_searcher = failed_searcher
        entry.state = WorkState.PENDING
        self.pending.add(entry)

    def remove(self, entry: QueueEntry) -> None:
        """Take an entry out, wherever it stands."""
        entry.state = WorkState.DONE
        self.pending.remove(entry)
        self.hedge_candidates.discard(entry)

    def _find_expired(self, now: Millis) -> list[QueueEntry]:
        if now < self.next_expiry or not self.pending.size:
            return []
        self.next_expiry = Millis(now + EXPIRY_INTERVAL)
        expired = [entry for entry in self.pending.entries() if entry.work.deadline <= now]
        for entry in expired:
            self.pending.remove(entry)
        return expired

    def _send_next(self, now: Millis, expired: list[QueueEntry]) -> bool:
        """Send one pending entry; return ``False`` where no searcher may have more."""
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
        """Return a searcher that did not fail ``entry``; a booking is no probe either."""
        excluded = [] if entry.failed_searcher is None else [entry.failed_searcher]
        if isinstance(entry.work, BookingWork):
            excluded += self.searchers.list_ejected()
        return self.searchers.choose(self.idle_connections.by_searcher, now, excluded)

    def _send_hedges(self, now: Millis, delay: Millis, lowest_rank: Rank | None) -> None:
        """Send the hedges that are due, but none of a rank below ``first``."""
        for entry in self.hedge_candidates.list_due(now, delay):
            if lowest_rank is not None and entry.work.rank > lowest_rank:
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
