"""Tests for the number of missing shards that a gatherer states with its answer.

An answer without a valid number must not reach the caller as a whole answer.
"""

from dataclasses import replace

import pytest

from masticgate import ServiceId
from masticgate.process.gateway._catalogue import PEER_SERVICE
from masticgate.process.gateway._peers import GatherAtPeers
from masticgate.version.gateway import Shards

from .fakes import make_entry, make_route
from .loopback import RawCaller, StandInSearcher, head_value, reply_to, running_gateway

SHARDS = Shards((ServiceId("s1"),), 2, 0.5)


def get_reply(headers: bytes) -> tuple[int, bytes, bytes]:
    """Return status, head and body of the reply to a caller for a gatherer's answer."""
    stamps = b"x-gateway-stamps: s, s\r\n"
    peer = StandInSearcher(lambda head: reply_to(head, bytes(16), extra=stamps + headers))
    with running_gateway([make_route(SHARDS)], {"s1": [StandInSearcher(reply_to)]}) as gateway:
        gateway.peers.update_gathering = lambda: None
        gateway.peers.gathering = GatherAtPeers()
        gateway.fleet.apply_listing(replace(make_entry("peer", PEER_SERVICE), address=peer.address))
        return RawCaller(gateway).get().read()


class TestMissingCount:
    def test_forwards_stated_number(self):
        status, head, _ = get_reply(b"x-gateway-missing: 1\r\n")
        assert status == 200
        assert head_value(head, b"x-missing") == b"1"

    # Guards against an answer that counts as whole although it lacks the header, and against a
    # caller that gets no reply because the header holds no valid number.
    @pytest.mark.parametrize("number", [None, b"", b"few", b"-1", b"9" * 5_000])
    def test_fails_without_valid_number(self, number):
        assert get_reply(b"" if number is None else b"x-gateway-missing: %s\r\n" % number)[0] == 502
