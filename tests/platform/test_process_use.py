"""Tests of what the real gateway program says of its own use of limited resources."""

import os
import signal
import socket
from collections.abc import Iterator, Sequence
from contextlib import ExitStack, closing, contextmanager, suppress
from http.client import HTTPConnection
from threading import Event
from time import monotonic

import pytest

from .program import START_TIMEOUT_S, GatewayProgram, free_port

CALLERS = 20


@pytest.fixture
def program(tmp_path):
    program = GatewayProgram(tmp_path)
    yield program
    program.close()


@contextmanager
def inherited_descriptors(number: int) -> Iterator[list[int]]:
    """Open descriptors that a process may inherit."""
    descriptors = [os.open(os.devnull, os.O_RDONLY) for _ in range(number)]
    try:
        yield descriptors
    finally:
        for descriptor in descriptors:
            os.close(descriptor)


def start_with_limits(program: GatewayProgram, pass_fds: Sequence[int] = (), **limits: int) -> int:
    """Start the program with these limits; return the port of its metrics once it is ready."""
    lines = "".join(f"{name} = {value}\n" for name, value in limits.items())
    program.path.write_text(f"{program.settings()}[limits]\n{lines}")
    port = free_port()
    program.start(arguments=(str(port),), pass_fds=pass_fds)
    program.wait_until_ready()
    return port


def read_metrics(port: int) -> dict[str, float]:
    # The program tries again to listen if an outgoing connection has the port.
    deadline = monotonic() + START_TIMEOUT_S
    while True:
        with suppress(ConnectionRefusedError), socket.create_connection(("127.0.0.1", port), 5):
            break
        assert monotonic() < deadline, "the metrics address refuses connections"
        Event().wait(0.02)
    with closing(HTTPConnection("127.0.0.1", port, timeout=5)) as connection:
        connection.request("GET", "/metrics")
        lines = connection.getresponse().read().decode().splitlines()
    return {name: float(value) for name, value in map(str.split, lines) if "{" not in name}


class TestLines:
    def test_start_and_stop_state_use_beside_limits(self, program):
        """Guard against a log that does not show how far a process was from its limits (FAULT)."""
        start_with_limits(program, memoryMb=300, maxFds=1_000)
        program.signal(signal.SIGTERM)
        assert program.wait_for_end() == 0
        for event in ("started", "stopping", "stopped"):
            line = program.wait_for_event(event)
            assert line["memory_limit_bytes"] == 300_000_000
            assert 5_000_000 < line["memory_bytes"] <= line["memory_peak_bytes"] < 60_000_000
            assert 3 < line["descriptors"] < line["descriptors_limit"] == 1_000
            assert line["threads"] >= 1

    def test_callers_that_use_up_descriptors_are_named_as_limit_is_crossed(self, program):
        """Guard against an end at a limit whose last log lines do not name the cause (FAULT)."""
        # Callers alone are refused before they use up the descriptors.
        with inherited_descriptors(45) as inherited:
            start_with_limits(program, pass_fds=inherited, maxFds=100)
        with ExitStack() as callers:
            for _ in range(CALLERS):
                address = ("127.0.0.1", program.ports["front"])
                caller = callers.enter_context(socket.create_connection(address, 5))
                caller.sendall(b"GET /a HTTP/1.1\r\n")
            near = program.wait_for_event("limit_near", resource="descriptors")
        assert near["limit"] == 100 and near["used"] >= 80
        assert near["callers_reading"] + near["callers_idle"] >= 10 and near["tasks"] >= 10
        assert program.wait_for_event("limit_cleared", resource="descriptors")["used"] < 75
        lines = program.output.read_text()
        assert lines.count('"limit_near"') == 1 and lines.count('"limit_cleared"') == 1

    def test_memory_near_limit_is_named_once(self, program):
        start_with_limits(program, memoryMb=15)
        near = program.wait_for_event("limit_near", resource="memory")
        assert near["limit"] == 15_000_000 and near["used"] >= 12_000_000
        program.signal(signal.SIGTERM)
        assert program.wait_for_end() == 0
        assert program.output.read_text().count('"limit_near"') == 1


class TestMetrics:
    def test_gauges_show_use_beside_limits(self, program):
        metrics_port = start_with_limits(program, memoryMb=300, maxFds=1_000)
        program.wait_for_event("ready")
        metrics = read_metrics(metrics_port)
        assert metrics["masticgate_memory_limit_bytes"] == 300_000_000
        peak = metrics["masticgate_memory_peak_bytes"]
        assert 5_000_000 < metrics["masticgate_memory_bytes"] <= peak < 60_000_000
        assert 3 < metrics["masticgate_descriptors"] < metrics["masticgate_descriptors_limit"]
        assert metrics["masticgate_threads"] >= 4
        assert metrics["masticgate_limits_near"] == 0
