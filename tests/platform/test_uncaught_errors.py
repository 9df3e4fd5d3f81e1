"""Tests of what the real gateway program leaves behind when an error ends it, or a thread."""

import json
import os
import shutil
import signal
import subprocess

import pytest

from .program import SOURCE, GatewayProgram

CHANGING_THREADS = """
from threading import Thread
def start_others():
    while True:
        Thread(target=str, daemon=True).start()
Thread(target=start_others, daemon=True).start()
"""
FAILING_RELOAD = """
from masticgate.process.gateway._gateway import Gateway
def fail(*args): raise GeneratorExit("injected")
Gateway.record_unusable_settings = fail
"""
FAILING_MAINTENANCE = """
from masticgate.process.gateway._gateway import Gateway
def fail(*args): raise GeneratorExit("injected")
Gateway._log_listen_failures = fail
"""
FAILING_FINALIZER = """
from masticgate.process.gateway._gateway import Gateway
class Finalized:
    def __del__(self): raise ZeroDivisionError("injected")
def finalize(*args): Finalized()
Gateway.record_unusable_settings = finalize
"""


@pytest.fixture
def program(tmp_path):
    program = GatewayProgram(tmp_path)
    yield program
    program.close()


def start_with_unusable_settings(program: GatewayProgram, prelude: str, **popen) -> None:
    """Start the program with ``prelude``; once it is ready, make it read unusable settings."""
    program.write_settings()
    program.start(prelude=prelude, **popen)
    program.wait_until_ready()
    program.path.write_text("")
    program.signal(signal.SIGHUP)


class TestFatalSignals:
    @pytest.mark.parametrize(
        "number",
        [signal.SIGSEGV, signal.SIGBUS, signal.SIGFPE, signal.SIGABRT, signal.SIGILL],
    )
    def test_signal_leaves_stack_and_its_own_status(self, program, number):
        """Guard against an error in native code that leaves no line at all (FAULT)."""
        program.write_settings()
        program.start()
        program.wait_until_ready()
        program.signal(number)
        assert program.wait_for_end() == -number
        output = program.output.read_text()
        assert "Fatal Python error: " in output and "most recent call first" in output
        assert "masticgate/platform/__main__.py" in output

    def test_stack_is_written_while_other_threads_end(self, program):
        """Guard against a report of a fatal signal that itself ends by another one."""
        program.write_settings()
        program.start(prelude=CHANGING_THREADS)
        program.wait_until_ready()
        program.signal(signal.SIGBUS)
        assert program.wait_for_end() == -signal.SIGBUS
        assert program.output.read_text().count("Fatal Python error: ") == 1

    def test_signal_while_modules_load_leaves_stack(self, program):
        program.write_settings()
        program.start("-X", "importtime", stderr=subprocess.PIPE)
        # The modules that the program loads after this one take most of the start.
        for line in program.process.stderr:
            if line.rstrip().endswith(b"masticgate._clock"):
                break
        program.signal(signal.SIGSEGV)
        assert b"Fatal Python error: " in program.process.stderr.read()
        program.process.stderr.close()
        assert program.wait_for_end() == -signal.SIGSEGV


class TestErrorsBeforeLog:
    def test_module_that_is_missing_is_named_in_one_line(self, program, tmp_path):
        """Guard against a start beside a build that leaves no line on what ended it (FAULT)."""
        source = tmp_path / "src"
        shutil.copytree(SOURCE, source, ignore=shutil.ignore_patterns("__pycache__"))
        (source / "masticgate" / "process" / "gateway" / "_relay.py").unlink()
        program.write_settings()
        program.start(source=source)
        assert program.wait_for_end() == 1
        (line,) = program.output.read_text().splitlines()
        assert line.startswith("masticgate: the process ends by an error: ModuleNotFoundError(")
        assert "masticgate.process.gateway._relay" in line and "_gateway.py:" in line

    def test_invalid_settings_say_that_process_waits_and_then_ends(self, program):
        program.path.write_text("nodeName = 7")
        program.start()
        assert program.wait_for_end(30) == 2
        waits, ends = program.output.read_text().splitlines()
        assert waits.startswith("masticgate: waits 10 s for valid settings: ")
        assert ends.startswith("masticgate: the process ends: no valid settings for 10 s: ")


class TestErrorsWithLog:
    def test_error_of_main_thread_is_last_line(self, program):
        """Guard against an error that ends the process without a line in its log (FAULT)."""
        start_with_unusable_settings(program, FAILING_RELOAD)
        assert program.wait_for_end() == 1
        line = json.loads(program.output.read_text().splitlines()[-1])
        assert (line["event"], line["host"]) == ("process_failed", "front-1")
        assert line["detail"] == "GeneratorExit('injected')"
        assert "_serve.py:" in line["at"]

    def test_error_of_thread_that_is_not_restarted_is_logged(self, program):
        """Guard against a process that goes on without one of its tasks and says nothing."""
        program.write_settings()
        program.start(prelude=FAILING_MAINTENANCE)
        line = program.wait_for_event("thread_failed")
        assert line["detail"] == "GeneratorExit('injected')" and "_gateway.py:" in line["at"]

    def test_error_of_finalizer_is_logged_and_process_goes_on(self, program):
        start_with_unusable_settings(program, FAILING_FINALIZER)
        line = program.wait_for_event("error_ignored")
        assert line["detail"] == "ZeroDivisionError('injected')"
        assert program.is_ready()

    def test_full_pipe_does_not_keep_process_from_ending(self, program):
        reader, writer = os.pipe()
        os.set_blocking(writer, False)
        with pytest.raises(BlockingIOError):
            while True:
                os.write(writer, bytes(65_536))
        os.set_blocking(writer, True)
        start_with_unusable_settings(program, FAILING_RELOAD, stdout=writer)
        assert program.wait_for_end() == 1
        os.close(reader)
        os.close(writer)
