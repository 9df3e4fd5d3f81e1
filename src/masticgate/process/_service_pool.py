"""The one queue of a service at its owner, and the dispatch to its searchers' connections."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from threading import Condition, Lock

from .._clock import MILLIS_PER_SECOND, Clock
from .._failures import NotRun, Reason, Step, Unknown
from .._ids import Millis, QueryId, SearcherId, ServiceId
from .._ranks import Rank
from ..request import BookingOutcome, Hits, Ran, SubReply, VersionGone
from ..version import Searcher
from ._hedge_budget import HedgeBudget
from ._policy import Policy
from ._rank_queue import RankQueue
from ._searcher_health import SearcherHealth, SearcherState
from ._work import BookingWork, Entry, SearchWork, Send, Work, WorkState

MAX_PENDING = 2000
"""Work beyond this is refused as overload."""

IDLE_WAIT = Millis(1000.0)
"""The longest that a connection waits for work before it looks around."""

MAX_RETRIES = 2

RETRY_REASONS = frozenset(
    {
        Reason.SEARCHER_SHED,
        Reason.SEARCHER_DRAINING,
        Reason.SEARCHER_LOST,
        Reason.SEARCHER_ERROR,
        Reason.SEARCHER_REFUSED,
    }
)

HEALTH_FAILURES = frozenset(
    {Reason.SEARCHER_LOST, Reason.SEARCHER_ERROR, Reason.SEARCHER_REFUSED, Reason.WRONG_VERSION}
)


@dataclass(frozen=True, slots=True)
class Stopped:
    """The connection's searcher is no longer used."""


@dataclass(frozen=True, slots=True)
class Idle:
    """Nothing to do within the wait."""


class Seat:
    """One idle connection that waits for work."""

    def __init__(self, lock: Lock, searcher: SearcherId) -> None:
        self.searcher = searcher
        self.ready = Condition(lock)
        self.send: Send | None = None


StateListener = Callable[[ServiceId, SearcherId, SearcherState], None]


class ServicePool:
    """Queues one service's work and hands it to connections as they fall idle.

    Connection tasks block in :meth:`take`, run what it gives them and call :meth:`finish`.
    """

    def __init__(
        self,
        service: ServiceId,
        searchers: Iterable[tuple[Searcher, int]],
        floors: Mapping[Rank, float],
        policy: Policy,
        clock: Clock,
        listener: StateListener,
    ) -> None:
        self.service = service
        self.clock = clock
        self.listener = listener
        self.lock = Lock()
        self.pending = RankQueue(policy.order, floors)
        self.budget = HedgeBudget(policy.hedging)
        self.health = {s.id: SearcherHealth(s, connections) for s, connections in searchers}
        self.entries: dict[QueryId, Entry] = {}
        self.seats: list[Seat] = []
        self.stopping = False
        self.last_used = clock.now()

    # What the owner's peers call.

    def offer(self, work: Work) -> NotRun | None:
        """Queue ``work``; its ``deliver`` is called once with the result, unless refused here."""
        with self.lock:
            self.last_used = self.clock.now()
            if work.query in self.entries:
                return None  # The message came twice; the first copy is answered.
            refusal = self._refuse(work)
            if refusal is not None:
                return refusal
            entry = Entry(work, self.clock.now())
            self.entries[work.query] = entry
            self.pending.add(entry)
            self._dispatch()
        return None

    def cancel(self, query: QueryId) -> None:
        """Drop pending work; abort a search in flight, never a booking that was sent."""
        with self.lock:
            entry = self.entries.get(query)
            if entry is None:
                return
            if entry.state is WorkState.PENDING:
                self._settle(entry)
                result = NotRun(Reason.CANCELLED, Step.QUEUE, peer=self.service)
            elif isinstance(entry.work, BookingWork):
                return
            else:
                self._settle(entry)
                result = None
            losers = self._abort_sends(entry)
        _call_all(losers)
        if result is not None:
            entry.work.deliver(result)

    def stop(self) -> None:
        """Hand pending work back as not run and let connections end after their present work."""
        with self.lock:
            self.stopping = True
            returned = list(self.pending.entries())
            for entry in returned:
                self._settle(entry)
            for seat in self.seats:
                seat.ready.notify_all()
        for entry in returned:
            entry.work.deliver(NotRun(Reason.SHUTTING_DOWN, Step.QUEUE, peer=self.service))

    # What connection tasks call.

    def take(self, searcher: SearcherId) -> Send | Idle | Stopped:
        """Wait for work for an idle connection of ``searcher``."""
        with self.lock:
            seat = Seat(self.lock, searcher)
            self.seats.append(seat)
            self._dispatch()
            end = Millis(self.clock.now() + IDLE_WAIT)
            while seat.send is None and not self._is_stopped(searcher):
                now = self.clock.now()
                if now >= end:
                    break
                seat.ready.wait((min(end, self._next_due(seat, now)) - now) / MILLIS_PER_SECOND)
                if seat.send is None:
                    self._dispatch()
            if seat.send is not None:
                return seat.send
            self.seats.remove(seat)
            return Stopped() if self._is_stopped(searcher) else Idle()

    def may_send(self, send: Send, abort: Callable[[], None]) -> bool:
        """Tell whether ``send`` is still wanted, just before its first byte leaves.

        The deadline is checked again here, since the process may have been paused.
        """
        with self.lock:
            send.abort = abort
            expired = self.clock.now() >= send.entry.work.deadline
            return not (send.aborted or expired or send.entry.state is WorkState.DONE)

    def finish(self, send: Send, result: SubReply | BookingOutcome) -> None:
        """Take the result of ``send``; deliver it, retry it elsewhere or drop it as late."""
        with self.lock:
            entry = send.entry
            self._observe(send, result)
            entry.sends.remove(send)
            if entry.state is WorkState.DONE:
                self._dispatch()
                return
            if self._should_retry(entry, result):
                self._requeue(entry)
                self._dispatch()
                return
            if entry.sends and not isinstance(result, Hits):
                self._dispatch()
                return
            self._settle(entry)
            losers = self._abort_sends(entry)
            self._dispatch()
        _call_all(losers)
        entry.work.deliver(result)  # type: ignore[arg-type]

    def abandon(self, send: Send) -> None:
        """Take back a send of which no byte left: it was aborted or its deadline passed."""
        expired = self.clock.now() >= send.entry.work.deadline
        reason = Reason.DEADLINE if expired else Reason.CANCELLED
        self.finish(send, NotRun(reason, Step.SEND, peer=send.searcher))

    # All below runs under the lock.

    def _refuse(self, work: Work) -> NotRun | None:
        if self.stopping:
            return NotRun(Reason.SHUTTING_DOWN, Step.QUEUE, peer=self.service)
        if work.deadline <= self.clock.now():
            return NotRun(Reason.DEADLINE, Step.QUEUE, peer=self.service)
        if len(self.pending) >= MAX_PENDING:
            return NotRun(Reason.OVERLOAD, Step.QUEUE, peer=self.service)
        if all(h.state is SearcherState.DRAINING for h in self.health.values()):
            return NotRun(Reason.NO_SEARCHER, Step.QUEUE, peer=self.service)
        return None

    def _is_stopped(self, searcher: SearcherId) -> bool:
        return self.stopping or searcher not in self.health

    def _dispatch(self) -> None:
        now = self.clock.now()
        while len(self.pending):
            seat = self._best_seat(now, ())
            if seat is None:
                return
            entry = self.pending.pop(now)
            if entry is None:
                return
            if entry.work.deadline <= now:
                self._expire(entry)
                continue
            self._assign(seat, entry, now, hedge=False)
        self._dispatch_hedges(now)

    def _dispatch_hedges(self, now: Millis) -> None:
        delay = self.budget.hedge_delay()
        if delay is None or not self.seats:
            return
        for entry in self._due_hedges(now, delay):
            seat = self._best_seat(now, [send.searcher for send in entry.sends])
            if seat is None:
                continue
            if not self.budget.spend():
                return
            self._assign(seat, entry, now, hedge=True)

    def _due_hedges(self, now: Millis, delay: Millis) -> list[Entry]:
        due = [
            entry
            for entry in self.entries.values()
            if entry.state is WorkState.SENT
            and len(entry.sends) == 1
            and isinstance(entry.work, SearchWork)
            and now - entry.sent_at >= delay
        ]
        return sorted(due, key=lambda entry: (entry.work.rank, entry.sent_at))

    def _next_due(self, seat: Seat, now: Millis) -> Millis:
        """Return when ``seat`` should look for a due hedge; one seat a searcher does so."""
        delay = self.budget.hedge_delay()
        first = next(s for s in self.seats if s.searcher == seat.searcher)
        if delay is None or first is not seat:
            return Millis(now + IDLE_WAIT)
        waiting = [
            e.sent_at
            for e in self.entries.values()
            if e.state is WorkState.SENT and len(e.sends) == 1
        ]
        if not waiting:
            return Millis(now + max(delay, Millis(10.0)))
        return Millis(max(now + 1.0, min(waiting) + delay))

    def _best_seat(self, now: Millis, excluded: Iterable[SearcherId]) -> Seat | None:
        barred = set(excluded)
        best: Seat | None = None
        best_cost = (0.0, 0.0)
        for seat in self.seats:
            health = self.health.get(seat.searcher)
            if health is None or seat.searcher in barred or health.in_flight >= health.allowed(now):
                continue
            cost = (health.in_flight / health.searcher.slots, health.latency)
            if best is None or cost < best_cost:
                best, best_cost = seat, cost
        return best

    def _assign(self, seat: Seat, entry: Entry, now: Millis, *, hedge: bool) -> None:
        send = Send(entry, seat.searcher, now, hedge)
        entry.sends.append(send)
        if not hedge:
            entry.state = WorkState.SENT
            entry.sent_at = now
            if entry.retries == 0:
                self.budget.earn()
        self.health[seat.searcher].in_flight += 1
        self.seats.remove(seat)
        seat.send = send
        seat.ready.notify()

    def _expire(self, entry: Entry) -> None:
        self._settle(entry)
        entry.work.deliver(NotRun(Reason.DEADLINE, Step.QUEUE, peer=self.service))

    def _settle(self, entry: Entry) -> None:
        entry.state = WorkState.DONE
        self.pending.remove(entry)
        self.entries.pop(entry.work.query, None)

    def _abort_sends(self, entry: Entry) -> list[Callable[[], None]]:
        for send in entry.sends:
            send.aborted = True
        return [send.abort for send in entry.sends if send.abort is not None]

    def _should_retry(self, entry: Entry, result: SubReply | BookingOutcome) -> bool:
        if not isinstance(entry.work, SearchWork) or entry.sends or self.stopping:
            return False
        if not isinstance(result, NotRun | Unknown) or result.reason not in RETRY_REASONS:
            return False
        in_time = self.clock.now() < entry.work.deadline
        return in_time and entry.retries < MAX_RETRIES and self.budget.spend()

    def _requeue(self, entry: Entry) -> None:
        entry.retries += 1
        entry.state = WorkState.PENDING
        self.pending.add(entry)

    def _observe(self, send: Send, result: SubReply | BookingOutcome) -> None:
        now = self.clock.now()
        latency = Millis(now - send.sent_at)
        health = self.health.get(send.searcher)
        if not send.hedge:
            self.budget.observe(latency)
        if health is None:
            return
        health.in_flight -= 1
        before = health.state
        match result:
            case Hits() | Ran() | VersionGone():
                health.succeed(latency)
                self._eject_slow(now)
            case NotRun(reason=Reason.SEARCHER_DRAINING):
                health.drain()
            case NotRun(reason=reason) | Unknown(reason=reason):
                if reason in HEALTH_FAILURES and not send.aborted and health.fail():
                    self._eject(health, now)
        if health.state is not before:
            self.listener(self.service, send.searcher, health.state)

    def _eject_slow(self, now: Millis) -> None:
        active = [h for h in self.health.values() if h.state is SearcherState.ACTIVE]
        fastest = min((h.latency for h in active if h.samples), default=Millis(0.0))
        for health in active:
            if health.is_slow(fastest):
                self._eject(health, now)
                self.listener(self.service, health.searcher.id, health.state)

    def _eject(self, health: SearcherHealth, now: Millis) -> None:
        """Eject, but never more than half of the service."""
        out = sum(h.state is SearcherState.EJECTED for h in self.health.values() if h is not health)
        if (out + 1) * 2 <= len(self.health):
            health.eject(now)


def _call_all(actions: Iterable[Callable[[], None]]) -> None:
    for action in actions:
        action()
