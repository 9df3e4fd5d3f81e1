"""The real gateway program under clients that hold as much of it as they can.

Each client keeps to the limits of the configuration, or sends what has to be refused. The process
must not end, must stay within the memory and the descriptors of its settings, and must answer an
ordinary request while the crowd is there and after it has left.
"""

from collections.abc import Callable

import pytest

from .crowds import (
    BODY_BYTES,
    CATALOGUE,
    DESCRIPTORS,
    HEAD_BYTES,
    HOST_LINES,
    LONG,
    MEMORY_BYTES,
    REQUEST_LINE,
    Crowd,
    LeavingCrowd,
    MakeRequest,
    ServingProgram,
    SlowCrowd,
)

PORTS = pytest.mark.parametrize("port", ["front", "control"])
COMPLETE_SHARE = 8
"""One client in this many completes its request; the others stop just short of its end."""

CHUNKED_HEAD = REQUEST_LINE + HOST_LINES + b"Transfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


def with_chunks(size: int, body_bytes: int) -> MakeRequest:
    """Return a maker of requests with a body in chunks of ``size`` bytes, most without its end."""
    chunk = b"%x\r\n%s\r\n" % (size, bytes(size))
    request = CHUNKED_HEAD + chunk * (body_bytes // size)

    def make(number: int) -> bytes:
        return request if number % COMPLETE_SHARE else request + LAST_CHUNK

    return make


def with_lines(make_line: Callable[[int], bytes], *, body: bytes = b"") -> MakeRequest:
    """Return a maker of requests with as many header lines as their head may have.

    Most stop short of the end of the head, or with ``body`` short of the end of that.
    """
    head = REQUEST_LINE + HOST_LINES + b"Content-Length: %d\r\n" % len(body)
    number = 0
    while len(head) + len(line := make_line(number) + b"\r\n") <= HEAD_BYTES - 200:
        head += line
        number += 1
    whole = head + b"\r\n" + body

    def make(number: int) -> bytes:
        return whole[:-1] if number % COMPLETE_SHARE else whole

    return make


def name(number: int) -> bytes:
    """Return a name of three letters, another one for each number below 17,576."""
    return bytes(97 + number // 26**place % 26 for place in range(3))


def send_long(number: int) -> bytes:
    return LONG


def send_catalogue(number: int) -> bytes:
    return CATALOGUE


CHUNKS = {
    "large": with_chunks(0x8000, 0x40000),
    "one_byte": with_chunks(1, 30_000),
    "one_byte_small_body": with_chunks(1, 16_000),
    "two_bytes_small_body": with_chunks(2, 16_000),
    "three_bytes": with_chunks(3, 30_000),
}
LINES = {
    "one_letter_names": with_lines(lambda number: b"%c: b" % (97 + number % 26)),
    "one_letter_names_before_body": with_lines(
        lambda number: b"%c: b" % (97 + number % 26), body=b"body"
    ),
    "different_names": with_lines(lambda number: name(number) + b": cd", body=b"body"),
    "empty_values": with_lines(lambda number: name(number) + b":", body=b"body"),
    "long_name": with_lines(lambda number: b"n" * 15_000 + b": v", body=b"body"),
    "long_value": with_lines(lambda number: b"n: " + b"v" * 15_000),
}


def mixed(number: int) -> bytes:
    """Return what the client with ``number`` sends where all kinds are mixed."""
    kinds = [*CHUNKS.values(), *LINES.values(), send_long, send_catalogue]
    return kinds[number % len(kinds)](number // len(kinds))


@pytest.fixture
def program(tmp_path):
    program = ServingProgram(tmp_path)
    program.start()
    program.wait_until_ready()
    assert program.ask().startswith(b"HTTP/1.1 200 ")
    yield program
    program.close()


def check_serves(program: ServingProgram, crowd: Crowd) -> None:
    """Check that a request is answered beside ``crowd`` and after it, and the bounds are kept."""
    try:
        assert program.ask().startswith(b"HTTP/1.1 ")
        program.wait_until_settled()
        assert program.ask().startswith(b"HTTP/1.1 ")
        assert program.count_descriptors() < DESCRIPTORS
    finally:
        crowd.close()
    assert program.ask().startswith(b"HTTP/1.1 200 ")
    assert program.is_alive()
    print(f"peak of {program.read_status('VmHWM') / 1e6:.1f} MB")
    assert program.read_status("VmHWM") < MEMORY_BYTES


class TestChunkedBodies:
    # Guards against bodies that take more memory than is accounted for them, and against an
    # ordinary request whose connection is closed without an answer (FAULT).
    @PORTS
    @pytest.mark.parametrize("chunks", CHUNKS)
    def test_stays_within_limits_and_serves(self, program, port, chunks):
        check_serves(program, Crowd(program, port, CHUNKS[chunks]))


class TestHeaderLines:
    # Guards against heads whose many small objects take more memory than is accounted for them.
    @PORTS
    @pytest.mark.parametrize("lines", LINES)
    def test_stays_within_limits_and_serves(self, program, port, lines):
        check_serves(program, Crowd(program, port, LINES[lines]))


class TestSlowReaders:
    # Guards against long answers that are kept for clients that hardly read.
    @pytest.mark.parametrize(
        ("port", "request_bytes"), [("front", send_long), ("control", send_catalogue)]
    )
    def test_stays_within_limits_and_serves(self, program, port, request_bytes):
        check_serves(program, SlowCrowd(program, port, request_bytes))


class BothCrowds(SlowCrowd):
    """A crowd at the callers' port together with one at the gateways' port."""

    def __init__(self, program: ServingProgram, request: MakeRequest) -> None:
        self.other = SlowCrowd(program, "control", request)
        super().__init__(program, "front", request)

    def close(self) -> None:
        """Stop reading and close all connections of both."""
        super().close()
        self.other.close()


class TestMixedClients:
    # Guards against kinds of clients that each keep to their share but not together.
    def test_stays_within_limits_at_both_ports(self, program):
        check_serves(program, BothCrowds(program, mixed))

    @PORTS
    def test_stays_within_limits_and_serves(self, program, port):
        check_serves(program, SlowCrowd(program, port, mixed))


class TestLeavingClients:
    # Guards against bytes of unfinished requests that are kept after their connection has ended.
    @PORTS
    @pytest.mark.parametrize("kind", ["large", "long_value"])
    def test_stays_within_limits_and_serves(self, program, port, kind):
        check_serves(program, LeavingCrowd(program, port, (CHUNKS | LINES)[kind]))


class TestHeartbeats:
    # Guards against a seed that remembers names of any length (FAULT).
    @pytest.mark.parametrize("length", [240, 15_000])
    def test_names_of_processes_are_bounded(self, program, length):
        rounds = 30

        def heartbeats(number: int) -> bytes:
            lines = []
            for place in range(rounds):
                host = b"%d-%d-" % (number, place) + b"h" * length
                target = b"/?host=%s&process=%d.0......." % (host, 1_000_000 + number)
                lines.append(b"GET %s HTTP/1.1\r\nHost: heartbeat.gateway\r\n\r\n" % target)
            return b"".join(lines)

        check_serves(program, Crowd(program, "control", heartbeats))

    # Guards against queries of thousands of fields, which many connections decode at once.
    def test_fields_of_queries_are_bounded(self, program):
        fields = b"&".join(b"%s=%d" % (name(number), number) for number in range(1_800))
        request = b"GET /?" + fields + b" HTTP/1.1\r\nHost: heartbeat.gateway\r\n\r\n"
        assert len(request) < HEAD_BYTES
        check_serves(program, Crowd(program, "control", lambda number: request * 20))


class TestSingleRequest:
    """Guards against limits that a client inside those of the configuration meets."""

    @pytest.mark.parametrize("size", [1, 2, 0x8000])
    def test_largest_body_in_chunks_is_served(self, program, size):
        body_bytes = BODY_BYTES if size > 2 else BODY_BYTES // 4
        chunk = b"%x\r\n%s\r\n" % (size, b"b" * size)
        request = CHUNKED_HEAD + chunk * (body_bytes // size) + LAST_CHUNK
        assert program.ask(request).startswith(b"HTTP/1.1 200 ")
        received = program.searcher.requests[-1]
        assert received.endswith(b"\r\n\r\n" + b"b" * body_bytes)

    @pytest.mark.parametrize("lines", LINES)
    def test_largest_head_is_served(self, program, lines):
        assert program.ask(LINES[lines](0)).startswith(b"HTTP/1.1 200 ")

    def test_long_answer_is_whole(self, program):
        assert program.ask(LONG).startswith(b"HTTP/1.1 200 ")
