"""Tests for admission control: which requests are sent, wait or are refused, by rank."""

from dataclasses import replace

from masticgate import ManualClock, Millis, ServiceId
from masticgate._ids import RequestId
from masticgate.request.gateway._attempts import Attempts

from .fakes import answered, make_entry, make_fleet, make_request, make_route, make_table

ORDERS = ServiceId("orders")

URGENT = replace(make_route(prefix="/urgent/"), rank=0, objective=Millis(63.0))
STANDARD = make_route(prefix="/standard/")
BULK = replace(make_route(prefix="/bulk/"), rank=2, timeout=Millis(2_000.0))


class QuietInbox:
    """An inbox that records the calls for which room was granted."""

    def __init__(self):
        self.granted = []

    def grant(self, granted):
        self.granted.append(granted)

    def put(self, call):
        pass


class Site:
    """A gateway's searchers, with calls that the test ends; the clock is the test's."""

    def __init__(self, searchers=1, routes=(URGENT, STANDARD, BULK)):
        self.clock = ManualClock()
        self.clock.advance(Millis(1_000.0))
        self.fleet = make_fleet(self.clock)
        table = make_table(*routes)
        self.fleet.apply_table(table)
        self.fleet.gate.apply_table(table)
        for number in range(searchers):
            self.fleet.apply_listing(make_entry(f"s{number}"))
        self.number = 0
        self.running = []

    @property
    def gate(self):
        return self.fleet.gate

    @property
    def places(self):
        return self.gate._free_places(ORDERS)

    def attempts(self, route=STANDARD, timeout=400.0):
        """Return the attempts of a new request, of which none is sent yet."""
        self.number += 1
        request = replace(
            make_request(f"q{self.number}", timeout),
            id=RequestId(f"q{self.number}"),
            arrived_at=self.clock.now(),
        )
        deadline = request.deadline(replace(route, timeout=Millis(timeout)))
        return Attempts(request, route, ORDERS, self.fleet, QuietInbox(), deadline)

    def start(self, route=STANDARD, timeout=400.0):
        """Send a new request, or let it wait."""
        attempts = self.attempts(route, timeout)
        attempts.send_first()
        self.note(attempts)
        return attempts

    def note(self, attempts):
        if attempts.pending and attempts not in self.running:
            self.running.append(attempts)

    def fill(self):
        """Send requests until no searcher has room."""
        while self.places:
            assert self.start().pending
        return self

    def finish(self, attempts=None, load=None):
        """End one call with an answer, and pass granted room to the requests that wait."""
        attempts = attempts or self.running[0]
        self.running.remove(attempts)
        (dispatched,) = attempts.in_flight_calls.values()
        dispatched.call.outcome = answered(dispatched.searcher)
        self.fleet.handle_outcome(dispatched.task, dispatched.call, load, reusable=True)
        attempts.handle_outcome(dispatched.call)

    def deliver(self, *waiting):
        """Let those of ``waiting`` that were granted room send; return them."""
        sent = []
        for attempts in waiting:
            for granted in attempts.inbox.granted:
                if attempts.handle_grant(granted) and attempts.pending:
                    sent.append(attempts)
            attempts.inbox.granted.clear()
            self.note(attempts)
        return sent


class TestRoomThatComesFree:
    """Guards against a request that is refused although it could be served in time."""

    def test_request_waits_while_all_searchers_are_full_and_is_woken(self):
        site = Site().fill()
        waiting = site.start()
        assert waiting.is_waiting and not waiting.pending
        site.finish()
        assert site.deliver(waiting) == [waiting]
        assert site.gate.waiting == 0

    def test_request_is_sent_at_once_while_a_searcher_has_room(self):
        site = Site(searchers=2)
        assert all(site.start().pending for _ in range(site.places))
