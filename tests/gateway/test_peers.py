"""Tests for the choice of gatherers and the state of the other gateways."""

import json

import pytest

from masticgate import Address, ManualClock, Millis
from masticgate._ids import HostId, RequestId
from masticgate.process.gateway._log import EventLog
from masticgate.process.gateway._peers import (
    HEARTBEAT_HOST,
    GatherAtPeers,
    GatherHere,
    Peers,
    choose_gathering,
    peer_route,
)
from masticgate.request.gateway import Request
from masticgate.version.gateway import Idempotency

from .fakes import make_fleet, make_route, make_settings


def make_peers(clock: ManualClock) -> Peers:
    log = EventLog(HostId("g1"), clock)
    fleet = make_fleet(clock)
    return Peers(make_settings(), fleet, clock, log, lambda: None, lambda: True, lambda: True)


def send_heartbeat(peers: Peers, host: str) -> dict:
    target = f"/?host={host}".encode()
    request = Request(RequestId(""), b"GET", target, HEARTBEAT_HOST, (), b"", None, Millis(0.0))
    return json.loads(peers.handle_heartbeat(request).body)


class TestGathering:
    @pytest.mark.parametrize(
        ("members", "connections", "chosen"),
        [
            (1, 25, GatherHere()),
            (6, 25, GatherHere()),
            (10, 26, GatherHere()),
            (13, 25, GatherAtPeers()),
            (58, 51, GatherAtPeers()),
        ],
    )
    def test_depends_on_gateways_and_connections(self, members, connections, chosen):
        assert choose_gathering(members, connections, is_seed=False) == chosen

    def test_seed_always_gathers_itself(self):
        assert choose_gathering(58, 51, is_seed=True) == GatherHere()

    def test_forwarded_query_is_not_idempotent(self):
        assert peer_route(make_route()).kind is Idempotency.NON_IDEMPOTENT


class TestMembers:
    def test_seed_counts_itself_and_gateways_that_send_heartbeats(self):
        clock = ManualClock()
        peers = make_peers(clock)
        send_heartbeat(peers, "g2")
        assert send_heartbeat(peers, "g3")["members"] == 3
        assert send_heartbeat(peers, "g3")["members"] == 3

    def test_does_not_count_silent_gateway(self):
        clock = ManualClock()
        peers = make_peers(clock)
        send_heartbeat(peers, "g2")
        clock.advance(Millis(6_000.0))
        assert send_heartbeat(peers, "g3")["members"] == 2

    def test_uses_relays_of_own_domain_first_if_there_are_many_gateways(self):
        peers = make_peers(ManualClock())
        peers.relay_domains = {Address("127.0.0.2:1"): "z2", Address("127.0.0.3:1"): "z1"}
        peers.members = 6
        assert peers.find_relays() == []
        peers.members = 58
        assert peers.find_relays() == ["127.0.0.3:1", "127.0.0.2:1"]
