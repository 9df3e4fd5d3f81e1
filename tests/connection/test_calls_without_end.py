"""Answers that do not end, to the calls that go through libcurl: memory and time are bounded."""

from time import monotonic

import pytest

from masticgate import Millis
from masticgate.connection._http_connection import HttpConnection, HttpFailure
from tests.gateway.pouring import (
    CHUNKED,
    ENDLESS_BODIES,
    ENDLESS_HEADS,
    OWN,
    POURED_BYTES,
    Flow,
    PouringServer,
)

LONG = Millis(60_000.0)
SHORT = Millis(300.0)
SOON_S = 5.0
ENDED_BY_TIME = {"chunk_extension", "chunk_extensions"}
"""libcurl drops these without a count; nothing is kept of them."""

COUNTED = {
    name: flow
    for name, flow in (ENDLESS_HEADS | ENDLESS_BODIES).items()
    if name not in ENDED_BY_TIME
}
TRICKLES = {
    "head": Flow(OWN + b"x-fill: ", b"x"),
    "body": Flow(OWN + b"Content-Length: 1000000\r\n\r\n", b"x"),
    "interim_answers": Flow(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "chunk_extension": Flow(CHUNKED + b"1;", b"x"),
}


class TestHttpCall:
    def post(self, flow: Flow, timeout: Millis, pause_s: float | None = None) -> PouringServer:
        """Return a server that a call was lost to."""
        server = PouringServer(flow, pause_s)
        call = HttpConnection(server.address)
        reply = call.post("/search", b"{}", timeout)
        server.stop()
        assert isinstance(reply, HttpFailure)
        assert reply.sent
        assert server.closed.wait(SOON_S)
        return server

    @pytest.mark.parametrize("name", COUNTED)
    def test_an_endless_answer_ends_the_call_and_the_connection(self, name):
        assert self.post(COUNTED[name], LONG).written < POURED_BYTES

    @pytest.mark.parametrize("name", TRICKLES)
    def test_an_endless_trickle_ends_at_the_timeout(self, name):
        began = monotonic()
        self.post(TRICKLES[name], SHORT, pause_s=0.005)
        assert monotonic() - began < 2.0
