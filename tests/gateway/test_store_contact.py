"""Tests for a seed that the platform's store does not answer while it answers others.

The gateways of these tests read the catalogue by calls in simulated time.
"""

from dataclasses import replace
from urllib.parse import urlencode

import pytest

from masticgate import Address, ManualClock, Millis, Revision, ServiceId
from masticgate._ids import HostId, RequestId
from masticgate.connection.gateway import HttpResponse, NoResponse
from masticgate.process.gateway import (
    Changes,
    Contents,
    PublishedConfiguration,
    SearcherListed,
    Unavailable,
    _relay,
)
from masticgate.process.gateway._catalogue_log import MAX_PLATFORM_AGE, CatalogueLog
from masticgate.process.gateway._gatherers import Gatherer
from masticgate.process.gateway._log import EventLog
from masticgate.process.gateway._naming import GatherAtPeers, GatherHere
from masticgate.process.gateway._peers import Peers
from masticgate.process.gateway._relay import RelayedSource
from masticgate.process.gateway.startup import (
    LOST_AGE,
    MAX_GATHERING_AGE,
    PROBE_INTERVAL,
    StoreContact,
    is_outdated,
)
from masticgate.request.gateway import Request
from masticgate.version.gateway import Shards

from .fakes import make_entry, make_fleet, make_route, make_settings, make_table
from .test_peers import OTHER_SEED, OWN, REPORT, record_reply, send_heartbeat

TABLE = make_table(make_route(Shards((ServiceId("s1"),), 2, 0.5)))
TICK = Millis(500.0)
SILENCE = 9_000.0
"""How long the store did not answer one of the seeds on the day that these tests are made for."""


class Store:
    """What all seeds read: the configuration and listings, of which each is one revision."""

    def __init__(self) -> None:
        self.changes = [PublishedConfiguration(TABLE), SearcherListed(make_entry("a", "s1"))]


class StoreClient:
    """One seed's access to the store, which counts its calls and may get no answer."""

    def __init__(self, store: Store) -> None:
        self.store = store
        self.is_silent = False
        self.calls = 0

    def read_table(self):
        return self._answer(self.store.changes[0])

    def read(self):
        return self._answer(Contents(tuple(self.store.changes), Revision(len(self.store.changes))))

    def watch(self, after, wait):
        changes = self.store.changes
        return self._answer(Changes(tuple(changes[after:]), Revision(len(changes))))

    def change_address(self, address):
        raise AssertionError("these tests do not change the address")

    def _answer(self, answer):
        self.calls += 1
        return Unavailable("no response in time") if self.is_silent else answer


class Seed:
    """A seed that reads or watches once in each step."""

    def __init__(self, system: "System", address: Address) -> None:
        self.platform = StoreClient(system.store)
        self.clock = system.clock
        log = EventLog(HostId(address), system.clock)
        self.source = RelayedSource(
            self.platform,
            lambda: system.relays_for(address),
            system.clock,
            log,
            lambda seconds: None,
            lambda: True,
        )
        self.catalogue = CatalogueLog(self.source.platform_age)
        self.revision: Revision | None = None
        self.answered_at = system.clock.now()

    @property
    def follows(self) -> Address | None:
        client = self.source.client
        return client.address if client is not None else None

    @property
    def relays(self) -> bool:
        return "table" in self.catalogue.state and self.source.platform_age() <= MAX_PLATFORM_AGE

    def step(self) -> None:
        result = (
            self.source.read()
            if self.revision is None
            else self.source.watch(self.revision, Millis(1_800.0))
        )
        match result:
            case Contents(changes=changes, revision=revision):
                self._apply(changes, revision)
            case Changes(changes=changes, revision=revision):
                self._apply(changes, revision)
            case Unavailable():
                return
            case _:
                self.revision = None
                self.step()

    def _apply(self, changes, revision) -> None:
        self.answered_at = self.clock.now()
        self.revision = revision
        for change in changes:
            if not (isinstance(change, SearcherListed) and self.catalogue.lists(change)):
                self.catalogue.add(change)


class System:
    """Seeds that know of each other's relays; those in ``stopped`` are not ready."""

    def __init__(self, monkeypatch, seeds: int = 3) -> None:
        system = self

        class Client:
            """A client of another seed, which serves its catalogue."""

            def __init__(self, address, clock) -> None:
                self.address = address

            def get(self, host, path, query, timeouts):
                if self.address in system.stopped:
                    return NoResponse("refused")
                # A watch would wait in real time for a change.
                target = ("/?" + urlencode(query | {"wait": 0})).encode()
                request = Request(RequestId(""), b"GET", target, host, (), b"", None, Millis(0.0))
                page = system.seeds[self.address].catalogue.handle_request(request)
                return HttpResponse(page.status, page.body)

            def close(self) -> None:
                pass

        monkeypatch.setattr(_relay, "HttpClient", Client)
        self.clock = ManualClock()
        self.store = Store()
        self.stopped: set[Address] = set()
        addresses = [Address(f"127.0.1.{number + 1}:1") for number in range(seeds)]
        self.seeds: dict[Address, Seed] = {}
        self.seeds.update({address: Seed(self, address) for address in addresses})
        self.run(1_000.0)

    def relays_for(self, own: Address) -> list[Address]:
        return [
            address
            for address, seed in self.seeds.items()
            if address != own and address not in self.stopped and seed.relays
        ]

    def run(self, duration: float) -> None:
        end = self.clock.now() + duration
        while self.clock.now() < end:
            self.clock.advance(TICK)
            for seed in self.seeds.values():
                seed.step()

    def silence(self, *seeds: Seed) -> None:
        for seed in seeds:
            seed.platform.is_silent = True

    def list_searcher(self, name: str) -> None:
        self.store.changes.append(SearcherListed(make_entry(name, "s1")))


@pytest.fixture
def system(monkeypatch) -> System:
    return System(monkeypatch)


class TestStoreSilentForOneSeed:
    """Guard against queries that a seed gathers by listings 9 s old, without new shards."""

    def test_follows_another_seed_and_learns_what_is_listed_meanwhile(self, system):
        seed, *others = system.seeds.values()
        system.silence(seed)
        system.run(1_000.0)
        system.list_searcher("b")
        system.run(MAX_GATHERING_AGE - 1_000.0)
        assert seed.follows is not None and "searcher b" in seed.catalogue.state
        assert {other.follows for other in others} == {None}
        system.run(SILENCE - MAX_GATHERING_AGE)
        assert system.clock.now() - seed.answered_at <= TICK

    def test_does_not_relay_meanwhile(self, system):
        """Guard against an outdated state that goes round among gateways that relay it."""
        seed = next(iter(system.seeds.values()))
        system.silence(seed)
        system.run(SILENCE)
        assert seed.source.platform_age() > MAX_PLATFORM_AGE and not seed.relays
        request = Request(RequestId(""), b"GET", b"/", "", (), b"", None, Millis(0.0))
        assert seed.catalogue.handle_request(request).status == 503

    def test_asks_the_store_seldom_meanwhile(self, system):
        """Guard against the price of calls, which also a silent store may count."""
        seed = next(iter(system.seeds.values()))
        system.silence(seed)
        system.run(MAX_GATHERING_AGE)
        before = seed.platform.calls
        system.run(10 * PROBE_INTERVAL)
        assert 9 <= seed.platform.calls - before <= 10

    def test_goes_back_to_the_store_that_answers_again(self, system):
        seed = next(iter(system.seeds.values()))
        system.silence(seed)
        system.run(SILENCE)
        seed.platform.is_silent = False
        system.run(PROBE_INTERVAL + TICK)
        assert seed.follows is None and seed.relays

    def test_starting_seed_reads_another_seed_at_once(self, monkeypatch):
        system = System(monkeypatch)
        address = Address("127.0.1.9:1")
        seed = system.seeds[address] = Seed(system, address)
        system.silence(seed)
        system.run(TICK)
        assert seed.follows is not None and "searcher a" in seed.catalogue.state

    def test_single_cut_watch_is_no_reason_to_leave_the_store(self):
        contact = StoreContact()
        contact.record_answer(Millis(0.0))
        contact.record_failure(closed_by_source=True)
        assert not contact.is_lost(LOST_AGE)
        contact.record_failure(closed_by_source=True)
        assert contact.is_lost(LOST_AGE) and not contact.is_lost(Millis(LOST_AGE - 1.0))


class TestStoreSilentForSeveral:
    def test_two_seeds_that_lose_it_do_not_follow_each_other(self, monkeypatch):
        """Guard against a state that two seeds keep alive between them."""
        system = System(monkeypatch, seeds=2)
        lost_at = system.clock.now()
        system.silence(*system.seeds.values())
        system.run(SILENCE)
        for seed in system.seeds.values():
            assert seed.follows is None and not seed.relays
            assert seed.answered_at <= lost_at + MAX_PLATFORM_AGE

    def test_seeds_that_lose_it_in_turn_do_not_follow_each_other(self, monkeypatch):
        system = System(monkeypatch, seeds=2)
        first, second = system.seeds.values()
        system.silence(first)
        system.run(5_000.0)
        assert first.follows is not None
        lost_at = system.clock.now()
        system.silence(second)
        for _ in range(20):
            system.run(TICK)
            assert first.follows is None or second.follows is None
        assert max(first.answered_at, second.answered_at) <= lost_at + MAX_PLATFORM_AGE

    def test_all_seeds_keep_the_last_state_and_return_to_the_store(self, system):
        system.silence(*system.seeds.values())
        system.run(SILENCE)
        for seed in system.seeds.values():
            assert {"table", "searcher a"} <= set(seed.catalogue.state)
        for seed in system.seeds.values():
            seed.platform.is_silent = False
        system.list_searcher("b")
        system.run(2 * TICK)
        for seed in system.seeds.values():
            assert "searcher b" in seed.catalogue.state
        system.run(PROBE_INTERVAL)
        for seed in system.seeds.values():
            assert seed.relays and seed.follows is None

    def test_calls_to_the_store_are_one_a_round(self, system):
        """Guard against a read that asks a silent store twice."""
        system.silence(*system.seeds.values())
        system.run(SILENCE)
        before = [seed.platform.calls for seed in system.seeds.values()]
        system.run(10 * TICK)
        after = [seed.platform.calls for seed in system.seeds.values()]
        assert [new - old for old, new in zip(before, after, strict=True)] == [10] * len(before)


class TestNoOtherSeedReady:
    def test_stays_with_the_store(self, system):
        seed, *_ = system.seeds.values()
        system.stopped = set(list(system.seeds)[1:])
        system.silence(seed)
        system.run(SILENCE)
        assert seed.follows is None and "searcher a" in seed.catalogue.state
        seed.platform.is_silent = False
        system.run(TICK)
        assert seed.relays

    def test_seed_that_fails_while_it_is_read_leaves_the_state_in_force(self, system):
        seed, *_ = system.seeds.values()
        system.silence(seed)
        system.run(5_000.0)
        assert seed.follows is not None
        system.stopped = set(list(system.seeds)[1:])
        system.run(2_000.0)
        assert seed.follows is None and "searcher a" in seed.catalogue.state


class TestOutdatedGateway:
    """Guard against a gatherer that does not know the shards that others know."""

    def make_peers(self, clock: ManualClock, *, is_seed: bool = True) -> Peers:
        seeds = (OWN, OTHER_SEED) if is_seed else (OTHER_SEED,)
        settings = replace(make_settings(), peer_address=OWN, seeds=seeds)
        self.answered_at = clock.now()
        return Peers(
            settings,
            make_fleet(clock),
            clock,
            EventLog(HostId("g1"), clock),
            lambda: TABLE,
            lambda: True,
            lambda: False,
            lambda: REPORT,
            lambda: Millis(clock.now() - self.answered_at),
        )

    @staticmethod
    def reply_of_seed(peers: Peers, *, relays: bool) -> None:
        names = {"gatherers": [[OWN, "z1"], ["127.0.1.2:1", "z1"]], "digest": "1f"}
        record_reply(peers, {"members": 58, "relays": relays, "domain": "z1"} | names)

    @pytest.mark.parametrize("is_seed", [True, False])
    def test_cannot_gather_and_forwards_its_queries(self, is_seed):
        clock = ManualClock()
        peers = self.make_peers(clock, is_seed=is_seed)
        self.reply_of_seed(peers, relays=True)
        peers.update_gathering()
        assert peers.gathering == GatherHere(is_gatherer=True)
        clock.advance(Millis(MAX_GATHERING_AGE + 1.0))
        send_heartbeat(peers, "g3", rate=9.0)
        peers.update_gathering()
        assert peers.make_heartbeat(OTHER_SEED, TICK).member is None
        assert Gatherer(OWN, make_settings().domain) not in peers.names.named_by(OWN)
        assert peers.gathering == GatherAtPeers()
        self.answered_at = clock.now()
        peers.update_gathering()
        assert peers.make_heartbeat(OTHER_SEED, TICK).member is not None
        assert peers.gathering == GatherHere(is_gatherer=True)

    def test_states_at_once_that_it_cannot_gather(self):
        clock = ManualClock()
        peers = self.make_peers(clock, is_seed=False)
        self.reply_of_seed(peers, relays=True)
        peers.naming_due.clear()
        peers.update_gathering()
        assert not peers.naming_due.is_set()
        clock.advance(Millis(MAX_GATHERING_AGE + 1.0))
        peers.update_gathering()
        assert peers.naming_due.is_set()

    def test_gathers_on_if_no_seed_has_contact_with_the_store(self):
        """Guard against a store that is down for all, so that nobody would gather."""
        clock = ManualClock()
        peers = self.make_peers(clock)
        self.reply_of_seed(peers, relays=False)
        clock.advance(Millis(60_000.0))
        peers.update_gathering()
        assert peers.make_heartbeat(OTHER_SEED, TICK).member is not None
        assert peers.gathering == GatherHere(is_gatherer=True)
        assert not is_outdated(Millis(60_000.0), others_relay=False)

    def test_gathers_on_if_no_other_gatherer_is_named(self):
        clock = ManualClock()
        peers = self.make_peers(clock, is_seed=False)
        names = {"gatherers": [[OWN, "z1"]], "digest": "1f"}
        record_reply(peers, {"members": 58, "relays": True, "domain": "z1"} | names)
        clock.advance(Millis(MAX_GATHERING_AGE + 1.0))
        peers.update_gathering()
        assert peers.gathering == GatherHere(is_gatherer=True)
