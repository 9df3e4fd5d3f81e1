"""Tests that an ``HttpConnection`` limits the size and the duration of endless responses."""

from time import monotonic

import pytest

from masticgate import Millis
from masticgate.connection._http_connection import HttpConnection, HttpFailure
from tests.gateway.endless_responses import (
    CHUNKED_HEAD,
    ENDLESS_BODIES,
    ENDLESS_HEADS,
    MAX_SENT_BYTES,
    RESPONSE_START,
    EndlessResponse,
    EndlessServer,
)

LONG_TIMEOUT = Millis(60_000.0)
SHORT_TIMEOUT = Millis(300.0)
CLOSE_TIMEOUT_S = 5.0
NOT_COUNTED_BY_LIBCURL = {"chunk_extension", "chunk_extensions"}
"""Endless responses that only the timeout ends, because libcurl does not count these bytes.

libcurl discards the bytes, so that they use no memory.
"""

CLOSED_AT_SIZE_LIMIT = {
    name: response
    for name, response in (ENDLESS_HEADS | ENDLESS_BODIES).items()
    if name not in NOT_COUNTED_BY_LIBCURL
}
SLOW_RESPONSES = {
    "head": EndlessResponse(RESPONSE_START + b"x-fill: ", b"x"),
    "body": EndlessResponse(RESPONSE_START + b"Content-Length: 1000000\r\n\r\n", b"x"),
    "interim_responses": EndlessResponse(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "chunk_extension": EndlessResponse(CHUNKED_HEAD + b"1;", b"x"),
}


class TestHttpConnection:
    def post(
        self, response: EndlessResponse, timeout: Millis, pause_s: float | None = None
    ) -> EndlessServer:
        """Send a request to a server that responds with ``response``, and return the server.

        Assert that the request fails and that its connection is closed.
        """
        server = EndlessServer(response, pause_s)
        connection = HttpConnection(server.address)
        reply = connection.post("/search", b"{}", timeout)
        server.stop()
        assert isinstance(reply, HttpFailure)
        assert reply.sent
        assert server.closed.wait(CLOSE_TIMEOUT_S)
        return server

    @pytest.mark.parametrize("name", CLOSED_AT_SIZE_LIMIT)
    def test_closes_connection_with_endless_response_at_size_limit(self, name):
        assert self.post(CLOSED_AT_SIZE_LIMIT[name], LONG_TIMEOUT).sent_bytes < MAX_SENT_BYTES

    @pytest.mark.parametrize("name", SLOW_RESPONSES)
    def test_ends_slow_endless_response_at_timeout(self, name):
        started_at = monotonic()
        self.post(SLOW_RESPONSES[name], SHORT_TIMEOUT, pause_s=0.005)
        assert monotonic() - started_at < 2.0
