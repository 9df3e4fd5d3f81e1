"""What remains in memory of answers once nobody needs them any more."""

import gc
from time import monotonic, sleep

import pytest

from masticgate import Millis, SystemClock
from masticgate.connection.gateway import GetTimeouts, HttpClient, HttpResponse
from masticgate.connection.gateway._body_buffer import BodyBuffer
from masticgate.connection.gateway._response_parser import ParsedResponse
from masticgate.version.gateway import Idempotency

from .fakes import make_route
from .heads import head_value
from .loopback import RawCaller, StandInSearcher, running_gateway

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
    """Return the bytes of all bodies that parsers hold."""
    objects = gc.get_objects()
    unfinished = sum(found.size for found in objects if isinstance(found, BodyBuffer))
    return unfinished + sum(len(found.body) for found in objects if type(found) is ParsedResponse)


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

    def test_answer_to_gateway_itself_is_dropped(self):
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 500000\r\n\r\n" + bytes(ANSWER_BYTES)
        server = StandInSearcher(lambda head: answer)
        client = HttpClient(server.address, SystemClock())
        response = client.get("host", "/", {}, TIMEOUTS)
        assert response == HttpResponse(200, bytes(ANSWER_BYTES))
        assert held_bytes() == 0
        client.close()
