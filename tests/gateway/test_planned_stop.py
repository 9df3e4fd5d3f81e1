"""Guard against a planned stop under load that cuts off requests which were just accepted."""

from threading import Event, Thread

import pytest

from masticgate import Millis
from masticgate.process.gateway import _gateway

from .fakes import make_route
from .loopback import RawCaller, StandInSearcher, head_value, reply_to, running_gateway

CALLERS = 24


class Callers:
    """Callers that connect and ask until connections are refused.

    ``sent`` has the ids of all requests, and ``answered`` those that got a complete answer.
    """

    def __init__(self, gateway, *, keeps_connections: bool) -> None:
        self.gateway = gateway
        self.keeps_connections = keeps_connections
        self.sent: set[bytes] = set()
        self.answered: set[bytes] = set()
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
                status, head, _ = caller.get(request_id=request_id).read()
            except (ConnectionRefusedError, TimeoutError):
                return
            except OSError:
                caller = None
                continue
            if status == 200:
                self.answered.add(request_id.encode())
            if not status or not self.keeps_connections or b"close" in head.lower():
                caller.close()
                caller = None


class TestPlannedStop:
    @pytest.mark.parametrize("keeps_connections", [False, True])
    def test_every_request_that_reached_a_searcher_is_answered(
        self, monkeypatch, keeps_connections
    ):
        ran: set[bytes] = set()

        def answer(head):
            ran.add(head_value(head, b"x-id"))
            Event().wait(0.02)
            return reply_to(head)

        exited = Event()
        monkeypatch.setattr(_gateway.os, "_exit", lambda status: exited.set())
        searchers = {"orders": [StandInSearcher(answer)]}
        with running_gateway([make_route()], searchers, grace=Millis(1_500.0)) as gateway:
            callers = Callers(gateway, keeps_connections=keeps_connections)
            Event().wait(0.3)
            gateway.stop()
            assert exited.is_set()
            open_connections = gateway.callers.count(*_gateway.CallerState)
            for thread in callers.threads:
                thread.join(15)
        assert len(callers.answered) > CALLERS
        assert ran <= callers.answered
        assert open_connections == 0
