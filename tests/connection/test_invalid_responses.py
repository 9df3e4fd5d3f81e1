"""Arbitrary responses of searchers and of the platform are decoded to a valid value or a failure.

The values are valid if they can be sent to other hosts.
"""

import json

from hypothesis import example, given, settings
from hypothesis import strategies as st

from masticgate import Millis, NotRun, Rank, Revision, SearcherId, SnapshotVersion, Unknown
from masticgate.connection import (
    HttpFailure,
    HttpReply,
    PlatformReader,
    Unchanged,
    Value,
    decode_message,
    encode_message,
)
from masticgate.connection._searcher import _book, _search
from masticgate.process import BookingWork, SearchWork
from masticgate.request import Hits, Ran, Reply, VersionGone

KEYS = st.sampled_from(
    ["snapshot", "shards", "hits", "id", "score", "shard", "held", "reason", "incarnation"]
)
SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**70), 2**70),
    st.floats(),
    st.text(max_size=5),
    st.sampled_from(["draining", "shed", "\0", "127.0.0.1:99999999", "h1"]),
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(KEYS, inner, max_size=4),
    max_leaves=8,
)
HITS = st.fixed_dictionaries(
    {"snapshot": st.just(1) | VALUES, "shards": VALUES, "hits": st.lists(VALUES, max_size=2)}
)
VERSION_GONE = st.fixed_dictionaries({"held": st.lists(VALUES, max_size=3)})
BODIES = st.one_of(
    st.binary(max_size=60),
    st.one_of(VALUES, HITS, VERSION_GONE).map(lambda v: json.dumps(v).encode()),
)
RESPONSES = st.one_of(
    st.builds(HttpReply, st.sampled_from([200, 204, 404, 409, 410, 429, 500, 503]), BODIES),
    st.builds(HttpFailure, st.booleans(), st.text(max_size=5)),
)
FUZZ_SETTINGS = settings(derandomize=True, deadline=None, max_examples=200)


class Clock:
    def now(self):
        return Millis(0.0)


class FakeConnection:
    """Returns the same reply for every request."""

    address = "127.0.0.1:1"

    def __init__(self, reply):
        self.get = self.post = self.post_once = lambda *_: reply


class FakeAttempt:
    searcher = SearcherId("d1a")
    incarnation = ""


class TestSearcherResponses:
    @FUZZ_SETTINGS
    @given(RESPONSES)
    @example(HttpReply(410, b'{"held": [1180591620717411303424]}'))
    @example(HttpReply(200, b'{"snapshot": 1, "shards": ["\\u0000"], "hits": []}'))
    def test_returns_search_result_that_can_be_encoded(self, reply):
        work = SearchWork(
            "q", "desk", ("s0",), SnapshotVersion(1), Rank.BULK, Millis(9.0), 0.5, "", print
        )
        result = _search(FakeConnection(reply), work, FakeAttempt(), Clock())
        assert isinstance(result, Hits | VersionGone | NotRun | Unknown)
        decoded = decode_message(encode_message(Reply("q", "desk", result)))
        assert decoded.result == result

    @FUZZ_SETTINGS
    @given(RESPONSES)
    def test_reports_booking_not_run_only_for_known_reason_or_if_unsent(self, reply):
        work = BookingWork("q", "desk", "t", 1, Rank.BULK, Millis(9.0), "{}", print)
        match _book(FakeConnection(reply), work, FakeAttempt(), Clock()):
            case Ran():
                assert reply.status == 200
            case NotRun(detail=detail):
                no_response = isinstance(reply, HttpFailure)
                assert not reply.sent if no_response else detail in ("draining", "shed", "cold")
            case other:
                assert isinstance(other, Unknown)


class TestPlatformResponses:
    @FUZZ_SETTINGS
    @given(RESPONSES)
    def test_returns_value_or_failure_for_key(self, reply):
        reader = PlatformReader("127.0.0.1:1", "127.0.0.1:1")
        reader.values = FakeConnection(reply)
        result = reader.watch("k", Revision(0), Millis(1.0))
        assert isinstance(result, Value | Unchanged | Unknown)

    @FUZZ_SETTINGS
    @given(
        st.lists(
            st.fixed_dictionaries(
                {"host": SCALARS, "address": SCALARS, "failure_domain": st.just("north") | SCALARS}
            ),
            max_size=3,
        )
    )
    def test_returns_hosts_with_valid_ports_or_failure(self, hosts):
        reader = PlatformReader("127.0.0.1:1", "127.0.0.1:1")
        reader.hosts = FakeConnection(HttpReply(200, json.dumps({"hosts": hosts}).encode()))
        listed = reader.list_hosts()
        if not isinstance(listed, Unknown):
            assert all(0 < int(host.address.rpartition(":")[2]) < 65536 for host in listed)
