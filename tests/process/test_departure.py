"""Searchers, departments and hosts that leave, and a network partition, under load."""

import time

import pytest

from tests.process.test_recovery import SETTLE_SECONDS, owned_services, wait_for_state
from tests.standins.fleet import Fleet
from tests.standins.load import Load
from tests.standins.relay import Relay
from tests.texts import SMALL

LEAVE_SECONDS = 3.0
"""The longest time for which a searcher that drains or leaves may still receive new work."""

LEDGER_LEAVES = SMALL.replace('"ledger": {}', '"ledger": {"leaving": true}')
NOWHERE = {"configuration": "127.0.0.1:1", "hosts": "127.0.0.1:1"}


def received(fleet, names):
    """Return how many requests the searchers ``names`` have received so far."""
    return sum(fleet.searcher_reports()[name]["counts"].get("received", 0) for name in names)


def received_after_leaving(fleet, names):
    """Return how many requests the searchers receive in one second, after ``LEAVE_SECONDS``."""
    time.sleep(LEAVE_SECONDS)
    before = received(fleet, names)
    time.sleep(1.0)
    return received(fleet, names) - before


@pytest.fixture(scope="class")
def fleet():
    """Yield a fleet whose third host can't reach the platform."""
    without_platform = {2: {"platform": NOWHERE}}
    with Fleet(SMALL, behaviour={"service_ms": 5.0}, host_settings=without_platform) as started:
        yield started


class TestDrain:
    def test_draining_searcher_receives_no_new_work_and_answers_stay_whole(self, fleet):
        with Load(fleet, ["desk/1"]) as load:
            time.sleep(0.5)
            fleet.set_behaviour(["d1a"], draining=True)
            assert received_after_leaving(fleet, ["d1a"]) == 0
        assert received(fleet, ["d1b"]) > 0
        assert set(load.count_kinds(since=time.monotonic() - 2.0)) == {"whole"}


class TestDepartment:
    def test_leaves_within_seconds_also_on_host_without_platform(self, fleet):
        searchers = ["l1a", "l1b"]
        with Load(fleet, ["desk/1"]) as load:
            time.sleep(0.5)
            before = received(fleet, searchers)
            fleet.publish_text(LEDGER_LEAVES)
            assert received_after_leaving(fleet, searchers) == 0
        assert before > 0
        assert set(load.count_kinds()) == {"whole", "partial"}
        lacking = {(service, reason) for service, reason, _, _ in load.missing_services()}
        assert lacking == {("ledger/1", "department_left")}
        for index in range(3):
            assert fleet.search(index, ["ledger/1"]).body["reason"] == "department_left"


class TestListedLeaving:
    def test_host_listed_as_leaving_gives_up_its_services_and_still_answers(self, fleet):
        """Guard against a host that returns to alive when the list no longer marks it as leaving.

        The host list may be out of date, so leaving holds for the rest of the host's incarnation.
        """
        leaving = [{**host, "leaving": index == 0} for index, host in enumerate(fleet.hosts)]
        with Load(fleet, ["desk/1"], callers=1) as load:
            fleet.publish_hosts(leaving)
            wait_for_state(fleet, "h1", "leaving", [0, 1, 2])
            assert owned_services(fleet, 0) == set()
        assert set(load.count_kinds()) == {"whole"}
        fleet.publish_hosts(fleet.hosts)
        assert fleet.status(0)["peers"][0]["state"] == "leaving"


@pytest.fixture(scope="class")
def partitionable():
    """Yield a fleet, and a function that cuts the first host off from the others or reconnects it.

    Each host listens behind a relay, which refuses connections from the hosts on the other side.
    """
    fleet = Fleet(SMALL, behaviour={"service_ms": 5.0})
    ports = [host["address"].rpartition(":") for host in fleet.hosts]
    behind = [f"{number}:{int(port) + 500}" for number, _, port in ports]
    relays = [Relay(h["address"], b) for h, b in zip(fleet.hosts, behind, strict=True)]
    fleet.host_settings = {n: {"peer_listen_address": b} for n, b in enumerate(behind)}

    def set_partition(partitioned):
        relays[0].block_hosts({"h2", "h3"} if partitioned else set())
        for relay in relays[1:]:
            relay.block_hosts({"h1"} if partitioned else set())

    with fleet:
        yield fleet, set_partition
    for relay in relays:
        relay.stop()


class TestNetworkPartition:
    def test_both_sides_answer_and_agree_again_after_it(self, partitionable):
        fleet, set_partition = partitionable
        before = [owned_services(fleet, index) for index in range(3)]
        with Load(fleet, ["desk/1"], callers=1) as load:
            set_partition(True)
            wait_for_state(fleet, "h1", "dead", [1, 2])
            wait_for_state(fleet, "h2", "dead", [0])
            wait_for_state(fleet, "h3", "dead", [0])
            assert owned_services(fleet, 0) == set().union(*before)
            set_partition(False)
            fleet.wait_until(fleet.is_ready, SETTLE_SECONDS, "the hosts did not reconnect")
            for host in ("h1", "h2", "h3"):
                wait_for_state(fleet, host, "alive", [0, 1, 2])
        assert [owned_services(fleet, index) for index in range(3)] == before
        assert set(load.count_kinds()) == {"whole"}
