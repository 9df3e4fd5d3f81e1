"""The encoding and decoding of messages between hosts, with valid, damaged and arbitrary frames."""

import socket
import struct

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from masticgate import Millis, NotRun, Rank, Reason, Step, Unknown
from masticgate.connection import (
    BadFrameError,
    FrameSocket,
    decode_message,
    encode_message,
)
from masticgate.connection._socket import MAX_FRAME_BYTES
from masticgate.process import (
    Demand,
    Heartbeat,
    HeartbeatReply,
    Hello,
    Member,
    MemberState,
    Pressure,
    RefusedCount,
    ServicePressure,
)
from masticgate.request import (
    Ask,
    Book,
    BookReply,
    Cancel,
    Forward,
    ForwardReply,
    Hit,
    Hits,
    Ran,
    Reply,
    ServicePart,
    VersionGone,
)
from masticgate.version import CataloguePush, FetchVersions, TextPush, Versions

NUMBERS = st.integers(0, 2**63 - 1)
FRACTIONS = st.sampled_from([0.0, 0.25, 0.5, 1.0])


def build(kind, **fields):
    return st.builds(kind, **fields)


REASONS, STEPS, RANKS = (st.sampled_from(list(kind)) for kind in (Reason, Step, Rank))
TEXTS = st.text(alphabet=st.characters(exclude_characters="\0", codec="utf-8"), max_size=12)
FAILURES = [
    build(kind, reason=REASONS, step=STEPS, peer=TEXTS, detail=TEXTS) for kind in (NotRun, Unknown)
]
HITS = build(
    Hits,
    snapshot=NUMBERS,
    shards=st.lists(TEXTS, max_size=3).map(tuple),
    hits=st.lists(st.builds(Hit, TEXTS, FRACTIONS, TEXTS, TEXTS), max_size=3).map(tuple),
)
VERSION_GONE = st.builds(VersionGone, NUMBERS, st.lists(NUMBERS, max_size=3).map(tuple))
OUTCOMES = st.one_of(st.builds(Ran, TEXTS), *FAILURES)
PARTS = st.lists(st.builds(ServicePart, TEXTS, st.lists(TEXTS, max_size=3).map(tuple)), max_size=3)
VERSIONS = st.builds(Versions, NUMBERS, NUMBERS)
MEMBERS = st.lists(
    st.builds(Member, TEXTS, TEXTS, TEXTS, NUMBERS, st.sampled_from(list(MemberState))), max_size=3
).map(tuple)
MESSAGES = st.one_of(
    st.builds(Hello, TEXTS, TEXTS, TEXTS, NUMBERS, st.integers(0, 9), st.integers(0, 9)),
    st.builds(Ask, TEXTS, RANKS, FRACTIONS, FRACTIONS, NUMBERS, TEXTS, PARTS.map(tuple)),
    st.builds(Reply, TEXTS, TEXTS, st.one_of(HITS, VERSION_GONE, *FAILURES)),
    st.builds(Cancel, TEXTS),
    st.builds(Book, TEXTS, TEXTS, st.integers(0, 9), TEXTS, RANKS, FRACTIONS, TEXTS),
    st.builds(BookReply, TEXTS, OUTCOMES),
    st.builds(Forward, TEXTS, NUMBERS, TEXTS, TEXTS, RANKS, FRACTIONS, TEXTS),
    st.builds(ForwardReply, TEXTS, OUTCOMES),
    st.builds(Heartbeat, NUMBERS, VERSIONS, MEMBERS),
    st.builds(HeartbeatReply, NUMBERS, VERSIONS, MEMBERS),
    st.builds(
        Demand,
        st.lists(st.builds(RefusedCount, TEXTS, RANKS, st.integers(0, 99)), max_size=3).map(tuple),
    ),
    st.builds(
        Pressure,
        st.lists(
            st.builds(ServicePressure, TEXTS, st.tuples(FRACTIONS, FRACTIONS, FRACTIONS)),
            max_size=3,
        ).map(tuple),
    ),
    st.builds(FetchVersions, VERSIONS),
    st.builds(TextPush, NUMBERS, TEXTS),
    st.builds(CataloguePush, TEXTS),
)


@pytest.fixture
def connection_pair():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        far = socket.create_connection(listener.getsockname())
        near, _ = listener.accept()
    frame_socket = FrameSocket(near)
    frame_socket.set_timeout(Millis(2000.0))
    yield far, frame_socket
    far.close()
    frame_socket.release()


class TestCodec:
    @settings(derandomize=True, deadline=None)
    @given(MESSAGES)
    def test_decodes_encoded_messages(self, message):
        assert decode_message(encode_message(message)) == message

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=400))
    def test_decodes_any_bytes_to_message_or_bad_frame_error(self, data):
        try:
            decode_message(data)
        except BadFrameError:
            return

    @settings(derandomize=True, deadline=None)
    @given(MESSAGES, st.data())
    def test_decodes_damaged_frame_to_message_or_bad_frame_error(self, message, data):
        frame = bytearray(encode_message(message))
        for index in data.draw(st.lists(st.integers(0, len(frame) - 1), max_size=4)):
            frame[index] = data.draw(st.integers(0, 255))
        try:
            decode_message(bytes(frame[: data.draw(st.integers(0, len(frame)))]))
        except BadFrameError:
            return


class TestFrameSocket:
    def test_reads_messages_that_arrive_in_pieces(self, connection_pair):
        far, frame_socket = connection_pair
        data = encode_message(Cancel("q1"))
        frames = (struct.pack("!I", len(data)) + data) * 2
        messages = frame_socket.read_messages()
        far.sendall(frames[:7])
        far.sendall(frames[7:])
        assert [next(messages), next(messages)] == [Cancel("q1"), Cancel("q1")]

    @pytest.mark.parametrize(
        "data",
        [b"\0", struct.pack("!I", 100) + b"x", struct.pack("!I", MAX_FRAME_BYTES + 1) + b"x" * 50],
    )
    def test_rejects_truncated_or_oversized_frame(self, connection_pair, data):
        far, frame_socket = connection_pair
        far.sendall(data)
        far.shutdown(socket.SHUT_WR)
        with pytest.raises(BadFrameError):
            next(frame_socket.read_messages())

    def test_closes_connection_if_peer_reads_nothing(self, connection_pair):
        _, frame_socket = connection_pair
        push = TextPush(1, "x" * 500_000)
        assert not all(frame_socket.send(push) for _ in range(50))
        assert frame_socket.closed
