"""What connections hold is counted while they hold it, and returned once, however they end."""

import socket
import threading
from contextlib import suppress
from dataclasses import replace
from time import monotonic

import pytest
from hypothesis import given
from hypothesis import strategies as st

from masticgate import HostId, Millis, SearcherId, ServiceId, SystemClock
from masticgate.connection.gateway import CallerSettings, MemoryUse
from masticgate.connection.gateway._caller import (
    CALLER_CONNECTION_BYTES,
    ORDINARY_REQUEST_BYTES,
    CallerConnection,
)
from masticgate.connection.gateway._holding import Holding
from masticgate.connection.gateway._inbox import RequestInbox, WakeableSocket
from masticgate.connection.gateway._parser import NoMemory, RequestParser
from masticgate.process.gateway._log import EventLog
from masticgate.process.gateway._memory_budget import ProcessMemory
from masticgate.process.gateway._memory_plan import MemoryPlan
from masticgate.process.gateway._metrics import Metrics
from masticgate.request.gateway import Answered, Call, LocalPage
from masticgate.version.gateway import Limits

from .fakes import HEADER_NAMES, make_request, make_route
from .loopback import RawCaller, StandInSearcher, reply_to, running_gateway
from .test_buffers import connect_pair

CLOCK = SystemClock()
HEAD = b"POST / HTTP/1.1\r\nHost: h\r\nx-id: q\r\n"
LARGE_BODY_BYTES = 400_000
TIMEOUT_S = 5.0


def make_memory(limit: int = 400_000_000) -> ProcessMemory:
    """Return the memory of a host whose idle process needs nothing."""
    return ProcessMemory(MemoryPlan(limit, 0), EventLog(HostId("g1"), CLOCK), Metrics())


def make_settings(memory: ProcessMemory, handler=None, *, peers: bool = False) -> CallerSettings:
    return CallerSettings(
        handler or (lambda request, inbox: LocalPage(200, b"%d" % len(request.body))),
        HEADER_NAMES,
        CLOCK,
        lambda: replace(Limits(), header_timeout=Millis(300.0)),
        lambda: False,
        callers_are_gateways=peers,
        memory=memory,
    )


def run_connection(settings: CallerSettings) -> tuple[socket.socket, threading.Thread]:
    """Serve a connection in a task; return the caller's end, and the task."""
    near, far = connect_pair()
    far.settimeout(TIMEOUT_S)
    task = threading.Thread(target=CallerConnection(near, settings).run, daemon=True)
    task.start()
    return far, task


def read_all(connection: socket.socket) -> bytes:
    data = b""
    while chunk := connection.recv(65_536):
        data += chunk
    return data


def wait_until(condition) -> None:
    deadline = monotonic() + TIMEOUT_S
    while not condition():
        assert monotonic() < deadline
        threading.Event().wait(0.01)


class TestHolding:
    @given(
        st.integers(0, 100),
        st.lists(st.tuples(st.sampled_from(["grow", "add", "shrink"]), st.integers(0, 300))),
    )
    def test_takes_what_exceeds_allowance_and_returns_it_once(self, allowance, steps):
        memory = make_memory(1_000)
        holding, other = (Holding(memory, MemoryUse.REQUESTS, allowance) for _ in range(2))
        other.add(allowance + 7)
        for name, count in steps:
            getattr(holding, name)(min(count, holding.size) if name == "shrink" else count)
            assert memory.total == 7 + max(0, holding.size - allowance)
        for _ in range(2):
            holding.close()
            assert memory.total == 7

    def test_takes_nothing_after_close(self):
        memory = make_memory()
        holding = Holding(memory, MemoryUse.ANSWERS, 0)
        holding.close()
        assert holding.grow(100)
        holding.add(100)
        holding.shrink(100)
        assert memory.total == 0


class TestRequestParser:
    # Guards against a request that is refused only after most of its body was received.
    def test_takes_stated_length_when_head_is_complete(self):
        memory = make_memory(20_000_000)
        parser = RequestParser(
            16_384, 9_000_000, Holding(memory, MemoryUse.REQUESTS, ORDINARY_REQUEST_BYTES)
        )
        assert parser.feed(HEAD + b"Content-Length: 2000000\r\n\r\n") is None
        assert memory.used[MemoryUse.REQUESTS] > 2_000_000 - ORDINARY_REQUEST_BYTES
        other = RequestParser(16_384, 9_000_000, Holding(memory, MemoryUse.REQUESTS, 0))
        assert isinstance(other.feed(HEAD + b"Content-Length: 8000000\r\n\r\n"), NoMemory)
        assert other.refused_headers

    # Guards against heads of many short headers, whose objects take many times their bytes.
    def test_counts_objects_of_headers(self):
        memory = make_memory()
        parser = RequestParser(16_384, 0, Holding(memory, MemoryUse.REQUESTS, 0))
        parser.feed(b"GET / HTTP/1.1\r\n" + b"a:b\r\n" * 2_000)
        assert memory.used[MemoryUse.REQUESTS] > 2_000 * 100

    def test_small_request_takes_nothing(self):
        memory = make_memory()
        parser = RequestParser(
            16_384, 9_000, Holding(memory, MemoryUse.REQUESTS, ORDINARY_REQUEST_BYTES)
        )
        parser.feed(HEAD + b"Content-Length: 1000\r\n\r\n" + bytes(1_000))
        assert parser.ready
        assert memory.total == 0


class TestCallerConnection:
    ENDS = {
        "served": HEAD + b"Content-Length: 400000\r\n\r\n" + bytes(LARGE_BODY_BYTES),
        "pipelined": (HEAD + b"Content-Length: 9000\r\n\r\n" + bytes(9_000)) * 5,
        "incomplete": HEAD + b"Content-Length: 400000\r\n\r\n" + bytes(LARGE_BODY_BYTES - 1),
        "chunked": HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"8\r\n12345678\r\n" * 5_000,
        "malformed": HEAD + b"Transfer-Encoding: chunked\r\n\r\nx\r\n",
        "oversized": HEAD + b"Content-Length: 400000000\r\n\r\n" + bytes(LARGE_BODY_BYTES),
        "long head": HEAD + b"x-fill: " + b"x" * 20_000,
    }

    @pytest.mark.parametrize("end", ENDS)
    @pytest.mark.parametrize("limit", [400_000_000, 400_000])
    def test_returns_all_memory(self, end, limit):
        memory = make_memory(limit)
        far, task = run_connection(make_settings(memory))
        assert memory.used[MemoryUse.CALLERS] == CALLER_CONNECTION_BYTES
        with suppress(OSError):
            far.sendall(self.ENDS[end])
            far.shutdown(socket.SHUT_WR)
        assert read_all(far).startswith(b"HTTP/1.1 ") or end in ("incomplete", "chunked")
        task.join(TIMEOUT_S)
        assert memory.used == dict.fromkeys(MemoryUse, 0)

    def test_returns_all_memory_after_error_of_handler(self):
        def fail(request, inbox):
            raise RuntimeError

        memory = make_memory()
        near, far = connect_pair()
        connection = CallerConnection(near, make_settings(memory, fail))
        far.sendall(self.ENDS["served"])
        with pytest.raises(RuntimeError):
            connection.run()
        assert memory.used == dict.fromkeys(MemoryUse, 0)

    # Guards against a body that stays in memory until the next request on its connection.
    def test_idle_connection_holds_no_request(self):
        memory = make_memory()
        far, _ = run_connection(make_settings(memory))
        far.sendall(self.ENDS["served"])
        assert far.recv(4_096)
        wait_until(lambda: not memory.used[MemoryUse.REQUESTS])
        far.close()

    # Guards against a reply that is lost since its connection is closed with unread bytes, and
    # against a refusal that another gateway does not recognize as "not run".
    @pytest.mark.parametrize("peers", [False, True])
    @pytest.mark.parametrize("length", [b"2000000", b"900000000"])
    def test_refusal_reaches_caller_that_still_sends(self, peers, length):
        far, task = run_connection(make_settings(make_memory(1_000_000), peers=peers))
        far.sendall(HEAD + b"Content-Length: %s\r\n\r\n" % length)
        for _ in range(15):
            far.sendall(bytes(100_000))
            threading.Event().wait(0.01)
        reply = read_all(far)
        assert reply.startswith(b"HTTP/1.1 413 ")
        assert b"not run" in reply
        assert (b"x-not-run: 1" in reply) == peers
        assert (b"x-id: q" in reply) == peers
        far.close()
        task.join(TIMEOUT_S)
        assert not task.is_alive()

    # Guards against the memory of sockets whose callers do not read, which was in no sum.
    def test_counts_what_socket_holds_of_reply(self):
        memory = make_memory()
        far, task = run_connection(
            make_settings(memory, lambda request, inbox: LocalPage(200, bytes(9_000_000)))
        )
        far.sendall(HEAD + b"Content-Length: 0\r\n\r\n")
        wait_until(lambda: memory.used[MemoryUse.ANSWERS] > 9_100_000)
        far.close()
        task.join(TIMEOUT_S)
        assert memory.total == 0

    # Guards against callers that do not read and take the memory from all others.
    def test_gives_up_reply_that_nobody_reads_while_memory_is_short(self):
        memory = make_memory(20_000_000)
        far, task = run_connection(
            make_settings(memory, lambda request, inbox: LocalPage(200, bytes(11_000_000)))
        )
        far.sendall(HEAD + b"Content-Length: 0\r\n\r\n")
        started_at = monotonic()
        task.join(TIMEOUT_S)
        assert monotonic() - started_at < 3.0
        assert memory.total == 0
        far.close()


class TestRequestInbox:
    @staticmethod
    def make_answer(size: int) -> Call:
        call = Call(make_request(), make_route(), ServiceId("orders"), Millis(0.0), None)
        call.outcome = Answered(SearcherId("s1"), 200, (), bytes(size), "s", Millis(1.0))
        return call

    def test_holds_answers_until_closed_and_none_that_come_later(self):
        near, far = connect_pair()
        memory = make_memory()
        inbox = RequestInbox(WakeableSocket(near, CLOCK), memory)
        inbox.put(self.make_answer(1_000))
        assert memory.total == 0
        inbox.put(self.make_answer(100_000))
        assert memory.used[MemoryUse.ANSWERS] > 80_000
        inbox.close()
        inbox.put(self.make_answer(100_000))
        assert memory.total == 0
        far.close()


class TestFarDeadline:
    # Guards against a route with a timeout of years, whose requests end without a reply.
    def test_answer_arrives_before_it(self):
        near, far = connect_pair()
        inbox = RequestInbox(WakeableSocket(near, CLOCK))
        call = TestRequestInbox.make_answer(1)
        threading.Timer(0.1, inbox.put, (call,)).start()
        assert inbox.wait(Millis(CLOCK.now() + 1e12)) is call
        far.close()


class TestGateway:
    def test_returns_all_memory_after_large_requests_and_answers(self):
        searchers = {"orders": [StandInSearcher(lambda head: reply_to(head, bytes(500_000)))]}
        with running_gateway([make_route()], searchers) as gateway:
            body = bytes(LARGE_BODY_BYTES)
            for number in range(10):
                caller = RawCaller(gateway)
                head = b"POST /a/x HTTP/1.1\r\nHost: host.example\r\nX-Id: q%d\r\n" % number
                caller.send(head + b"Content-Length: %d\r\n\r\n" % len(body) + body)
                assert caller.read()[0] == 200
                caller.close()
            for task in list(gateway.fleet.tasks):
                task.close()
            wait_until(lambda: not gateway.memory.total)
