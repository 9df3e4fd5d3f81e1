"""The real booking path, from ticket to searcher's connection, over a network that errs."""

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
from masticgate.process._timeline import TimeLine
from masticgate.process._versions import VersionStore
from masticgate.request import Book, Booking, Cancel, Ran, run_booking
from tests.process.fake_connections import add_idle_connection
from tests.request.scripted_runtime import ScriptedRuntime
from tests.texts import SMALL

MINTER = HostId("h9")
LOST = Unknown(Reason.SEARCHER_LOST, Step.UPSTREAM)
SHED = NotRun(Reason.SEARCHER_SHED, Step.UPSTREAM)
DELAYS = st.sampled_from([1.0, 1.0, 20.0, 250.0])
COPIES = st.sampled_from([(1.0,), (1.0,), (1.0,), (250.0,), (1.0, 1.0), (1.0, 250.0), ()])
NETWORK = st.fixed_dictionaries(
    {
        "book": COPIES,
        "cancel": COPIES,
        "reply": COPIES,
        "idle": DELAYS,
        "service": DELAYS,
        "searcher": st.sampled_from(["run", "run", "refuse", "refuse", "cut", "run then cut"]),
    }
)
"""The delays of each copy of a message, none where it is lost, and what the searcher does."""


class OwnerHost:
    """A real owner; its searchers' connections follow the plan."""

    def __init__(self, runtime, searched):
        self.runtime = runtime
        self.searched = searched
        self.alive = True
        timeline = TimeLine(HostId("owner"), runtime.clock)
        versions = VersionStore(timeline, lambda configuration: None)
        versions.offer_text(SMALL, Revision(1))
        self.pools = ServicePools(
            OWNER_POLICY, runtime.clock, timeline, lambda pool, searcher: None
        )
        self.owner = Owner(self.pools, versions, runtime.clock, lambda: 3)
        self.idle_connections = []

    def receive(self, message, answer, plan):
        if not self.alive:
            return
        match message:
            case Cancel():
                self.owner.cancel(message)
            case Book():
                self.owner.submit_booking(message, answer)
                self.runtime.at(plan["idle"], lambda: self.add_idle(plan))

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

        def end():
            if plan["searcher"].startswith("run"):
                self.searched[work.ticket].append(work.query)
            result = {"run": Ran("1"), "refuse": SHED}.get(plan["searcher"], LOST)
            if self.alive:
                pool.finish(attempt, result)

        self.runtime.at(plan["service"], end)


class BookingMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.runtime = ScriptedRuntime(SMALL, self.react)
        self.runs = defaultdict(list)
        self.told = []
        self.tickets = []
        self.requests = 0
        self.incarnation = 0
        self.owners = {host: OwnerHost(self.runtime, self.runs) for host in self.runtime.hosts}

    @initialize()
    def start_minter(self):
        self.restart_minter()

    @rule()
    def restart_minter(self):
        """All tickets of the incarnation before are lost with it."""
        self.incarnation += 1
        self.runtime.minted.clear()
        self.table = TicketTable(MINTER, Incarnation(self.incarnation), self.runtime.clock)
        self.runtime.learn = self.table.record_late_outcome
        self.mint()

    @rule()
    def mint(self):
        self.tickets.append(self.table.mint())
        self.runtime.minted.add(self.tickets[-1])

    @rule(host=st.sampled_from(["h0", "h1", "h2"]))
    def restart_owner(self, host):
        self.owners[host].alive = False
        self.owners[host] = OwnerHost(self.runtime, self.runs)

    @rule(duration=st.sampled_from([30.0, 1000.0]))
    def let_time_pass(self, duration):
        end = self.runtime.clock.now() + duration
        while self.runtime.run_next(end):
            pass
        self.runtime.clock.current = Millis(end)

    @rule(plan=NETWORK, newest=st.booleans(), duplicate=st.booleans(), data=st.data())
    def book(self, plan, newest, duplicate, data):
        """Submit a ticket, with a new request or with one that comes twice."""
        ticket = self.tickets[-1] if newest else data.draw(st.sampled_from(self.tickets))
        earlier = [request for used, request, _ in self.told if used == ticket]
        self.requests += 1
        name = earlier[-1] if duplicate and earlier else QueryId(f"q{self.requests}")
        self.plan = plan
        outcome = run_booking(self.booking(ticket, name), self.table, self.runtime)
        self.told.append((ticket, name, outcome))

    def booking(self, ticket, name):
        end = Millis(self.runtime.clock.now() + 200.0)
        incarnation = Incarnation(self.incarnation)
        return Booking(name, ticket, MINTER, incarnation, "orders", Rank.URGENT, end, "{}")

    def react(self, host, message, deliver):
        """Carry each copy of a message; a crash of the owner takes what is on the way."""
        if host not in self.owners:
            return
        owner, plan = self.owners[host], self.plan

        def answer(reply):
            for delay in plan["reply"]:
                deliver(delay, reply)

        copies = plan["book"] if isinstance(message, Book) else plan["cancel"]
        for delay in copies:
            self.runtime.at(delay, lambda: owner.receive(message, answer, plan))

    @invariant()
    def runs_at_most_once(self):
        assert all(len(runs) <= 1 for runs in self.runs.values())

    @invariant()
    def not_run_is_final_and_ran_is_true(self):
        for ticket, request, outcome in self.told:
            if isinstance(outcome, NotRun):
                assert request not in self.runs[ticket]
            if isinstance(outcome, Ran):
                assert len(self.runs[ticket]) == 1


class TestBookingUnderFaults(BookingMachine.TestCase):
    settings = settings(derandomize=True, max_examples=100, stateful_step_count=25, deadline=None)
