"""Guard against a planned stop under load that cuts off requests which were just accepted."""

from contextlib import contextmanager
from dataclasses import replace
from threading import Event, Thread

import pytest

from masticgate import Millis
from masticgate.process.gateway import _gateway
from masticgate.version.gateway import Idempotency

from .fakes import make_route
from .loopback import (
    HangingSearcher,
    RawCaller,
    StandInSearcher,
    head_value,
    reply_to,
    running_gateway,
)

CALLERS = 24

GRACE = Millis(1_500.0)
LONG_GRACE = Millis(6_000.0)
LAST_SIXTH_S = LONG_GRACE / 1_000 * 5 / 6
"""A searcher that still runs a request later than this after the signal may have it cut."""


class Callers:
    """Callers that connect and ask until connections are refused.

    ``sent`` has the ids of all requests, and ``answered`` those that got a complete answer.
    ``failures`` says what the others got, for the message of a failed test.
    """

    def __init__(self, gateway, *, keeps_connections: bool) -> None:
        self.gateway = gateway
        self.keeps_connections = keeps_connections
        self.sent: set[bytes] = set()
        self.answered: set[bytes] = set()
        self.failures: dict[bytes, str] = {}
        self.threads = [Thread(target=self._run, args=(number,)) for number in range(CALLERS)]
        for thread in self.threads:
            thread.start()

    def _run(self, number: int) -> None:
        caller = None
        for count in range(5_000):
            request_id = f"{number}-{count}"
            try:
                caller = caller or RawCaller(self.gateway)
                self.sent.add(request_id.encode())
                status, head, body = caller.get(request_id=request_id).read()
            except (ConnectionRefusedError, TimeoutError):
                return
            except OSError as error:
                self.failures[request_id.encode()] = repr(error)
                caller = None
                continue
            if status == 200:
                self.answered.add(request_id.encode())
            else:
                self.failures[request_id.encode()] = f"{status} {head!r} {body!r}"
            if not status or not self.keeps_connections or b"close" in head.lower():
                caller.close()
                caller = None


@pytest.fixture
def exited(monkeypatch):
    """Return an event that stands for the end of the process."""
    event = Event()
    monkeypatch.setattr(_gateway.os, "_exit", lambda status: event.set())
    return event


def slow_route(kind: Idempotency = Idempotency.NON_IDEMPOTENT):
    """Return a route whose requests may take longer than the grace time."""
    return replace(make_route(kind=kind), timeout=Millis(9_000.0), objective=Millis(300.0))


class TestRequestsInProgress:
    def test_answer_right_before_last_sixth_of_grace_is_passed_on(self, exited):
        """Guard against requests that are cut while their searchers may still answer."""
        received = Event()

        def answer(head):
            received.set()
            Event().wait(LAST_SIXTH_S - 0.05)
            return reply_to(head)

        searchers = {"orders": [StandInSearcher(answer)]}
        with running_gateway([slow_route()], searchers, grace=LONG_GRACE) as gateway:
            caller = RawCaller(gateway).get(caller_timeout=8_000)
            assert received.wait(5)
            gateway.stop()
            assert exited.is_set()
            assert gateway.callers.count(*_gateway.CallerState) == 0
            assert caller.read()[0] == 200

    @pytest.mark.parametrize("kind", list(Idempotency))
    def test_request_without_answer_at_end_of_grace_is_answered_as_unknown(self, exited, kind):
        """Guard against a connection that ends without an answer at the end of the grace."""
        searcher = HangingSearcher()
        with running_gateway([slow_route(kind)], {"orders": [searcher]}, grace=GRACE) as gateway:
            caller = RawCaller(gateway).get(caller_timeout=8_000)
            assert searcher.request_received.wait(5)
            gateway.stop()
            assert caller.read()[0] == 504
            assert searcher.connection_closed.wait(5)


class TestLateRequests:
    """Requests that arrive while the gateway stops, on connections that were open before."""

    @contextmanager
    def stopping_gateway(self, route, answer=reply_to):
        searchers = {"orders": [StandInSearcher(answer)]}
        with running_gateway([route], searchers, grace=GRACE) as gateway:
            stop = Thread(target=gateway.stop)
            caller = RawCaller(gateway)
            stop.start()
            while not gateway.stopping.is_set():
                Event().wait(0.005)
            yield caller, searchers["orders"][0]
            stop.join()

    def test_request_that_cannot_end_in_time_is_refused_at_once(self, exited):
        """Guard against a request that is passed on and then cut at the end of the grace."""
        with self.stopping_gateway(slow_route()) as (caller, searcher):
            status, head, _ = caller.get(caller_timeout=8_000).read()
            assert status == 503
            assert 0.0 < float(head_value(head, b"retry-after")) < 0.5
        assert searcher.requests == []

    def test_request_that_can_end_in_time_is_served(self, exited):
        with self.stopping_gateway(slow_route()) as (caller, _):
            assert caller.get(caller_timeout=500).read()[0] == 200

    def test_request_that_may_be_repeated_is_served_if_its_objective_allows(self, exited):
        with self.stopping_gateway(slow_route(Idempotency.IDEMPOTENT)) as (caller, _):
            assert caller.get(caller_timeout=8_000).read()[0] == 200


class TestPlannedStop:
    @pytest.mark.parametrize("keeps_connections", [False, True])
    def test_every_request_that_reached_a_searcher_is_answered(self, exited, keeps_connections):
        ran: set[bytes] = set()

        def answer(head):
            ran.add(head_value(head, b"x-id"))
            Event().wait(0.02)
            return reply_to(head)

        searchers = {"orders": [StandInSearcher(answer)]}
        with running_gateway([make_route()], searchers, grace=GRACE) as gateway:
            callers = Callers(gateway, keeps_connections=keeps_connections)
            Event().wait(0.3)
            gateway.stop()
            assert exited.is_set()
            open_connections = gateway.callers.count(*_gateway.CallerState)
            for thread in callers.threads:
                thread.join(15)
        assert len(callers.answered) > CALLERS
        assert ran <= callers.answered, {r: callers.failures.get(r) for r in ran - callers.answered}
        assert open_connections == 0
