"""The real gateway program with few descriptors, of which callers take as many as they can."""

import resource
import socket
from contextlib import ExitStack, suppress
from threading import Event

import pytest

from .program import GatewayProgram

CALLERS = 150


def limit_descriptors(count: int) -> None:
    resource.setrlimit(resource.RLIMIT_NOFILE, (count, count))


@pytest.fixture
def program(tmp_path):
    program = GatewayProgram(tmp_path)
    yield program
    program.close()


class TestIdleCallers:
    # Guards against callers that take all descriptors, so that none is left for a readiness check,
    # a searcher or the store (FAULT).
    @pytest.mark.parametrize("port", ["front", "control"])
    @pytest.mark.parametrize("stated", [64, 120, 4_100])
    def test_gateway_stays_ready_and_serves(self, program, port, stated):
        limit = min(stated, 120)
        program.write_settings(more=f"[limits]\nmaxFds = {stated}\n")
        program.start(preexec_fn=lambda: limit_descriptors(limit))
        program.wait_until_ready()
        with ExitStack() as stack:
            for _ in range(CALLERS):
                with suppress(OSError):
                    address = ("127.0.0.1", program.ports[port])
                    stack.enter_context(socket.create_connection(address, timeout=1))
            Event().wait(0.5)
            assert program.is_ready()
            assert b"no_searcher" in program.request()
