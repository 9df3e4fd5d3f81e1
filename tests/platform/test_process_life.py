"""Tests of what starts and ends the real gateway program."""

import os
import signal
import socket
import subprocess
from contextlib import contextmanager
from functools import partial
from threading import Event

import pytest

from masticgate.platform._signals import QUEUED_SIGNALS, STOP_SIGNALS
from tests.gateway.loopback import StandInSearcher

from .program import PORTS, GatewayProgram, answer_as_store, free_port
from .test_store import http

HARMLESS_SIGNALS = (
    signal.SIGUSR1,
    signal.SIGUSR2,
    signal.SIGALRM,
    signal.SIGVTALRM,
    signal.SIGPROF,
    signal.SIGIO,
    signal.SIGPWR,
    signal.SIGPIPE,
    signal.SIGXFSZ,
    signal.SIGCONT,
    signal.SIGCHLD,
    signal.SIGURG,
    signal.SIGWINCH,
)


@pytest.fixture
def program(tmp_path):
    program = GatewayProgram(tmp_path)
    yield program
    program.close()


def wait_for_first_import(process: subprocess.Popen) -> None:
    """Wait until a program that reports its imports has loaded the first of its own modules."""
    for line in process.stderr:
        if line.rstrip().endswith(b"masticgate._clock"):
            return


class TestSignals:
    @pytest.mark.parametrize("count", [1, 20])
    def test_reload_during_start_does_not_end_process(self, program, count):
        """Guard against a SIGHUP that ends a process which still loads its modules (FAULT)."""
        program.write_settings()
        program.start("-X", "importtime", stderr=subprocess.PIPE)
        wait_for_first_import(program.process)
        for _ in range(count):
            program.signal(signal.SIGHUP)
        program.process.stderr.close()
        program.wait_until_ready()

    def test_stop_during_start_ends_process_with_success(self, program):
        program.write_settings()
        program.start("-X", "importtime", stderr=subprocess.PIPE)
        wait_for_first_import(program.process)
        program.signal(signal.SIGHUP)
        program.signal(signal.SIGTERM)
        program.process.stderr.read()
        assert program.wait_for_end() == 0

    def test_stop_and_reloads_in_series_end_ready_process_with_success(self, program):
        program.write_settings()
        program.start()
        program.wait_until_ready()
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            program.signal(number)
        assert program.wait_for_end() == 0

    def test_signals_that_ask_for_no_end_do_not_end_process(self, program):
        """Guard against an end by a signal of an operator's tools (FAULT)."""
        program.write_settings()
        program.start("-X", "importtime", stderr=subprocess.PIPE)
        wait_for_first_import(program.process)
        for number in HARMLESS_SIGNALS:
            program.signal(number)
        program.process.stderr.close()
        program.wait_until_ready()
        for number in HARMLESS_SIGNALS:
            program.signal(number)
        Event().wait(0.3)
        assert program.is_ready()

    def test_quit_ends_process_like_any_signal_to_stop(self, program):
        program.write_settings()
        program.start()
        program.wait_until_ready()
        program.signal(signal.SIGQUIT)
        assert program.wait_for_end() == 0
        program.wait_for_event("stopped")

    def test_process_that_is_frozen_in_a_stop_ends_with_success(self, program):
        program.write_settings(grace=2.0)
        program.start()
        program.wait_until_ready()
        program.signal(signal.SIGTERM)
        Event().wait(0.3)
        program.signal(signal.SIGSTOP)
        Event().wait(3.0)
        program.signal(signal.SIGTERM)
        program.signal(signal.SIGCONT)
        assert program.wait_for_end(2.0) == 0

    def test_stop_that_arrives_in_a_freeze_is_noticed_after_it(self, program):
        program.write_settings()
        program.start()
        program.wait_until_ready()
        program.signal(signal.SIGSTOP)
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGUSR1, signal.SIGHUP):
            program.signal(number)
        Event().wait(1.0)
        program.signal(signal.SIGCONT)
        assert program.wait_for_end(4.0) == 0


def block_all_signals():
    signal.pthread_sigmask(signal.SIG_BLOCK, signal.valid_signals())


def ignore_queued_signals():
    for number in QUEUED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)


class TestInheritedSignals:
    @pytest.mark.parametrize("number", STOP_SIGNALS)
    @pytest.mark.parametrize("inherited", [block_all_signals, ignore_queued_signals])
    def test_signals_are_noticed(self, program, inherited, number):
        """Guard against a stop that a process never notices, since its parent blocks signals."""
        program.write_settings()
        program.start(preexec_fn=inherited)
        program.wait_until_ready()
        program.path.write_text("")
        program.signal(signal.SIGHUP)
        program.wait_for_event("settings_unusable")
        program.signal(number)
        assert program.wait_for_end() == 0

    @pytest.mark.parametrize("number", STOP_SIGNALS)
    def test_blocked_signal_that_comes_first_is_noticed(self, program, number):
        program.start(preexec_fn=block_all_signals)
        program.signal(number)
        assert program.wait_for_end(5) == 0


class TestSettingsAtStart:
    @pytest.mark.parametrize("begin", ["missing", "empty", "half"])
    def test_waits_for_file_that_is_still_written(self, program, begin):
        """Guard against an end at once if the settings are rewritten at that moment (FAULT)."""
        text = program.settings()
        if begin != "missing":
            program.path.write_text("" if begin == "empty" else text[: len(text) // 2])
        program.start()
        Event().wait(1.0)
        program.write_settings()
        program.wait_until_ready()

    def test_invalid_file_ends_process_with_its_reason_after_a_while(self, program):
        program.path.write_text("nodeName = 7")
        program.start()
        assert program.wait_for_end(30) == 2
        last_line = program.output.read_text().splitlines()[-1]
        assert "settings" in last_line and str(program.path) in last_line

    def test_stop_ends_process_that_waits_for_file(self, program):
        program.start()
        Event().wait(0.5)
        program.signal(signal.SIGTERM)
        assert program.wait_for_end() == 0

    @pytest.mark.parametrize("text", ["", "nodeName = 7", None])
    def test_unusable_file_at_reload_changes_nothing(self, program, text):
        program.write_settings()
        program.start()
        program.wait_until_ready()
        program.path.unlink()
        if text is not None:
            program.path.write_text(text)
        program.signal(signal.SIGHUP)
        program.wait_for_event("settings_unusable")
        assert program.is_ready()


@contextmanager
def held_port(port: int):
    """Hold a port as the local port of an outgoing connection."""
    with socket.create_server(("127.0.0.1", 0)) as server, socket.socket() as client:
        client.bind(("127.0.0.1", port))
        client.connect(server.getsockname())
        yield


class TestTakenPorts:
    @pytest.mark.parametrize("name", PORTS)
    def test_waits_for_port_that_is_taken_for_a_while(self, program, name):
        """Guard against an end at once if another connection has the port (FAULT)."""
        program.write_settings()
        with held_port(program.ports[name]):
            program.start()
            assert program.wait_for_event("listen_failed")["address"].endswith(
                f":{program.ports[name]}"
            )
            assert not program.is_ready()
            assert program.process.poll() is None
        program.wait_until_ready()
        program.wait_for_event("listening")

    def test_port_that_stays_taken_leaves_process_unready_until_it_is_stopped(self, program):
        program.write_settings()
        with held_port(program.ports["front"]):
            program.start()
            program.wait_for_event("listen_failed")
            program.wait_for_event("configuration")
            Event().wait(1.0)
            assert not program.is_ready()
            program.signal(signal.SIGTERM)
            assert program.wait_for_end() == 0

    def test_taken_port_of_metrics_does_not_keep_gateway_from_serving(self, program):
        program.write_settings()
        port = free_port()
        with held_port(port):
            program.start(arguments=(str(port),))
            program.wait_until_ready()
            assert program.wait_for_event("listen_failed")["address"].endswith(f":{port}")


NO_NULL_DEVICE = """
import os, runpy, sys
os.devnull = "/missing/null"
sys.argv[1:] = []
runpy.run_module("masticgate.platform", run_name="__main__")
"""


class TestOutput:
    @pytest.mark.parametrize("closed", [(1,), (2,), (0, 1, 2)])
    def test_closed_stream_does_not_become_a_connection(self, program, closed):
        """Guard against log lines that are written to the connection of a caller."""
        program.write_settings()
        program.start(preexec_fn=lambda: [os.close(descriptor) for descriptor in closed])
        program.wait_until_ready()
        for descriptor in closed:
            target = os.readlink(f"/proc/{program.process.pid}/fd/{descriptor}")
            assert target == "/dev/null"

    @pytest.mark.parametrize("closed", [(), (1,), (0, 1, 2)])
    def test_missing_null_device_does_not_end_start(self, program, closed):
        """Guard against an end at once where there are no devices (FAULT)."""
        program.write_settings()
        program.start(
            "-c", NO_NULL_DEVICE, preexec_fn=lambda: [os.close(number) for number in closed]
        )
        program.wait_until_ready()
        for number in closed:
            assert os.readlink(f"/proc/{program.process.pid}/fd/{number}") == "/"
        program.signal(signal.SIGTERM)
        assert program.wait_for_end() == 0

    def test_full_pipe_delays_neither_requests_nor_stop(self, program):
        reader, writer = os.pipe()
        os.set_blocking(writer, False)
        try:
            while True:
                os.write(writer, bytes(65_536))
        except BlockingIOError:
            os.set_blocking(writer, True)
        program.write_settings()
        program.start(stdout=writer)
        program.wait_until_ready()
        program.signal(signal.SIGTERM)
        assert program.wait_for_end() == 0
        os.close(reader)
        os.close(writer)


class TestReload:
    def test_changed_address_of_store_is_used(self, program):
        """Guard against a gateway that says "reloaded" and goes on reading the old store."""
        program.write_settings()
        program.start()
        program.wait_until_ready()
        newer = StandInSearcher(partial(answer_as_store, version=9))
        try:
            program.store, old = newer, program.store
            program.write_settings()
            program.signal(signal.SIGHUP)
            program.wait_for_event("configuration", version=9)
            count = len(old.requests)
            Event().wait(1.0)
            assert len(old.requests) <= count + 1
        finally:
            old.listener.close()

    def test_changed_seeds_are_used(self, program):
        """Guard against heartbeats that go on to the seeds of the start only."""
        heard = Event()

        def answer_as_seed(head):
            heard.set()
            return http(200, {"ready": False})

        program.write_settings()
        program.start()
        program.wait_until_ready()
        seed = StandInSearcher(answer_as_seed)
        program.path.write_text(program.settings().replace("[]", f'["{seed.address}"]', 1))
        program.signal(signal.SIGHUP)
        assert heard.wait(10)
        seed.listener.close()

    def test_names_settings_that_wait_for_restart(self, program):
        program.write_settings()
        program.start()
        program.wait_until_ready()
        old_port, program.ports["front"] = program.ports["front"], free_port()
        program.write_settings()
        program.signal(signal.SIGHUP)
        assert program.wait_for_event("reloaded")["waits_for_restart"] == ["caller_address"]
        with socket.create_connection(("127.0.0.1", old_port), timeout=1):
            pass
