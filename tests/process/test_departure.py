"""Departments, searchers and hosts that leave, and hosts that are cut off, under load."""

import time

import pytest

from tests.process.test_recovery import SETTLE_SECONDS, owned_services, wait_for_state
from tests.standins.fleet import Fleet
from tests.standins.load import Load
from tests.standins.relay import Relay
from tests.texts import SMALL

LEAVE_SECONDS = 3.0
"""An upstream that leaves may receive new work for this long."""

LEDGER_LEAVES = SMALL.replace('"ledger": {}', '"ledger": {"leaving": true}')
NOWHERE = {"configuration": "127.0.0.1:1", "hosts": "127.0.0.1:1"}


def received(fleet, names):
    return sum(fleet.searchers()[name]["counts"].get("received", 0) for name in names)


def received_after_leaving(fleet, names):
    """Return how much work the searchers get in a second, once the time to leave has passed."""
    time.sleep(LEAVE_SECONDS)
    before = received(fleet, names)
    time.sleep(1.0)
    return received(fleet, names) - before


@pytest.fixture(scope="class")
def fleet():
    cut_off = {2: {"platform": NOWHERE}}
    with Fleet(SMALL, knobs={"service_ms": 5.0}, host_settings=cut_off) as started:
        yield started


class TestDrain:
    def test_a_draining_searcher_gets_no_new_work_and_answers_stay_whole(self, fleet):
        with Load(fleet, ["desk/1"]) as load:
            time.sleep(0.5)
            fleet.turn(["d1a"], draining=True)
            assert received_after_leaving(fleet, ["d1a"]) == 0
        assert received(fleet, ["d1b"]) > 0
        assert set(load.kinds(since=time.monotonic() - 2.0)) == {"whole"}


class TestDepartment:
    def test_leaves_within_seconds_on_a_host_without_platform_too(self, fleet):
        searchers = ["l1a", "l1b"]
        with Load(fleet, ["desk/1"]) as load:
            time.sleep(0.5)
            before = received(fleet, searchers)
            fleet.put_text(LEDGER_LEAVES)
            assert received_after_leaving(fleet, searchers) == 0
        assert before > 0
        assert set(load.kinds()) == {"whole", "partial"}
        lacking = {(service, reason) for service, reason, _, _ in load.missing()}
        assert lacking == {("ledger/1", "department_left")}
        for index in range(3):
            assert fleet.search(index, ["ledger/1"]).body["reason"] == "department_left"


class TestListedLeaving:
    def test_a_host_that_the_list_calls_leaving_hands_over_and_still_answers(self, fleet):
        leaving = [{**host, "leaving": index == 0} for index, host in enumerate(fleet.hosts)]
        with Load(fleet, ["desk/1"], callers=1) as load:
            fleet.list_hosts(leaving)
            wait_for_state(fleet, "h1", "leaving", [0, 1, 2])
            assert owned_services(fleet, 0) == set()
        assert set(load.kinds()) == {"whole"}
        fleet.list_hosts(fleet.hosts)
        assert fleet.status(0)["peers"][0]["state"] == "leaving"


@pytest.fixture(scope="class")
def partitionable():
    """Yield a fleet, and a function that parts the first host from the others or heals."""
    fleet = Fleet(SMALL, knobs={"service_ms": 5.0})
    ports = [host["address"].rpartition(":") for host in fleet.hosts]
    behind = [f"{number}:{int(port) + 500}" for number, _, port in ports]
    relays = [Relay(h["address"], b) for h, b in zip(fleet.hosts, behind, strict=True)]
    fleet.host_settings = {n: {"peer_listen_address": b} for n, b in enumerate(behind)}

    def set_partition(partitioned):
        relays[0].cut({"h2", "h3"} if partitioned else set())
        for relay in relays[1:]:
            relay.cut({"h1"} if partitioned else set())

    with fleet:
        yield fleet, set_partition
    for relay in relays:
        relay.stop()


class TestSplit:
    def test_both_sides_answer_and_agree_again_once_healed(self, partitionable):
        fleet, set_partition = partitionable
        before = [owned_services(fleet, index) for index in range(3)]
        with Load(fleet, ["desk/1"], callers=1) as load:
            set_partition(True)
            wait_for_state(fleet, "h1", "dead", [1, 2])
            wait_for_state(fleet, "h2", "dead", [0])
            wait_for_state(fleet, "h3", "dead", [0])
            assert owned_services(fleet, 0) == set().union(*before)
            set_partition(False)
            fleet.wait_until(fleet.is_ready, SETTLE_SECONDS, "the split did not heal")
            for host in ("h1", "h2", "h3"):
                wait_for_state(fleet, host, "alive", [0, 1, 2])
        assert [owned_services(fleet, index) for index in range(3)] == before
        assert set(load.kinds()) == {"whole"}
