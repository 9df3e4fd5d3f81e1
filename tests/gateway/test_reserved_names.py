"""Tests for published names that are like those by which gateways call each other."""

import pytest

from masticgate import Address, FailureDomainId, ServiceId
from masticgate._ids import RouteId
from masticgate.platform._items import decode_item
from masticgate.process.gateway import PublishedConfiguration, SearcherListed, UnreadableItem
from masticgate.process.gateway._gatherers import Gatherer
from masticgate.process.gateway._hedge_delays import peer_route_id
from masticgate.process.gateway._naming import _gatherer_entry
from masticgate.version.gateway import PEER_SERVICE, OneService
from tests.platform.test_items import CONFIG, ENTRY
from tests.platform.test_store import stored

from .fakes import make_entry, make_fleet, make_route
from .loopback import RawCaller, StandInSearcher, reply_to, running_gateway
from .test_gathering_at_peers import SEED, SHARDS, make_searchers, record, running_pair

GATEWAYS = ServiceId("gateways")
"""A service that is named like the gatherers."""


class TestServiceNamedLikeGatherers:
    def test_its_searchers_get_no_parts_of_queries(self):
        """Guard against queries that run at searchers of a service called "gateways"."""
        own = [StandInSearcher(reply_to) for _ in range(2)]
        searchers = make_searchers() | {GATEWAYS: own}
        with running_pair(searchers) as (entry, _):
            for number in range(20):
                status, _, body = RawCaller(entry).get(request_id=f"q{number}").read()
                assert (status, body) == (200, record(3) + record(2))
        assert [searcher.requests for searcher in own] == [[], []]

    def test_its_own_requests_are_served(self):
        """Guard against searchers that are called with the headers of a gateway."""
        own = [StandInSearcher(reply_to)]
        routes = [make_route(SHARDS), make_route(OneService(GATEWAYS), prefix="/pay/")]
        with running_gateway(routes, make_searchers() | {GATEWAYS: own}) as gateway:
            assert RawCaller(gateway).get("/pay/x").read()[0] == 200
        assert b"x-expected: gateways-0" in own[0].requests[0].lower()


class TestIdsLikeThoseOfGatherers:
    def test_searcher_does_not_replace_gatherer(self):
        fleet = make_fleet()
        fleet.apply_listing(_gatherer_entry(Gatherer(SEED, FailureDomainId("z1"))))
        fleet.apply_listing(make_entry(f"gateways/{SEED}"))
        assert len(fleet.replicas) == 2

    def test_route_does_not_share_latencies_with_parts_of_another(self):
        assert peer_route_id(RouteId("r")) != RouteId("gateways/r")


class TestDecoders:
    @pytest.mark.parametrize("field", ["service", "zone"])
    def test_entry_cannot_have_reserved_name(self, field):
        """The names by which gateways call each other are none that can be published."""
        entry = ENTRY | {field: str(PEER_SERVICE)}
        assert isinstance(decode_item(stored("servers/a", entry)), UnreadableItem)
        assert isinstance(decode_item(stored("servers/a", ENTRY)), SearcherListed)

    def test_searcher_cannot_have_reserved_id(self):
        own_id = _gatherer_entry(Gatherer(Address("127.0.0.1:9"), FailureDomainId("z1"))).id
        item = decode_item(stored(f"servers/{own_id}", ENTRY))
        assert isinstance(item, UnreadableItem) and item.searcher is None

    def test_route_and_its_service_cannot_have_reserved_name(self):
        assert isinstance(decode_item(stored("op/config", CONFIG)), PublishedConfiguration)
        for field in ("name", "service"):
            route = CONFIG["routes"][1] | {field: f"{PEER_SERVICE}/r"}
            item = decode_item(stored("op/config", CONFIG | {"routes": [route]}))
            assert isinstance(item, UnreadableItem)
