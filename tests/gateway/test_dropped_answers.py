"""What remains in memory of answers once nobody needs them any more."""

import gc
from time import monotonic, sleep

import pytest

from masticgate import Millis, SystemClock
from masticgate.connection.gateway import GetTimeouts, HttpClient, HttpResponse
from masticgate.connection.gateway._body_buffer import BodyBuffer
from masticgate.connection.gateway._response_parser import ParsedResponse
from masticgate.request.gateway import Answered
from masticgate.version.gateway import Idempotency

from .fakes import make_route
from .heads import head_value
from .loopback import RawCaller, StandInSearcher, reply_to, running_gateway

ANSWER_BYTES = 500_000
TIMEOUTS = GetTimeouts(Millis(1_000.0), Millis(1_000.0))


@pytest.fixture(autouse=True)
def no_collection():
    """Keep the collector of cycles from running, as it may not for a long time."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def held_bytes() -> int:
    """Return the bytes of all bodies that parsers and finished calls hold."""
    objects = gc.get_objects()
    unfinished = sum(found.size for found in objects if isinstance(found, BodyBuffer))
    return unfinished + sum(
        len(found.body) for found in objects if type(found) in (Answered, ParsedResponse)
    )


class TestDroppedAnswers:
    # Guards against the bytes of answers that broke off, such as those of cancelled hedges, which
    # stayed in memory for long after the gateway no longer accounted for them (FAULT).
    def test_answer_that_breaks_off_is_dropped(self):
        def respond(head):
            return (
                b"HTTP/1.1 200 OK\r\nx-id: %s\r\nx-stamp: s\r\nContent-Length: 900000\r\n\r\n"
                % head_value(head, b"x-id")
            ) + bytes(ANSWER_BYTES)

        searcher = StandInSearcher(respond)
        searcher.closes_after_answer = True
        route = make_route(kind=Idempotency.NON_IDEMPOTENT)
        with running_gateway([route], {"orders": [searcher]}) as gateway:
            caller = RawCaller(gateway)
            assert caller.get().read()[0] in (502, 504)
            deadline = monotonic() + 5.0
            while held_bytes():
                assert monotonic() < deadline
                sleep(0.01)

    # Guards against the late answers of hedges, which stayed in memory in the same way.
    def test_answer_that_comes_after_another_is_dropped(self):
        def respond(head):
            sleep(0.06)
            return reply_to(head, bytes(ANSWER_BYTES))

        searchers = {"orders": [StandInSearcher(respond), StandInSearcher(respond)]}
        with running_gateway([make_route()], searchers) as gateway:
            caller = RawCaller(gateway)
            for number in range(4):
                assert caller.get(request_id=f"q{number}", caller_timeout=2_000).read()[0] == 200
            assert sum(len(searcher.requests) for searcher in searchers["orders"]) > 4
            deadline = monotonic() + 5.0
            while held_bytes():
                assert monotonic() < deadline
                sleep(0.01)

    def test_answer_to_gateway_itself_is_dropped(self):
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 500000\r\n\r\n" + bytes(ANSWER_BYTES)
        server = StandInSearcher(lambda head: answer)
        client = HttpClient(server.address, SystemClock())
        response = client.get("host", "/", {}, TIMEOUTS)
        assert response == HttpResponse(200, bytes(ANSWER_BYTES))
        assert held_bytes() == 0
        client.close()
