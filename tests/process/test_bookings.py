"""Bookings through real processes; the searchers report each booking that they ran.

A booking changes data at a searcher. The caller first gets a ticket for it from one host, the
minter, and sends the ticket with each request. The owner of the service queues the booking and
sends it to a searcher.
"""

import signal
from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.standins.fleet import Fleet
from tests.texts import SMALL


@pytest.fixture(scope="class")
def fleet():
    with Fleet(SMALL, behaviour={"service_ms": 5.0}) as started:
        yield started


def count_runs(fleet, ticket):
    """Return how many times the searchers ran the booking of ``ticket``."""
    booked = [b for s in fleet.searcher_reports().values() for b in s["bookings"]]
    return sum(b["ticket"] == ticket for b in booked)


def find_owner(fleet, service):
    """Return the index of the host that owns ``service``."""
    owners = [n for n in range(len(fleet.hosts)) if service in fleet.status(n)["owned"]]
    assert len(owners) == 1
    return owners[0]


def outcome(fleet, index, ticket, **fields):
    """Book with ``ticket`` through the host with this index; return the outcome."""
    return fleet.book(index, ticket, "orders", **fields).body["outcome"]


def wait_for_booking_request(fleet, before):
    fleet.wait_until(
        lambda: count_booking_requests(fleet) > before, 5, "no booking reached a searcher"
    )


def count_booking_requests(fleet):
    reports = fleet.searcher_reports()
    return sum(reports[name]["counts"].get("started", 0) for name in ("oa", "ob"))


class TestBookingUnderFaults:
    """A booking runs at most once, and its outcome is "unknown" if it is not certain."""

    def test_repeated_requests_through_other_hosts_get_outcome_of_first_run(self, fleet):
        fleet.set_behaviour([], service_ms=200.0, spread="fixed")
        ticket = fleet.mint(0)
        with ThreadPoolExecutor() as callers:
            first = callers.submit(outcome, fleet, 0, ticket)
            retries = [callers.submit(outcome, fleet, n, ticket) for n in (1, 2, 1)]
            outcomes = [call.result() for call in (first, *retries)]
        fleet.set_behaviour([], service_ms=5.0)
        assert outcomes == ["ran"] * 4
        assert count_runs(fleet, ticket) == 1

    def test_outcome_is_unknown_and_run_once_if_searcher_books_and_closes_connection(self, fleet):
        fleet.set_behaviour(["oa", "ob"], close_after_booking=True)
        ticket = fleet.mint(0)
        outcomes = [outcome(fleet, n, ticket) for n in (0, 1)]
        fleet.set_behaviour(["oa", "ob"], close_after_booking=False)
        outcomes.append(outcome(fleet, 2, ticket))
        assert outcomes == ["unknown"] * 3
        assert count_runs(fleet, ticket) == 1

    def test_booking_refused_by_searchers_does_not_run_and_may_be_repeated(self, fleet):
        fleet.set_behaviour(["oa", "ob"], shed_above=0)
        ticket = fleet.mint(0)
        assert outcome(fleet, 1, ticket) == "not_run"
        assert count_runs(fleet, ticket) == 0
        fleet.set_behaviour(["oa", "ob"], shed_above=1000)
        assert outcome(fleet, 2, ticket) == "ran"
        assert count_runs(fleet, ticket) == 1

    def test_outcome_is_unknown_while_owner_is_paused_and_known_to_later_request(self, fleet):
        """Guard against an outcome that stays "unknown" although the owner reports it later.

        The owner is paused when the request arrives, so that the request times out with
        "unknown". The owner reports the outcome after the pause, and a later request has to get it.
        """
        owner = find_owner(fleet, "orders")
        minter = (owner + 1) % 3
        ticket = fleet.mint(minter)
        name = fleet.hosts[owner]["host"]
        fleet.signal(name, signal.SIGSTOP)
        first = outcome(fleet, minter, ticket, remaining_ms=400.0)
        fleet.signal(name, signal.SIGCONT)
        fleet.wait_until(lambda: outcome(fleet, minter, ticket) == "ran", 5, "still unknown")
        assert first == "unknown"
        assert count_runs(fleet, ticket) == 1

    def test_outcome_is_unknown_and_run_at_most_once_if_owner_is_killed(self, fleet):
        owner = find_owner(fleet, "orders")
        minter = (owner + 1) % 3
        fleet.set_behaviour(["oa", "ob"], service_ms=400.0, spread="fixed")
        ticket, before = fleet.mint(minter), count_booking_requests(fleet)
        with ThreadPoolExecutor() as callers:
            call = callers.submit(outcome, fleet, minter, ticket)
            wait_for_booking_request(fleet, before)
            fleet.kill(fleet.hosts[owner]["host"])
            assert call.result() == "unknown"
        fleet.set_behaviour(["oa", "ob"], service_ms=5.0)
        assert outcome(fleet, (owner + 2) % 3, ticket) == "unknown"
        assert count_runs(fleet, ticket) <= 1
        fleet.start_host(owner)
        fleet.wait_until(fleet.is_ready, 20, "the host did not come back")

    def test_outcome_stays_unknown_after_killed_minter_is_back(self, fleet):
        used, unused = fleet.mint(0), fleet.mint(0)
        assert outcome(fleet, 1, used) == "ran"
        fleet.kill("h1")
        assert [outcome(fleet, n, t) for n, t in ((1, used), (2, unused))] == ["unknown"] * 2
        fleet.start_host(0)
        fleet.wait_until(fleet.is_ready, 20, "the host did not come back")
        assert [outcome(fleet, n, used) for n in (0, 1)] == ["unknown"] * 2
        assert count_runs(fleet, used) == 1
        assert count_runs(fleet, unused) == 0
