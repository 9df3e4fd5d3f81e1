"""Tests that a gateway limits the size and the duration of endless responses.

At the limit it closes the connection. Such responses come from searchers, from gateways that gather
a query, or from the platform's store.
"""

import threading
from collections.abc import Iterator
from contextlib import contextmanager, suppress
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
    MemoryUse,
    NoResponse,
    SearcherTask,
    peer_header_names,
)
from masticgate.connection.gateway._parser import Malformed
from masticgate.connection.gateway._response_parser import ResponseParser
from masticgate.process.gateway import HostCapacity, _memory_keeper
from masticgate.request.gateway import Call, Lost
from masticgate.version.gateway import OneService

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
from .loopback import RawCaller, StandInSearcher, head_value, reply_to, running_gateway

MAX_HEAD_BYTES = 65_536
"""The most bytes of all response heads received for one request."""

MAX_BODY_BYTES = 8_000_000
"""The most bytes of all response bodies received for one request."""

MAX_CHUNKED_BYTES = MAX_BODY_BYTES * 3 // 2
"""The most bytes of bodies in chunks, with the framing of the chunks."""

MAX_PENDING_BYTES = 24_000_000
"""The room of the gateway in the test of many answers, for all its connections together."""

ORDINARY_BYTES = 16_384

RECEIVE_BYTES = 4_096
"""The most bytes that a connection receives at once."""

SMALL_CAPACITY = HostCapacity(1.0, 1_000.0, memory=4 * MAX_PENDING_BYTES)
"""Of this memory the room is a quarter, the least share, if the idle process fills it."""

MAX_WAIT_S = 5.0
LONG_TIMEOUT = Millis(60_000.0)
SHORT_TIMEOUT = Millis(200.0)
SLOW_BODY = EndlessResponse(RESPONSE_START + b"Content-Length: 1000000\r\n\r\n", b"x")
SLOW_INTERIM_RESPONSES = EndlessResponse(b"", b"HTTP/1.1 100 Continue\r\n\r\n")


def received_pieces(data: bytes) -> Iterator[bytes]:
    """Yield ``data`` in the pieces in which a connection receives it."""
    for start in range(0, len(data), RECEIVE_BYTES):
        yield data[start : start + RECEIVE_BYTES]


def feed_all(parser: ResponseParser, data: bytes) -> Malformed | None:
    """Feed ``data`` to the parser and return its first error, if any."""
    return next(filter(None, map(parser.feed, received_pieces(data))), None)


def count_accepted_bytes(response: EndlessResponse) -> int:
    """Return how many bytes of a response a parser is fed until it returns an error."""
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
    """Run a server that sends ``response``, and yield it."""
    server = EndlessServer(response, pause_s)
    try:
        yield server
    finally:
        server.stop()


def encode_chunked(body: bytes, size: int) -> bytes:
    """Return a response with ``body`` in chunks of ``size`` bytes."""
    parts = (body[start : start + size] for start in range(0, len(body), size))
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
    return CHUNKED_HEAD + chunks + b"0\r\n\r\n"


class TestResponseParser:
    @pytest.mark.parametrize("name", ENDLESS_HEADS)
    def test_rejects_endless_head_at_size_limit(self, name):
        assert count_accepted_bytes(ENDLESS_HEADS[name]) <= MAX_HEAD_BYTES + RECEIVE_BYTES

    @pytest.mark.parametrize("name", ENDLESS_BODIES | ENDLESS_SEQUENCES)
    def test_rejects_endless_body_at_size_limit(self, name):
        assert (
            count_accepted_bytes(ENDLESS[name])
            <= MAX_HEAD_BYTES + MAX_CHUNKED_BYTES + RECEIVE_BYTES
        )

    @pytest.mark.parametrize("size", [16, 1_024, 65_536])
    def test_accepts_body_in_chunks(self, size):
        parser = ResponseParser()
        body = bytes(1_000_000)
        assert feed_all(parser, encode_chunked(body, size)) is None
        assert [response.body for response in parser.ready] == [body]

    def test_accepts_response_of_largest_size(self):
        parser = ResponseParser()
        fill = b"x-fill: " + b"x" * (MAX_HEAD_BYTES - 200) + b"\r\n"
        head = RESPONSE_START + fill + b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES
        assert feed_all(parser, head + bytes(MAX_BODY_BYTES)) is None
        assert len(parser.ready[0].body) == MAX_BODY_BYTES

    def test_counts_bytes_anew_after_each_accepted_response(self):
        parser = ResponseParser()
        response = RESPONSE_START + b"Content-Length: 1000000\r\n\r\n" + bytes(1_000_000)
        for _ in range(20):
            assert feed_all(parser, response) is None
            assert len(parser.ready.pop().body) == 1_000_000
            parser.reset_byte_counts()


class RecordingHandler:
    """A handler that records when the call of a task has finished and its connection has closed."""

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

    def handle_notice(self, task, notice):
        pass

    def record_violation(self, task, violation):
        pass


class UnreadInbox:
    """An inbox that nobody reads."""

    def put(self, call):
        pass

    def finish_sending(self, call, sending):
        pass


def run_call(address: Address, header_names=HEADER_NAMES) -> tuple[Call, RecordingHandler]:
    """Run one call at ``address`` with a long timeout, and wait until it has finished."""
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
    def test_endless_response_ends_call_and_connection(self, name):
        with running_server(ENDLESS[name]) as server:
            call, handler = run_call(server.address)
            assert isinstance(call.outcome, Lost)
            assert call.outcome.sent
            assert call.outcome.detail.startswith("bad response")
            assert not handler.reusable
            assert handler.closed.wait(MAX_WAIT_S)
            assert server.closed.wait(MAX_WAIT_S)
            assert server.sent_bytes < MAX_SENT_BYTES

    def test_accepts_response_after_100_late_responses_to_other_requests(self):
        late = b"HTTP/1.1 200 OK\r\nx-id: q0\r\nContent-Length: 3\r\n\r\nold"
        searcher = StandInSearcher(lambda head: 100 * late + reply_to(head, b"mine"))
        with running_gateway([make_route()], {"orders": [searcher]}) as gateway:
            caller = RawCaller(gateway)
            for number in range(20):
                assert caller.get(request_id=f"n{number}").read()[2] == b"mine"
        assert len(searcher.requests) == 20

    @pytest.mark.parametrize(
        "response", [SLOW_BODY, SLOW_INTERIM_RESPONSES], ids=["body", "interim_responses"]
    )
    def test_slow_endless_response_is_cancelled_after_deadline(self, response):
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
    def test_slow_endless_response_is_cancelled_when_another_searcher_has_answered(self, response):
        with running_server(response, pause_s=0.005) as server:
            searchers = {"orders": [server, StandInSearcher(reply_to)]}
            with running_gateway([make_route()], searchers) as gateway:
                started_at = monotonic()
                for number in range(4):
                    assert RawCaller(gateway).get(request_id=f"q{number}").read()[0] == 200
                assert server.closed.wait(MAX_WAIT_S)
                assert monotonic() - started_at < 3.0


class TestPeerResponse:
    @pytest.mark.parametrize("name", ENDLESS)
    def test_endless_response_ends_forwarded_query_and_connection(self, name):
        with running_server(ENDLESS[name]) as server:
            call, handler = run_call(server.address, peer_header_names(HEADER_NAMES))
            assert isinstance(call.outcome, Lost)
            assert call.outcome.detail.startswith("bad response")
            assert not handler.reusable
            assert handler.closed.wait(MAX_WAIT_S)
            assert server.closed.wait(MAX_WAIT_S)

    def test_accepts_head_with_stamps_of_300_shards(self):
        stamps = ", ".join(f"{number:08x}.07.5a2.600.0.c9f2a4d1" for number in range(300))
        head = RESPONSE_START + b"x-gateway-stamps: %s\r\n" % stamps.encode()
        parser = ResponseParser()
        assert feed_all(parser, head + b"Content-Length: 2\r\n\r\nok") is None
        assert parser.ready[0].headers_by_name[b"x-gateway-stamps"] == stamps.encode()


class AdvancingClock(ManualClock):
    """A clock that advances by 10 ms whenever it is read."""

    def now(self) -> Millis:
        self.advance(Millis(10.0))
        return self.current


class TestPlatformResponse:
    @pytest.mark.parametrize("name", ENDLESS_HEADS | ENDLESS_BODIES)
    def test_endless_response_ends_read_and_connection(self, name):
        with running_server(ENDLESS[name]) as server:
            client = HttpClient(server.address, SystemClock())
            response = client.get("platform", "/", {}, GetTimeouts(LONG_TIMEOUT, LONG_TIMEOUT))
            assert isinstance(response, InvalidResponse)
            assert client.socket is None
            assert server.closed.wait(MAX_WAIT_S)
            assert server.sent_bytes < MAX_SENT_BYTES

    # Guards against a read that lasts as long as bytes arrive, because each receive has the full
    # timeout again, also after the deadline of the read.
    def test_read_of_endless_body_ends_at_deadline(self):
        with running_server(ENDLESS_BODIES["body_with_length"]) as server:
            client = HttpClient(server.address, clock := AdvancingClock())
            response = client.get("platform", "/", {}, GetTimeouts(LONG_TIMEOUT, SHORT_TIMEOUT))
            assert response == NoResponse(True, "receive: no complete response in time")
            assert clock.current < 2 * SHORT_TIMEOUT
            assert server.closed.wait(MAX_WAIT_S)

    # Guards against a connection that stays open although further responses, which are dropped,
    # arrive in the same receive as the first.
    @pytest.mark.parametrize("name", ENDLESS_SEQUENCES)
    def test_responses_after_the_first_end_connection(self, name):
        repeated = ENDLESS_SEQUENCES[name].repeated
        with running_server(EndlessResponse(2 * repeated, repeated), pause_s=1.0) as server:
            client = HttpClient(server.address, SystemClock())
            response = client.get("platform", "/", {}, GetTimeouts(LONG_TIMEOUT, LONG_TIMEOUT))
            assert isinstance(response, HttpResponse)
            assert client.socket is None


class StallingServer(StandInSearcher):
    """A server that sends ``count`` bytes of a response without an end, and then waits."""

    def __init__(self, count: int) -> None:
        self.count = count
        self.stopped = threading.Event()
        super().__init__(lambda head: None)

    def _serve(self, connection):
        with connection, suppress(OSError):
            head = self._read(connection)
            start = b"HTTP/1.1 200 OK\r\nx-id: %s\r\nx-stamp: s\r\n\r\n"
            connection.sendall(start % head_value(head, b"x-id") + bytes(self.count))
            self.stopped.wait(MAX_WAIT_S)


class TestManyEndlessResponses:
    def test_process_bounds_their_bytes_together_and_serves_other_requests(self, monkeypatch):
        """Guard against a process that runs out of memory by many answers within their limits."""
        stalling = [StallingServer(3_000_000) for _ in range(10)]
        slow = replace(make_route(), timeout=Millis(8_000.0), objective=Millis(5_000.0))
        other = make_route(OneService(ServiceId("others")), prefix="/b/")
        searchers = {"orders": stalling, "others": [StandInSearcher(reply_to)]}
        monkeypatch.setattr(_memory_keeper, "read_resident_bytes", lambda: SMALL_CAPACITY.memory)
        with running_gateway([slow, other], searchers, capacity=SMALL_CAPACITY) as gateway:
            assert gateway.memory.plan.room == MAX_PENDING_BYTES
            callers = [
                RawCaller(gateway).get(request_id=f"q{number}", caller_timeout=8_000)
                for number in range(20)
            ]
            deadline, most = monotonic() + 2.0, 0
            while monotonic() < deadline:
                tasks = list(gateway.fleet.tasks)
                most = max(most, sum(task.parser.received_bytes for task in tasks))
                assert RawCaller(gateway).get("/b/x").read()[0] == 200
            for server in stalling:
                server.stopped.set()
            for caller in callers:
                assert caller.read()[0] in (200, 502, 503, 504)
            assert most <= MAX_PENDING_BYTES + 20 * ORDINARY_BYTES + 20 * RECEIVE_BYTES
            wait_until(lambda: not gateway.memory.used[MemoryUse.ANSWERS])
            assert gateway.metrics.counters["answer_oversized"] > 0
            # The gateway lacked the memory; its searchers did not fail.
            assert gateway.metrics.counters["searcher_failures"] == 0

    def test_bytes_of_finished_answers_no_longer_count(self):
        large = StandInSearcher(lambda head: reply_to(head, bytes(1_000_000)))
        with running_gateway([make_route()], {"orders": [large]}) as gateway:
            for number in range(30):
                assert RawCaller(gateway).get(request_id=f"q{number}").read()[0] == 200
            wait_until(lambda: not gateway.memory.used[MemoryUse.ANSWERS])


def wait_until(condition) -> None:
    deadline = monotonic() + MAX_WAIT_S
    while not condition() and monotonic() < deadline:
        threading.Event().wait(0.02)
    assert condition()
