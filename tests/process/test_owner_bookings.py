"""The owner of a service sends a booking to a searcher once, even if its message arrives twice.

The owner queues the work of the service.
"""

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
from masticgate.process._timeline import Timeline
from masticgate.process._versions import VersionStore
from masticgate.request import Book, BookReply, Cancel, Ran
from tests.process.fake_connections import add_idle_connection
from tests.texts import SMALL


class OwnerSetup:
    """An owner that has no connections but those that a test adds, and the replies it sent."""

    def __init__(self):
        self.clock = ManualClock()
        timeline = Timeline(HostId("h1"), self.clock)
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

    def next_attempt(self):
        """Add an idle connection; return the attempt that it is assigned, if any."""
        pool = self.pool()
        return add_idle_connection(pool, pool.health[SearcherId("oa")]).attempt

    def outcomes(self):
        return [reply.outcome for reply in self.replies]


class TestOwnerBooking:
    def test_second_copy_of_message_is_neither_run_nor_refused(self):
        setup = OwnerSetup()
        setup.book()
        setup.book()
        attempt = setup.next_attempt()
        assert setup.pool().may_send(attempt, lambda: None)
        setup.book()
        setup.pool().finish(attempt, Ran("1"))
        setup.book()
        assert setup.outcomes() == [Ran("1")]
        assert setup.next_attempt() is None

    def test_second_copy_is_ignored_after_refusal_of_first_and_change_of_pool(self):
        """Guard against running a booking that was reported as not run.

        The first copy arrives at its deadline and is refused. Then the number of hosts changes, so
        that queueing the second copy, which arrives in time, would reconfigure the pool.
        """
        setup = OwnerSetup()
        setup.book(remaining=0.0)
        setup.hosts = 4
        setup.book(remaining=100.0)
        assert [outcome.reason for outcome in setup.outcomes()] == [Reason.DEADLINE]
        assert setup.next_attempt() is None

    def test_booking_cancelled_while_queued_never_runs(self):
        setup = OwnerSetup()
        setup.book()
        setup.owner.cancel(Cancel(QueryId("q1")))
        setup.book()
        assert setup.next_attempt() is None
        assert [o.reason for o in setup.outcomes()] == [Reason.CANCELLED]

    def test_cancel_of_sent_or_unknown_booking_has_no_effect(self):
        setup = OwnerSetup()
        setup.owner.cancel(Cancel(QueryId("q1")))
        setup.book()
        attempt = setup.next_attempt()
        setup.owner.cancel(Cancel(QueryId("q1")))
        assert setup.outcomes() == []
        assert setup.pool().may_send(attempt, lambda: None)

    def test_deadline_is_checked_again_after_a_pause(self):
        setup = OwnerSetup()
        setup.book()
        attempt = setup.next_attempt()
        setup.clock.advance(Millis(200))
        assert not setup.pool().may_send(attempt, lambda: None)
        setup.pool().abandon(attempt)
        (outcome,) = setup.outcomes()
        assert isinstance(outcome, NotRun) and outcome.reason is Reason.DEADLINE


class TestReplyRouter:
    def test_passes_on_outcome_of_booking_that_nobody_waits_for(self):
        recorded = []
        reply_router = ReplyRouter(lambda query, outcome: recorded.append((query, outcome)))
        reply_router.deliver(HostId("h2"), BookReply(QueryId("q1"), Ran("1")))
        assert recorded == [("q1", Ran("1"))]
