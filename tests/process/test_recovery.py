"""Hosts that are killed, paused, replaced or stopped while they serve requests."""

import signal
import time
from threading import Thread

import pytest

from tests.standins.fleet import Fleet, call
from tests.standins.load import Load
from tests.texts import SMALL

SETTLE_SECONDS = 15.0
"""The longest time until the hosts agree again after a fault, or until one has stopped."""


@pytest.fixture(scope="class")
def fleet():
    with Fleet(SMALL, behaviour={"service_ms": 5.0}) as started:
        yield started


def peer_status(fleet, index, host):
    """Return the entry of ``host`` in the status of the host with index ``index``."""
    peers = {peer["host"]: peer for peer in fleet.status(index)["peers"]}
    return peers.get(host, {"state": "unknown", "incarnation": 0})


def owned_services(fleet, index):
    """Return the services that the host with index ``index`` owns, according to its own status."""
    return set(fleet.status(index)["owned"])


def wait_for_state(fleet, host, state, observers):
    """Wait until all ``observers``, indexes of hosts, report that ``host`` is in ``state``."""
    fleet.wait_until(
        lambda: all(peer_status(fleet, index, host)["state"] == state for index in observers),
        SETTLE_SECONDS,
        f"{host} is not {state} at every observer",
    )


class TestHostLoss:
    def test_services_move_to_others_and_return_with_the_next_incarnation(self, fleet):
        before = [owned_services(fleet, index) for index in range(3)]
        lost = max(range(3), key=lambda index: len(before[index]))
        others = [index for index in range(3) if index != lost]
        host = fleet.hosts[lost]["host"]
        incarnation = peer_status(fleet, others[0], host)["incarnation"]
        fleet.kill(host)
        assert all(fleet.search(index, ["desk/1"]).body["whole"] for index in others)
        wait_for_state(fleet, host, "dead", others)
        assert set().union(*(owned_services(fleet, index) for index in others)) == set().union(
            *before
        )
        fleet.start_host(lost)
        fleet.wait_until(fleet.is_ready, SETTLE_SECONDS, "the host did not come back")
        wait_for_state(fleet, host, "alive", others)
        assert peer_status(fleet, others[0], host)["incarnation"] > incarnation
        assert [owned_services(fleet, index) for index in range(3)] == before

    def test_searches_stay_whole_while_a_host_is_paused_and_it_refutes_suspicion(self, fleet):
        host = fleet.hosts[0]["host"]
        fleet.signal(host, signal.SIGSTOP)
        end = time.monotonic() + 2.0
        while time.monotonic() < end:
            assert fleet.search(1, ["desk/1"]).body["whole"]
            assert fleet.search(2, ["desk/1"]).body["whole"]
        fleet.signal(host, signal.SIGCONT)
        wait_for_state(fleet, host, "alive", [0, 1, 2])
        assert "paused" in {event["kind"] for event in events(fleet, 0)["events"]}
        assert {peer_status(fleet, 0, h["host"])["state"] for h in fleet.hosts} == {"alive"}


class TestReplacement:
    def test_replacing_all_hosts_in_turn_interrupts_no_request(self, fleet):
        with Load(fleet, ["desk/1"]) as load:
            for index, host in enumerate(fleet.hosts):
                time.sleep(0.5)
                process = fleet.processes[host["host"]]
                fleet.signal(host["host"], signal.SIGTERM)
                assert process.wait(SETTLE_SECONDS) == 0, fleet.read_log(host["host"])
                fleet.start_host(index)
                fleet.wait_until(fleet.is_ready, SETTLE_SECONDS, "the host did not come back")
        kinds = load.count_kinds()
        assert kinds.pop("whole") > 100
        assert set(kinds) <= {"shutting_down", "unreachable"}, (kinds, load.missing_services())

    @pytest.mark.parametrize("stopped", ["minter", "owner"])
    def test_booking_in_progress_at_shutdown_finishes(self, fleet, stopped):
        fleet.set_behaviour(["oa", "ob"], service_ms=1800.0, spread="fixed")
        owner = next(index for index in range(3) if "orders" in owned_services(fleet, index))
        minter = (owner + 1) % 3
        index = {"minter": minter, "owner": owner}[stopped]
        process = fleet.processes[fleet.hosts[index]["host"]]
        ticket = fleet.mint(minter)
        before = count_started(fleet)
        replies = []
        thread = Thread(
            target=lambda: replies.append(fleet.book(minter, ticket, "orders", remaining_ms=8000.0))
        )
        thread.start()
        fleet.wait_until(
            lambda: count_started(fleet) > before, SETTLE_SECONDS, "the booking did not start"
        )
        process.send_signal(signal.SIGTERM)
        thread.join()
        assert replies[0].body["outcome"] == "ran"
        assert process.wait(SETTLE_SECONDS) == 0
        fleet.start_host(index)
        fleet.wait_until(fleet.is_ready, SETTLE_SECONDS, "the host did not come back")


def count_started(fleet):
    """Return how many bookings the searchers of the booking service have started."""
    counts = [s["counts"] for s in fleet.searcher_reports().values() if s["service"] == "orders"]
    return sum(count.get("started", 0) for count in counts)


def events(fleet, index):
    return call(fleet.caller_addresses[index], "GET", "/v1/events").body
