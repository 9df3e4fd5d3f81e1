"""One booking: what is said of it, and how often it may run."""

import pytest

from masticgate import HostId, Incarnation, Millis, NotRun, QueryId, Rank, Reason, Step, Unknown
from masticgate.process._tickets import TICKET_LIFETIME, TicketTable
from masticgate.request import Attempt, Booking, BookReply, Cancel, ForwardReply, Ran, run_booking
from tests.request.scripted_runtime import ScriptedRuntime
from tests.texts import SMALL

CANCELLED = NotRun(Reason.CANCELLED, Step.QUEUE)
LOST = Unknown(Reason.OWNER_LOST, Step.FORWARD)


class Bench:
    """A minter's table and a tier whose owners follow a script."""

    def __init__(self, react=lambda host, message, deliver: None):
        self.runtime = ScriptedRuntime(SMALL, react)
        self.table = TicketTable(HostId("h9"), Incarnation(5), self.runtime.clock)
        self.ticket = self.table.mint()
        self.runtime.minted.add(self.ticket)

    def booking(self, name="q1", ticket=None, payload="{}"):
        deadline = Millis(self.runtime.clock.now() + 200)
        ticket = ticket or self.ticket
        minter = HostId("h9")
        return Booking(
            QueryId(name), ticket, minter, Incarnation(5), "orders", Rank.URGENT, deadline, payload
        )

    def run(self, name="q1", **fields):
        return run_booking(self.booking(name, **fields), self.table, self.runtime)

    def sent(self, kind):
        return [m for _, m in self.runtime.sent if type(m).__name__ == kind]


def answer(outcome, delay=10.0):
    def react(host, message, deliver):
        if not isinstance(message, Cancel):
            deliver(delay, BookReply(message.query, outcome))

    return react


class TestRunBooking:
    def test_sends_once_and_gives_every_retry_the_same_result(self):
        bench = Bench(answer(Ran("1")))
        assert [bench.run(f"q{n}") for n in range(3)] == [Ran("1")] * 3
        assert len(bench.sent("Book")) == 1

    def test_sends_nothing_again_after_an_unknown_outcome(self):
        bench = Bench(answer(LOST))
        assert [bench.run("q1"), bench.run("q2")] == [LOST, LOST]
        assert len(bench.sent("Book")) == 1

    def test_may_run_again_after_it_did_not_run(self):
        bench = Bench(answer(CANCELLED))
        assert bench.run("q1") == CANCELLED
        bench.runtime.react = answer(Ran("1"))
        assert bench.run("q2") == Ran("1")
        assert [m.attempt for m in bench.sent("Book")] == [1, 2]

    def test_asks_the_owner_to_cancel_in_time_and_else_says_unknown(self):
        bench = Bench()
        outcome = bench.run()
        assert isinstance(outcome, Unknown) and len(bench.sent("Cancel")) == 1
        assert bench.runtime.clock.now() <= 200

    def test_asks_the_next_owner_only_where_nothing_was_sent(self):
        bench = Bench(answer(LOST))
        bench.runtime.closed.add(HostId("h0"))
        assert bench.run() == LOST
        assert [host for host, _ in bench.runtime.sent] == ["h1"]

    def test_an_exception_leaves_no_ticket_running(self):
        def fail(host, message, deliver):
            raise RuntimeError("a fault of ours")

        bench = Bench(fail)
        with pytest.raises(RuntimeError):
            bench.run("q1")
        assert bench.run("q2") == Unknown(Reason.INTERNAL, Step.TICKET)

    def test_a_lost_minter_leaves_it_unknown(self):
        bench = Bench()
        bench.runtime.closed.add(HostId("h9"))
        outcome = bench.run(ticket="h9~4~1~x")
        assert outcome == Unknown(Reason.MINTER_LOST, Step.FORWARD, peer="h9")

    def test_returns_what_the_minter_says(self):
        def react(host, message, deliver):
            deliver(5.0, ForwardReply(message.query, Ran("7")))

        assert Bench(react).run(ticket="h9~4~1~x") == Ran("7")


class TestTicketTable:
    def test_late_result_reaches_the_next_retry(self):
        bench = Bench()
        assert isinstance(bench.run("q1"), Unknown)
        bench.table.record_late_outcome(QueryId("q1"), Ran("1"))
        assert bench.run("q2") == Ran("1")
        bench.table.record_late_outcome(QueryId("q1"), CANCELLED)
        assert bench.run("q3") == Ran("1")

    def test_late_word_that_it_did_not_run_lets_a_retry_run(self):
        bench = Bench()
        bench.run("q1")
        bench.table.record_late_outcome(QueryId("q1"), CANCELLED)
        bench.runtime.react = answer(Ran("2"))
        assert bench.run("q2") == Ran("2")

    def test_word_that_comes_before_the_settling_is_kept(self):
        bench = Bench()
        attempt = bench.table.begin(bench.booking("q1"))
        bench.table.record_late_outcome(QueryId("q1"), Ran("1"))
        bench.table.record_outcome(attempt, LOST)
        assert bench.run("q2") == Ran("1")

    def test_the_word_on_an_old_attempt_changes_nothing(self):
        bench = Bench(answer(CANCELLED))
        bench.run("q1")
        bench.runtime.react = answer(LOST)
        bench.run("q2")
        bench.table.record_late_outcome(QueryId("q1"), CANCELLED)
        assert bench.run("q3") == LOST

    def test_duplicate_request_never_runs_after_it_was_told_not_run(self):
        bench = Bench(answer(CANCELLED))
        assert bench.run("q1") == CANCELLED
        bench.runtime.react = answer(Ran("1"))
        assert bench.run("q1") == CANCELLED
        assert len(bench.sent("Book")) == 1

    def test_joining_request_shares_the_running_attempt(self):
        bench = Bench()
        attempt = bench.table.begin(bench.booking("q1"))
        joined = bench.table.begin(bench.booking("q2"))
        bench.table.record_outcome(attempt, CANCELLED)
        bench.table.record_outcome(attempt, Ran("late"))
        assert joined.result(timeout=0) == CANCELLED
        assert bench.table.begin(bench.booking("q2")).result(timeout=0) == CANCELLED

    def test_refuses_another_content_an_expired_and_a_strange_ticket(self):
        bench = Bench(answer(CANCELLED))
        bench.run("q1")
        assert bench.run("q2", payload='{"other": 1}').reason is Reason.TICKET_IN_USE
        bench.runtime.clock.advance(TICKET_LIFETIME)
        assert bench.run("q3").reason is Reason.TICKET_EXPIRED
        bench.runtime.minted.add("strange")
        assert bench.run("q4", ticket="strange").reason is Reason.TICKET_UNKNOWN

    def test_forgets_a_ticket_only_long_after_its_expiry(self):
        bench = Bench(answer(Ran("1")))
        bench.run("q1")
        bench.runtime.clock.advance(TICKET_LIFETIME)
        bench.table.mint()
        assert bench.run("q2") == Ran("1")
        bench.runtime.clock.advance(TICKET_LIFETIME)
        bench.table.mint()
        assert isinstance(bench.run("q3"), Unknown)

    def test_stale_attempt_settles_nothing(self):
        bench = Bench()
        first = bench.table.begin(bench.booking("q1"))
        bench.table.record_outcome(first, CANCELLED)
        second = bench.table.begin(bench.booking("q2"))
        bench.table.record_outcome(first, Ran("1"))
        assert isinstance(second, Attempt) and second.number == 2
        assert not bench.table.records[bench.ticket].outcome.done()
