"""The one queue of a service at its owner, and the dispatch to its searchers' connections."""

from collections.abc import Callable, Iterable, Mapping

from .._clock import MILLIS_PER_SECOND, Clock
from .._failures import NotRun, Reason, Step, Unknown
from .._ids import Millis, QueryId, SearcherId, ServiceId
from .._ranks import Rank
from ..request import Hits, Ran
from ..version import Searcher
from ._delivery_lock import DeliveryLock
from ._dispatcher import Dispatcher
from ._idle_connections import CheckLoad, CloseConnection, IdleConnection, NoWork
from ._policy import NoHedge, Policy
from ._retry import RetryCost, retry_cost
from ._searcher_group import StateListener
from ._searcher_health import LOAD_CHECK_INTERVAL, LoadReport, SearcherHealth
from ._service_load import PoolSample, ServiceLoad
from ._work import (
    AttemptState,
    BookingWork,
    QueueEntry,
    Result,
    SearcherAttempt,
    SearchWork,
    Work,
    WorkState,
)

MAX_PENDING = 2000
"""Work beyond this is refused as overload."""

MAX_IDLE_WAIT = Millis(4000.0)
"""The longest that a connection waits for work before it may check the searcher's load."""


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
        self.policy = policy
        self.clock = clock
        self.delivery_lock = DeliveryLock()
        self.lock = self.delivery_lock.lock
        self.dispatcher = Dispatcher(service, searchers, floors, policy, listener)
        self.pending = self.dispatcher.pending
        self.budget = self.dispatcher.budget
        self.searchers = self.dispatcher.searchers
        self.idle_connections = self.dispatcher.idle_connections
        self.load = ServiceLoad(clock.now())
        self.entries: dict[QueryId, QueueEntry] = {}
        self.stopping = False
        self.last_used = clock.now()

    @property
    def health(self) -> Mapping[SearcherId, SearcherHealth]:
        """What is known of each searcher in use."""
        return self.searchers.health

    # What the owner's peers call.

    def submit(self, work: Work) -> NotRun | None:
        """Queue ``work``; its ``deliver`` is called once with the result, unless refused here."""
        with self.delivery_lock:
            self.last_used = self.clock.now()
            if work.query in self.entries:
                return None  # The message came twice; the first copy is answered.
            self.load.record_arrivals(work.rank)
            refusal = self._refuse(work)
            if refusal is None:
                entry = QueueEntry(work, self.last_used)
                self.entries[work.query] = entry
                self.pending.add(entry)
                self.dispatch()
            return refusal

    def cancel(self, query: QueryId) -> None:
        """Drop a search, which gets no result; abort what is in flight for it.

        A booking is settled as not run while it is pending, and is left alone once sent.
        """
        with self.delivery_lock:
            entry = self.entries.get(query)
            if entry is None:
                return
            match entry.work:
                case SearchWork():
                    self._remove(entry, AttemptState.CANCELLED)
                    self.dispatch()
                case BookingWork() if entry.state is WorkState.PENDING:
                    self._settle(entry, NotRun(Reason.CANCELLED, Step.QUEUE, peer=self.service))

    def record_refused(self, rank: Rank, count: int) -> None:
        """Count work that an entry host refused because of this service's pressure."""
        with self.lock:
            self.load.record_arrivals(rank, count)

    def measure_pressure(self) -> dict[Rank, float]:
        """Return the share of each rank's demand that this service can take."""
        with self.lock:
            self.load.update(self._sample_pool())
            return self.load.shares(self.pending.floors)

    def stop(self) -> None:
        """Hand pending work back as not run and let connections end after their present work."""
        with self.delivery_lock:
            self.stopping = True
            for entry in list(self.pending.entries()):
                self._settle_unsent(entry, Reason.SHUTTING_DOWN)
            self.searchers.apply_shares(())
            self.idle_connections.wake_all()

    def apply_configuration(
        self, searchers: Iterable[tuple[Searcher, int]], floors: Mapping[Rank, float]
    ) -> list[Searcher]:
        """Put other searchers, shares and floors in force, also after :meth:`stop`.

        The queue and the connections that stay are kept. Returns one searcher a connection that
        the caller has to open.
        """
        with self.delivery_lock:
            self.stopping = False
            self.pending.floors = dict(floors)
            missing = self.searchers.apply_shares(searchers)
            self.idle_connections.wake_all()
            self.dispatch()
            return missing

    def open_connections(self) -> int:
        """Return the connections that have not closed yet."""
        with self.lock:
            return self.searchers.open_connections()

    # What connection tasks call.

    def wait_for_work(
        self, searcher: Searcher
    ) -> SearcherAttempt | CheckLoad | NoWork | CloseConnection:
        """Wait for work for an idle connection of ``searcher``."""
        with self.lock:
            connection = IdleConnection(self.lock, self.searchers.find(searcher))
            self.idle_connections.add(connection)
        deadline = Millis(self.clock.now() + MAX_IDLE_WAIT)
        while True:
            with self.delivery_lock:
                outcome = self._wait_once(connection, deadline)
                if outcome is not None:
                    return outcome

    def may_send(self, attempt: SearcherAttempt, abort: Callable[[], None]) -> bool:
        """Tell whether ``send`` is still wanted, just before its first byte leaves.

        The deadline is checked again here, since the process may have been paused. ``abort`` is
        called at most until :meth:`finish` and must not block.
        """
        with self.lock:
            attempt.abort = abort
            expired = self.clock.now() >= attempt.entry.work.deadline
            return not expired and attempt.state is AttemptState.WANTED

    def finish(self, attempt: SearcherAttempt, result: Result) -> None:
        """Take the result of ``send``; deliver it, retry it elsewhere or drop it as late."""
        with self.delivery_lock:
            entry = attempt.entry
            self._record_result(attempt, result)
            entry.attempts.remove(attempt)
            if entry.state is not WorkState.DONE:
                self._handle_result(attempt, result)
            self.dispatch()

    def abandon(self, attempt: SearcherAttempt) -> None:
        """Take back a send of which no byte left: it was aborted or its deadline passed."""
        expired = self.clock.now() >= attempt.entry.work.deadline
        reason = Reason.DEADLINE if expired else Reason.CANCELLED
        self.finish(attempt, NotRun(reason, Step.SEND, peer=attempt.searcher))

    def record_load(self, searcher: Searcher, report: LoadReport | None) -> None:
        """Take what a searcher says of its load, ``None`` where it could not be asked."""
        with self.delivery_lock:
            self.searchers.record_load(searcher, report)
            self.dispatch()

    def record_closed_connection(self, searcher: Searcher) -> bool:
        """Count a connection as closed; return ``True`` where it has to open again."""
        with self.lock:
            wanted = self.searchers.find(searcher).record_closed_connection()
            self.searchers.remove_closed()
            return wanted

    # All below runs under the lock.

    def dispatch(self) -> None:
        """Give pending work and hedges to idle connections; settle what expired meanwhile."""
        for entry in self.dispatcher.dispatch(self.clock.now()):
            self._settle_unsent(entry, Reason.DEADLINE)

    def _sample_pool(self) -> PoolSample:
        now = self.clock.now()
        wait = max(self.pending.oldest_wait(rank, now) for rank in Rank)
        in_flight = sum(health.in_flight for health in self.health.values())
        slots = self.searchers.usable_slots(now)
        return PoolSample(now, slots, in_flight, len(self.pending), wait)

    def _refuse(self, work: Work) -> NotRun | None:
        if self.stopping:
            return NotRun(Reason.SHUTTING_DOWN, Step.QUEUE, peer=self.service)
        if work.deadline <= self.clock.now():
            return NotRun(Reason.DEADLINE, Step.QUEUE, peer=self.service)
        if len(self.pending) >= MAX_PENDING:
            return NotRun(Reason.OVERLOAD, Step.QUEUE, peer=self.service)
        if self.searchers.all_draining():
            return NotRun(Reason.NO_SEARCHER, Step.QUEUE, peer=self.service)
        return None

    def _wait_once(
        self, connection: IdleConnection, deadline: Millis
    ) -> SearcherAttempt | CheckLoad | NoWork | CloseConnection | None:
        """Return what ``connection`` has to do, or ``None`` after one wait for it."""
        if connection.attempt is None and self.dispatcher.needs_timer():
            self.idle_connections.set_timer_if_unset(connection)
            self.dispatch()
        if connection.attempt is not None:
            return connection.attempt
        if connection.health.should_close():
            self._remove_idle(connection)
            return CloseConnection()
        now = self.clock.now()
        if now >= deadline:
            self._remove_idle(connection)
            return self._handle_wait_timeout(connection.health, now)
        if not self.delivery_lock.undelivered:
            self._wait(connection, deadline, now)
        return None

    def _remove_idle(self, connection: IdleConnection) -> None:
        self.idle_connections.remove(connection)
        if self.dispatcher.needs_timer():
            self.idle_connections.ensure_timer()

    def _wait(self, connection: IdleConnection, deadline: Millis, now: Millis) -> None:
        if self.idle_connections.timer is connection:
            if self.dispatcher.should_keep_timer():
                deadline = self.dispatcher.next_wake_up(now, deadline)
            else:
                self.idle_connections.timer = None
        connection.ready.wait((deadline - now) / MILLIS_PER_SECOND)

    def _handle_wait_timeout(self, health: SearcherHealth, now: Millis) -> CheckLoad | NoWork:
        if now < health.load_check_at:
            return NoWork()
        health.load_check_at = Millis(now + LOAD_CHECK_INTERVAL)
        return CheckLoad()

    def _record_result(self, attempt: SearcherAttempt, result: Result) -> None:
        now = self.clock.now()
        self.searchers.record_result(attempt, result, now)
        superseded = attempt.state is AttemptState.SUPERSEDED
        if not attempt.hedge and (superseded or not isinstance(result, NotRun | Unknown)):
            self.budget.record_latency(now, Millis(now - attempt.sent_at))
        if self.searchers.all_draining():
            for entry in list(self.pending.entries()):
                self._settle_unsent(entry, Reason.NO_SEARCHER)

    def _handle_result(self, attempt: SearcherAttempt, result: Result) -> None:
        entry = attempt.entry
        if entry.attempts and not isinstance(result, Hits):
            return
        if self._should_retry(entry, result):
            entry.failure = result
            self.dispatcher.requeue(entry, attempt.health)
        else:
            if isinstance(result, Hits | Ran):
                now = self.clock.now()
                self.load.record_completion(
                    now, self.searchers.usable_slots(now), len(self.pending) > 0
                )
            self._settle(entry, result)

    def _should_retry(self, entry: QueueEntry, result: Result) -> bool:
        if self.stopping or self.searchers.all_draining():
            return False
        if isinstance(self.policy.hedging, NoHedge) or self.clock.now() >= entry.work.deadline:
            return False
        match retry_cost(entry, result):
            case RetryCost.FREE:
                return True
            case RetryCost.TOKEN:
                return self.budget.spend_on_retry()
            case RetryCost.FORBIDDEN:
                return False

    def _settle_unsent(self, entry: QueueEntry, reason: Reason) -> None:
        """Settle a pending entry; one that was sent before has the result of that send."""
        self._settle(entry, entry.failure or NotRun(reason, Step.QUEUE, peer=self.service))

    def _settle(self, entry: QueueEntry, result: Result) -> None:
        self._remove(entry, AttemptState.SUPERSEDED)
        self.delivery_lock.undelivered.append((entry, result))

    def _remove(self, entry: QueueEntry, state: AttemptState) -> None:
        self.dispatcher.remove(entry)
        self.entries.pop(entry.work.query, None)
        for attempt in entry.attempts:
            attempt.cancel(state)
