"""Tests for the decoding of the items in the platform's store."""

import base64
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from masticgate.platform._items import decode_item
from masticgate.process.gateway import (
    PublishedConfiguration,
    SearcherListed,
    SearcherPhase,
    SearcherUnlisted,
    UnreadableItem,
)
from masticgate.version.gateway import Idempotency, OneService, Shards, Split

ENTRY = {
    "service": "huvo",
    "address": "10.128.0.9:8080",
    "zone": "tvm",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 4,
    "born": 1772450980024,
}
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "hostname": "a.example",
            "prefix": "/x/",
            "type": "idempotent",
            "timeoutMs": 250,
            "targetLatencyMs": 44,
            "priority": 0,
            "fanoutServices": ["s1", "s2"],
            "maxAttempts": 2,
            "topK": 5,
            "minShardRatio": 0.75,
        },
        {
            "name": "r2",
            "hostname": "a.example",
            "prefix": "/x/y/",
            "type": "non_idempotent",
            "service": "s3",
        },
        {
            "name": "r3",
            "hostname": "a.example",
            "prefix": "/z/",
            "type": "idempotent",
            "trafficSplit": [{"service": "s3", "weight": 3}, {"service": "s4", "weight": 1}],
        },
    ],
    "services": [{"name": "s1", "maxConnections": 25}, {"name": "s3"}],
    "limits": {"maxHeaderBytes": 100, "idleTimeoutMs": 15000},
}


def item(key: str, value, **more):
    text = value if isinstance(value, bytes) else json.dumps(value).encode()
    return {"key": key, "value": base64.b64encode(text).decode(), "revision": 5, **more}


class TestEntries:
    def test_decodes_listing(self):
        change = decode_item(item("servers/i-1", ENTRY))
        assert isinstance(change, SearcherListed)
        entry = change.entry
        assert (entry.id, entry.service, entry.address) == ("i-1", "huvo", "10.128.0.9:8080")
        assert (entry.slots, entry.phase, entry.born) == (2, SearcherPhase.READY, 1772450980024)

    def test_decodes_removal_of_listing(self):
        change = decode_item({"key": "servers/i-1", "revision": 6, "removed": True})
        assert change == SearcherUnlisted("i-1")

    @pytest.mark.parametrize("name", [name for name in ENTRY if name != "born"])
    def test_listing_without_field_is_unreadable(self, name):
        entry = {key: value for key, value in ENTRY.items() if key != name}
        change = decode_item(item("servers/i-1", entry))
        assert isinstance(change, UnreadableItem) and change.searcher == "i-1"

    @pytest.mark.parametrize(
        ("name", "value"),
        [
            ("slots", "2"),
            ("slots", True),
            ("slots", 0),
            ("state", "sleeping"),
            ("address", "example:80"),
            ("address", "10.0.0.1:x"),
            ("address", "10.0.0.1:0"),
            ("born", 1.5),
            ("coldRemainingMs", None),
            ("sequence", "4"),
            ("service", ""),
        ],
    )
    def test_listing_with_invalid_field_is_unreadable(self, name, value):
        change = decode_item(item("servers/i-1", ENTRY | {name: value}))
        assert isinstance(change, UnreadableItem)

    def test_ignores_unknown_fields(self):
        assert isinstance(decode_item(item("servers/i-1", ENTRY | {"new": []})), SearcherListed)

    @given(st.binary(max_size=80))
    def test_arbitrary_bytes_are_unreadable(self, data):
        assert isinstance(decode_item(item("servers/i-1", data)), UnreadableItem)

    @given(
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
            lambda inner: st.lists(inner, max_size=3)
            | st.dictionaries(st.sampled_from(["key", "value", "removed", "x"]), inner, max_size=3),
            max_leaves=8,
        )
    )
    def test_arbitrary_item_raises_no_error(self, value):
        decode_item(value)


class TestConfiguration:
    def test_decodes_routes_of_each_target_type(self):
        change = decode_item(item("op/config", CONFIG))
        assert isinstance(change, PublishedConfiguration)
        table = change.table
        shards, one, split = table.routes
        assert shards.target == Shards(("s1", "s2"), 5, 0.75)
        assert (shards.kind, shards.attempts, shards.timeout, shards.objective, shards.rank) == (
            Idempotency.IDEMPOTENT,
            2,
            250.0,
            44.0,
            0,
        )
        assert one.target == OneService("s3") and one.kind is Idempotency.NON_IDEMPOTENT
        assert isinstance(split.target, Split)
        assert table.services["s1"].connections == 25
        assert table.limits.header_bytes == 100

    def test_finds_route_with_longest_prefix(self):
        table = decode_item(item("op/config", CONFIG)).table
        assert table.find_route("A.example", "/x/y/z").id == "r2"
        assert table.find_route("a.example", "/x/z").id == "r1"
        assert table.find_route("a.example", "/x") is None
        assert table.find_route("b.example", "/x/") is None

    @pytest.mark.parametrize("name", ["version", "routes", "services", "limits"])
    def test_configuration_without_part_is_unreadable(self, name):
        config = {key: value for key, value in CONFIG.items() if key != name}
        assert isinstance(decode_item(item("op/config", config)), UnreadableItem)

    def test_ignores_other_keys(self):
        assert decode_item(item("op/other", CONFIG)) is None

    @given(
        st.sampled_from(["version", "routes", "services", "limits"]),
        st.none() | st.integers() | st.text(max_size=3) | st.lists(st.integers(), max_size=2),
    )
    def test_part_of_other_type_raises_no_error(self, name, value):
        decode_item(item("op/config", CONFIG | {name: value}))
