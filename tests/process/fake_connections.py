"""A service pool whose connections are fakes and whose clock is set by the test.

A service pool holds the queue of one service and dispatches its work to connections to the
searchers of the service.
"""

from masticgate import (
    Address,
    FailureDomainId,
    ManualClock,
    Millis,
    NotRun,
    QueryId,
    Rank,
    Reason,
    SearcherId,
    ServiceId,
    SnapshotVersion,
    Step,
    TicketId,
    Unknown,
)
from masticgate.process import OWNER_POLICY, BookingWork, SearchWork, ServicePool
from masticgate.process._booking_log import BookingLog
from masticgate.process._idle_connections import IdleConnection
from masticgate.request import Hits
from masticgate.version import Searcher

SERVICE = ServiceId("s")
SHARE = 3
"""The number of connections that the pool may open to each searcher."""

HITS = Hits(SnapshotVersion(1), (), ())
DRAINING = NotRun(Reason.SEARCHER_DRAINING, Step.UPSTREAM)
SHED = NotRun(Reason.SEARCHER_SHED, Step.UPSTREAM)
LOST = Unknown(Reason.SEARCHER_LOST, Step.UPSTREAM)


def make_searcher(name):
    address = Address(f"127.0.0.1:{ord(name)}")
    return Searcher(SearcherId(name), address, FailureDomainId("d"), 2, 25)


SEARCHERS = {name: make_searcher(name) for name in "ab"}
SHARES = [(s, SHARE) for s in SEARCHERS.values()]


def add_idle_connection(pool, health):
    """Add an idle connection to the searcher of ``health``, and return the connection.

    This is what a connection's task does at the start of ``ServicePool.wait_for_work``.
    """
    with pool.delivery_lock:
        connection = IdleConnection(pool.lock, health)
        pool.idle_connections.add(connection)
        pool.dispatch()
    return connection


class FakeConnections:
    """Connections of a pool that become idle and finish their attempts when a test says so.

    An attempt sends a piece of work to one searcher. ``results`` holds what was delivered for each
    query, ``attempts`` the attempts in flight, and ``aborted`` the attempts whose call was aborted.
    """

    def __init__(self, names="ab"):
        self.clock = ManualClock(Millis(1000.0))
        self.names = names
        self.pool = ServicePool(SERVICE, (), {}, OWNER_POLICY, self.clock, lambda *change: None)
        self.pool.apply_configuration([(SEARCHERS[name], SHARE) for name in names], {})
        self.results = {}
        self.idle_connections = []
        self.attempts = []
        self.aborted = []
        self.bookings = BookingLog(self.clock)
        self.query_count = 0

    def search(self, rank=Rank.URGENT, remaining=1000.0):
        """Submit a search with a deadline in ``remaining`` milliseconds.

        Return its query id, and the result of ``ServicePool.submit``.
        """
        self.query_count += 1
        query = QueryId(f"q{self.query_count}")
        self.results[query] = []
        work = SearchWork(
            query,
            SERVICE,
            (),
            SnapshotVersion(1),
            rank,
            Millis(self.clock.now() + remaining),
            0.5,
            "",
            self.results[query].append,
        )
        return query, self.pool.submit(work)

    def book(self, ticket, attempt=1):
        """Submit a booking unless the booking log rejects the attempt.

        Return its query id, and the result of ``ServicePool.submit`` or the rejection.
        """
        self.query_count += 1
        query = QueryId(f"b{self.query_count}")
        self.results[query] = []
        deadline = Millis(self.clock.now() + 1000.0)
        deliver = self.results[query].append
        if not self.bookings.record_attempt(ticket, attempt):
            return query, NotRun(Reason.TICKET_IN_USE, Step.QUEUE)
        ticket = TicketId(ticket)
        work = BookingWork(query, SERVICE, ticket, attempt, Rank.URGENT, deadline, "{}", deliver)
        return query, self.pool.submit(work)

    def add_idle(self, name):
        """Add an idle connection to a searcher, and return the attempts that this started."""
        health = self.pool.searchers.find(SEARCHERS[name])
        self.idle_connections.append(add_idle_connection(self.pool, health))
        return self.start_assigned()

    def add_all_idle(self):
        """Add as many idle connections to each searcher as the pool may open."""
        for name in self.names:
            for _ in range(SHARE):
                self.add_idle(name)

    def dispatch_and_start(self):
        """Dispatch queued work, and return the attempts that this started."""
        with self.pool.delivery_lock:
            self.pool.dispatch()
        return self.start_assigned()

    def start_assigned(self):
        """Start the attempts that were assigned to idle connections, and return them."""
        assigned = [
            connection.attempt
            for connection in self.idle_connections
            if connection.attempt is not None
        ]
        self.idle_connections = [
            connection for connection in self.idle_connections if connection.attempt is None
        ]
        for attempt in assigned:
            assert self.pool.may_send(attempt, lambda a=attempt: self.aborted.append(a))
        self.attempts += assigned
        return assigned

    def finish(self, attempt, result):
        """Finish an attempt with ``result``, and return the attempts that this started."""
        self.attempts.remove(attempt)
        self.pool.finish(attempt, result)
        return self.start_assigned()

    def run_searches(self, rounds, result=HITS, latency=20.0):
        """Run searches one after another, each with ``result`` after ``latency`` milliseconds.

        The pool has then recorded latencies and results of its searchers.
        """
        for _ in range(rounds):
            self.search()
            self.start_assigned()
            self.clock.advance(Millis(latency))
            for attempt in list(self.attempts):
                self.finish(attempt, result)
                self.add_idle(attempt.searcher)
