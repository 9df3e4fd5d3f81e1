"""An owner of services, its searchers and their limits under faults, with real processes.

The owner of a service queues its work and holds the connections to its searchers. The configuration
text limits the connections that all hosts together may open to a searcher.
"""

import signal
import time
from concurrent.futures import ThreadPoolExecutor
from threading import Event

import pytest

from tests.standins.fleet import Fleet
from tests.texts import SMALL


class Load:
    """Sends searches to some hosts of a fleet; each task runs one search after another."""

    def __init__(self, fleet, hosts=(0, 1, 2), tasks=12):
        self.fleet = fleet
        self.hosts = hosts
        self.stopping = Event()
        self.replies = []
        self.executor = ThreadPoolExecutor(tasks)
        self.task_count = tasks

    def __enter__(self):
        for index in range(self.task_count):
            self.executor.submit(self.run, index)
        return self

    def __exit__(self, *_):
        self.stopping.set()
        self.executor.shutdown()

    def run(self, index):
        while not self.stopping.is_set():
            try:
                reply = self.fleet.search(
                    self.hosts[index % len(self.hosts)], ["desk/1"], remaining_ms=300.0
                )
                self.replies.append(reply.body)
            except OSError:
                self.stopping.wait(0.05)


FEW_CONNECTIONS = SMALL.replace('"connections": 25', '"connections": 6')


@pytest.fixture(scope="class")
def fleet():
    with Fleet(FEW_CONNECTIONS, behaviour={"service_ms": 10.0}) as started:
        yield started


def find_owner(fleet, service):
    return next(i for i in range(3) if service in fleet.status(i)["owned"])


class TestSearcherLimits:
    def test_hold_over_all_hosts_while_owner_is_paused_killed_and_replaced(self, fleet):
        """Guard against more connections to a searcher than its limit, summed over all hosts.

        Several hosts may act as the owner of a service at once, for instance when the owner is
        paused or lost, when it comes back, or when the configuration changes.
        """
        owner = find_owner(fleet, "desk/1")
        name = fleet.hosts[owner]["host"]
        with Load(fleet):
            time.sleep(1.0)
            fleet.signal(name, signal.SIGSTOP)
            time.sleep(1.5)
            fleet.signal(name, signal.SIGCONT)
            fleet.publish_text(
                FEW_CONNECTIONS.replace('"format": 1,', '"format": 1, "floors": {"bulk": 0.2},')
            )
            time.sleep(1.0)
            fleet.kill(name)
            time.sleep(1.0)
            fleet.start_host(owner)
            fleet.wait_until(fleet.is_ready, 15.0, "the host did not come back")
            time.sleep(0.5)
        limits = {
            searcher.id: searcher.connections
            for service in fleet.configuration.services.values()
            for searcher in service.searchers
        }
        most_open = {
            n: s["counts"].get("most_open", 0) for n, s in fleet.searcher_reports().items()
        }
        assert most_open["d1a"] and most_open["d1b"]
        assert all(most_open[searcher] <= limits[searcher] for searcher in limits), most_open


class TestShareOfOneOwner:
    def test_holds_while_text_changes_under_load(self):
        """Guard against connections beyond the owner's share when a new text changes the pool.

        The hosts share the connections that a searcher allows; a host that is alone may open all 3.
        """
        text = SMALL.replace('"connections": 25', '"connections": 3')
        with Fleet(text, hosts=1, behaviour={"service_ms": 30.0}) as fleet, Load(fleet, [0]):
            for floor in (0.1, 0.2, 0.3):
                floors = f'"format": 1, "floors": {{"bulk": {floor}}},'
                revision = fleet.publish_text(text.replace('"format": 1,', floors))
                fleet.wait_until(
                    lambda r=revision: fleet.status(0)["revision"] == r, 10.0, "no new revision"
                )
                time.sleep(0.3)
            most_open = {
                n: s["counts"].get("most_open", 0) for n, s in fleet.searcher_reports().items()
            }
        assert (most_open["d1a"], most_open["d1b"]) == (3, 3)


class TestRestartedSearcher:
    def test_gets_no_work_while_draining_and_work_again_as_new_incarnation(self, fleet):
        def completed_count():
            return fleet.searcher_reports()["d1a"]["counts"].get("completed", 0)

        with Load(fleet, [find_owner(fleet, "desk/1")], tasks=3):
            fleet.set_behaviour(["d1a"], draining=True, incarnation="1")
            time.sleep(0.5)
            fleet.set_behaviour(["d1a"], draining=False)
            before = completed_count()
            time.sleep(1.0)
            assert completed_count() == before
            fleet.set_behaviour(["d1a"], incarnation="2")
            fleet.wait_until(lambda: completed_count() > before, 20.0, "d1a got no work again")


class TestBookingOnClosedConnection:
    def test_is_unknown_and_ran_once_if_searcher_closes_connection_without_response(self, fleet):
        """Guard against sending a booking again if its connection ends without a response.

        On a reused connection, an HTTP client may take that as an idle connection that timed out,
        and send the request again, although the searcher has run it.
        """
        first = fleet.book(0, fleet.mint(0), "orders")
        assert first.body["outcome"] == "ran"
        fleet.set_behaviour(["oa", "ob"], close_after_booking=True)
        ticket = fleet.mint(0)
        reply = fleet.book(0, ticket, "orders")
        assert reply.body["outcome"] == "unknown"
        ran = [b for s in fleet.searcher_reports().values() for b in s["bookings"]]
        assert [b["ticket"] for b in ran].count(ticket) == 1
