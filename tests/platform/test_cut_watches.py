"""Tests for a store that cuts the connection of a watch that waits, and serves everything else."""

from threading import Condition, Event, Thread

import pytest

from masticgate import Millis, SearcherId, SystemClock
from masticgate._ids import HostId
from masticgate.platform._store import PlatformStore
from masticgate.process.gateway._follower import Follower
from masticgate.process.gateway._log import EventLog
from masticgate.process.gateway._metrics import Metrics
from masticgate.process.gateway._replica import ReplicaState
from tests.gateway.fakes import make_fleet
from tests.gateway.loopback import StandInSearcher

from .test_items import CONFIG, ENTRY
from .test_store import http, query_of, stored

LEAVING = SearcherId("a")
DRAIN = Millis(3_000.0)
"""A searcher that left must get no requests after this time; it is that of ``make_settings``."""


class CuttingStore:
    """A store of two searchers that cuts each watch which has waited for ``cut_after_s``."""

    def __init__(self, cut_after_s: float) -> None:
        self.cut_after_s = cut_after_s
        self.changed = Condition()
        self.events: list[dict] = []
        self.cuts = 0
        self.server = StandInSearcher(self.answer)

    def answer(self, head):
        query = query_of(head)
        if b"kv-watch" not in head.split(b" ")[1]:
            listed = [stored(f"servers/{name}", ENTRY) for name in ("a", "b")]
            return http(200, {"items": [stored("op/config", CONFIG), *listed], "currentRev": 7})
        with self.changed:
            wait_s = int(query["waitMs"]) / 1_000
            found = self.changed.wait_for(
                lambda: self.pending(query), min(wait_s, self.cut_after_s)
            )
            if not found and wait_s > self.cut_after_s:
                self.cuts += 1
                return None
            return http(200, {"events": self.pending(query), "currentRev": 7 + len(self.events)})

    def pending(self, query):
        return [event for event in self.events if event["revision"] > int(query["after"])]

    def unlist(self, searcher: str) -> None:
        with self.changed:
            revision = 8 + len(self.events)
            event = {"key": f"servers/{searcher}", "revision": revision, "removed": True}
            self.events.append(event)
            self.changed.notify_all()

    def wait_for_cuts(self, number: int) -> None:
        while self.cuts < number:
            Event().wait(0.02)


@pytest.fixture
def follow():
    """Return a function that follows a store in a task of its own, until the test ends."""
    followers = []

    def start(store: CuttingStore) -> Follower:
        clock = SystemClock()
        fleet = make_fleet(clock)
        platform = PlatformStore(store.server.address, clock)
        follower = Follower(platform, fleet, clock, EventLog(HostId("g"), clock), Metrics())
        followers.append((follower, store))
        Thread(target=follower.run, daemon=True).start()
        while len(fleet.replicas) < 2:
            Event().wait(0.01)
        return follower

    yield start
    for follower, store in followers:
        follower.stop()
        store.server.listener.close()


class TestCutWatches:
    def test_searcher_that_left_is_given_up_within_drain_time(self, follow):
        """Guard against a searcher in use for as long as watches are cut (DRAIN)."""
        store = CuttingStore(cut_after_s=0.15)
        follower = follow(store)
        store.wait_for_cuts(2)
        replica = follower.fleet.replicas[LEAVING]
        store.unlist(LEAVING)
        left_at = follower.clock.now()
        while replica.state is ReplicaState.ACTIVE and follower.clock.now() < left_at + DRAIN:
            Event().wait(0.02)
        assert replica.state in (ReplicaState.LEAVING, ReplicaState.GONE)

    def test_catalogue_counts_as_current(self, follow):
        """Guard against relays that are given up although the platform answers (2.6 s)."""
        store = CuttingStore(cut_after_s=0.15)
        follower = follow(store)
        started_at = follower.clock.now()
        while follower.clock.now() < started_at + 1_500.0:
            assert follower.age() < 1_000.0
            Event().wait(0.05)
        assert store.cuts > 2
        assert follower.metrics.counters["platform_failures"] == 0
