"""Outcomes of a booking under its ticket, and the number of times that it may run."""

import pytest

from masticgate import HostId, Incarnation, Millis, NotRun, QueryId, Rank, Reason, Step, Unknown
from masticgate.process._tickets import TICKET_LIFETIME, TicketTable
from masticgate.request import Attempt, Booking, BookReply, Cancel, ForwardReply, Ran, run_booking
from tests.request.scripted_runtime import ScriptedRuntime
from tests.texts import SMALL

CANCELLED = NotRun(Reason.CANCELLED, Step.QUEUE)
OWNER_LOST = Unknown(Reason.OWNER_LOST, Step.FORWARD)


class BookingHarness:
    """The ticket table of the host h9, and a runtime whose owners respond as ``respond`` says.

    ``runtime.own_tickets`` holds the tickets that the runtime's host minted; a booking under any
    other ticket, such as ``h9~4~1~x``, is forwarded to its minter.
    """

    def __init__(self, respond=lambda host, message, deliver: None):
        self.runtime = ScriptedRuntime(SMALL, respond)
        self.table = TicketTable(HostId("h9"), Incarnation(5), self.runtime.clock)
        self.ticket = self.table.mint()
        self.runtime.own_tickets.add(self.ticket)

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


def reply_with(outcome, delay=10.0):
    def respond(host, message, deliver):
        if not isinstance(message, Cancel):
            deliver(delay, BookReply(message.query, outcome))

    return respond


class TestRunBooking:
    def test_sends_once_and_returns_same_outcome_to_every_retry(self):
        harness = BookingHarness(reply_with(Ran("1")))
        assert [harness.run(f"q{n}") for n in range(3)] == [Ran("1")] * 3
        assert len(harness.sent("Book")) == 1

    def test_does_not_send_again_after_unknown_outcome(self):
        harness = BookingHarness(reply_with(OWNER_LOST))
        assert [harness.run("q1"), harness.run("q2")] == [OWNER_LOST, OWNER_LOST]
        assert len(harness.sent("Book")) == 1

    def test_sends_again_after_not_run_outcome(self):
        harness = BookingHarness(reply_with(CANCELLED))
        assert harness.run("q1") == CANCELLED
        harness.runtime.respond = reply_with(Ran("1"))
        assert harness.run("q2") == Ran("1")
        assert [m.attempt for m in harness.sent("Book")] == [1, 2]

    def test_cancels_before_deadline_and_returns_unknown_without_reply(self):
        harness = BookingHarness()
        outcome = harness.run()
        assert isinstance(outcome, Unknown) and len(harness.sent("Cancel")) == 1
        assert harness.runtime.clock.now() <= 200

    def test_sends_to_next_owner_only_if_nothing_was_sent(self):
        harness = BookingHarness(reply_with(OWNER_LOST))
        harness.runtime.unreachable.add(HostId("h0"))
        assert harness.run() == OWNER_LOST
        assert [host for host, _ in harness.runtime.sent] == ["h1"]

    def test_records_unknown_outcome_after_exception(self):
        def fail(host, message, deliver):
            raise RuntimeError("fault while sending")

        harness = BookingHarness(fail)
        with pytest.raises(RuntimeError):
            harness.run("q1")
        assert harness.run("q2") == Unknown(Reason.INTERNAL, Step.TICKET)

    def test_returns_unknown_if_minter_is_unreachable(self):
        harness = BookingHarness()
        harness.runtime.unreachable.add(HostId("h9"))
        outcome = harness.run(ticket="h9~4~1~x")
        assert outcome == Unknown(Reason.MINTER_LOST, Step.FORWARD, peer="h9")

    def test_returns_outcome_of_remote_minter(self):
        def respond(host, message, deliver):
            deliver(5.0, ForwardReply(message.query, Ran("7")))

        assert BookingHarness(respond).run(ticket="h9~4~1~x") == Ran("7")


class TestTicketTable:
    def test_retry_returns_late_outcome(self):
        harness = BookingHarness()
        assert isinstance(harness.run("q1"), Unknown)
        harness.table.record_late_outcome(QueryId("q1"), Ran("1"))
        assert harness.run("q2") == Ran("1")
        harness.table.record_late_outcome(QueryId("q1"), CANCELLED)
        assert harness.run("q3") == Ran("1")

    def test_retry_runs_after_late_not_run_outcome(self):
        harness = BookingHarness()
        harness.run("q1")
        harness.table.record_late_outcome(QueryId("q1"), CANCELLED)
        harness.runtime.respond = reply_with(Ran("2"))
        assert harness.run("q2") == Ran("2")

    def test_outcome_of_attempt_does_not_replace_earlier_late_outcome(self):
        harness = BookingHarness()
        attempt = harness.table.begin(harness.booking("q1"))
        harness.table.record_late_outcome(QueryId("q1"), Ran("1"))
        harness.table.record_outcome(attempt, OWNER_LOST)
        assert harness.run("q2") == Ran("1")

    def test_ignores_late_outcome_of_previous_attempt(self):
        harness = BookingHarness(reply_with(CANCELLED))
        harness.run("q1")
        harness.runtime.respond = reply_with(OWNER_LOST)
        harness.run("q2")
        harness.table.record_late_outcome(QueryId("q1"), CANCELLED)
        assert harness.run("q3") == OWNER_LOST

    def test_duplicate_request_does_not_run_after_not_run_outcome(self):
        harness = BookingHarness(reply_with(CANCELLED))
        assert harness.run("q1") == CANCELLED
        harness.runtime.respond = reply_with(Ran("1"))
        assert harness.run("q1") == CANCELLED
        assert len(harness.sent("Book")) == 1

    def test_second_request_shares_outcome_of_running_attempt(self):
        harness = BookingHarness()
        attempt = harness.table.begin(harness.booking("q1"))
        joined = harness.table.begin(harness.booking("q2"))
        harness.table.record_outcome(attempt, CANCELLED)
        harness.table.record_outcome(attempt, Ran("late"))
        assert joined.result(timeout=0) == CANCELLED
        assert harness.table.begin(harness.booking("q2")).result(timeout=0) == CANCELLED

    def test_refuses_ticket_that_is_in_use_expired_or_unknown(self):
        harness = BookingHarness(reply_with(CANCELLED))
        harness.run("q1")
        assert harness.run("q2", payload='{"other": 1}').reason is Reason.TICKET_IN_USE
        harness.runtime.clock.advance(TICKET_LIFETIME)
        assert harness.run("q3").reason is Reason.TICKET_EXPIRED
        harness.runtime.own_tickets.add("unknown")
        assert harness.run("q4", ticket="unknown").reason is Reason.TICKET_UNKNOWN

    def test_keeps_outcome_for_one_ticket_lifetime_after_expiry(self):
        harness = BookingHarness(reply_with(Ran("1")))
        harness.run("q1")
        harness.runtime.clock.advance(TICKET_LIFETIME)
        harness.table.mint()
        assert harness.run("q2") == Ran("1")
        harness.runtime.clock.advance(TICKET_LIFETIME)
        harness.table.mint()
        assert isinstance(harness.run("q3"), Unknown)

    def test_ignores_outcome_of_previous_attempt(self):
        harness = BookingHarness()
        first = harness.table.begin(harness.booking("q1"))
        harness.table.record_outcome(first, CANCELLED)
        second = harness.table.begin(harness.booking("q2"))
        harness.table.record_outcome(first, Ran("1"))
        assert isinstance(second, Attempt) and second.number == 2
        assert not harness.table.records[harness.ticket].outcome.done()
