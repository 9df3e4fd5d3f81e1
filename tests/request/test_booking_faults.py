"""The booking path, from ticket to searcher's connection, over a network with faults.

All parts of the path are real except the network, the clock and the searchers' connections.
"""

from collections import defaultdict

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from masticgate import (
    HostId,
    Incarnation,
    Millis,
    NotRun,
    QueryId,
    Rank,
    Reason,
    Revision,
    SearcherId,
    Step,
    Unknown,
)
from masticgate.process import OWNER_POLICY
from masticgate.process._owner import Owner
from masticgate.process._pools import ServicePools
from masticgate.process._tickets import TicketTable
from masticgate.process._timeline import Timeline
from masticgate.process._versions import VersionStore
from masticgate.request import Book, Booking, Cancel, Ran, run_booking
from tests.process.fake_connections import add_idle_connection
from tests.request.scripted_runtime import ScriptedRuntime
from tests.texts import SMALL

MINTER = HostId("h9")
SEARCHER_LOST = Unknown(Reason.SEARCHER_LOST, Step.UPSTREAM)
SEARCHER_SHED = NotRun(Reason.SEARCHER_SHED, Step.UPSTREAM)
DELAYS = st.sampled_from([1.0, 1.0, 20.0, 250.0])
COPY_DELAYS = st.sampled_from([(1.0,), (1.0,), (1.0,), (250.0,), (1.0, 1.0), (1.0, 250.0), ()])
FAULT_PLANS = st.fixed_dictionaries(
    {
        "book": COPY_DELAYS,
        "cancel": COPY_DELAYS,
        "reply": COPY_DELAYS,
        "idle": DELAYS,
        "service": DELAYS,
        "searcher": st.sampled_from(
            ["run", "run", "refuse", "refuse", "disconnect", "run then disconnect"]
        ),
    }
)
"""Plans for one booking: delays in milliseconds, and what the searcher does.

``book``, ``cancel`` and ``reply`` give the delay of each copy of a message; a message without a
copy is lost. ``idle`` is the delay until a connection is idle, and ``service`` the running time.
"""


class OwnerHost:
    """A host with a real owner, whose connections to searchers behave as the plan says.

    ``runs`` lists the queries that ran, by ticket.
    """

    def __init__(self, runtime, runs):
        self.runtime = runtime
        self.runs = runs
        self.alive = True
        timeline = Timeline(HostId("owner"), runtime.clock)
        versions = VersionStore(timeline, lambda configuration: None)
        versions.offer_text(SMALL, Revision(1))
        self.pools = ServicePools(
            OWNER_POLICY, runtime.clock, timeline, lambda pool, searcher: None
        )
        self.owner = Owner(self.pools, versions, runtime.clock, lambda: 3)
        self.idle_connections = []

    def receive(self, message, send_reply, plan):
        if not self.alive:
            return
        match message:
            case Cancel():
                self.owner.cancel(message)
            case Book():
                self.owner.submit_booking(message, send_reply)
                self.runtime.schedule(plan["idle"], lambda: self.add_idle(plan))

    def add_idle(self, plan):
        for pool in self.pools.list_pools():
            self.idle_connections.append(add_idle_connection(pool, pool.health[SearcherId("oa")]))
            for connection in [c for c in self.idle_connections if c.attempt is not None]:
                self.idle_connections.remove(connection)
                self.serve(pool, connection.attempt, plan)

    def serve(self, pool, attempt, plan):
        if not self.alive or not pool.may_send(attempt, lambda: None):
            pool.abandon(attempt)
            return
        work = attempt.entry.work

        def finish():
            if plan["searcher"].startswith("run"):
                self.runs[work.ticket].append(work.query)
            result = {"run": Ran("1"), "refuse": SEARCHER_SHED}.get(plan["searcher"], SEARCHER_LOST)
            if self.alive:
                pool.finish(attempt, result)

        self.runtime.schedule(plan["service"], finish)


class BookingMachine(RuleBasedStateMachine):
    """Submits bookings under faults, and restarts the minter and the owners between them.

    ``results`` holds the ticket, the request and the outcome of each booking.
    """

    def __init__(self):
        super().__init__()
        self.runtime = ScriptedRuntime(SMALL, self.respond)
        self.runs = defaultdict(list)
        self.results = []
        self.tickets = []
        self.request_count = 0
        self.incarnation = 0
        self.owners = {host: OwnerHost(self.runtime, self.runs) for host in self.runtime.hosts}

    @initialize()
    def start_minter(self):
        self.restart_minter()

    @rule()
    def restart_minter(self):
        """Restart the minter, which loses all tickets of its previous incarnation."""
        self.incarnation += 1
        self.runtime.own_tickets.clear()
        self.table = TicketTable(MINTER, Incarnation(self.incarnation), self.runtime.clock)
        self.runtime.record_late_outcome = self.table.record_late_outcome
        self.mint()

    @rule()
    def mint(self):
        self.tickets.append(self.table.mint())
        self.runtime.own_tickets.add(self.tickets[-1])

    @rule(host=st.sampled_from(["h0", "h1", "h2"]))
    def restart_owner(self, host):
        self.owners[host].alive = False
        self.owners[host] = OwnerHost(self.runtime, self.runs)

    @rule(duration=st.sampled_from([30.0, 1000.0]))
    def let_time_pass(self, duration):
        end = self.runtime.clock.now() + duration
        while self.runtime.run_next_event(end):
            pass
        self.runtime.clock.current = Millis(end)

    @rule(plan=FAULT_PLANS, newest=st.booleans(), duplicate=st.booleans(), data=st.data())
    def book(self, plan, newest, duplicate, data):
        """Submit a booking under a ticket, as a new request or as a duplicate of an earlier one."""
        ticket = self.tickets[-1] if newest else data.draw(st.sampled_from(self.tickets))
        earlier = [request for used, request, _ in self.results if used == ticket]
        self.request_count += 1
        query = earlier[-1] if duplicate and earlier else QueryId(f"q{self.request_count}")
        self.plan = plan
        outcome = run_booking(self.booking(ticket, query), self.table, self.runtime)
        self.results.append((ticket, query, outcome))

    def booking(self, ticket, query):
        deadline = Millis(self.runtime.clock.now() + 200.0)
        incarnation = Incarnation(self.incarnation)
        return Booking(query, ticket, MINTER, incarnation, "orders", Rank.URGENT, deadline, "{}")

    def respond(self, host, message, deliver):
        """Deliver each copy of a message; copies in transit to an owner that restarts are lost."""
        if host not in self.owners:
            return
        owner, plan = self.owners[host], self.plan

        def send_reply(reply):
            for delay in plan["reply"]:
                deliver(delay, reply)

        copies = plan["book"] if isinstance(message, Book) else plan["cancel"]
        for delay in copies:
            self.runtime.schedule(delay, lambda: owner.receive(message, send_reply, plan))

    @invariant()
    def runs_at_most_once(self):
        assert all(len(runs) <= 1 for runs in self.runs.values())

    @invariant()
    def not_run_is_final_and_ran_is_true(self):
        """A request with outcome ``NotRun`` never runs; ``Ran`` means one run under its ticket."""
        for ticket, request, outcome in self.results:
            if isinstance(outcome, NotRun):
                assert request not in self.runs[ticket]
            if isinstance(outcome, Ran):
                assert len(self.runs[ticket]) == 1


class TestBookingUnderFaults(BookingMachine.TestCase):
    settings = settings(derandomize=True, max_examples=100, stateful_step_count=25, deadline=None)
