"""Searches and bookings through a whole fleet, over real sockets and processes."""

import pytest

from tests.standins.fleet import Fleet
from tests.texts import SMALL


@pytest.fixture(scope="class")
def fleet():
    with Fleet(SMALL, behaviour={"service_ms": 5.0}) as started:
        yield started


class TestSearch:
    def test_answer_is_whole_and_from_one_snapshot_through_every_host(self, fleet):
        for index in range(len(fleet.hosts)):
            reply = fleet.search(index, ["desk/1"])
            assert reply.status == 200, reply
            assert reply.body["whole"] and reply.body["coverage"] == 1.0
            assert reply.body["snapshot"] == 1
            assert {hit["shard"].split("/s")[0] for hit in reply.body["hits"]} == {
                "desk/1",
                "ledger/1",
            }

    def test_unknown_service_is_refused_as_not_run(self, fleet):
        reply = fleet.search(0, ["nowhere"])
        assert (reply.status, reply.body["outcome"]) == (404, "not_run")
        assert reply.body["reason"] == "unknown_service"


class TestBooking:
    def test_runs_once_per_ticket_through_any_host(self, fleet):
        ticket = fleet.mint(0)
        replies = [fleet.book(index, ticket, "orders") for index in (0, 1, 2, 0)]
        assert [reply.body["outcome"] for reply in replies] == ["ran"] * 4
        ran = [b for s in fleet.searcher_reports().values() for b in s["bookings"]]
        assert [b["ticket"] for b in ran] == [ticket]

    def test_malformed_ticket_is_refused_as_not_run(self, fleet):
        reply = fleet.book(0, "none", "orders")
        assert (reply.status, reply.body["outcome"]) == (400, "not_run")
