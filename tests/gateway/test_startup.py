"""Tests for how soon a starting system serves again.

The gateways of these tests exchange their heartbeats by calls in simulated time.
"""

import json
import random
from dataclasses import dataclass, field, replace
from urllib.parse import urlencode

import pytest

from masticgate import Address, ManualClock, Millis, ServiceId
from masticgate._ids import FailureDomainId, HostId, RequestId
from masticgate.process.gateway import HostCapacity
from masticgate.process.gateway._heartbeat_codec import (
    HEARTBEAT_HOST,
    decode_reply,
    encode_heartbeat,
)
from masticgate.process.gateway._log import EventLog
from masticgate.process.gateway._naming import GatherAtPeers, GatherHere
from masticgate.process.gateway._peers import Peers
from masticgate.process.gateway._process_reports import ProcessReport
from masticgate.process.gateway._seed_exchange import FIRST_HEARTBEAT_DELAY, SeedExchange
from masticgate.process.gateway._usage import ProcessUse, Use
from masticgate.process.gateway.startup import (
    NAMING_LIMIT,
    NamingPhase,
    NamingRule,
    starting_interval,
)
from masticgate.request.gateway import Request
from masticgate.version.gateway import Shards

from .fakes import make_entry, make_fleet, make_route, make_settings, make_table

GATEWAYS = 83
SEEDS = (0, 31, 62)
DOMAINS = 4
SHARD_DOMAINS = ("z0", "z1", "z2")
TABLE = make_table(make_route(Shards((ServiceId("s1"),), 2, 0.5)))
NO_USE = ProcessUse(Use(None, None), None, Use(None, None), Use(None, None), Use(None, None))
REPORT = ProcessReport(1, False, NO_USE)
STEP = Millis(10.0)
NAMING_INTERVAL = Millis(20.0)
MAINTENANCE_INTERVAL = Millis(500.0)
QUARTER = 0.25


def address_of(number: int) -> Address:
    return Address(f"127.0.1.{number + 1}:1")


@dataclass
class Node:
    """One simulated gateway, from its start on."""

    peers: Peers
    ready_at: float
    maintain_at: float
    name_at: float = 0.0
    next_heartbeats: dict[Address, float] = field(default_factory=dict)
    has_catalogue: bool = False
    first_gatherers_at: float | None = None

    def gatherers(self, seed: Address | None = None) -> frozenset[Address]:
        """Return the gatherers that it uses, or those that a ``seed`` named to it."""
        names = self.peers.names
        gatherers = names.gatherers if seed is None else names.by_seed.get(seed, frozenset())
        return frozenset(gatherer.address for gatherer in gatherers)

    def lost_gatherers(self) -> int:
        """Return how many gatherers it no longer uses although it did."""
        events = [json.loads(line)["event"] for line in self.peers.log.queue]
        return events.count("gatherer_lost")


class System:
    """Gateways that exchange heartbeats with the seeds; ``down`` cannot reach each other."""

    def __init__(self, seeds=SEEDS) -> None:
        self.clock = ManualClock()
        self.random = random.Random(5)
        self.seeds = tuple(address_of(number) for number in seeds)
        self.rates = [self.random.uniform(20.0, 86.0) for _ in range(GATEWAYS)]
        self.nodes: dict[Address, Node] = {}
        self.starts: list[tuple[float, int]] = []
        self.cut: set[frozenset[Address]] = set()

    def start_all(self, spread: float = 300.0, seed_delays=()) -> None:
        """Start all gateways within ``spread``; ``seed_delays`` maps seeds to later starts."""
        delays = dict(seed_delays)
        for number in range(GATEWAYS):
            start_at = delays.get(number, self.random.uniform(0.0, spread))
            self.starts.append((self.clock.now() + start_at, number))

    def start(self, number: int) -> None:
        """Start one gateway now, without any state."""
        address = address_of(number)
        settings = replace(
            make_settings(),
            host=HostId(f"g{number}"),
            domain=FailureDomainId(f"z{number % DOMAINS}"),
            peer_address=address,
            seeds=self.seeds,
            capacity=HostCapacity(self.rates[number] * 0.025, 1_000.0),
        )
        now = self.clock.now()
        fleet = make_fleet(self.clock)
        node = Node(None, now + self.random.uniform(80.0, 350.0), now + 500.0)  # type: ignore
        node.peers = Peers(
            settings,
            fleet,
            self.clock,
            EventLog(settings.host, self.clock),
            lambda: TABLE if self.clock.now() >= node.ready_at else None,
            lambda: self.clock.now() >= node.ready_at,
            lambda: True,
            lambda: REPORT,
        )
        for seed in self.seeds:
            if seed != address:
                node.peers.exchanges[seed] = SeedExchange(seed, node.peers, self.clock)
                node.next_heartbeats[seed] = now + FIRST_HEARTBEAT_DELAY
        self.nodes[address] = node

    def run(self, duration: float) -> None:
        end = self.clock.now() + duration
        while self.clock.now() < end:
            self.clock.advance(STEP)
            now = self.clock.now()
            for start_at, number in [start for start in self.starts if start[0] <= now]:
                self.starts.remove((start_at, number))
                self.start(number)
            for address, node in list(self.nodes.items()):
                self._run_node(address, node, now)

    def _run_node(self, address: Address, node: Node, now: float) -> None:
        peers = node.peers
        if not node.has_catalogue and now >= node.ready_at:
            node.has_catalogue = True
            peers.fleet.apply_table(TABLE)
            for domain in SHARD_DOMAINS:
                peers.fleet.apply_listing(make_entry(f"s1-{domain}", "s1", domain=domain))
            peers.handle_catalogue()
        for seed, exchange in peers.exchanges.items():
            if now >= node.next_heartbeats[seed] or exchange.due.is_set():
                exchange.due.clear()
                interval = exchange.next_interval()
                node.next_heartbeats[seed] = now + interval
                exchange.handle_reply(self._deliver(address, seed, interval))
        if address in self.seeds and now >= node.name_at:
            wait = peers.naming_rule.time_to_change(Millis(now))
            if wait is not None and (wait == 0.0 or peers.naming_due.is_set()):
                peers.naming_due.clear()
                node.name_at = now + NAMING_INTERVAL
                peers.update_gathering()
        if now >= node.maintain_at:
            node.maintain_at = now + MAINTENANCE_INTERVAL
            peers.update_gathering()
        if node.first_gatherers_at is None and peers.names.gatherers and node.has_catalogue:
            node.first_gatherers_at = now

    def _deliver(self, sender: Address, seed: Address, interval: Millis):
        if seed not in self.nodes or frozenset((sender, seed)) in self.cut:
            return None
        heartbeat = self.nodes[sender].peers.make_heartbeat(seed, interval)
        target = ("/?" + urlencode(encode_heartbeat(heartbeat))).encode()
        request = Request(RequestId(""), b"GET", target, HEARTBEAT_HOST, (), b"", None, Millis(0.0))
        page = self.nodes[seed].peers.handle_heartbeat(request)
        return decode_reply(page.body, self.clock.now())

    def gatherers(self) -> set[frozenset[Address]]:
        """Return the sets of gatherers that the gateways use."""
        return {node.gatherers() for node in self.nodes.values()}


class TestAllStartAtOnce:
    """The load: all hosts lose power, and all gateways start within 0.3 s without any state."""

    def test_every_gateway_knows_the_gatherers_within_a_second(self):
        """Guard against a fixed wait of 1.5 s, in which queries are refused everywhere.

        The bound is half of the first window of 2 s after the start.
        """
        system = System()
        system.start_all()
        system.run(1_000.0)
        assert all(node.first_gatherers_at is not None for node in system.nodes.values())

    def test_first_names_last(self):
        """Guard against connections to 90 shards that are opened and thrown away."""
        system = System()
        system.start_all()
        system.run(8_000.0)
        (names,) = system.gatherers()
        lost = max(node.lost_gatherers() for node in system.nodes.values())
        assert lost <= len(names) * QUARTER

    def test_choice_where_to_gather_is_made_with_the_names(self):
        """Guard against a wait for the next round of maintenance, 500 ms away."""
        system = System()
        system.start_all()
        system.run(1_000.0)
        for address, node in system.nodes.items():
            is_gatherer = address in node.gatherers()
            expected = GatherHere(is_gatherer=True) if is_gatherer else GatherAtPeers()
            assert node.peers.gathering == expected


class TestSeedLate:
    def test_names_of_the_other_seeds_are_not_held_up_or_changed(self):
        system = System()
        system.start_all(seed_delays={SEEDS[1]: 2_500.0})
        system.run(1_000.0)
        known = [node.first_gatherers_at is not None for node in system.nodes.values()]
        assert len(known) == GATEWAYS - 1 and all(known)
        (before,) = system.gatherers()
        system.run(5_000.0)
        (after,) = system.gatherers()
        assert len(before - after) <= len(before) * QUARTER


class TestNoSeed:
    def test_each_gateway_gathers_itself(self):
        system = System(seeds=(GATEWAYS + 1,))
        system.start_all()
        system.run(4_000.0)
        assert {node.peers.gathering for node in system.nodes.values()} == {GatherHere(False)}

    def test_seed_that_hears_of_nobody_names_itself_at_the_limit(self):
        rule = NamingRule(Millis(0.0))
        assert rule.update(1, Millis(NAMING_LIMIT - 1.0), knows_shards=True) is NamingPhase.HEARING
        assert rule.update(1, NAMING_LIMIT, knows_shards=True) is not NamingPhase.HEARING


class TestSeedRestartsAlone:
    """The load: a rolling restart of the seeds of a running system."""

    def test_names_stay_in_use_and_do_not_change(self):
        """Guard against a seed that names the few gateways that it hears of first."""
        system = System()
        system.start_all()
        system.run(8_000.0)
        (names,) = system.gatherers()
        lost = {address: node.lost_gatherers() for address, node in system.nodes.items()}
        seed = address_of(SEEDS[1])
        del system.nodes[seed]
        system.run(1_000.0)
        system.start(SEEDS[1])
        for _ in range(60):
            system.run(50.0)
            own = system.nodes[seed]
            assert own.gatherers(seed) in (frozenset(), names)
            assert {node.peers.members for node in system.nodes.values()} == {GATEWAYS}
        assert own.gatherers(seed) == names and system.gatherers() == {names}
        del lost[seed]
        assert lost == {address: system.nodes[address].lost_gatherers() for address in lost}

    def test_only_seed_names_none_before_it_has_heard_of_those_that_gateways_report(self):
        """Guard against names after the first heartbeats of gateways that send two in a second."""
        rule = NamingRule(Millis(0.0))
        rule.record_report(GATEWAYS)
        rule.record_heard(10, Millis(100.0))
        later = Millis(NAMING_LIMIT - 1.0)
        assert rule.update(10, later, knows_shards=True) is NamingPhase.HEARING
        rule.record_heard(80, Millis(800.0))
        assert rule.update(80, Millis(900.0), knows_shards=True) is NamingPhase.HEARING
        assert rule.update(80, later, knows_shards=True) is NamingPhase.GROWING


class TestSeedsDisagree:
    def test_gateways_use_the_union_until_the_seeds_hear_the_same(self):
        """The load: at the start, half of the gateways cannot reach one of the two seeds."""
        system = System(seeds=SEEDS[:2])
        system.start_all()
        first, second = system.seeds
        for number in range(GATEWAYS):
            if number % 2 and number not in SEEDS:
                system.cut.add(frozenset((address_of(number), first)))
        system.run(2_500.0)
        named = [system.nodes[seed].peers.names.by_seed[seed] for seed in system.seeds]
        assert named[0] and named[1]
        node = system.nodes[address_of(2)]
        assert node.peers.names.gatherers == named[0] | named[1]
        system.cut.clear()
        system.run(6_000.0)
        assert len(system.gatherers()) == 1


class TestTrickle:
    """The load: the gateways start one after another within 2 s."""

    def test_names_come_before_the_last_gateway_starts(self):
        system = System()
        system.start_all(spread=2_000.0)
        system.run(2_000.0)
        known = [node.first_gatherers_at is not None for node in system.nodes.values()]
        assert sum(known) >= len(known) / 2

    def test_few_names_are_replaced(self):
        """Guard against a gatherer for each faster gateway that starts."""
        system = System()
        system.start_all(spread=2_000.0)
        system.run(9_000.0)
        (names,) = system.gatherers()
        lost = max(node.lost_gatherers() for node in system.nodes.values())
        assert lost <= len(names) * QUARTER


class TestNamingRule:
    def all_heard(self) -> NamingRule:
        rule = NamingRule(Millis(0.0))
        rule.record_heard(GATEWAYS, Millis(300.0))
        return rule

    def test_names_once_the_gateways_no_longer_grow(self):
        rule = self.all_heard()
        assert rule.update(83, Millis(540.0), knows_shards=True) is NamingPhase.HEARING
        assert rule.time_to_change(Millis(540.0)) == 10.0
        assert rule.update(83, Millis(550.0), knows_shards=True) is NamingPhase.GROWING

    @pytest.mark.parametrize(("able", "knows_shards"), [(62, True), (83, False)])
    def test_names_none_while_it_lacks_gateways_or_shards(self, able, knows_shards):
        """Guard against gatherers in domains without shards, and names that last for 100 ms."""
        rule = self.all_heard()
        phase = rule.update(able, Millis(900.0), knows_shards=knows_shards)
        assert phase is NamingPhase.HEARING

    def test_settles_once_no_further_gateway_is_heard_and_stays_so(self):
        rule = self.all_heard()
        rule.update(83, Millis(600.0), knows_shards=True)
        assert rule.time_to_change(Millis(600.0)) == 700.0
        assert rule.update(83, Millis(1_300.0), knows_shards=True) is NamingPhase.SETTLED
        rule.record_heard(84, Millis(9_000.0))
        assert rule.update(84, Millis(9_000.0), knows_shards=True) is NamingPhase.SETTLED
        assert rule.time_to_change(Millis(9_000.0)) is None

    def test_absurd_report_holds_up_names_to_the_limit_at_most(self):
        rule = self.all_heard()
        rule.record_report(1_000_000)
        assert rule.update(83, Millis(1_000.0), knows_shards=True) is NamingPhase.HEARING
        assert rule.update(83, NAMING_LIMIT, knows_shards=True) is not NamingPhase.HEARING

    @pytest.mark.parametrize("times", [[0.0, 10.0, 240.0, 260.0, 400.0, 2_000.0]])
    def test_bounded_number_of_times_is_kept(self, times):
        rule = NamingRule(Millis(0.0))
        for number, time in enumerate(times):
            rule.record_heard(2 + number, Millis(time))
        assert len(rule.growth) == 2


class TestPace:
    def test_starting_gateway_reaches_a_seed_soon_after_it_listens(self):
        wait = starting_interval(Millis(200.0), has_replied=False, knows_gatherers=False)
        assert wait is not None and wait <= 100.0

    def test_starting_gateway_asks_less_often_once_it_knows_gatherers(self):
        waits = [
            starting_interval(Millis(900.0), has_replied=True, knows_gatherers=known)
            for known in (False, True)
        ]
        assert waits[0] < waits[1] <= 500.0

    def test_gateway_that_has_started_keeps_the_usual_intervals(self):
        wait = starting_interval(Millis(60_000.0), has_replied=False, knows_gatherers=False)
        assert wait is None
