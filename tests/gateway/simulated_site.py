"""Gateways and searchers in simulated time, without a network.

Each request runs the code of the gateway in a thread of its own. Only one thread runs at a time,
and the time moves on only while all of them wait, so that a run depends on its seed alone.
"""

import heapq
import random
import threading
from collections import Counter, deque
from dataclasses import dataclass, field, replace
from itertools import count

from masticgate import ManualClock, Millis, NotRun, Reason, SearcherId, ServiceId
from masticgate._ids import RequestId
from masticgate.connection.gateway import Load
from masticgate.request.gateway import (
    Answered,
    CallerDisconnected,
    Declined,
    GatewayStopping,
    Refused,
    Relayed,
    Reply,
    RoomGranted,
    run_forward,
)
from masticgate.version.gateway import Route

from .fakes import make_entry, make_fleet, make_request, make_table

ORDERS = ServiceId("orders")

NETWORK_TIME = 0.5
"""Milliseconds from a gateway to a searcher, and back."""


class Simulation:
    """The events in the order of their times, and the clock of all gateways."""

    def __init__(self, seed: int = 1) -> None:
        self.clock = ManualClock(Millis(1_000.0))
        self.random = random.Random(seed)
        self.events = []
        self.numbers = count()

    def at(self, time, action) -> None:
        """Call ``action`` at ``time``."""
        heapq.heappush(self.events, (max(time, self.clock.now()), next(self.numbers), action))

    def after(self, delay, action) -> None:
        self.at(self.clock.now() + delay, action)

    def run(self, until=float("inf")) -> None:
        """Handle the events until ``until``, by default until there are none."""
        while self.events and self.events[0][0] <= until:
            time, _, action = heapq.heappop(self.events)
            self.clock.current = Millis(time)
            action()
        if until != float("inf"):
            self.clock.current = Millis(max(until, self.clock.now()))


class SimulatedSearcher:
    """A searcher with slots and a queue; ``slowdown`` multiplies the time for each request."""

    def __init__(self, simulation, name, slots=2, queue=8) -> None:
        self.simulation = simulation
        self.id = SearcherId(name)
        self.slots = slots
        self.queue_limit = queue
        self.slowdown = 1.0
        self.running = 0
        self.queue = deque()
        self.ran = Counter()
        self.declined = 0

    def submit(self, gateway, dispatched) -> None:
        if self.running >= self.slots and len(self.queue) >= self.queue_limit:
            self.declined += 1
            self._answer(gateway, dispatched, Declined(self.id, Reason.SEARCHER_SHED))
            return
        self.queue.append((gateway, dispatched, self.simulation.clock.now()))
        self._start_next()

    def _start_next(self) -> None:
        while self.running < self.slots and self.queue:
            gateway, dispatched, arrived_at = self.queue.popleft()
            call = dispatched.call
            if call.cancelled:
                continue
            self.running += 1
            self.ran[call.request.id] += 1
            work = gateway.work[call.route.id] * self.slowdown
            work *= self.simulation.random.uniform(0.8, 1.2)
            self.simulation.after(
                work, lambda g=gateway, d=dispatched, a=arrived_at: self._end(g, d, a)
            )

    def _end(self, gateway, dispatched, arrived_at) -> None:
        latency = Millis(self.simulation.clock.now() - arrived_at + 2 * NETWORK_TIME)
        outcome = Answered(self.id, 200, (), b"", f"stamp-{self.id}", latency)
        self._answer(gateway, dispatched, outcome)
        self.running -= 1
        self._start_next()

    def _answer(self, gateway, dispatched, outcome) -> None:
        load = Load(self.running, len(self.queue), self.slots)
        self.simulation.after(NETWORK_TIME, lambda: gateway.finish(dispatched, outcome, load))


class SimulatedGateway:
    """A gateway with a fleet of its own; it knows no other gateway."""

    def __init__(self, simulation, searchers, routes, work, gateways=1, connections=64) -> None:
        self.simulation = simulation
        self.work = {route.id: work[route.id] for route in routes}
        self.searchers = {searcher.id: searcher for searcher in searchers}
        self.fleet = make_fleet(simulation.clock)
        table = make_table(*routes)
        entry = replace(table.services[ORDERS], connections=connections)
        table = replace(table, services={ORDERS: entry})
        self.fleet.apply_table(table)
        self.fleet.apply_shares(replace(self.fleet.shares, gateways=gateways))
        for searcher in searchers:
            self.fleet.apply_listing(make_entry(searcher.id))

    def __getattr__(self, name):
        return getattr(self.fleet, name)

    def send(self, call, tried):
        dispatched = self.fleet.send(call, tried)
        if not isinstance(dispatched, NotRun):
            call.started = True
            searcher = self.searchers[dispatched.searcher]
            self.simulation.after(NETWORK_TIME, lambda: searcher.submit(self, dispatched))
        return dispatched

    def finish(self, dispatched, outcome, load) -> None:
        call = dispatched.call
        if call.cancelled:
            load = None
        call.outcome = outcome
        self.fleet.handle_outcome(dispatched.task, call, load, reusable=True)
        call.inbox.put(call)


@dataclass
class Result:
    """What became of one attempt of a caller; ``reply`` is ``None`` before."""

    gateway: SimulatedGateway
    route: Route
    request_id: str
    arrived_at: float
    timeout: float
    reply: Reply | None = None
    ended_at: float = 0.0

    @property
    def took(self):
        return self.ended_at - self.arrived_at


class SimulatedInbox:
    """The inbox of one request, whose thread runs while no other does."""

    def __init__(self, simulation, result) -> None:
        self.simulation = simulation
        self.result = result
        self.calls = deque()
        self.granted = deque()
        self.disconnected = False
        self.stopping = False
        self.blocked = False
        self.waits = 0
        self.turn = threading.Semaphore(0)
        self.back = threading.Semaphore(0)

    def start(self) -> None:
        """Run the request up to its first wait."""
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()
        self.back.acquire()

    def _run(self) -> None:
        result = self.result
        request = replace(
            make_request(caller_timeout=result.timeout),
            id=RequestId(result.request_id),
            arrived_at=self.simulation.clock.now(),
        )
        try:
            result.reply = run_forward(request, result.route, ORDERS, result.gateway, self)
        finally:
            result.ended_at = self.simulation.clock.now()
            self.back.release()

    def put(self, call) -> None:
        self.calls.append(call)
        self.wake()

    def grant(self, granted: RoomGranted) -> None:
        self.granted.append(granted)
        self.wake()

    def set_batch_size(self, number) -> None:
        pass

    def disconnect(self) -> None:
        self.disconnected = True
        self.wake()

    def stop(self) -> None:
        self.stopping = True
        self.wake()

    def wake(self) -> None:
        self.simulation.after(0.0, self._resume)

    def _resume(self) -> None:
        if self.blocked:
            self.blocked = False
            self.turn.release()
            self.back.acquire()

    def wait(self, deadline):
        self.waits += 1
        while True:
            if self.calls:
                return self.calls.popleft()
            if self.granted:
                return self.granted.popleft()
            if self.stopping:
                return GatewayStopping()
            if self.disconnected:
                return CallerDisconnected()
            if self.simulation.clock.now() >= deadline:
                return None
            self.simulation.at(deadline, self._resume)
            self.blocked = True
            self.back.release()
            self.turn.acquire()


@dataclass
class Callers:
    """Callers that send requests, and again after a refusal, as long as they have time left."""

    simulation: Simulation
    gateways: list
    results: list = field(default_factory=list)
    served: Counter = field(default_factory=Counter)
    in_time: Counter = field(default_factory=Counter)
    sent: Counter = field(default_factory=Counter)
    refused: list = field(default_factory=list)
    numbers: count = field(default_factory=count)

    def send(self, route: Route, time: float, timeout: float | None = None) -> None:
        """Send one request at ``time``; the caller gives up at the end of ``timeout``."""
        timeout = route.timeout if timeout is None else timeout
        self.sent[route.rank] += 1
        self.simulation.at(time, lambda: self._attempt(route, time, timeout))

    def send_steadily(self, route: Route, rate: float, start: float, end: float) -> None:
        """Send ``rate`` requests a second between ``start`` and ``end``, at random times."""
        time = start
        while (time := time + self.simulation.random.expovariate(rate / 1_000.0)) < end:
            self.send(route, time)

    def _attempt(self, route, sent_at, timeout) -> None:
        now = self.simulation.clock.now()
        gateway = self.simulation.random.choice(self.gateways)
        result = Result(gateway, route, f"q{next(self.numbers)}", now, sent_at + timeout - now)
        self.results.append(result)
        inbox = SimulatedInbox(self.simulation, result)
        inbox.start()
        self._note_end(result, route, sent_at, timeout)

    def _note_end(self, result, route, sent_at, timeout) -> None:
        if result.reply is None:
            # The request waits; it is looked at again after each event of its own is over.
            self.simulation.after(1.0, lambda: self._note_end(result, route, sent_at, timeout))
            return
        match result.reply:
            case Relayed(answer=answer) if answer.is_success:
                self.served[route.rank] += 1
                self.in_time[route.rank] += result.ended_at - sent_at <= route.objective
            case Refused(retry_after=retry_after):
                self.refused.append(result)
                back_at = result.ended_at + (retry_after or 0.0)
                if back_at < sent_at + timeout:
                    self.simulation.at(back_at, lambda: self._attempt(route, sent_at, timeout))

    def share_served(self, rank) -> float:
        return self.served[rank] / max(1, self.sent[rank])

    def share_in_time(self, rank) -> float:
        return self.in_time[rank] / max(1, self.sent[rank])
