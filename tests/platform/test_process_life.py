"""Tests of what starts and ends the real gateway program."""

import signal
import subprocess

import pytest

from .program import GatewayProgram


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
