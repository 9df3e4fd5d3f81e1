"""The real gateway program under bursts of messages that together exceed the memory of its host."""

import select
import socket
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, suppress
from threading import Event
from time import monotonic

import pytest

from .program import GatewayProgram

MEMORY_BYTES = 80_000_000
LIMITS = """
[limits]
memoryMb = 80
maxFds = 4100
"""
"""Of these, an idle gateway needs about 20 MB."""

CALLERS = 320
BODY_BYTES = 262_144
"""The burst of all callers is about as large as the memory of the host."""

SENDERS = 32
REPLIES_TIMEOUT_S = 20.0
TRIM_TIMEOUT_S = 10.0

ARRIVAL_TIMEOUT_S = 10.0
"""The time in which a process has received what a burst of callers has sent."""

HEAD = b"POST /z/ HTTP/1.1\r\nHost: a.example\r\nX-Masticgate-Request-Id: q%d\r\n"


def with_length(number: int) -> bytes:
    """Return a request but for the last byte of its body."""
    head = HEAD % number + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
    return head + bytes(BODY_BYTES - 1)


def with_chunks(number: int) -> bytes:
    """Return a request in chunks but for its end."""
    chunk = b"1000\r\n" + bytes(0x1000) + b"\r\n"
    return HEAD % number + b"Transfer-Encoding: chunked\r\n\r\n" + chunk * (BODY_BYTES // 0x1000)


BURSTS = {"length": with_length, "chunks": with_chunks}


class Burst:
    """Callers that each send the beginning of a request and keep their connection open."""

    def __init__(self, program: GatewayProgram, port: str, request) -> None:
        self.address = ("127.0.0.1", program.ports[port])
        self.request = request
        with ExitStack() as stack, ThreadPoolExecutor(SENDERS) as senders:
            self.connections = list(senders.map(self._send, range(CALLERS)))
            for connection in self.connections:
                stack.callback(connection.close)
            self.stack = stack.pop_all()

    def _send(self, number: int) -> socket.socket:
        connection = socket.create_connection(self.address, timeout=5)
        with suppress(OSError):
            connection.sendall(self.request(number))
        return connection

    def read_replies(self, count: int) -> list[bytes]:
        """Return the replies that the callers have received, once there are ``count``.

        A connection that was closed before its request was read has none.
        """
        poller = select.poll()
        callers = {connection.fileno(): connection for connection in self.connections}
        for descriptor in callers:
            poller.register(descriptor, select.POLLIN)
        replies: list[bytes] = []
        deadline = monotonic() + REPLIES_TIMEOUT_S
        while len(replies) < count:
            assert monotonic() < deadline, f"{len(replies)} replies"
            for descriptor, _ in poller.poll(1_000):
                poller.unregister(descriptor)
                with suppress(OSError):
                    replies += filter(None, [callers[descriptor].recv(4_096)])
        return replies


@pytest.fixture
def program(tmp_path):
    program = GatewayProgram(tmp_path)
    program.write_settings(more=LIMITS)
    program.start()
    program.wait_until_ready()
    yield program
    program.close()


class TestBurstOfBodies:
    # Guards against a process that is killed since bodies, each within its limit, together exceed
    # the memory of the host (FAULT).
    @pytest.mark.parametrize("burst", BURSTS)
    @pytest.mark.parametrize("port", ["front", "control"])
    def test_process_stays_below_limit_and_serves_others(self, program, port, burst):
        held = Burst(program, port, BURSTS[burst])
        with held.stack:
            # The stand-in store lists no searcher, which shows that the request was read.
            assert b"no_searcher" in program.request()
            replies = held.read_replies(CALLERS // 4)
            assert b"no_searcher" in program.request()
            assert program.read_status("VmHWM") < MEMORY_BYTES
        for reply in replies:
            assert reply.startswith(b"HTTP/1.1 503 ")
            assert b"not run" in reply
            assert b"\r\nRetry-After: 0." in reply
            assert (b"x-gateway-not-run: 1" in reply) == (port == "control")

    # Guards against pieces of bodies all over the heap, which keep it resident for good.
    def test_memory_is_given_back_after_burst(self, program):
        before = program.read_status("VmRSS")
        with Burst(program, "front", with_chunks).stack:
            deadline = monotonic() + ARRIVAL_TIMEOUT_S
            while program.read_status("VmRSS") <= before + 10_000_000:
                assert monotonic() < deadline
                Event().wait(0.01)
        deadline = monotonic() + TRIM_TIMEOUT_S
        while program.read_status("VmRSS") > before + 10_000_000:
            assert monotonic() < deadline
            Event().wait(0.1)
