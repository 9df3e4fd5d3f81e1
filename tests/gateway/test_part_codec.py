"""Tests for the header by which a gateway asks another to gather a part of a query."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from masticgate import ServiceId
from masticgate.connection.gateway._part_codec import decode_part, encode_part
from masticgate.connection.gateway._positions import decode_positions, encode_positions
from masticgate.request.gateway import Part
from masticgate.version.gateway import Shards

from .fakes import make_route

ROUTE = make_route(Shards(tuple(ServiceId(f"s{number}") for number in range(90)), 10, 0.95))
PART = Part((1, 5, 89), 2, ROUTE)


class TestPart:
    def test_states_shards_and_route(self):
        decoded = decode_part(encode_part(PART))
        assert (decoded.positions, decoded.least) == (PART.positions, PART.least)
        target = decoded.route.target
        assert [target.services[position] for position in PART.positions] == ["s1", "s5", "s89"]
        assert target.top == 10
        for name in ("id", "attempts", "timeout", "objective", "rank", "kind"):
            assert getattr(decoded.route, name) == getattr(ROUTE, name)

    @pytest.mark.parametrize(
        ("name", "value"),
        [
            ("positions", ""),
            ("positions", "0"),
            ("positions", "x"),
            ("positions", "f" * 20_000),
            ("services", ["s1"]),
            ("services", ["s1", "s5", "\ud800"]),
            ("attempts", 0),
            ("timeout", 10**400),
            ("least", -1),
            ("top", None),
        ],
    )
    def test_invalid_field_makes_it_invalid(self, name, value):
        fields = json.loads(encode_part(PART)) | {name: value}
        assert decode_part(json.dumps(fields).encode()) is None

    @given(st.binary(max_size=100))
    def test_any_bytes_raise_no_error(self, data):
        decode_part(data)


class TestPositions:
    @given(st.sets(st.integers(0, 300), min_size=1))
    def test_are_decoded_in_order(self, positions):
        assert decode_positions(encode_positions(positions)) == tuple(sorted(positions))
