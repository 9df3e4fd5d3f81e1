"""Tests for a starting gateway that cannot serve everything yet: what it serves and refuses.

The load: all hosts lose power and start at once, while their callers go on.
"""

from contextlib import contextmanager
from threading import Event

import pytest

from masticgate import ManualClock, Millis, ServiceId
from masticgate._ids import FailureDomainId
from masticgate.process.gateway._metrics import Metrics
from masticgate.process.gateway._planner import plan_whole
from masticgate.process.gateway._service import GatewayView
from masticgate.process.gateway._startup_progress import (
    NO_GATHERER_RETRY_AFTER,
    StartupProgress,
)
from masticgate.process.gateway.startup import (
    NAMING_LIMIT,
    STARTUP_TIME,
    StartupStep,
    StartupTimes,
)
from masticgate.process.gateway.startup._progress import (
    MAX_RETRY_AFTER,
    MIN_RETRY_AFTER,
    RETRY_SPREAD,
    USUAL_TIMES,
)
from masticgate.version.gateway import OneService, Shards

from .fakes import make_route
from .loopback import FixedSource, RawCaller, StandInSearcher, head_value, reply_to, running_gateway
from .test_gathering_at_peers import SEED, SHARDS, make_searchers, record, request_count

ORDERS = make_route(OneService(ServiceId("orders")), prefix="/b/")
LONGEST_RETRY_AFTER_S = MAX_RETRY_AFTER / 1_000.0 * (1.0 + RETRY_SPREAD)


class HeldSource(FixedSource):
    """A source that gives the configuration at once, and the listings when ``released``."""

    def __init__(self, table, entries) -> None:
        super().__init__(table, entries)
        self.released = Event()

    def read(self):
        self.released.wait(10)
        return super().read()


@contextmanager
def gateway_without_listings(routes, searchers, **settings):
    """Run a gateway that has its configuration only, until its source is released."""
    with running_gateway(routes, searchers, make_source=HeldSource, **settings) as gateway:
        try:
            yield gateway
        finally:
            gateway.platform.released.set()


def wait_until(condition) -> None:
    pause = Event()
    for _ in range(500):
        if condition():
            return
        pause.wait(0.02)
    raise AssertionError("the condition does not hold within 10 s")


class TestWithoutListings:
    def test_single_request_is_refused_as_not_run_until_the_listings_are_read(self):
        """Guard against requests that wait for a searcher that the gateway does not know."""
        searchers = {"orders": [StandInSearcher(reply_to)]}
        with gateway_without_listings([ORDERS], searchers) as gateway:
            status, head, _ = RawCaller(gateway).get("/b/x").read()
            assert status == 503
            assert 0.0 < float(head_value(head, b"retry-after")) <= LONGEST_RETRY_AFTER_S
            assert not searchers["orders"][0].requests
            gateway.platform.released.set()
            wait_until(lambda: gateway.peers.startup.has_reached(StartupStep.LISTINGS))
            assert RawCaller(gateway).get("/b/x").read()[0] == 200

    def test_query_is_forwarded_whole_to_a_gatherer(self):
        """Guard against queries that are refused although gatherers are ready for them."""
        searchers = make_searchers()
        routes = [make_route(SHARDS)]
        with running_gateway(routes, searchers, peer_address=SEED, seeds=(SEED,)) as seed:
            seed.peers.naming_rule.started_at -= NAMING_LIMIT
            with gateway_without_listings(routes, {}, seeds=(SEED,)) as entry:
                wait_until(lambda: entry.peers.names.gatherers)
                status, head, body = RawCaller(entry).get().read()
                assert (status, body) == (200, record(3) + record(2))
                assert head_value(head, b"x-missing") == b"0"
                assert request_count(seed) == 1
                assert not entry.peers.startup.has_reached(StartupStep.LISTINGS)

    def test_query_is_refused_if_its_gatherer_refuses_it(self):
        searchers = make_searchers()
        routes = [make_route(SHARDS)]
        with running_gateway(routes, searchers, peer_address=SEED, seeds=(SEED,)) as seed:
            seed.peers.naming_rule.started_at -= NAMING_LIMIT
            with gateway_without_listings(routes, {}, seeds=(SEED,)) as entry:
                wait_until(lambda: entry.peers.names.gatherers)
                seed.stopping.set()
                status, head, _ = RawCaller(entry).get().read()
                assert status == 503 and head_value(head, b"retry-after")

    def test_query_is_refused_at_once_if_no_gatherer_is_known(self):
        with gateway_without_listings([make_route(SHARDS)], make_searchers()) as gateway:
            status, head, _ = RawCaller(gateway).get().read()
            assert status == 503
            assert 0.0 < float(head_value(head, b"retry-after")) <= LONGEST_RETRY_AFTER_S

    def test_gateway_is_ready_but_gathers_nothing_for_others(self):
        """Guard against a gatherer that is named and knows none of the shards."""
        with gateway_without_listings(
            [make_route(SHARDS)], make_searchers(), peer_address=SEED
        ) as gateway:
            assert gateway._is_ready()
            assert not gateway.peers.is_ready()
            assert gateway.peers.make_heartbeat(SEED, Millis(500.0)).member is None
            gateway.platform.released.set()
            wait_until(gateway.peers.is_ready)
            assert gateway.peers.make_heartbeat(SEED, Millis(500.0)).member is not None

    def test_configuration_alone_is_not_relayed(self):
        """Guard against a relay that serves a catalogue without listings as the whole of it."""
        with gateway_without_listings([make_route(SHARDS)], make_searchers()) as gateway:
            assert gateway.source.platform_age() == float("inf")


class TestWithoutConfiguration:
    def test_refuses_at_once_and_says_when_to_return(self):
        """Guard against callers that all return after the same 300 ms."""
        with running_gateway([ORDERS], {}) as gateway:
            gateway.service.view = lambda: GatewayView(None, Millis(0.0))
            waits = set()
            for _ in range(8):
                status, head, _ = RawCaller(gateway).get("/b/x").read()
                assert status == 503
                waits.add(float(head_value(head, b"retry-after")))
            assert len(waits) > 1 and max(waits) <= LONGEST_RETRY_AFTER_S


class TestPlanWhole:
    def test_all_shards_are_one_part_and_queries_are_spread_over_the_domains(self):
        domains = {FailureDomainId("z1"), FailureDomainId("z2")}
        route = make_route(Shards(tuple(ServiceId(f"s{n}") for n in range(90)), 3, 0.95))
        parts = [plan_whole(route, 90, domains, f"q{number}") for number in range(40)]
        assert {part.positions for part in parts} == {tuple(range(90))}
        assert {part.least for part in parts} == {route.target.min_answers}
        assert {part.domain for part in parts} == domains


class TestRetryAfter:
    @pytest.mark.parametrize("step", list(USUAL_TIMES))
    def test_is_the_time_until_the_step_is_usually_reached(self, step):
        times = StartupTimes(Millis(1_000.0))
        early = Millis(USUAL_TIMES[step] / 5.0)
        assert times.retry_after(step, Millis(1_000.0 + early), 0.0) == USUAL_TIMES[step] - early

    @pytest.mark.parametrize("step", list(USUAL_TIMES))
    def test_grows_while_the_step_is_overdue_up_to_a_bound(self, step):
        """Guard against callers that return ten times a second while the store is silent."""
        times = StartupTimes(Millis(0.0))
        waits = [
            times.retry_after(step, Millis(USUAL_TIMES[step] + overdue), 0.0)
            for overdue in (0.0, 500.0, 1_000.0, 60_000.0)
        ]
        assert waits == sorted(waits)
        assert (waits[0], waits[-1]) == (MIN_RETRY_AFTER, MAX_RETRY_AFTER)

    def test_is_spread(self):
        """Guard against refused callers that return together."""
        times = StartupTimes(Millis(0.0))
        step = StartupStep.CONFIGURATION
        earliest, latest = (times.retry_after(step, Millis(0.0), spread) for spread in (0.0, 1.0))
        assert latest == earliest * (1.0 + RETRY_SPREAD)

    def test_gateway_without_seeds_or_long_after_its_start_asks_for_a_short_wait(self):
        """Guard against a system of few gateways that sends callers away for up to 1.5 s."""
        clock = ManualClock()
        progress = StartupProgress(clock, Metrics())
        longest = NO_GATHERER_RETRY_AFTER * (1.0 + RETRY_SPREAD)
        assert progress.refuse_for_lack_of_gatherers(has_seeds=False).retry_after <= longest
        assert progress.refuse_for_lack_of_gatherers(has_seeds=True).retry_after > longest
        clock.advance(STARTUP_TIME)
        assert progress.refuse_for_lack_of_gatherers(has_seeds=True).retry_after <= longest

    def test_each_step_counts_once(self):
        times = StartupTimes(Millis(100.0))
        assert times.record(StartupStep.GATHERERS, Millis(700.0)) == 600.0
        assert times.record(StartupStep.GATHERERS, Millis(900.0)) is None
        assert times.reached == {StartupStep.GATHERERS: Millis(600.0)}

    def test_start_ends(self):
        times = StartupTimes(Millis(100.0))
        assert times.is_starting(Millis(99.0 + STARTUP_TIME))
        assert not times.is_starting(Millis(100.0 + STARTUP_TIME))
