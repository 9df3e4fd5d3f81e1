"""Headers are ignored if their number has too many digits."""

import pytest

from .fakes import make_route
from .loopback import RawCaller, StandInSearcher, reply_to, running_gateway

NUMBER_LENGTHS = [400, 5_000]
"""The digits of a number too large for a float, and of one that Python refuses to parse."""


def get_two_statuses(extra: bytes) -> list[int]:
    """Return the statuses of two requests to a searcher that sends ``extra`` with its answers."""
    searcher = StandInSearcher(lambda head: reply_to(head, extra=extra))
    with running_gateway([make_route(attempts=1)], {"orders": [searcher]}) as gateway:
        return [
            RawCaller(gateway).get(request_id=request_id).read()[0] for request_id in ("q1", "q2")
        ]


class TestLongNumbers:
    # Guards against an error in the task of the connection. It would leave the call without an
    # outcome, so that the caller waits until the deadline.
    @pytest.mark.parametrize("length", NUMBER_LENGTHS)
    def test_ignores_too_long_idle_timeout(self, length):
        assert get_two_statuses(b"Keep-Alive: timeout=%s\r\n" % (b"9" * length)) == [200, 200]

    # Guards against an error in the choice of a searcher, for every caller, as long as the load is
    # taken into account.
    @pytest.mark.parametrize("length", NUMBER_LENGTHS)
    def test_ignores_too_long_load(self, length):
        assert get_two_statuses(b"x-load: 1,%s,8\r\n" % (b"9" * length)) == [200, 200]

    # Guards against a connection that is closed without a response to the caller.
    def test_ignores_too_long_configuration_version(self):
        searcher = StandInSearcher(reply_to)
        with running_gateway([make_route()], {"orders": [searcher]}) as gateway:
            extra = b"X-Gateway-Version: %s\r\n" % (b"9" * 5_000)
            assert RawCaller(gateway).get(extra=extra).read()[0] == 200
