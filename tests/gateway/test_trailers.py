"""Trailers, which are headers after a chunked body, do not count as headers of a response."""

import pytest

from masticgate.connection.gateway._response_parser import ResponseParser

from .fakes import make_route
from .loopback import RawCaller, StandInSearcher, head_value, running_gateway

CHUNKS = b"Transfer-Encoding: chunked\r\n\r\n5\r\nother\r\n0\r\n"


class TestTrailers:
    # Guards against a trailer that replaces the header of the same name, so that the response to
    # another request is taken for the response to this one.
    def test_ignores_request_id_in_trailer(self):
        def respond(head):
            request_id = head_value(head, b"x-id")
            return b"HTTP/1.1 200 OK\r\nx-id: q0\r\nx-stamp: s\r\n%sx-id: %s\r\n\r\n" % (
                CHUNKS,
                request_id,
            )

        searchers = {"orders": [StandInSearcher(respond)]}
        with running_gateway([make_route(attempts=1)], searchers) as gateway:
            assert RawCaller(gateway).get().read()[0] == 504

    # Guards against a trailer with a stamp that makes a failure look authentic and is forwarded as
    # a header.
    @pytest.mark.parametrize("trailers", [b"x-stamp: t\r\n", b"x-stamp: t\r\nx-other: 1\r\n"])
    def test_does_not_add_trailers_to_headers(self, trailers):
        parser = ResponseParser()
        assert parser.feed(b"HTTP/1.1 200 OK\r\nx-id: q1\r\n" + CHUNKS + trailers + b"\r\n") is None
        assert [name for name, _ in parser.ready[0].headers] == [b"x-id", b"Transfer-Encoding"]
        assert b"x-stamp" not in parser.ready[0].headers_by_name
        assert parser.ready[0].body == b"other"
