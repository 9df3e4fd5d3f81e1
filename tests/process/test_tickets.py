"""Tests for the tickets of bookings, which run at most once."""

from concurrent.futures import Future

from masticgate import (
    HostId,
    Incarnation,
    ManualClock,
    Millis,
    NotRun,
    QueryId,
    Rank,
    ServiceId,
)
from masticgate.process._tickets import MAX_REQUESTS_PER_TICKET, Attempt, TicketTable
from masticgate.request import Booking, Ran

HOST, RUN = HostId("h1"), Incarnation(1)


def make_booking(table: TicketTable, ticket, number: int) -> Booking:
    return Booking(
        QueryId(f"q{number}"), ticket, HOST, RUN, ServiceId("s"), Rank.URGENT, Millis(9e9), "{}"
    )


class TestManyRequestsOfOneTicket:
    def test_none_is_told_that_it_did_not_run_while_an_attempt_runs(self):
        """Guard against "not run" for the 65th request under a ticket, which may have run."""
        table = TicketTable(HOST, RUN, ManualClock())
        ticket = table.mint()
        attempt = table.begin(make_booking(table, ticket, 0))
        assert isinstance(attempt, Attempt)
        outcomes = [
            table.begin(make_booking(table, ticket, number))
            for number in range(1, 2 * MAX_REQUESTS_PER_TICKET)
        ]
        assert all(isinstance(outcome, Future) for outcome in outcomes)
        table.record_outcome(attempt, Ran("{}"))
        assert {outcome.result() for outcome in outcomes} == {Ran("{}")}
        assert not isinstance(table.begin(make_booking(table, ticket, 999)), NotRun)
