"""The queue of one service, and the dispatch of its work to the searchers' connections.

A service is a group of searchers that are replicas of one another. Its owner is the host that
queues all its work and holds the connections to its searchers.
"""

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
"""The maximum number of queued pieces of work; work beyond this is refused as overload."""

MAX_IDLE_WAIT = Millis(4000.0)
"""The longest that an idle connection waits for work before it may check the searcher's load."""


class ServicePool:
    """Queues the work of one service and dispatches it to connections as they become idle.

    There is one task for each connection. It blocks in :meth:`wait_for_work`, sends the attempt
    that is returned to it and passes the result to :meth:`finish`. To settle work is to remove it
    from the pool and deliver its result.

    ``lock`` guards the pool. Methods that may settle work enter ``delivery_lock`` instead, which
    holds ``lock`` and delivers the results after it has released it.
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
        self.last_used_at = clock.now()

    @property
    def health(self) -> Mapping[SearcherId, SearcherHealth]:
        """The state of each searcher in use, by its id."""
        return self.searchers.health

    # Called for requests and for the exchange of pressure, and to configure or stop the pool.

    def submit(self, work: Work) -> NotRun | None:
        """Queue ``work`` and return ``None``, or return why it is refused.

        The ``deliver`` of queued work is called once with the result, unless the work is a search
        that is cancelled.
        """
        with self.delivery_lock:
            self.last_used_at = self.clock.now()
            if work.query in self.entries:
                return None  # The message was received twice; the first copy gets the result.
            self.load.record_arrivals(work.rank)
            refusal = self._refuse(work)
            if refusal is None:
                entry = QueueEntry(work, self.last_used_at)
                self.entries[work.query] = entry
                self.pending.add(entry)
                self.dispatch()
            return refusal

    def cancel(self, query: QueryId) -> None:
        """Cancel a query whose result is no longer needed.

        A search is removed without a result, and its attempts in flight are aborted. A booking
        may run only once: it is settled as not run if it is still queued, and continues if it was
        sent.
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
        """Record that an entry host refused ``count`` queries that need this service.

        The entry host is the host that received the queries from callers. It refuses them because
        of the pressure of this or another service. They still count as demand.
        """
        with self.lock:
            self.load.record_arrivals(rank, count)

    def measure_pressure(self) -> dict[Rank, float]:
        """Update the load, and return the pressure of the service.

        The pressure is the share of each rank's demand to admit, from 0 to 1.
        """
        with self.lock:
            self.load.update(self._sample_pool())
            return self.load.shares(self.pending.floors)

    def stop(self) -> None:
        """Settle queued work as not run, and close each connection once it is idle.

        Work that is queued for a retry is settled with the result of its failed attempt.
        """
        with self.delivery_lock:
            self.stopping = True
            for entry in list(self.pending.entries()):
                self._settle_unsent(entry, Reason.SHUTTING_DOWN)
            self.searchers.apply_shares(())
            self.idle_connections.wake_all()

    def apply_configuration(
        self, searchers: Iterable[tuple[Searcher, int]], floors: Mapping[Rank, float]
    ) -> list[Searcher]:
        """Apply the searchers, the number of connections to each, and the ranks' floors.

        The floor of a rank is the share of the served work that it gets in any case. A pool that
        was stopped accepts work again. The queue is kept, and so are connections that are still
        wanted. Return the searchers to connect to, each once for every connection that the caller
        has to open.
        """
        with self.delivery_lock:
            self.stopping = False
            self.pending.floors = dict(floors)
            missing = self.searchers.apply_shares(searchers)
            self.idle_connections.wake_all()
            self.dispatch()
            return missing

    def open_connections(self) -> int:
        """Return the number of connections that have not closed yet."""
        with self.lock:
            return self.searchers.open_connections()

    # Called by connection tasks.

    def wait_for_work(
        self, searcher: Searcher
    ) -> SearcherAttempt | CheckLoad | NoWork | CloseConnection:
        """Wait until an idle connection to ``searcher`` has something to do, and return that.

        After :data:`MAX_IDLE_WAIT` without work, return :class:`CheckLoad` if it is time to ask
        for the searcher's load, and :class:`NoWork` otherwise.
        """
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
        """Return whether ``attempt`` is still wanted and its deadline has not passed.

        Call it just before the first byte is sent. The deadline is checked again here, because the
        process may have been paused after the dispatch. ``abort`` aborts the call to the searcher.
        Other tasks may call it until :meth:`finish` is called, so it must not block.
        """
        with self.lock:
            attempt.abort = abort
            expired = self.clock.now() >= attempt.entry.work.deadline
            return not expired and attempt.state is AttemptState.WANTED

    def finish(self, attempt: SearcherAttempt, result: Result) -> None:
        """Handle the result of ``attempt``: deliver it, retry the work, or ignore it.

        A result is ignored if the work is done. A result other than :class:`Hits` is also ignored
        while another attempt is in flight.
        """
        with self.delivery_lock:
            entry = attempt.entry
            self._record_result(attempt, result)
            entry.attempts.remove(attempt)
            if entry.state is not WorkState.DONE:
                self._handle_result(attempt, result)
            self.dispatch()

    def abandon(self, attempt: SearcherAttempt) -> None:
        """End an attempt of which no byte was sent, as cancelled or past its deadline."""
        expired = self.clock.now() >= attempt.entry.work.deadline
        reason = Reason.DEADLINE if expired else Reason.CANCELLED
        self.finish(attempt, NotRun(reason, Step.SEND, peer=attempt.searcher))

    def record_load(self, searcher: Searcher, report: LoadReport | None) -> None:
        """Record a searcher's report of its load, ``None`` if it sent no valid one."""
        with self.delivery_lock:
            self.searchers.record_load(searcher, report)
            self.dispatch()

    def record_closed_connection(self, searcher: Searcher) -> bool:
        """Record that a closing connection closed; return whether it has to be opened again."""
        with self.lock:
            wanted = self.searchers.find(searcher).record_closed_connection()
            self.searchers.remove_closed()
            return wanted

    # Everything below runs with the lock held.

    def dispatch(self) -> None:
        """Assign queued work and due hedges to idle connections; settle expired work.

        A hedge is a second attempt at another searcher while a slow first one is in flight.
        """
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
        """Return what ``connection`` has to do, or ``None`` after at most one wait.

        It does not wait while results are undelivered: the caller has to leave the delivery lock
        first, which delivers them.
        """
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
        """Settle a queued entry as not run, or with the result of its failed attempt.

        An entry that is queued for a retry was sent before, so "not run" might be false.
        """
        self._settle(entry, entry.failure or NotRun(reason, Step.QUEUE, peer=self.service))

    def _settle(self, entry: QueueEntry, result: Result) -> None:
        self._remove(entry, AttemptState.SUPERSEDED)
        self.delivery_lock.undelivered.append((entry, result))

    def _remove(self, entry: QueueEntry, state: AttemptState) -> None:
        self.dispatcher.remove(entry)
        self.entries.pop(entry.work.query, None)
        for attempt in entry.attempts:
            attempt.cancel(state)
