"""Trailers, the headers behind a body in chunks, say nothing of whose answer it is."""

import pytest

from masticgate.connection.gateway._response_parser import ResponseParser

from .fakes import make_route
from .loopback import RawCaller, StandInSearcher, head_value, running_gateway

CHUNKS = b"Transfer-Encoding: chunked\r\n\r\n5\r\nother\r\n0\r\n"


class TestTrailers:
    # A trailer replaced the header of its name: an answer to another request became this one's.
    def test_a_trailer_that_names_the_request_makes_no_answer_its_own(self):
        def answer(head):
            identity = head_value(head, b"x-id")
            return b"HTTP/1.1 200 OK\r\nx-id: q0\r\nx-stamp: s\r\n%sx-id: %s\r\n\r\n" % (
                CHUNKS,
                identity,
            )

        searchers = {"orders": [StandInSearcher(answer)]}
        with running_gateway([make_route(attempts=1)], searchers) as gateway:
            assert RawCaller(gateway).get().read()[0] == 504

    # A trailer with a stamp made a failure look authentic, and was passed on as a header.
    @pytest.mark.parametrize("trailers", [b"x-stamp: t\r\n", b"x-stamp: t\r\nx-other: 1\r\n"])
    def test_trailers_are_no_headers(self, trailers):
        parser = ResponseParser()
        assert parser.feed(b"HTTP/1.1 200 OK\r\nx-id: q1\r\n" + CHUNKS + trailers + b"\r\n") is None
        assert [name for name, _ in parser.ready[0].headers] == [b"x-id", b"Transfer-Encoding"]
        assert b"x-stamp" not in parser.ready[0].headers_by_name
        assert parser.ready[0].body == b"other"
