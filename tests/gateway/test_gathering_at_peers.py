"""Tests for queries over many shards that are forwarded to a gatherer, which is another gateway.

The gatherer of these tests is a seed: a gateway whose address is in the settings of all gateways.
"""

from contextlib import contextmanager
from threading import Event

from masticgate import Address, Millis, SearcherId, ServiceId
from masticgate.process.gateway._naming import GatherAtPeers
from masticgate.process.gateway.startup import NAMING_LIMIT
from masticgate.version.gateway import PEER_SERVICE, Shards

from .fakes import make_route
from .loopback import HangingSearcher, RawCaller, StandInSearcher, head_value, reply_to
from .loopback import running_gateway as running
from .soak import GATEWAYS, gateway_address

SHARDS = Shards((ServiceId("s1"), ServiceId("s2")), 2, 0.5)
SEED = Address(f"{gateway_address(GATEWAYS + 1)}:18106")
"""The peer address of the seed, which no gateway of a soak run uses."""


def record(number: int) -> bytes:
    """Return a record of a searcher's answer; a merged answer has the two greatest."""
    return number.to_bytes(16, "big")


def make_searchers() -> dict[str, list[StandInSearcher]]:
    return {
        "s1": [StandInSearcher(lambda head: reply_to(head, record(3) + record(1)))],
        "s2": [StandInSearcher(lambda head: reply_to(head, record(2)))],
    }


@contextmanager
def running_pair(searchers, *, seed_version: int = 1, seed_target: Shards = SHARDS):
    """Run an entry gateway and the seed to which it forwards its queries, and yield both.

    The seed names itself as the only gatherer. ``seed_version`` and ``seed_target`` are the version
    of the seed's configuration and the shards in it; the entry gateway has version 1 and SHARDS.
    """
    routes = [make_route(SHARDS)]
    seed_settings = {"peer_address": SEED, "seeds": (SEED,)}
    with (
        running(
            [make_route(seed_target)], searchers, version=seed_version, **seed_settings
        ) as seed,
        running(routes, searchers, seeds=(SEED,)) as entry,
    ):
        seed.peers.naming_rule.started_at -= NAMING_LIMIT
        deadline = entry.clock.now() + 10_000.0
        while entry.peers.gathering != GatherAtPeers():
            assert entry.clock.now() < deadline, "the seed names no gatherer"
            entry.ended.wait(0.02)
        yield entry, seed


def request_count(gateway) -> int:
    """Return how many requests a gateway has served, as entry gateway or as gatherer."""
    with gateway.metrics.lock:
        return sum(sum(h.counts) for h in gateway.metrics.histograms.values())


class TestGatheringAtPeers:
    def test_seed_gathers_and_entry_gateway_returns_answer_as_its_own(self):
        searchers = make_searchers()
        with running_pair(searchers) as (entry, seed):
            status, head, body = RawCaller(entry).get().read()
            assert (status, body) == (200, record(3) + record(2))
            assert head_value(head, b"x-stamps") == b"s, s"
            assert head_value(head, b"x-missing") == b"0"
            assert b"x-gateway" not in head.lower()
            assert request_count(seed) == 1
        sent = searchers["s1"][0].requests[-1]
        assert head_value(sent, b"x-expected") == b"s1-0"
        assert b"x-gateway" not in sent.lower()

    def test_gathers_itself_if_seed_is_stopping(self):
        with running_pair(make_searchers()) as (entry, seed):
            seed.stopping.set()
            assert RawCaller(entry).get().read()[0] == 200
            assert request_count(seed) == 0
            assert entry.metrics.counters["gathered_without_peer"] == 1

    def test_gathers_itself_if_seed_is_unreachable(self):
        with running_pair(make_searchers()) as (entry, seed):
            for task in [t for t in entry.fleet.tasks if t.searcher.startswith(PEER_SERVICE)]:
                task.close()
            for listener in seed.listeners:
                listener.stop()
            assert RawCaller(entry).get().read()[0] == 200
            assert entry.metrics.counters["gathered_without_peer"] == 1

    def test_seed_with_other_configuration_gathers_shards_of_the_query(self):
        """The seed knows other shards of the route, and must not answer for these."""
        other = Shards((ServiceId("s3"), ServiceId("s4"), ServiceId("s5")), 1, 1.0)
        searchers = make_searchers()
        with running_pair(searchers, seed_target=other, seed_version=7) as (entry, seed):
            status, head, body = RawCaller(entry).get().read()
            assert (status, body) == (200, record(3) + record(2))
            assert head_value(head, b"x-stamps") == b"s, s"
            assert request_count(seed) == 1

    def test_gathers_query_again_within_budget_if_seed_is_lost(self):
        searchers = {"s1": [HangingSearcher()], "s2": [HangingSearcher()]}
        with running_pair(searchers) as (entry, _):
            entry.fleet.budgets.window(PEER_SERVICE).slack = 1.0
            caller = RawCaller(entry).get()
            assert searchers["s1"][0].request_received.wait(5)
            peer_tasks = [t for t in entry.fleet.tasks if t.searcher.startswith(PEER_SERVICE)]
            for task in peer_tasks:
                task.close()
            assert caller.read()[0] == 504
            assert entry.metrics.counters["gathered_again"] == 1

    def test_query_of_lost_seed_is_not_reported_as_not_run_if_no_searcher_is_left(self):
        searchers = {"s1": [HangingSearcher()], "s2": [HangingSearcher()]}
        with running_pair(searchers) as (entry, _):
            entry.fleet.budgets.window(PEER_SERVICE).slack = 1.0
            caller = RawCaller(entry).get()
            assert searchers["s1"][0].request_received.wait(5)
            for name in ("s1-0", "s2-0"):
                entry.fleet.remove_searcher(SearcherId(name), "test", Millis(0.0))
            for task in [t for t in entry.fleet.tasks if t.searcher.startswith(PEER_SERVICE)]:
                task.close()
            assert caller.read()[0] == 502

    def test_work_of_gatherer_that_is_silent_for_a_while_is_neither_given_up_nor_repeated(self):
        """The seed stops naming the gatherer, as after missed heartbeats, while it gathers."""
        begun, go_on = Event(), Event()

        def answer(head):
            begun.set()
            go_on.wait(5)
            return reply_to(head, record(3))

        searchers = make_searchers() | {"s1": [StandInSearcher(answer)]}
        with running_pair(searchers) as (entry, _):
            caller = RawCaller(entry).get()
            assert begun.wait(5)
            entry.fleet.remove_searcher(SearcherId(f"{PEER_SERVICE}/{SEED}"), "not named by a seed")
            entry.fleet.maintain()
            go_on.set()
            assert caller.read()[0] == 200
        assert [len(group[0].requests) for group in searchers.values()] == [1, 1]

    def test_caller_disconnect_cancels_calls_of_seed(self):
        searcher = HangingSearcher()
        searchers = {"s1": [searcher], "s2": [HangingSearcher()]}
        with running_pair(searchers) as (entry, _):
            caller = RawCaller(entry).get()
            assert searcher.request_received.wait(5)
            caller.close()
            assert searcher.connection_closed.wait(0.4)
