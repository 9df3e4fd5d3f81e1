"""Numbers that a searcher states are read up to a length; a longer one counts as not stated."""

import pytest

from .fakes import make_route
from .loopback import RawCaller, StandInSearcher, reply_to, running_gateway

LENGTHS = [400, 5_000]
"""Digits of a number too large for a float, and of one that Python refuses to read."""


def serve_twice(extra: bytes) -> list[int]:
    """Return the statuses of two requests to a searcher that adds ``extra`` to its answers."""
    searcher = StandInSearcher(lambda head: reply_to(head, extra=extra))
    with running_gateway([make_route(attempts=1)], {"orders": [searcher]}) as gateway:
        return [RawCaller(gateway).get(identity=identity).read()[0] for identity in ("q1", "q2")]


class TestLongNumbers:
    # The task of the connection ended without its call: the caller waited until the deadline.
    @pytest.mark.parametrize("length", LENGTHS)
    def test_a_long_idle_time_ends_no_call(self, length):
        assert serve_twice(b"Keep-Alive: timeout=%s\r\n" % (b"9" * length)) == [200, 200]

    # The choice among searchers failed for every caller while the load counted.
    @pytest.mark.parametrize("length", LENGTHS)
    def test_a_long_load_ends_no_call(self, length):
        assert serve_twice(b"x-load: 1,%s,8\r\n" % (b"9" * length)) == [200, 200]

    # A caller lost its connection without an answer.
    def test_a_long_version_of_the_configuration_ends_no_request(self):
        searcher = StandInSearcher(reply_to)
        with running_gateway([make_route()], {"orders": [searcher]}) as gateway:
            extra = b"X-Gateway-Version: %s\r\n" % (b"9" * 5_000)
            assert RawCaller(gateway).get(extra=extra).read()[0] == 200
