"""Trailers, which are headers after a chunked body, do not count as headers of a response."""

import pytest

from masticgate.connection.gateway._parser import RequestParser, TooLarge
from masticgate.connection.gateway._response_parser import ResponseParser

from .fakes import make_route
from .loopback import RawCaller, StandInSearcher, head_value, running_gateway

CHUNKS = b"Transfer-Encoding: chunked\r\n\r\n5\r\nother\r\n0\r\n"


CHUNKED_REQUEST = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"


class TestTrailersOfRequests:
    # Guards against one caller that keeps the processor and the memory of a gateway busy with the
    # trailers of one request, which no limit counted.
    @pytest.mark.parametrize(
        ("start", "part"),
        [(b"0\r\nX-T: ", b"a"), (b"0\r\n", b"X-T: a\r\n"), (b"1;", b"a"), (b"", b"0")],
        ids=["one", "many", "extension", "length"],
    )
    def test_bytes_outside_of_body_are_bounded(self, start, part):
        parser = RequestParser(16_384, 1_000_000)
        assert parser.feed(CHUNKED_REQUEST + start) is None
        results = [parser.feed(part * (4_000 // len(part))) for _ in range(5)]
        assert results[:4] == [None] * 4
        assert results[4] == TooLarge(431)

    def test_small_pieces_of_a_large_body_are_accepted(self):
        parser = RequestParser(16_384, 1_000_000)
        assert parser.feed(CHUNKED_REQUEST) is None
        for _ in range(100):
            assert parser.feed(b"1\r\nx\r\n" * 600) is None
        assert parser.feed(b"0\r\nX-T: a\r\n\r\n") is None
        assert len(parser.ready[0].body) == 60_001


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
