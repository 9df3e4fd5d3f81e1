"""Tests of errors in the main thread of the real gateway program, which must not end it."""

import signal

import pytest

from .program import GatewayProgram

PRELUDE = """
import runpy, sys
sys.argv[1:] = []
import masticgate.platform._node_file as node_file
import masticgate.platform._serve as serve
from masticgate.process.gateway._gateway import Gateway
from masticgate.process.gateway._peers import Peers
from masticgate.process.gateway._supervisor import Supervisor
serve.RELOAD_INTERVAL_S = 0.2
def fail_twice(owner, name, error):
    call, errors = getattr(owner, name), [error, error]
    def fail(*args, **named):
        if errors:
            raise errors.pop()
        return call(*args, **named)
    setattr(owner, name, fail)
{failure}
runpy.run_module("masticgate.platform", run_name="__main__")
"""


@pytest.fixture
def program(tmp_path):
    program = GatewayProgram(tmp_path)
    yield program
    program.close()


def start(program: GatewayProgram, failure: str) -> None:
    """Start the program with a function that fails twice."""
    program.write_settings()
    program.start("-c", PRELUDE.format(failure=failure))


class TestErrorsInMainThread:
    @pytest.mark.parametrize(
        "failure",
        [
            'fail_twice(serve, "Gateway", OSError(24, "Too many open files"))',
            'fail_twice(serve, "Gateway", MemoryError())',
            'fail_twice(serve, "PlatformStore", RuntimeError("injected"))',
            'fail_twice(Supervisor, "start", MemoryError())',
            'fail_twice(Peers, "start", MemoryError())',
            'fail_twice(node_file.Path, "read_text", MemoryError())',
        ],
    )
    def test_start_that_fails_is_tried_again(self, program, failure):
        """Guard against a process that ends since it lacks memory for a moment (FAULT)."""
        start(program, failure)
        program.wait_until_ready()

    @pytest.mark.parametrize("error", ["MemoryError()", 'RuntimeError("injected")'])
    def test_reload_that_fails_is_tried_again(self, program, error):
        """Guard against a reload that ends the process (FAULT), or that is given up."""
        start(program, f'fail_twice(Gateway, "reload", {error})')
        program.wait_until_ready()
        program.write_settings(grace=2.0)
        program.signal(signal.SIGHUP)
        failed = program.wait_for_event("task_failed")
        assert failed["task"] == "_follow_settings" and error.partition("(")[0] in failed["detail"]
        assert program.wait_for_event("reloaded")["grace_ms"] == 2_000.0
        assert program.is_ready()
        program.signal(signal.SIGTERM)
        assert program.wait_for_end() == 0

    def test_read_of_settings_that_fails_is_tried_again(self, program):
        start(program, 'fail_twice(Gateway, "record_unusable_settings", KeyError("injected"))')
        program.wait_until_ready()
        program.path.write_text("")
        program.wait_for_event("task_failed")
        program.write_settings(grace=2.0)
        program.wait_for_event("reloaded")

    def test_stop_that_fails_is_tried_again(self, program):
        """Guard against a stop that cuts the requests in progress."""
        start(program, 'fail_twice(Gateway, "_wait_for_requests", MemoryError())')
        program.wait_until_ready()
        program.signal(signal.SIGTERM)
        assert program.wait_for_end() == 0
        assert program.wait_for_event("stopped")["took_ms"] >= 1_000

    @pytest.mark.parametrize("argument", ["none", "", "0", "99999", "9" * 5_000])
    def test_invalid_port_of_metrics_does_not_keep_gateway_from_serving(self, program, argument):
        program.write_settings()
        program.start(arguments=(argument,))
        program.wait_until_ready()
        assert "no metrics are served" in program.output.read_text()
