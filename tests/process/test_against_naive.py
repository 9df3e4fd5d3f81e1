"""Comparison of owner routing with naive routing: equal answers to equal searches.

With owner routing one host, the owner, queues all work of a service; with naive routing each host
queues the work of its own requests.
"""

import itertools

import pytest

from tests.standins.fleet import Fleet
from tests.texts import SMALL

TEXTS = ("lamp", "tube 7", "overdue kits")
SCOPES = (["desk/1"], ["ledger/1"], ["desk/1", "orders"])


@pytest.fixture(scope="class")
def fleets():
    behaviour = {"service_ms": 5.0}
    with (
        Fleet(SMALL, routing="owner", behaviour=behaviour) as owner,
        Fleet(SMALL, routing="naive", behaviour=behaviour) as naive,
    ):
        yield owner, naive


def routing_independent_fields(reply):
    """Return the parts of a reply that must not depend on the routing."""
    body = reply.body
    return body["snapshot"], body["coverage"], body["hits"], body["missing"]


def compare(fleets, minimum):
    """Search in both fleets, and check that the answers are equal where both are whole.

    At least ``minimum`` pairs of answers must be whole.
    """
    compared = 0
    for index, text, scope in itertools.product(range(3), TEXTS, SCOPES):
        replies = [fleet.search(index, scope, text=text) for fleet in fleets]
        if all(reply.status == 200 and reply.body["whole"] for reply in replies):
            assert routing_independent_fields(replies[0]) == routing_independent_fields(replies[1])
            compared += 1
    assert compared >= minimum


class TestAgainstNaive:
    def test_answers_are_equal(self, fleets):
        compare(fleets, minimum=27)

    def test_answers_are_equal_from_a_new_snapshot_with_other_shards(self, fleets):
        for fleet in fleets:
            fleet.set_behaviour([], held=[1, 2])
            shards = {s: {f"{s}/n{n}": 1.0 for n in range(3)} for s in fleet.snapshots[0]["shards"]}
            fleet.publish_snapshots([*fleet.snapshots, {"version": 2, "shards": shards}])
            for index in range(3):
                fleet.wait_until(
                    lambda f=fleet, i=index: 2 in f.status(i)["snapshots"], 5, "no snapshot 2"
                )
        compare(fleets, minimum=27)

    @pytest.mark.parametrize("behaviour", [{"draining": True}, {"loss_share": 1.0}])
    def test_answers_are_equal_without_one_searcher_per_service(self, fleets, behaviour):
        for fleet in fleets:
            fleet.set_behaviour(["d1a", "l1b"], **behaviour)
        compare(fleets, minimum=9)
        for fleet in fleets:
            fleet.set_behaviour(["d1a", "l1b"], draining=False, loss_share=0.0)
