"""Answers that do not end: they cost a bounded number of bytes, and their connection is closed."""

import threading
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from itertools import chain, cycle
from time import monotonic

import pytest

from masticgate import Address, ManualClock, Millis, SearcherId, ServiceId, SystemClock
from masticgate.connection.gateway import (
    GetTimeouts,
    HttpClient,
    HttpResponse,
    InvalidResponse,
    NoResponse,
    SearcherTask,
    peer_header_names,
)
from masticgate.connection.gateway._parser import Malformed
from masticgate.connection.gateway._response_parser import ResponseParser
from masticgate.request.gateway import Call, Lost

from .endless_responses import (
    CHUNKED_HEAD,
    ENDLESS,
    ENDLESS_BODIES,
    ENDLESS_HEADS,
    ENDLESS_SEQUENCES,
    MAX_SENT_BYTES,
    RESPONSE_START,
    EndlessResponse,
    EndlessServer,
)
from .fakes import HEADER_NAMES, make_request, make_route
from .loopback import RawCaller, StandInSearcher, reply_to, running_gateway

MAX_HEAD_BYTES = 65_536
MAX_BODY_BYTES = 8_000_000
MAX_CHUNKED_BYTES = MAX_BODY_BYTES * 3 // 2
RECEIVE_BYTES = 4_096
MAX_WAIT_S = 5.0
LONG_TIMEOUT = Millis(60_000.0)
SHORT_TIMEOUT = Millis(200.0)
SLOW_BODY = EndlessResponse(RESPONSE_START + b"Content-Length: 1000000\r\n\r\n", b"x")
SLOW_INTERIM_RESPONSES = EndlessResponse(b"", b"HTTP/1.1 100 Continue\r\n\r\n")


def received_pieces(data: bytes) -> Iterator[bytes]:
    """Yield ``data`` as a connection receives it."""
    for start in range(0, len(data), RECEIVE_BYTES):
        yield data[start : start + RECEIVE_BYTES]


def feed_all(parser: ResponseParser, data: bytes) -> Malformed | None:
    """Feed ``data``; return what the parser first says against it."""
    return next(filter(None, map(parser.feed, received_pieces(data))), None)


def count_accepted_bytes(response: EndlessResponse) -> int:
    """Return how many bytes of ``flow`` a parser takes until it gives up."""
    parser = ResponseParser()
    accepted = 0
    for piece in chain(received_pieces(response.start), cycle(received_pieces(response.block))):
        accepted += len(piece)
        if parser.feed(piece) is not None or accepted > MAX_SENT_BYTES:
            break
        parser.ready.clear()
    return accepted


@contextmanager
def running_server(response: EndlessResponse, pause_s: float | None = None):
    server = EndlessServer(response, pause_s)
    try:
        yield server
    finally:
        server.stop()


def encode_chunked(body: bytes, size: int) -> bytes:
    parts = (body[start : start + size] for start in range(0, len(body), size))
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
    return CHUNKED_HEAD + chunks + b"0\r\n\r\n"


class TestResponseParser:
    @pytest.mark.parametrize("name", ENDLESS_HEADS)
    def test_an_endless_head_is_given_up_at_the_largest_head(self, name):
        assert count_accepted_bytes(ENDLESS_HEADS[name]) <= MAX_HEAD_BYTES + RECEIVE_BYTES

    @pytest.mark.parametrize("name", ENDLESS_BODIES | ENDLESS_SEQUENCES)
    def test_an_endless_body_is_given_up_at_the_largest_body(self, name):
        assert (
            count_accepted_bytes(ENDLESS[name])
            <= MAX_HEAD_BYTES + MAX_CHUNKED_BYTES + RECEIVE_BYTES
        )

    @pytest.mark.parametrize("size", [16, 1_024, 65_536])
    def test_an_answer_in_chunks_is_taken_whole(self, size):
        parser = ResponseParser()
        body = bytes(1_000_000)
        assert feed_all(parser, encode_chunked(body, size)) is None
        assert [answer.body for answer in parser.ready] == [body]

    def test_the_largest_answer_is_taken_whole(self):
        parser = ResponseParser()
        fill = b"x-fill: " + b"x" * (MAX_HEAD_BYTES - 200) + b"\r\n"
        head = RESPONSE_START + fill + b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES
        assert feed_all(parser, head + bytes(MAX_BODY_BYTES)) is None
        assert len(parser.ready[0].body) == MAX_BODY_BYTES

    def test_each_accepted_answer_lets_the_count_begin_anew(self):
        parser = ResponseParser()
        answer = RESPONSE_START + b"Content-Length: 1000000\r\n\r\n" + bytes(1_000_000)
        for _ in range(20):
            assert feed_all(parser, answer) is None
            assert len(parser.ready.pop().body) == 1_000_000
            parser.reset_byte_counts()


class RecordingHandler:
    """Notes when a task's call finished and its connection ended."""

    def __init__(self) -> None:
        self.reusable = True
        self.finished = threading.Event()
        self.closed = threading.Event()

    def handle_open(self, task):
        pass

    def handle_outcome(self, task, call, load, *, reusable):
        self.reusable = reusable
        self.finished.set()

    def handle_close(self, task, *, connected):
        self.closed.set()

    def record_violation(self, task, violation):
        pass


class UnreadInbox:
    """An inbox that nobody reads."""

    def put(self, call):
        pass


def run_call(address: Address, header_names=HEADER_NAMES) -> tuple[Call, RecordingHandler]:
    """Run one call at ``address`` that may last long, until it ends."""
    clock, handler = SystemClock(), RecordingHandler()
    request = replace(make_request(), headers=((b"x-id", b"q1"),))
    deadline = Millis(clock.now() + LONG_TIMEOUT)
    call = Call(request, make_route(), ServiceId("orders"), deadline, UnreadInbox())
    task = SearcherTask(SearcherId("s1"), address, handler, header_names, clock, call)
    threading.Thread(target=task.run, daemon=True).start()
    assert handler.finished.wait(2 * MAX_WAIT_S)
    return call, handler


class TestSearcherResponse:
    @pytest.mark.parametrize("name", ENDLESS)
    def test_an_endless_answer_ends_the_call_and_the_connection(self, name):
        with running_server(ENDLESS[name]) as server:
            call, handler = run_call(server.address)
            assert isinstance(call.outcome, Lost)
            assert call.outcome.sent
            assert call.outcome.detail.startswith("bad response")
            assert not handler.reusable
            assert handler.closed.wait(MAX_WAIT_S)
            assert server.closed.wait(MAX_WAIT_S)
            assert server.sent_bytes < MAX_SENT_BYTES

    def test_the_own_answer_counts_behind_late_ones(self):
        late = b"HTTP/1.1 200 OK\r\nx-id: q0\r\nContent-Length: 3\r\n\r\nold"
        searcher = StandInSearcher(lambda head: 100 * late + reply_to(head, b"mine"))
        with running_gateway([make_route()], {"orders": [searcher]}) as gateway:
            caller = RawCaller(gateway)
            for number in range(20):
                assert caller.get(identity=f"n{number}").read()[2] == b"mine"
        assert len(searcher.heads) == 20

    @pytest.mark.parametrize(
        "response", [SLOW_BODY, SLOW_INTERIM_RESPONSES], ids=["body", "interim_responses"]
    )
    def test_an_endless_trickle_is_cut_after_the_deadline(self, response):
        with running_server(response, pause_s=0.005) as server:
            running = running_gateway([make_route(attempts=1)], {"orders": [server]})
            with running as gateway:
                started_at = monotonic()
                assert RawCaller(gateway).get().read()[0] == 504
                assert server.closed.wait(MAX_WAIT_S)
                assert monotonic() - started_at < 2.0

    @pytest.mark.parametrize(
        "response", [SLOW_BODY, SLOW_INTERIM_RESPONSES], ids=["body", "interim_responses"]
    )
    def test_an_endless_trickle_is_cut_also_where_another_searcher_answered(self, response):
        with running_server(response, pause_s=0.005) as server:
            searchers = {"orders": [server, StandInSearcher(reply_to)]}
            with running_gateway([make_route()], searchers) as gateway:
                started_at = monotonic()
                for number in range(4):
                    assert RawCaller(gateway).get(identity=f"q{number}").read()[0] == 200
                assert server.closed.wait(MAX_WAIT_S)
                assert monotonic() - started_at < 3.0


class TestPeerResponse:
    @pytest.mark.parametrize("name", ENDLESS)
    def test_an_endless_answer_ends_a_query_that_was_handed_on(self, name):
        with running_server(ENDLESS[name]) as server:
            call, handler = run_call(server.address, peer_header_names(HEADER_NAMES))
            assert isinstance(call.outcome, Lost)
            assert call.outcome.detail.startswith("bad response")
            assert not handler.reusable
            assert handler.closed.wait(MAX_WAIT_S)
            assert server.closed.wait(MAX_WAIT_S)

    def test_a_head_that_names_300_parts_is_taken(self):
        stamps = ", ".join(f"{number:08x}.07.5a2.600.0.c9f2a4d1" for number in range(300))
        head = RESPONSE_START + b"x-gateway-stamps: %s\r\n" % stamps.encode()
        parser = ResponseParser()
        assert feed_all(parser, head + b"Content-Length: 2\r\n\r\nok") is None
        assert parser.ready[0].headers_by_name[b"x-gateway-stamps"] == stamps.encode()


class AdvancingClock(ManualClock):
    """Moves on by 10 ms whenever it is read."""

    def now(self) -> Millis:
        self.advance(Millis(10.0))
        return self.current


class TestPlatformResponse:
    @pytest.mark.parametrize("name", ENDLESS_HEADS | ENDLESS_BODIES)
    def test_an_endless_answer_ends_the_read_and_the_connection(self, name):
        with running_server(ENDLESS[name]) as server:
            client = HttpClient(server.address, SystemClock())
            response = client.get("platform", "/", {}, GetTimeouts(LONG_TIMEOUT, LONG_TIMEOUT))
            assert isinstance(response, InvalidResponse)
            assert client.socket is None
            assert server.closed.wait(MAX_WAIT_S)
            assert server.sent_bytes < MAX_SENT_BYTES

    # While bytes came, each of them was waited for anew, also beyond the deadline.
    def test_an_endless_body_does_not_outlast_the_deadline(self):
        with running_server(ENDLESS_BODIES["body_with_length"]) as server:
            client = HttpClient(server.address, clock := AdvancingClock())
            response = client.get("platform", "/", {}, GetTimeouts(LONG_TIMEOUT, SHORT_TIMEOUT))
            assert response == NoResponse(True, "receive: no complete response in time")
            assert clock.current < 2 * SHORT_TIMEOUT
            assert server.closed.wait(MAX_WAIT_S)

    # Answers that came in one receive with the first were dropped, and the connection was kept.
    @pytest.mark.parametrize("name", ENDLESS_SEQUENCES)
    def test_answers_behind_the_first_end_the_connection(self, name):
        repeated = ENDLESS_SEQUENCES[name].repeated
        with running_server(EndlessResponse(2 * repeated, repeated), pause_s=1.0) as server:
            client = HttpClient(server.address, SystemClock())
            response = client.get("platform", "/", {}, GetTimeouts(LONG_TIMEOUT, LONG_TIMEOUT))
            assert isinstance(response, HttpResponse)
            assert client.socket is None
