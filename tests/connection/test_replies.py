"""Whatever a searcher or the platform answers becomes a value that other hosts can be told."""

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
LEAVES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**70), 2**70),
    st.floats(),
    st.text(max_size=5),
    st.sampled_from(["draining", "shed", "\0", "127.0.0.1:99999999", "h1"]),
)
VALUES = st.recursive(
    LEAVES,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(KEYS, inner, max_size=4),
    max_leaves=8,
)
HITS = st.fixed_dictionaries(
    {"snapshot": st.just(1) | VALUES, "shards": VALUES, "hits": st.lists(VALUES, max_size=2)}
)
GONE = st.fixed_dictionaries({"held": st.lists(VALUES, max_size=3)})
BODIES = st.one_of(
    st.binary(max_size=60), st.one_of(VALUES, HITS, GONE).map(lambda v: json.dumps(v).encode())
)
REPLIES = st.one_of(
    st.builds(HttpReply, st.sampled_from([200, 204, 404, 409, 410, 429, 500, 503]), BODIES),
    st.builds(HttpFailure, st.booleans(), st.text(max_size=5)),
)
FUZZ = settings(derandomize=True, deadline=None, max_examples=200)


class Clock:
    def now(self):
        return Millis(0.0)


class Call:
    """Answers every call with the same reply."""

    address = "127.0.0.1:1"

    def __init__(self, reply):
        self.get = self.post = self.post_once = lambda *_: reply


class Sent:
    searcher = SearcherId("d1a")
    incarnation = ""


class TestSearcherReplies:
    @FUZZ
    @given(REPLIES)
    @example(HttpReply(410, b'{"held": [1180591620717411303424]}'))
    @example(HttpReply(200, b'{"snapshot": 1, "shards": ["\\u0000"], "hits": []}'))
    def test_a_search_gets_a_result_that_can_be_sent_on(self, reply):
        work = SearchWork(
            "q", "desk", ("s0",), SnapshotVersion(1), Rank.BULK, Millis(9.0), 0.5, "", print
        )
        result = _search(Call(reply), work, Sent(), Clock())
        assert isinstance(result, Hits | VersionGone | NotRun | Unknown)
        sent = decode_message(encode_message(Reply("q", "desk", result)))
        assert sent.result == result

    @FUZZ
    @given(REPLIES)
    def test_a_booking_did_not_run_only_on_a_known_word(self, reply):
        work = BookingWork("q", "desk", "t", 1, Rank.BULK, Millis(9.0), "{}", print)
        match _book(Call(reply), work, Sent(), Clock()):
            case Ran():
                assert reply.status == 200
            case NotRun(detail=detail):
                lost = isinstance(reply, HttpFailure)
                assert not reply.sent if lost else detail in ("draining", "shed", "cold")
            case other:
                assert isinstance(other, Unknown)


class TestPlatformReplies:
    @FUZZ
    @given(REPLIES)
    def test_a_key_has_a_value_or_a_failure(self, reply):
        reader = PlatformReader("127.0.0.1:1", "127.0.0.1:1")
        reader.values = Call(reply)
        result = reader.watch("k", Revision(0), Millis(1.0))
        assert isinstance(result, Value | Unchanged | Unknown)

    @FUZZ
    @given(
        st.lists(
            st.fixed_dictionaries(
                {"host": LEAVES, "address": LEAVES, "failure_domain": st.just("north") | LEAVES}
            ),
            max_size=3,
        )
    )
    def test_a_host_list_holds_only_hosts_that_can_be_reached_or_fails(self, hosts):
        reader = PlatformReader("127.0.0.1:1", "127.0.0.1:1")
        reader.hosts = Call(HttpReply(200, json.dumps({"hosts": hosts}).encode()))
        listed = reader.list_hosts()
        if not isinstance(listed, Unknown):
            assert all(0 < int(host.address.rpartition(":")[2]) < 65536 for host in listed)
