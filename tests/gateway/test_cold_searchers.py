"""Tests for the bound on what cold searchers get from all gateways together."""

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from masticgate import Address, ManualClock, Millis, NotRun, SearcherId, ServiceId
from masticgate._ids import ConfigurationVersion, HostId
from masticgate.connection.gateway import decode_changes, encode_update, peer_header_names
from masticgate.connection.gateway._catalogue_codec import encode_change
from masticgate.connection.gateway._searcher_notices import (
    ColdReported,
    decode_cold,
    decode_notices,
)
from masticgate.platform._configuration import decode_configuration
from masticgate.platform._names import HEADER_NAMES as PLATFORM_HEADER_NAMES
from masticgate.platform._node_file import read_node_file
from masticgate.process.gateway import PublishedConfiguration, SearcherListed
from masticgate.process.gateway._catalogue_log import CatalogueLog
from masticgate.process.gateway._heartbeat_codec import decode_position
from masticgate.process.gateway._membership import HEARTBEAT_INTERVAL, Heartbeat, Membership
from masticgate.process.gateway.searchers import ColdBound, ColdGuard, ColdLimits, SenderKind
from masticgate.process.gateway.searchers._cold import (
    COUNT_MEMORY,
    SETTLING_TIME,
    VIEW_TTL,
    WINDOW,
)
from masticgate.request.gateway import Call, Lost, Refused, Repeat, run_forward
from masticgate.version.gateway import MAX_COLD_TIME, Limits, RouteTable, ServiceEntry, Shards
from tests.platform.test_items import CONFIG
from tests.platform.test_node_file import TEXT

from .fakes import HEADER_NAMES, answered, make_entry, make_fleet, make_request, make_route
from .loopback import RawCaller, StandInSearcher, reply_to, running_gateway
from .test_peers import OTHER_SEED, OWN, make_peers, record_reply, send_heartbeat

ORDERS = ServiceId("orders")
SEARCHER = SearcherId("a")
SEEDS = tuple(Address(f"10.0.0.{number}:1") for number in range(1, 5))
SECOND = 1_000.0
CONNECT_MS = 300.0


def limits_of(bound: ColdBound, seeds=SEEDS, *, gathered=()) -> ColdLimits:
    limits = ColdLimits(seeds)
    limits.apply(seeds, {ORDERS: bound}, gathered)
    return limits


def guard_of(limits: ColdLimits, searcher=SEARCHER) -> ColdGuard:
    return ColdGuard(searcher, ORDERS, limits, Millis(1e9))


def positions(count: int) -> list[str]:
    return [str(number) for number in range(count)]


def most_in_a_second(arrivals: list[float]) -> int:
    """Return the largest number of arrivals in any half-open second."""
    times = sorted(arrivals)
    return max((sum(t <= other < t + SECOND for other in times) for t in times), default=0)


def send_eagerly(guard: ColdGuard, start: float, end: float) -> list[float]:
    """Send at every moment at which ``guard`` permits it; return the times."""
    sent, now = [], start
    while now < end:
        wait = guard.wait(Millis(now))
        if wait <= 0:
            guard.record_sent(Millis(now))
            sent.append(now)
            now += 1.0
        else:
            now += min(wait, 100.0)
    return sent


bounds = st.builds(
    ColdBound,
    st.floats(1.0, 60.0),
    st.floats(1.0, 2.0),
    st.floats(4.0, 10.0),
)


@st.composite
def gateway_views(draw):
    """Return a bound and gateways, each with its position at the seeds that it hears.

    A seed counts at least the gateways that hear it; some hear no seed, some all. A gateway may
    take the number for larger than it is, as after others have left.
    """
    seeds = SEEDS[: draw(st.integers(1, 4))]
    count = draw(st.integers(1, 40))
    heard = [draw(st.sets(st.sampled_from(seeds))) for _ in range(count)]
    gateways = [{} for _ in range(count)]
    for seed in seeds:
        hearing = [number for number in range(count) if seed in heard[number]]
        for position, number in enumerate(hearing):
            gateways[number][seed] = (position, len(hearing) + draw(st.integers(0, 3)))
    return draw(bounds), seeds, gateways


class TestBoundOfAllGateways:
    @settings(deadline=None, max_examples=60)
    @given(gateway_views(), st.randoms(use_true_random=False), st.sampled_from(SenderKind))
    def test_holds_in_any_second_whatever_seeds_each_gateway_hears(self, views, random, kind):
        """Guard against a cold searcher that crashes since gateways that disagree add up.

        All send as early as they may, and requests wait up to 300 ms for their connection.
        """
        bound, seeds, gateways = views
        gathered = (ORDERS,) if kind is SenderKind.GATHERERS else ()
        arrivals = []
        for heard in gateways:
            limits = limits_of(bound, seeds, gathered=gathered)
            for seed, (position, number) in heard.items():
                limits.record(seed, kind, str(position), positions(number), Millis(0.0))
            start = SETTLING_TIME + random.uniform(0.0, 100.0)
            sent = send_eagerly(guard_of(limits), start, VIEW_TTL)
            arrivals += [at + random.uniform(0.0, CONNECT_MS) for at in sent]
        assert most_in_a_second(arrivals) <= bound.per_s * bound.over + bound.slack

    @settings(deadline=None, max_examples=30)
    @given(bounds, st.integers(1, 60), st.integers(1, 4))
    def test_bound_is_used_if_all_gateways_hear_all_seeds(self, bound, count, seed_count):
        """Guard against a bound that holds since hardly anything is ever sent."""
        seeds = SEEDS[:seed_count]
        total = 0
        for position in range(count):
            limits = limits_of(bound, seeds)
            for seed in seeds:
                limits.record(seed, SenderKind.ALL, str(position), positions(count), Millis(0.0))
            total += limits.allowance(SEARCHER, ORDERS, Millis(1.0)).requests
        assert total >= bound.budget / 2

    def test_share_below_one_request_a_second_is_spaced_further_apart(self):
        bound = ColdBound(0.25, 1.5, 5.0)
        limits = limits_of(bound, SEEDS[:1])
        limits.record(SEEDS[0], SenderKind.ALL, "0", positions(1), Millis(0.0))
        sent = send_eagerly(guard_of(limits), 0.0, VIEW_TTL)
        assert len(sent) == 1
        assert limits.allowance(SEARCHER, ORDERS, Millis(0.0)).window == pytest.approx(4_000.0)

    def test_gateways_send_to_different_searchers(self):
        """Guard against a few gateways that have the shares in all cold searchers."""
        bound, users = ColdBound(4.0, 1.5, 5.0), set()
        for position in range(40):
            limits = limits_of(bound)
            for seed in SEEDS:
                limits.record(seed, SenderKind.ALL, str(position), positions(40), Millis(0.0))
            for number in range(30):
                if limits.allowance(SearcherId(f"s{number}"), ORDERS, Millis(0.0)).requests:
                    users.add(position)
        assert len(users) > 30

    def test_system_without_seeds_is_one_gateway_with_the_whole_bound(self):
        limits = limits_of(ColdBound(10.0, 1.5, 5.0), ())
        assert limits.allowance(SEARCHER, ORDERS, Millis(0.0)).requests == 13


class TestKnowledgeOfOtherGateways:
    def make_limits(self, kind=SenderKind.ALL):
        gathered = (ORDERS,) if kind is SenderKind.GATHERERS else ()
        return limits_of(ColdBound(20.0, 1.5, 5.0), SEEDS[:1], gathered=gathered)

    def allowed(self, limits, now):
        return limits.allowance(SEARCHER, ORDERS, Millis(now)).requests

    def test_gateway_that_has_heard_no_seed_sends_nothing(self):
        limits = self.make_limits()
        assert self.allowed(limits, 0.0) == 0
        assert guard_of(limits).wait(Millis(0.0)) > 0

    def test_share_ends_before_seed_gives_it_to_another_gateway(self):
        """Guard against two gateways with one share while a network is partitioned."""
        limits = self.make_limits()
        limits.record(SEEDS[0], SenderKind.ALL, "0", positions(2), Millis(0.0))
        assert self.allowed(limits, VIEW_TTL) > 0
        assert self.allowed(limits, VIEW_TTL + 1.0) == 0

    def test_number_of_gateways_is_the_highest_of_the_last_minute(self):
        """Guard against a restarted seed that counts few gateways at first."""
        limits = self.make_limits()
        limits.record(SEEDS[0], SenderKind.ALL, "0", positions(13), Millis(0.0))
        limits.record(SEEDS[0], SenderKind.ALL, "0", positions(1), Millis(3_000.0))
        assert self.allowed(limits, 3_000.0) == 2
        later = COUNT_MEMORY + 1.0
        limits.record(SEEDS[0], SenderKind.ALL, "0", positions(1), Millis(later))
        assert self.allowed(limits, later) == 26

    def test_names_of_gatherers_count_after_a_while_only(self):
        """Guard against shares of a seed that has named the first of many gatherers."""
        limits = self.make_limits(SenderKind.GATHERERS)
        for now in (0.0, 1_000.0, 2_000.0):
            limits.record(SEEDS[0], SenderKind.GATHERERS, "g1", {"g1", "g2"}, Millis(now))
        assert self.allowed(limits, SETTLING_TIME - 1.0) == 0
        assert self.allowed(limits, 2_000.0) > 0

    def test_gateway_that_is_no_gatherer_sends_nothing_to_shards(self):
        limits = self.make_limits(SenderKind.GATHERERS)
        limits.record(SEEDS[0], SenderKind.GATHERERS, None, {"g1"}, Millis(0.0))
        limits.record(SEEDS[0], SenderKind.ALL, "0", positions(1), Millis(0.0))
        assert self.allowed(limits, 3_000.0) == 0

    def test_reply_of_a_gateway_that_is_no_seed_is_ignored(self):
        limits = self.make_limits()
        limits.record(Address("10.9.9.9:1"), SenderKind.ALL, "0", positions(1), Millis(0.0))
        assert not limits.views


class TestPositions:
    def record(self, membership, host, now):
        membership.record(HostId(host), Heartbeat(None, HEARTBEAT_INTERVAL, Millis(now)))

    def test_position_stays_until_gateway_no_longer_counts(self):
        """Guard against a position that passes on while its gateway still uses it."""
        membership = Membership()
        for host in ("g1", "g2", "g3"):
            self.record(membership, host, 0.0)
        for now in range(500, 6_000, 500):
            self.record(membership, "g3", now)
            membership.count(Millis(now))
        self.record(membership, "g4", 6_000.0)
        assert membership.positions == {"g3": 3, "g4": 1}
        assert membership.position_count() == 4

    @given(st.lists(st.tuples(st.sampled_from("abcdef"), st.floats(0.0, 4_000.0)), max_size=40))
    def test_no_two_gateways_have_the_same_position(self, heartbeats):
        membership, now = Membership(), 0.0
        for host, wait in heartbeats:
            now += wait
            self.record(membership, host, now)
            membership.count(Millis(now))
            taken = list(membership.positions.values())
            assert len(taken) == len(set(taken)) and 0 not in taken

    @pytest.mark.parametrize(
        "value", [None, 3, [1], [1, 1], [2, 1], [-1, 5], ["0", 2], [0, 10**9], [0.5, 2]]
    )
    def test_invalid_position_is_none(self, value):
        assert decode_position(value) is None

    def test_valid_position(self):
        assert decode_position([2, 5]) == (2, 5)


class SimulatedGateway:
    """One gateway that sends to one cold searcher as early as it may; the first ones are seeds."""

    def __init__(self, number: int, seeds, bound: ColdBound, now: float) -> None:
        self.number = number
        self.started_at = now
        self.membership = Membership()
        self.limits = limits_of(bound, seeds)
        self.guard = guard_of(self.limits)
        self.running_from = now

    def hear(self, seed: "SimulatedGateway", now: float) -> None:
        """Send a heartbeat to a seed, and record its reply as a gateway process does."""
        own = HostId(f"g{self.number}")
        if self is not seed:
            seed.membership.record(own, Heartbeat(None, HEARTBEAT_INTERVAL, Millis(now)))
        seed.membership.count(Millis(now))
        if now - seed.started_at >= SETTLING_TIME:
            position = 0 if self is seed else seed.membership.positions[own]
            numbers = positions(seed.membership.position_count())
            address = self.limits.seeds[seed.number]
            self.limits.record(address, SenderKind.ALL, str(position), numbers, Millis(now))


class TestOverTime:
    """Gateways that start, stop and are partitioned, with their heartbeats to the seeds."""

    STEP = 100.0
    STEPS = 250
    RESTART_TIME = 1_000.0

    @settings(deadline=None, max_examples=25)
    @given(
        bounds,
        st.integers(1, 4),
        st.integers(0, 20),
        st.lists(
            st.tuples(
                st.integers(20, STEPS - 1),
                st.sampled_from(["restart", "partition", "heal"]),
                st.integers(0, 23),
            ),
            max_size=4,
        ),
        st.randoms(use_true_random=False),
    )
    def test_bound_holds_while_gateways_restart_and_are_partitioned(
        self, bound, seed_count, others, faults, random
    ):
        """Guard against shares that two gateways use at once after a change."""
        seeds, count, arrivals = SEEDS[:seed_count], seed_count + others, []
        gateways = [SimulatedGateway(number, seeds, bound, 0.0) for number in range(count)]
        phases = [random.randrange(5) for _ in range(count)]
        side = [0] * count
        for step in range(self.STEPS):
            now = step * self.STEP
            for at, fault, target in faults:
                if at == step and fault == "restart":
                    number = target % count
                    gateways[number] = SimulatedGateway(
                        number, seeds, bound, now + self.RESTART_TIME
                    )
                elif at == step:
                    side = [random.randrange(2) if fault == "partition" else 0 for _ in side]
            for number, gateway in enumerate(gateways):
                if now < gateway.running_from:
                    continue
                if step % 5 == phases[number]:
                    for seed in gateways[:seed_count]:
                        if side[seed.number] == side[number] and now >= seed.running_from:
                            gateway.hear(seed, now)
                while gateway.guard.wait(Millis(now)) <= 0:
                    gateway.guard.record_sent(Millis(now))
                    arrivals.append(now + random.uniform(0.0, CONNECT_MS))
        assert most_in_a_second(arrivals) <= bound.per_s * bound.over + bound.slack


class TestHeartbeats:
    """The seeds number the gateways, which divide the bound by that."""

    def make_seed(self):
        """Return a seed that has run for a while, and its clock."""
        clock = ManualClock()
        seed = make_peers(clock)
        seed.fleet.apply_settings(seed.settings)
        clock.advance(SETTLING_TIME)
        return seed, clock

    def test_seed_replies_with_position_and_number(self):
        seed, _ = self.make_seed()
        assert send_heartbeat(seed, "g7")["position"] == [1, 2]
        assert send_heartbeat(seed, "g8")["position"] == [2, 3]
        assert send_heartbeat(seed, "g7")["position"] == [1, 3]

    def test_seed_that_has_just_started_replies_with_none(self):
        """Guard against shares of a seed that has heard of few gateways so far."""
        assert "position" not in send_heartbeat(make_peers(ManualClock()), "g7")

    def test_seed_counts_itself(self):
        seed, _ = self.make_seed()
        send_heartbeat(seed, "g7")
        seed.update_gathering()
        view = seed.fleet.cold_limits.views[OWN, SenderKind.ALL]
        assert (view.own, set(view.senders)) == ("0", {"0", "1"})

    def test_reply_is_recorded_with_named_gatherers(self):
        peers = make_peers(ManualClock(), is_seed=False)
        peers.fleet.apply_settings(peers.settings)
        named = [[str(OWN), "z1"], ["127.0.1.2:1", "z1"]]
        record_reply(peers, {"position": [3, 9], "gatherers": named})
        views = peers.fleet.cold_limits.views
        assert views[OTHER_SEED, SenderKind.ALL].own == "3"
        assert len(views[OTHER_SEED, SenderKind.ALL].senders) == 9
        assert views[OTHER_SEED, SenderKind.GATHERERS].own == OWN
        assert len(views[OTHER_SEED, SenderKind.GATHERERS].senders) == 2

    @pytest.mark.parametrize("position", [None, "x", [5, 2]])
    def test_reply_of_earlier_release_or_odd_one_gives_no_share(self, position):
        peers = make_peers(ManualClock(), is_seed=False)
        peers.fleet.apply_settings(peers.settings)
        record_reply(peers, {"members": 9, "position": position})
        assert (OTHER_SEED, SenderKind.ALL) not in peers.fleet.cold_limits.views


class TestWholeGateway:
    def test_header_of_an_answer_makes_its_searcher_cold(self):
        searcher = StandInSearcher(lambda head: reply_to(head, b"x", 200, b"X-Cold: 60000\r\n"))
        with running_gateway([make_route()], {"orders": [searcher]}) as gateway:
            caller = RawCaller(gateway)
            caller.send(b"GET /a/x HTTP/1.1\r\nHost: host.example\r\nx-id: q1\r\n\r\n")
            assert caller.read()[0] == 200
            (replica,) = gateway.fleet.replicas.values()
            assert replica.cold.until - gateway.clock.now() > 50_000.0


def fleet_of(*entries, clock=None, rate=1.0, cold_time=0.0, seeds=(), target=None):
    """Return a fleet whose service tolerates ``rate`` requests a second at cold searchers."""
    clock = clock or ManualClock()
    fleet = make_fleet(clock)
    fleet.apply_settings(replace(fleet.settings, seeds=tuple(seeds)))
    service = ServiceEntry(ORDERS, 25, rate, Millis(cold_time))
    route = make_route() if target is None else make_route(target)
    fleet.apply_table(RouteTable(ConfigurationVersion(1), (route,), {ORDERS: service}, Limits()))
    for entry in entries:
        fleet.apply_listing(entry)
    return fleet, clock


def cold_entry(name="a", cold=8_000.0, sequence=1, **fields):
    return replace(make_entry(name, **fields), cold=Millis(cold), sequence=sequence)


def send(fleet, tried=(), repeat=None):
    call = Call(make_request(), make_route(), ORDERS, Millis(1e9), None, repeat)
    return fleet.send(call, set(tried))


def finish(fleet, dispatched, outcome):
    dispatched.call.outcome = outcome
    fleet.handle_outcome(dispatched.task, dispatched.call, None, reusable=True)


class TestSending:
    @pytest.mark.parametrize("repeat", [None, Repeat.HEDGE, Repeat.RETRY])
    def test_all_kinds_of_attempts_count(self, repeat):
        fleet, clock = fleet_of(cold_entry())
        assert send(fleet, (), repeat).searcher == "a"
        refusal = send(fleet, (), repeat)
        assert isinstance(refusal, NotRun) and "1 cold" in refusal.detail
        clock.advance(Millis(1_301.0))
        assert send(fleet, (), repeat).searcher == "a"

    def test_ejected_searcher_is_no_last_resort_beyond_its_bound(self):
        """Guard against retries that crash a cold searcher for lack of any other."""
        fleet, clock = fleet_of(cold_entry(cold=60_000.0))
        for _ in range(2):
            dispatched = send(fleet)
            finish(fleet, dispatched, Lost("a", True, "reset"))
            clock.advance(Millis(1_400.0))
        send(fleet, {SearcherId("x")}, Repeat.RETRY)
        assert isinstance(send(fleet, {SearcherId("x")}, Repeat.RETRY), NotRun)

    def test_warm_searcher_is_not_bounded(self):
        fleet, clock = fleet_of(cold_entry(cold=500.0))
        clock.advance(Millis(501.0))
        assert {send(fleet).searcher for _ in range(3)} == {"a"}

    def test_requests_before_it_became_cold_count(self):
        """Guard against twice the bound in the second in which a searcher becomes cold."""
        fleet, _ = fleet_of(cold_entry(cold=0.0))
        dispatched = send(fleet)
        fleet.handle_notice(dispatched.task, ColdReported(Millis(5_000.0)))
        assert isinstance(send(fleet), NotRun)

    def test_request_that_was_not_sent_does_not_count(self):
        fleet, _ = fleet_of(cold_entry(cold=0.0))
        dispatched = send(fleet)
        finish(fleet, dispatched, answered("a"))
        fleet.replicas["a"].cold.sent.clear()
        fleet.replicas["a"].set_cold(Millis(5_000.0))
        dispatched.task.ended = True
        assert send(fleet).task is not dispatched.task

    def test_only_cold_searchers_refuse_at_once_with_retry_after(self):
        """Guard against requests that wait for the share, or return before there is any."""
        fleet, _ = fleet_of(cold_entry())
        send(fleet)
        reply = run_forward(make_request(), make_route(), ORDERS, fleet, None)
        assert isinstance(reply, Refused) and reply.status == 503
        assert reply.retry_after >= WINDOW - 1.0
        assert fleet.metrics.counters["cold_refused"] == 1

    def test_gateway_that_does_not_know_the_number_of_others_sends_nothing(self):
        fleet, _ = fleet_of(cold_entry(), seeds=SEEDS)
        reply = run_forward(make_request(), make_route(), ORDERS, fleet, None)
        assert isinstance(reply, Refused) and reply.retry_after > 0
        fleet.record_senders(SEEDS[0], SenderKind.ALL, "0", positions(1))
        fleet.record_senders(SEEDS[1], SenderKind.ALL, "0", positions(1))
        fleet.record_senders(SEEDS[2], SenderKind.ALL, "0", positions(1))
        fleet.record_senders(SEEDS[3], SenderKind.ALL, "0", positions(1))
        assert send(fleet).searcher == "a"

    def test_shards_are_sent_to_by_gatherers_only(self):
        fleet, clock = fleet_of(cold_entry(), seeds=SEEDS[:1], target=Shards((ORDERS,), 3, 0.5))
        fleet.record_senders(SEEDS[0], SenderKind.ALL, "0", positions(1))
        assert isinstance(send(fleet), NotRun)
        fleet.record_senders(SEEDS[0], SenderKind.GATHERERS, "g", {"g"})
        clock.advance(SETTLING_TIME)
        assert send(fleet).searcher == "a"

    def test_gatherers_next_to_cold_searchers_gather_from_other_domains(self):
        fleet, _ = fleet_of(cold_entry(domain="z1"), make_entry("b", domain="z2"))
        send(fleet, {SearcherId("b")})
        assert fleet.searcher_domains((ORDERS,)) == [{"z1", "z2"}]


class TestColdTime:
    def is_cold(self, fleet):
        return fleet.replicas["a"].cold.is_cold(fleet.clock.now())

    def test_later_listing_says_that_searcher_is_cold_again(self):
        fleet, clock = fleet_of(cold_entry(cold=500.0))
        clock.advance(Millis(10_000.0))
        fleet.apply_listing(cold_entry(cold=500.0, sequence=2))
        assert self.is_cold(fleet)

    def test_listing_that_is_read_again_does_not(self):
        """Guard against searchers that count as cold after each read of everything."""
        fleet, clock = fleet_of(cold_entry(cold=500.0))
        clock.advance(Millis(10_000.0))
        fleet.apply_listing(cold_entry(cold=500.0))
        assert not self.is_cold(fleet)

    def test_listing_on_its_way_does_not_shorten_cold_time(self):
        fleet, _ = fleet_of(cold_entry(cold=5_000.0))
        fleet.apply_listing(cold_entry(cold=0.0, sequence=2))
        assert self.is_cold(fleet)

    def test_answer_sets_remaining_cold_time(self):
        fleet, clock = fleet_of(cold_entry(cold=5_000.0))
        task = send(fleet).task
        fleet.handle_notice(task, ColdReported(Millis(0.0)))
        assert not self.is_cold(fleet)
        fleet.handle_notice(task, ColdReported(Millis(700.0)))
        assert self.is_cold(fleet)
        clock.advance(Millis(700.0))
        assert not self.is_cold(fleet)

    def test_searcher_that_refuses_connections_is_cold_when_it_is_back(self):
        """Guard against requests at full rate before the listing of a new process is read."""
        fleet, _ = fleet_of(cold_entry(cold=0.0), cold_time=4_000.0)
        dispatched = send(fleet)
        finish(fleet, dispatched, Lost("a", False, "connect: refused"))
        assert self.is_cold(fleet)

    def test_gauge_has_number_of_cold_searchers(self):
        fleet, _ = fleet_of(cold_entry(), cold_entry("b", cold=0.0))
        fleet.maintain()
        assert fleet.metrics.gauges["searchers_cold"] == 1


class TestDecoding:
    @pytest.mark.parametrize(
        ("value", "cold"),
        [
            (b"1500", 1_500.0),
            (b" 0 ", 0.0),
            (b"12.5", 12.5),
            (b"999999999", MAX_COLD_TIME),
            (b"-1", None),
            (b"1e3", None),
            (b"nan", None),
            (b"", None),
            (b"9" * 400, None),
        ],
    )
    def test_header_is_a_bounded_number_of_milliseconds(self, value, cold):
        assert decode_cold(value) == cold

    def test_header_of_any_answer_counts(self):
        headers = {PLATFORM_HEADER_NAMES.cold: b"250"}
        notice = ColdReported(Millis(250.0))
        for status in (200, 503, 421):
            assert notice in decode_notices(status, headers, PLATFORM_HEADER_NAMES)

    def test_no_header_is_read_between_gateways(self):
        names = peer_header_names(PLATFORM_HEADER_NAMES)
        assert decode_notices(200, {PLATFORM_HEADER_NAMES.cold: b"250", b"": b"250"}, names) == []

    def test_configuration_states_bound(self):
        services = [{"name": "s1", "coldPerS": 12.5, "coldStartS": 3}, {"name": "s3"}]
        table = decode_configuration(CONFIG | {"services": services})
        assert table.services["s1"] == ServiceEntry("s1", 16, 12.5, 3_000.0)
        assert table.services["s3"].cold_rate == 0.0

    def test_settings_state_margin(self, tmp_path):
        path = tmp_path / "local.toml"
        path.write_text(TEXT)
        assert (read_node_file(path, None).cold.over, read_node_file(path, None).cold.slack) == (
            1.5,
            5.0,
        )
        path.write_text(TEXT.replace("[bounds]", "[bounds]\ncoldOver = 2\ncoldSlack = 7.5"))
        assert (read_node_file(path, None).cold.over, read_node_file(path, None).cold.slack) == (
            2.0,
            7.5,
        )

    def test_relayed_configuration_keeps_bound(self):
        service = ServiceEntry(ORDERS, 25, 3.0, Millis(2_000.0))
        services = {ORDERS: service, ServiceId("x"): ServiceEntry(ServiceId("x"), 2)}
        table = RouteTable(ConfigurationVersion(1), (make_route(),), services, Limits())
        change = PublishedConfiguration(table)
        assert decode_changes(encode_update("e", 1, [encode_change(change)])).changes == (change,)

    def test_relay_passes_on_that_searcher_is_cold_again(self):
        """Guard against relayed listings that look the same although the cold time is new."""
        catalogue = CatalogueLog(lambda: Millis(0.0))
        catalogue.add(SearcherListed(cold_entry(cold=500.0)))
        assert not catalogue.lists(SearcherListed(cold_entry(cold=500.0, sequence=2)))

    def test_relay_passes_on_no_listing_that_only_counts_on(self):
        """Guard against relays that pass on each renewal of each listing."""
        catalogue = CatalogueLog(lambda: Millis(0.0))
        catalogue.add(SearcherListed(cold_entry(cold=0.0)))
        assert catalogue.lists(SearcherListed(cold_entry(cold=0.0, sequence=2)))


class TestInactivity:
    def test_service_without_bound_is_served_as_before(self):
        fleet, _ = fleet_of(cold_entry(), rate=0.0)
        assert {send(fleet).searcher for _ in range(3)} == {"a"}
        cold_until = fleet.replicas["a"].cold_until
        fleet.apply_listing(cold_entry(cold=60_000.0, sequence=2))
        assert fleet.replicas["a"].cold_until == cold_until
        fleet.maintain()
        assert "searchers_cold" not in fleet.metrics.gauges

    def test_header_names_of_deployment_without_header(self):
        notices = decode_notices(200, {b"": b"250"}, replace(HEADER_NAMES, cold=b""))
        assert not any(isinstance(notice, ColdReported) for notice in notices)
