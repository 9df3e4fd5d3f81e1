"""A booking at its owner: once, also when its message comes twice or late."""

from masticgate import (
    HostId,
    ManualClock,
    Millis,
    NotRun,
    QueryId,
    Rank,
    Reason,
    Revision,
    SearcherId,
)
from masticgate.process import OWNER_POLICY
from masticgate.process._owner import Owner
from masticgate.process._pools import ServicePools
from masticgate.process._reply_router import ReplyRouter
from masticgate.process._timeline import TimeLine
from masticgate.process._versions import VersionStore
from masticgate.request import Book, BookReply, Cancel, Ran
from tests.process.fake_connections import add_idle_connection
from tests.texts import SMALL


class Bench:
    def __init__(self):
        self.clock = ManualClock()
        timeline = TimeLine(HostId("h1"), self.clock)
        versions = VersionStore(timeline, lambda configuration: None)
        versions.offer_text(SMALL, Revision(1))
        self.hosts = 3
        self.pools = ServicePools(OWNER_POLICY, self.clock, timeline, lambda pool, searcher: None)
        self.owner = Owner(self.pools, versions, self.clock, lambda: self.hosts)
        self.replies = []

    def book(self, query="q1", remaining=100.0):
        book = Book(QueryId(query), f"t-{query}", 1, "orders", Rank.URGENT, Millis(remaining), "{}")
        self.owner.submit_booking(book, self.replies.append)

    def pool(self):
        return self.pools.list_pools()[0]

    def take_send(self):
        """Take the next work as an idle connection would."""
        pool = self.pool()
        return add_idle_connection(pool, pool.health[SearcherId("oa")]).attempt

    def outcomes(self):
        return [reply.outcome for reply in self.replies]


class TestOwnerBooking:
    def test_second_copy_is_neither_run_nor_refused(self):
        bench = Bench()
        bench.book()
        bench.book()
        attempt = bench.take_send()
        assert bench.pool().may_send(attempt, lambda: None)
        bench.book()
        bench.pool().finish(attempt, Ran("1"))
        bench.book()
        assert bench.outcomes() == [Ran("1")]
        assert bench.take_send() is None

    def test_second_copy_is_dropped_after_a_refusal_and_by_a_newly_opened_pool(self):
        bench = Bench()
        bench.book(remaining=0.0)
        bench.hosts = 4
        bench.book(remaining=100.0)
        assert [outcome.reason for outcome in bench.outcomes()] == [Reason.DEADLINE]
        assert bench.take_send() is None

    def test_cancelled_while_queued_never_runs(self):
        bench = Bench()
        bench.book()
        bench.owner.cancel(Cancel(QueryId("q1")))
        bench.book()
        assert bench.take_send() is None
        assert [o.reason for o in bench.outcomes()] == [Reason.CANCELLED]

    def test_cancel_of_what_was_sent_or_never_came_says_nothing(self):
        bench = Bench()
        bench.owner.cancel(Cancel(QueryId("q1")))
        bench.book()
        attempt = bench.take_send()
        bench.owner.cancel(Cancel(QueryId("q1")))
        assert bench.outcomes() == []
        assert bench.pool().may_send(attempt, lambda: None)

    def test_deadline_is_checked_again_after_a_pause(self):
        bench = Bench()
        bench.book()
        attempt = bench.take_send()
        bench.clock.advance(Millis(200))
        assert not bench.pool().may_send(attempt, lambda: None)
        bench.pool().abandon(attempt)
        (outcome,) = bench.outcomes()
        assert isinstance(outcome, NotRun) and outcome.reason is Reason.DEADLINE


class TestMailboxes:
    def test_tells_the_tickets_of_a_booking_nobody_waits_for(self):
        learned = []
        reply_router = ReplyRouter(lambda query, outcome: learned.append((query, outcome)))
        reply_router.deliver(HostId("h2"), BookReply(QueryId("q1"), Ran("1")))
        assert learned == [("q1", Ran("1"))]
