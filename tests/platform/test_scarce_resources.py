"""Tests of the real gateway program where threads, descriptors or memory are scarce."""

import resource
import signal
import socket
from contextlib import ExitStack, suppress
from threading import Event
from time import monotonic

import pytest

from .program import START_TIMEOUT_S, GatewayProgram

NO_THREADS = """
import runpy, sys, threading
sys.argv[1:] = []
started = []
start = threading.Thread.start
def refuse(thread):
    if len(started) >= {count}:
        print("refused", flush=True)
        raise {error}
    started.append(thread)
    start(thread)
threading.Thread.start = refuse
runpy.run_module("masticgate.platform", run_name="__main__")
"""
MEGABYTE = 1_000_000
CALLERS = 150

FEW_DESCRIPTORS = 5
"""Enough for the standard streams and the queue of signals, and for no further file."""


@pytest.fixture
def program(tmp_path):
    program = GatewayProgram(tmp_path)
    yield program
    program.close()


def wait_for_output(program: GatewayProgram, text: str) -> None:
    """Wait until the program has written ``text``."""
    deadline = monotonic() + START_TIMEOUT_S
    while text not in program.output.read_text():
        assert monotonic() < deadline and program.process.poll() is None
        Event().wait(0.02)


def press(program: GatewayProgram) -> None:
    """Open connections that send a request without its end; some may be refused."""
    with ExitStack() as callers:
        for _ in range(CALLERS):
            with suppress(OSError):
                caller = socket.create_connection(("127.0.0.1", program.ports["front"]), 1)
                callers.enter_context(caller)
                caller.sendall(b"GET / HTTP/1.1\r\nHost: ")


class TestThreads:
    @pytest.mark.parametrize("count", [0, 1, 4])
    @pytest.mark.parametrize("error", ['RuntimeError("can\'t start new thread")', "MemoryError()"])
    def test_stop_ends_start_that_waits_for_threads(self, program, count, error):
        """Guard against a SIGTERM that is not noticed before there is a thread."""
        program.write_settings()
        program.start("-c", NO_THREADS.format(count=count, error=error))
        wait_for_output(program, "refused")
        program.signal(signal.SIGTERM)
        sent_at = monotonic()
        assert program.wait_for_end() == 0
        assert monotonic() - sent_at < 3.0


class TestLoading:
    @pytest.fixture
    def short_of_descriptors(self, program):
        """Return a program that cannot open the files of its modules, and says so."""
        program.write_settings()
        program.start(
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (FEW_DESCRIPTORS, 64))
        )
        wait_for_output(program, "tried again")
        return program

    def test_goes_on_once_there_are_descriptors(self, short_of_descriptors):
        """Guard against an end while modules are loaded (FAULT)."""
        pid = short_of_descriptors.process.pid
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (64, 64))
        short_of_descriptors.wait_until_ready()

    def test_stop_ends_wait_for_descriptors(self, short_of_descriptors):
        short_of_descriptors.signal(signal.SIGTERM)
        assert short_of_descriptors.wait_for_end(5) == 0


class TestLimits:
    @pytest.mark.parametrize("descriptors", [24, 64])
    @pytest.mark.parametrize("address_space_mb", [120, 200])
    def test_process_lives_through_callers_and_signals(
        self, program, descriptors, address_space_mb
    ):
        """Guard against an end for want of descriptors or memory (FAULT)."""
        limits = {
            resource.RLIMIT_NOFILE: descriptors,
            resource.RLIMIT_AS: address_space_mb * MEGABYTE,
        }

        def apply_limits() -> None:
            for limit, value in limits.items():
                resource.setrlimit(limit, (value, value))

        program.write_settings()
        program.start(preexec_fn=apply_limits)
        for _ in range(2):
            program.wait_until_ready()
            press(program)
            program.write_settings(grace=2.0)
            program.signal(signal.SIGHUP)
        program.wait_until_ready()
        program.wait_for_event("reloaded")
        program.signal(signal.SIGTERM)
        assert program.wait_for_end() == 0
