"""Tests of the queries that gateways send to each other."""

from masticgate import HostId, ManualClock, Millis
from masticgate._ids import RequestId
from masticgate.process.gateway._heartbeat_codec import HEARTBEAT_HOST
from masticgate.process.gateway._query import MAX_FIELDS, parse_query
from masticgate.request.gateway import Request

from .test_peers import make_peers


class TestFields:
    def test_returns_values_of_fields(self):
        assert parse_query(b"/?host=g1&known=&rate=2.5&rate=3") == {
            "host": ["g1"],
            "rate": ["2.5", "3"],
        }

    def test_target_without_query_has_none(self):
        assert parse_query(b"/") == {}

    # Guards against the memory that thousands of fields take in many connections at once.
    def test_query_of_too_many_fields_counts_as_empty(self):
        fields = b"&".join(b"a%d=b" % number for number in range(MAX_FIELDS + 1))
        assert parse_query(b"/?" + fields) == {}
        assert len(parse_query(b"/?" + fields.rpartition(b"&")[0])) == MAX_FIELDS


class TestHeartbeat:
    def test_heartbeat_of_too_many_fields_names_no_member(self):
        peers = make_peers(ManualClock())
        target = b"/?host=g7" + b"&a=b" * MAX_FIELDS
        request = Request(RequestId(""), b"GET", target, HEARTBEAT_HOST, (), b"", None, Millis(0.0))
        peers.handle_heartbeat(request)
        assert HostId("g7") not in peers.membership.heartbeats
        assert peers.fleet.metrics.counters["heartbeats_ignored"] == 1
