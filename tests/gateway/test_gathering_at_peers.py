"""Queries over many shards handed to another gateway."""

from contextlib import contextmanager

from masticgate import Address, Millis, SearcherId, ServiceId
from masticgate.process.gateway._catalogue import PEER_SERVICE
from masticgate.process.gateway._peers import GatherAtPeers
from masticgate.version.gateway import Shards

from .fakes import make_route
from .loopback import HangingSearcher, RawCaller, StandInSearcher, head_value, reply_to
from .loopback import running_gateway as running
from .soak import GATEWAYS, gateway_address

SHARDS = Shards((ServiceId("s1"), ServiceId("s2")), 2, 0.5)
SEED = Address(f"{gateway_address(GATEWAYS + 1)}:18106")


def record(number: int) -> bytes:
    return number.to_bytes(16, "big")


def shards() -> dict[str, list[StandInSearcher]]:
    return {
        "s1": [StandInSearcher(lambda head: reply_to(head, record(3) + record(1)))],
        "s2": [StandInSearcher(lambda head: reply_to(head, record(2)))],
    }


@contextmanager
def pair(searchers, *, seed_version: int = 1):
    """Yield an entry that hands its queries to a seed, and the seed."""
    routes = [make_route(SHARDS)]
    seed_settings = {"peers": SEED, "seeds": (SEED,)}
    with (
        running(routes, searchers, version=seed_version, **seed_settings) as seed,
        running(routes, searchers, seeds=(SEED,)) as entry,
    ):
        entry.peers.update_gathering = lambda: None
        for _ in range(200):
            if entry.peers.relay_domains:
                break
            entry.ended.wait(0.02)
        entry.peers.gathering = GatherAtPeers()
        yield entry, seed


def gathered(gateway) -> int:
    """Return how many queries a gateway answered whole or in part, as entry or gatherer."""
    with gateway.metrics.lock:
        return sum(sum(h.counts) for h in gateway.metrics.histograms.values())


class TestGatheringAtPeers:
    def test_the_seed_gathers_and_the_answer_is_the_entrys_own(self):
        searchers = shards()
        with pair(searchers) as (entry, seed):
            status, head, body = RawCaller(entry).get().read()
            assert (status, body) == (200, record(3) + record(2))
            assert head_value(head, b"x-stamps") == b"s, s"
            assert head_value(head, b"x-missing") == b"0"
            assert b"x-gateway" not in head.lower()
            assert gathered(seed) == 1
        sent = searchers["s1"][0].heads[-1]
        assert head_value(sent, b"x-expected") == b"s1-0"
        assert b"x-gateway" not in sent.lower()

    def test_a_seed_that_stops_is_not_waited_for(self):
        with pair(shards()) as (entry, seed):
            seed.stopping.set()
            assert RawCaller(entry).get().read()[0] == 200
            assert gathered(seed) == 0
            assert entry.metrics.counters["gathered_without_peer"] == 1

    def test_a_seed_that_is_gone_is_not_waited_for(self):
        with pair(shards()) as (entry, seed):
            for task in [t for t in entry.fleet.tasks if t.searcher.startswith(PEER_SERVICE)]:
                task.close()
            for listener in seed.listeners:
                listener.stop()
            assert RawCaller(entry).get().read()[0] == 200
            assert entry.metrics.counters["gathered_without_peer"] == 1

    def test_a_seed_with_another_version_does_not_answer_by_it(self):
        with pair(shards(), seed_version=7) as (entry, seed):
            assert RawCaller(entry).get().read()[0] == 200
            assert gathered(seed) == 0

    def test_a_query_whose_seed_is_lost_on_the_way_is_gathered_again_within_the_budget(self):
        searchers = {"s1": [HangingSearcher()], "s2": [HangingSearcher()]}
        with pair(searchers) as (entry, _):
            entry.fleet.budgets.window(PEER_SERVICE).slack = 1.0
            caller = RawCaller(entry).get()
            assert searchers["s1"][0].request_received.wait(5)
            asked = [t for t in entry.fleet.tasks if t.searcher.startswith(PEER_SERVICE)]
            for task in asked:
                task.close()
            assert caller.read()[0] == 504
            assert entry.metrics.counters["gathered_again"] == 1

    def test_a_lost_query_that_finds_no_searcher_is_not_said_not_to_have_run(self):
        searchers = {"s1": [HangingSearcher()], "s2": [HangingSearcher()]}
        with pair(searchers) as (entry, _):
            entry.fleet.budgets.window(PEER_SERVICE).slack = 1.0
            caller = RawCaller(entry).get()
            assert searchers["s1"][0].request_received.wait(5)
            for name in ("s1-0", "s2-0"):
                entry.fleet.remove_searcher(SearcherId(name), "test", Millis(0.0))
            for task in [t for t in entry.fleet.tasks if t.searcher.startswith(PEER_SERVICE)]:
                task.close()
            assert caller.read()[0] == 502

    def test_a_caller_that_leaves_cancels_the_searchers_of_the_seed(self):
        searcher = HangingSearcher()
        searchers = {"s1": [searcher], "s2": [HangingSearcher()]}
        with pair(searchers) as (entry, _):
            caller = RawCaller(entry).get()
            assert searcher.request_received.wait(5)
            caller.close()
            assert searcher.connection_closed.wait(0.4)
