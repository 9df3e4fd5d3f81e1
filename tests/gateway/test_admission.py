"""Tests for admission control: which requests are sent, wait or are refused, by rank."""

import socket
import threading
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from masticgate import Millis, NotRun, Reason, ServiceId, Step
from masticgate._clock import SystemClock
from masticgate.connection.gateway import peer_header_names
from masticgate.connection.gateway._encoding import encode_peer_reply
from masticgate.connection.gateway._inbox import RequestInbox, WakeableSocket
from masticgate.connection.gateway._searcher_notices import decode_retry_after
from masticgate.process.gateway._service import _describe_wait
from masticgate.process.gateway.admission._decision import (
    MAX_JITTER,
    MIN_RETRY_AFTER,
    RECHECK_INTERVAL,
    Demand,
    Queue,
    decide,
    limit_retry_after,
)
from masticgate.process.gateway.admission._rate import FreeingRate
from masticgate.process.gateway.admission._room import LOWER_RANK_INTERVAL, Room
from masticgate.request.gateway import (
    Abandoned,
    Call,
    Failed,
    Merged,
    Part,
    Refuse,
    Refused,
    Relayed,
    RoomGranted,
    RoomState,
    Send,
    Wait,
    run_forward,
    run_gather,
)
from masticgate.request.gateway._attempts import Attempts
from masticgate.version.gateway import Idempotency, Shards

from .fakes import (
    HEADER_NAMES,
    ScriptedUpstream,
    SlowConnect,
    answered,
    make_request,
    make_route,
    make_table,
)
from .simulated_site import (
    ORDERS,
    Callers,
    Result,
    SimulatedGateway,
    SimulatedInbox,
    SimulatedSearcher,
    Simulation,
)

URGENT = replace(
    make_route(prefix="/urgent/"), rank=0, objective=Millis(63.0), timeout=Millis(619.0)
)
STANDARD = replace(
    make_route(prefix="/standard/"), rank=1, objective=Millis(236.0), timeout=Millis(1_515.0)
)
BULK = replace(
    make_route(prefix="/bulk/"), rank=2, objective=Millis(1_245.0), timeout=Millis(6_026.0)
)
ROUTES = (URGENT, STANDARD, BULK)
WORK = {URGENT.id: 10.0, STANDARD.id: 30.0, BULK.id: 172.0}

NO_ROOM = RoomState(0, 4, 3, None)


class Site:
    """A few gateways before the same searchers, in simulated time.

    Each gateway may open ``connections`` to each searcher, for which the configuration states 8
    times as many.
    """

    def __init__(self, searchers=1, gateways=1, routes=ROUTES, connections=8, seed=1):
        self.simulation = Simulation(seed)
        self.searchers = [
            SimulatedSearcher(self.simulation, f"s{number}", queue=12)
            for number in range(searchers)
        ]
        self.gateways = [
            SimulatedGateway(
                self.simulation, self.searchers, routes, WORK, gateways, connections * 8
            )
            for _ in range(gateways)
        ]
        self.callers = Callers(self.simulation, self.gateways)
        self.gate = self.gateways[0].fleet.gate
        self.number = 0

    @property
    def now(self):
        return self.simulation.clock.now()

    def start(self, route=STANDARD, timeout=None):
        """Start one request at the first gateway, up to its first wait; return its inbox."""
        self.number += 1
        timeout = route.timeout if timeout is None else timeout
        result = Result(self.gateways[0], route, f"own{self.number}", self.now, timeout)
        inbox = SimulatedInbox(self.simulation, result)
        inbox.start()
        return inbox

    def fill(self):
        """Start requests of the lowest rank until the searchers have no room; return them."""
        started = []
        while self.gate._free_places(ORDERS):
            started.append(self.start(BULK))
        return started

    def make_room(self):
        """Let one call at the first searcher end, and grant the room."""
        with self.gateways[0].fleet.lock:
            self.gateways[0].fleet.replicas["s0"].in_flight -= 1
            self.gate._grant(ORDERS, self.gate.queues[ORDERS])

    def advance(self, duration):
        self.simulation.run(self.now + duration)

    def ran(self, inbox):
        """Return how many searchers ran the request of ``inbox``."""
        return sum(searcher.ran[inbox.result.request_id] for searcher in self.searchers)


class TestRoomThatComesFree:
    """Guards against a request that is refused or held although a searcher can run it in time."""

    def test_request_waits_while_searchers_are_full_and_is_served(self):
        site = Site()
        site.fill()
        waiting = site.start()
        assert site.gate.waiting == 1 and waiting.result.reply is None
        site.simulation.run()
        assert isinstance(waiting.result.reply, Relayed)
        assert waiting.result.reply.waited > 0.0
        assert site.gate.waiting == 0

    def test_waiting_request_is_woken_as_soon_as_a_call_ends(self):
        site = Site()
        filling = site.fill()
        waiting = site.start()
        while waiting.result.reply is None and site.gate.waiting:
            site.advance(1.0)
        assert sum(inbox.result.reply is not None for inbox in filling) == 1

    def test_request_is_sent_at_once_while_a_searcher_has_room(self):
        site = Site(searchers=2)
        assert len(site.fill()) == 8
        assert not site.gate.waiting and not site.gate.queues

    def test_request_takes_room_that_was_not_announced(self):
        """A listing, or the end of a pause, makes room without any call that ends."""
        site = Site()
        site.searchers[0].slowdown = 1_000.0
        site.fill()
        waiting = site.start()
        site.gateways[0].fleet.replicas["s0"].in_flight = 0
        site.advance(30.0)
        assert not site.gate.waiting and waiting.result.reply is None

    def test_stale_report_of_load_does_not_hold_a_request(self):
        """Guards against requests held for a load that other gateways have long finished."""
        site = Site()
        replica = site.gateways[0].fleet.replicas["s0"]
        replica.other_requests = 12
        replica.load_reported_at = site.now
        assert not replica.has_room(site.now)
        assert replica.has_room(Millis(site.now + 300.0))

    def test_wait_wakes_rarely(self):
        """Guards against tasks that use the processor while they wait."""
        site = Site()
        site.searchers[0].slowdown = 10.0
        site.fill()
        waiting = site.start(BULK)
        site.advance(1_000.0)
        assert waiting.waits <= 45

    def test_new_request_does_not_take_room_that_was_granted_to_another(self):
        site = Site()
        site.fill()
        granted = make_waiting_attempts(site, URGENT)
        site.make_room()
        newer = make_waiting_attempts(site, URGENT)
        assert granted.handle_grant(granted.inbox.granted[0]) and granted.pending
        newer.cancel()
        assert not site.gate.queues[ORDERS].room.reserved and not site.gate.waiting

    def test_attempt_that_still_connects_is_kept_if_no_other_searcher_has_room(self):
        """Guards against giving up a connection that opens slowly for a place in the queue."""
        site = Site(searchers=2)
        fleet = site.gateways[0].fleet
        assert fleet.has_searcher(ORDERS, {"s0"})
        fleet.replicas["s1"].in_flight = 4
        assert fleet.replicas["s1"].has_capacity()
        assert not fleet.has_searcher(ORDERS, {"s0"})

    def test_hedge_that_cannot_be_sent_does_not_use_the_budget(self):
        """Guards against retries that are refused in a burst for hedges that were never sent."""
        script = ScriptedUpstream({"orders": [(300, b"slow"), (5, b"hedge")]}, repeats=1)
        script.is_full = lambda service: True
        reply = run_forward(make_request(), make_route(), ORDERS, script, script)
        assert isinstance(reply, Relayed) and reply.answer.body == b"slow"
        assert script.repeats == 1 and "no room" in reply.attempts_summary


class TestOneRank:
    """A deployment with one rank is served as before."""

    def test_request_is_refused_at_once_while_all_connections_are_busy(self):
        site = Site(routes=(STANDARD,), connections=2)
        started = [site.start(), site.start()]
        refused = site.start().result.reply
        assert isinstance(refused, Refused)
        assert refused.failure.detail.startswith("all connections are busy")
        assert refused.retry_after == 50.0 and not site.gate.queues
        site.simulation.run()
        assert all(isinstance(inbox.result.reply, Relayed) for inbox in started)

    def test_waiting_request_leaves_the_queue_when_a_configuration_has_one_rank(self):
        """Guards against a queue that no grant empties once the gate is disabled."""
        site = Site()
        site.fill()
        attempts = make_waiting_attempts(site)
        site.gateways[0].fleet.apply_table(make_table(STANDARD, version=2))
        site.simulation.clock.advance(Millis(30.0))
        attempts.recheck_room()
        assert not attempts.is_waiting and not site.gate.waiting
        assert not site.gate.queues[ORDERS].room.queue

    def test_connections_alone_bound_the_calls(self):
        site = Site(routes=(STANDARD,), connections=8)
        assert all(site.start().result.reply is None for _ in range(8))
        assert isinstance(site.start().result.reply, Refused)


class TestRefusal:
    """Guards against refusals that come late, or state a wrong time to return."""

    def test_refuses_at_once_what_cannot_be_served_before_its_deadline(self):
        site = Site()
        site.searchers[0].slowdown = 5.0
        site.fill()
        waiting = [site.start(BULK) for _ in range(3)]
        refused = site.start(BULK, timeout=300.0).result
        assert isinstance(refused.reply, Refused) and refused.took == 0.0
        assert refused.reply.status == 503
        assert refused.reply.failure.step is Step.ADMISSION
        assert MIN_RETRY_AFTER <= refused.reply.retry_after <= 100.0
        assert refused.reply.room.free == 0
        site.simulation.run()
        assert all(isinstance(inbox.result.reply, Relayed) for inbox in waiting)

    def test_request_that_becomes_hopeless_is_refused_before_its_deadline(self):
        site = Site()
        site.fill()
        waiting = site.start(STANDARD)
        site.searchers[0].slowdown = 1_000.0
        for searcher in site.searchers:
            searcher.running = 99
        site.simulation.run(site.now + 2_000.0)
        result = waiting.result
        assert isinstance(result.reply, Refused) and result.took < result.timeout
        assert site.ran(waiting) == 0

    def test_never_refuses_while_there_is_room(self):
        demand = Demand(Millis(0.0), Millis(0.0), Millis(100.0))
        queue = Queue(50, 1.0, RoomState(1, 0, 50, None))
        assert decide(demand, queue, Millis(10.0), 1.0) == Send()

    def test_waits_if_the_rate_is_not_known(self):
        """With no evidence at all, nothing is refused on a guess."""
        demand = Demand(Millis(400.0), Millis(100.0), Millis(10.0))
        assert isinstance(decide(demand, Queue(9, 0.0, NO_ROOM), Millis(0.0), 1.0), Wait)

    def test_past_the_objective_a_request_waits_unless_a_retry_could_meet_it(self):
        demand = Demand(Millis(1_500.0), Millis(200.0), Millis(50.0))
        queue = Queue(1, 10.0, NO_ROOM)
        assert isinstance(decide(demand, queue, Millis(0.0), 1.0), Wait)
        short = Demand(Millis(300.0), Millis(200.0), Millis(50.0))
        assert isinstance(decide(short, queue, Millis(0.0), 1.0), Refuse)

    @settings(deadline=None)
    @given(
        st.floats(0, 10_000),
        st.floats(0, 6_000),
        st.integers(0, 500),
        st.floats(0, 200),
        st.floats(1.0, MAX_JITTER),
    )
    def test_retry_after_is_at_most_a_third_of_the_time_left(self, now, left, ahead, rate, jitter):
        demand = Demand(Millis(now + left), Millis(now + left / 4), Millis(30.0))
        match decide(demand, Queue(ahead, rate, NO_ROOM), Millis(now), jitter):
            case Refuse(retry_after=retry_after):
                assert MIN_RETRY_AFTER <= retry_after <= max(MIN_RETRY_AFTER, left / 3 + 1e-6)
            case Wait(until=until):
                assert now < until <= now + left

    def test_jitter_spreads_the_returns(self):
        """Guards against callers that return together because a bound cut the jitter off."""

        def retry_after(wait, jitter):
            return limit_retry_after(Millis(wait), Millis(900.0), Millis(0.0), jitter)

        assert (retry_after(80.0, 1.0), retry_after(80.0, 1.5)) == (80.0, 120.0)
        assert (retry_after(9e9, 1.0), retry_after(9e9, 1.5)) == (200.0, 300.0)

    @pytest.mark.parametrize("waiting", [0, 1])
    def test_declined_request_states_when_searchers_have_room(self, waiting):
        """Guards against callers that all return after the same fixed 50 ms."""
        site = Site()
        site.fill()
        for _ in range(waiting):
            site.start()
        deadline = Millis(site.now + 1_515.0)
        waits = {site.gateways[0].busy_retry_after(STANDARD, ORDERS, deadline) for _ in range(20)}
        assert len(waits) > 10 and max(waits) <= 505.0

    def test_declined_request_of_one_rank_gets_the_time_of_before(self):
        site = Site(routes=(STANDARD,))
        assert site.gateways[0].busy_retry_after(STANDARD, ORDERS, Millis(9_000.0)) is None


class TestRate:
    """Guards against refusals by a rate that does not follow the searchers."""

    def test_rate_of_a_calm_time_does_not_count_as_capacity(self):
        rate = FreeingRate(Millis(0.0))
        for number in range(10):
            rate.record_completion(Millis(number * 100.0))
        assert rate.per_second(40.0, Millis(1_000.0)) == pytest.approx(40.0)

    def test_follows_searchers_that_turn_slow_within_two_seconds(self):
        rate = FreeingRate(Millis(0.0))
        rate.set_busy(True, Millis(0.0))
        for number in range(100):
            rate.record_completion(Millis(number * 10.0))
        assert rate.per_second(100.0, Millis(1_000.0)) == pytest.approx(100.0, rel=0.2)
        for number in range(20):
            rate.record_completion(Millis(1_000.0 + number * 100.0))
        assert rate.per_second(20.0, Millis(3_000.0)) < 40.0


def waiting_call(route, deadline=400.0):
    return Call(make_request(), route, ORDERS, Millis(deadline), None)


def enqueue(room, *calls, late_at=1e9):
    for call in calls:
        room.enqueue(call, Millis(late_at))
    return calls


class TestOrder:
    """Guards against a turn that does not follow rank and deadline."""

    def test_urgent_rank_comes_first(self):
        room = Room()
        enqueue(room, *(waiting_call(route) for route in (BULK, STANDARD, URGENT)))
        ranks = [room.grant(Millis(0.0)).route.rank for _ in range(3)]
        assert ranks == [0, 1, 2]

    def test_callers_that_return_come_before_new_ones_of_their_rank(self):
        room = Room()
        new, returned = enqueue(room, waiting_call(STANDARD, 1_515.0), waiting_call(STANDARD, 900))
        assert room.grant(Millis(0.0)) is returned
        assert room.grant(Millis(0.0)) is new

    def test_request_that_is_late_anyway_does_not_make_others_late(self):
        room = Room()
        (late,) = enqueue(room, waiting_call(STANDARD, 500.0), late_at=10.0)
        (in_time,) = enqueue(room, waiting_call(STANDARD, 900.0), late_at=100.0)
        assert room.count_ahead(late, Millis(50.0)) == 1
        assert room.count_ahead(in_time, Millis(50.0)) == 0
        assert room.grant(Millis(50.0)) is in_time
        assert room.grant(Millis(50.0)) is late

    def test_no_rank_starves(self):
        """Guards against lower ranks that get nothing while more urgent requests keep coming."""
        room = Room()
        enqueue(room, *(waiting_call(STANDARD) for _ in range(50)))
        enqueue(room, *(waiting_call(BULK) for _ in range(50)))
        ranks = []
        for _ in range(10 * LOWER_RANK_INTERVAL):
            enqueue(room, waiting_call(URGENT))
            ranks.append(room.grant(Millis(0.0)).route.rank)
        assert ranks.count(0) == 10 * (LOWER_RANK_INTERVAL - 1)
        assert ranks.count(1) == 10

    def test_lowest_of_three_ranks_gets_a_turn(self):
        room = Room()
        (bulk,) = enqueue(room, waiting_call(BULK))
        for _ in range(3 * LOWER_RANK_INTERVAL):
            enqueue(room, waiting_call(URGENT), waiting_call(STANDARD))
            if room.grant(Millis(0.0)) is bulk:
                return
        pytest.fail("the lowest rank was never granted room")

    @settings(deadline=None)
    @given(st.lists(st.tuples(st.integers(0, 2), st.floats(0, 900)), min_size=1, max_size=30))
    def test_every_request_is_granted_once_and_counted_in_order(self, demands):
        room = Room()
        calls = [waiting_call((URGENT, STANDARD, BULK)[r], d) for r, d in demands]
        enqueue(room, *calls)
        positions = sorted(room.count_ahead(call, Millis(0.0)) for call in calls)
        assert positions == list(range(len(calls)))
        granted = [room.grant(Millis(0.0)) for _ in calls]
        assert {id(call) for call in granted} == {id(call) for call in calls}


class TestCallerLeaves:
    """Guards against room that stays reserved for a caller that has gone."""

    def test_waiting_request_of_caller_that_left_is_never_sent(self):
        site = Site()
        site.fill()
        leaving, staying = site.start(), site.start()
        site.advance(1.0)
        leaving.disconnect()
        site.simulation.run()
        assert isinstance(leaving.result.reply, Abandoned)
        assert site.ran(leaving) == 0 and site.ran(staying) == 1
        assert not site.gate.waiting

    def test_room_granted_to_caller_that_left_goes_to_the_next(self):
        site = Site()
        site.fill()
        first, second = make_waiting_attempts(site), make_waiting_attempts(site)
        queue = site.gate.queues[ORDERS]
        site.make_room()
        assert list(queue.room.reserved.values()) == [first.waiting_call]
        first.cancel()
        assert list(queue.room.reserved.values()) == [second.waiting_call]
        second.cancel()
        assert not queue.room.reserved and not site.gate.waiting


class GrantInbox:
    """An inbox that only records for which calls room was granted."""

    def __init__(self):
        self.granted = []

    def grant(self, granted):
        self.granted.append(granted)


def make_waiting_attempts(site, route=STANDARD):
    """Return the attempts of a request that waits at the first gateway."""
    request = replace(make_request(), arrived_at=site.now)
    deadline = Millis(site.now + route.timeout)
    attempts = Attempts(request, route, ORDERS, site.gateways[0], GrantInbox(), deadline)
    assert not attempts.send_first() and attempts.is_waiting
    return attempts


class TestDeadline:
    """Guards against calls that are sent when nobody waits for their answer any more."""

    def test_room_found_after_the_deadline_is_not_used(self):
        site = Site()
        site.fill()
        attempts = make_waiting_attempts(site, URGENT)
        site.gateways[0].fleet.replicas["s0"].in_flight = 0
        site.simulation.clock.current = Millis(attempts.deadline + 1.0)
        attempts.recheck_room()
        assert not attempts.pending and not attempts.is_waiting

    def test_room_granted_after_the_deadline_is_not_used(self):
        site = Site()
        site.fill()
        attempts = make_waiting_attempts(site, URGENT)
        site.make_room()
        site.simulation.clock.current = Millis(attempts.deadline + 30.0)
        assert attempts.handle_grant(attempts.inbox.granted[0])
        assert not attempts.pending and not attempts.is_waiting
        assert not site.gate.queues[ORDERS].room.reserved


class TestUnusableSearchers:
    """Guards against requests that wait although no searcher can be sent any."""

    def test_new_request_is_refused_at_once_although_another_waits(self):
        site = Site()
        site.fill()
        site.start(STANDARD)
        replica = site.gateways[0].fleet.replicas["s0"]
        replica.pause(Millis(site.now + 60_000.0))
        replica.in_flight = 0
        reply = site.start(STANDARD).result.reply
        assert isinstance(reply, Refused) and reply.status == 503

    def test_waiting_request_is_refused_when_it_looks_again(self):
        site = Site()
        site.fill()
        waiting = site.start(STANDARD)
        replica = site.gateways[0].fleet.replicas["s0"]
        replica.pause(Millis(site.now + 60_000.0))
        site.advance(RECHECK_INTERVAL + 1.0)
        assert isinstance(waiting.result.reply, Refused)


class TestGatewayStops:
    """Guards against a gateway that ends with requests that wait."""

    def test_waiting_request_is_refused_at_once_as_not_run(self):
        site = Site()
        site.fill()
        waiting = site.start()
        site.advance(1.0)
        waiting.stop()
        site.simulation.run(site.now + 0.5)
        reply = waiting.result.reply
        assert isinstance(reply, Refused) and reply.status == 503
        assert reply.failure.reason is Reason.SHUTTING_DOWN
        site.simulation.run()
        assert site.ran(waiting) == 0 and not site.gate.waiting


class TestWakeUp:
    """The inbox of a connection, on which the task of a request sleeps."""

    def test_grant_wakes_the_task_whatever_the_batch_size(self):
        """Guards against room that stays unused until a whole batch of calls has finished."""
        near, far = socket.socketpair()
        clock = SystemClock()
        wakeable = WakeableSocket(near, clock)
        inbox = RequestInbox(wakeable)
        inbox.set_batch_size(90)
        granted = RoomGranted(waiting_call(URGENT))
        timer = threading.Timer(0.05, inbox.grant, (granted,))
        timer.start()
        started_at = clock.now()
        assert inbox.wait(Millis(started_at + 5_000.0)) is granted
        assert clock.now() - started_at < 2_500.0
        timer.join()
        inbox.close()
        inbox.grant(granted)
        assert not inbox.granted
        wakeable.close()
        far.close()


class TestLogFields:
    """Guards against a refusal that an operator cannot explain."""

    def test_refusal_states_room_and_time_to_return(self):
        failure = NotRun(Reason.OVERLOAD, Step.ADMISSION, "orders", "no room")
        refused = Refused(503, failure, Millis(70.4), Millis(12.0), RoomState(0, 4, 3, Millis(8.0)))
        assert _describe_wait(URGENT, refused) == {
            "rank": 0,
            "waited_ms": 12.0,
            "why": "overload",
            "retry_after_ms": 70,
            "room": {"free": 0, "running": 4, "waiting": 3, "report_age_ms": 8},
        }

    def test_ordinary_answer_states_its_rank_only(self):
        assert _describe_wait(STANDARD, Relayed(answered("s1"))) == {"rank": 1}


class TestBurst:
    """A burst of one kind of request, at gateways that do not know each other."""

    def run_burst(self, burst_route, *, several_ranks=True, gateways=2):
        site = Site(searchers=3, gateways=gateways)
        for gateway in site.gateways:
            gateway.fleet.gate.enabled = several_ranks
        callers = site.callers
        # The capacity is 6 slots; a fifth of it is for urgent requests, two fifths for others.
        callers.send_steadily(URGENT, 120.0, 1_000.0, 4_000.0)
        callers.send_steadily(STANDARD, 80.0, 1_000.0, 4_000.0)
        callers.send_steadily(burst_route, 4_800.0 / WORK[burst_route.id], 2_000.0, 3_000.0)
        site.simulation.run()
        assert not any(gateway.fleet.gate.waiting for gateway in site.gateways)
        return site

    def test_burst_of_lower_rank_leaves_urgent_requests_served(self):
        site = self.run_burst(STANDARD)
        assert site.callers.share_served(0) >= 0.85
        assert site.callers.share_served(0) >= site.callers.share_served(1) - 0.05

    def test_burst_of_urgent_rank_does_not_starve_the_lower_one(self):
        site = self.run_burst(URGENT)
        callers = site.callers
        share = callers.served.total() / callers.sent.total()
        assert callers.share_served(1) >= share / 4

    def test_more_requests_meet_their_objective_than_without_admission(self):
        site, before = self.run_burst(STANDARD), self.run_burst(STANDARD, several_ranks=False)
        assert site.callers.in_time.total() > before.callers.in_time.total()

    def test_no_request_runs_twice_and_refused_ones_have_not_run(self):
        site = self.run_burst(STANDARD)
        for result in site.callers.refused:
            assert not any(s.ran[result.request_id] for s in site.searchers)

    def test_two_gateways_that_do_not_know_each_other_do_not_overfill_searchers(self):
        """Each learns of the requests of the other only by the load that searchers report.

        A declined request counts as a repeat when it is sent again, and a service may have a fifth
        of its requests repeated.
        """
        site = self.run_burst(STANDARD)
        declined = sum(searcher.declined for searcher in site.searchers)
        assert declined <= 0.2 * site.callers.sent.total()


class TestReturningCallers:
    """Callers that were all refused at once and return together."""

    def test_returning_callers_are_served_before_their_time_ends(self):
        site = Site(searchers=3)
        for number in range(150):
            site.callers.send(STANDARD, 1_000.0 + number * 0.01)
        site.simulation.run()
        # 150 requests of 30 ms at 6 slots take 750 ms, half of the timeout.
        assert site.callers.share_served(1) == 1.0

    def test_refused_callers_do_not_return_at_the_same_time(self):
        site = Site()
        for number in range(300):
            site.callers.send(STANDARD, 1_000.0 + number * 0.01)
        site.simulation.run(1_004.0)
        returns = [result.ended_at + result.reply.retry_after for result in site.callers.refused]
        assert len(returns) > 50
        assert max(returns) - min(returns) >= 50.0
        site.simulation.run()


class TestSlowSearchers:
    """One searcher of three turns nine times slower, and its queue fills up."""

    def test_urgent_requests_are_still_served(self):
        site = Site(searchers=3, gateways=2)
        site.callers.send_steadily(URGENT, 120.0, 1_000.0, 4_000.0)
        site.callers.send_steadily(STANDARD, 80.0, 1_000.0, 4_000.0)
        slow = site.searchers[0]
        site.simulation.at(2_000.0, lambda: setattr(slow, "slowdown", 9.0))
        site.simulation.run()
        assert site.callers.share_served(0) >= 0.85
        assert site.callers.share_served(1) >= 0.85


class TestCalm:
    """Guards against any effect while the searchers have room."""

    def test_no_request_waits_or_is_refused(self):
        site = Site(searchers=3)
        site.callers.send_steadily(URGENT, 60.0, 1_000.0, 3_000.0)
        site.callers.send_steadily(STANDARD, 40.0, 1_000.0, 3_000.0)
        site.simulation.run()
        assert not site.callers.refused
        assert not site.gate.queues
        assert all(result.reply.waited == 0.0 for result in site.callers.results)


class TestShards:
    """The shards of a query share the queues with other requests."""

    def test_query_is_refused_before_any_shard_is_asked(self):
        """Guards against a query that loads the other shards though it cannot be answered."""
        script = ScriptedUpstream({"a": [(5, b"")], "b": [(5, b"")]})
        refusal = Refuse(Millis(70.0), "1 of 2 shards have no room in time", NO_ROOM)
        needed_answers = []

        def admit_query(request, route, services, needed):
            needed_answers.append(needed)
            return refusal

        script.admit_query = admit_query
        shards = Shards((ServiceId("a"), ServiceId("b")), 1, 1.0)
        reply = run_gather(make_request(), make_route(shards), shards, script, script)
        assert isinstance(reply, Refused) and reply.retry_after == 70.0
        assert needed_answers == [2] and not script.sent_calls

    def test_shard_without_room_waits_and_counts_when_it_has_some(self):
        script = ScriptedUpstream({"a": [(5, b"")], "b": [(5, b"")]})
        send, refused = script.send, []

        def send_with_room(call, tried):
            if call.service == "b" and script.now() < 30.0:
                refused.append(call)
                return NotRun(Reason.OVERLOAD, Step.CONNECT, call.service)
            return send(call, tried)

        script.send = send_with_room
        script.admit = lambda call: (
            Send() if script.now() >= 30.0 else Wait(Millis(script.now() + 10.0))
        )
        shards = Shards((ServiceId("a"), ServiceId("b")), 1, 1.0)
        reply = run_gather(make_request(), make_route(shards), shards, script, script)
        assert reply.missing == 0 and reply.waited == 30.0
        assert script.now() == 35.0 and len(refused) == 1

    def test_shard_that_still_waits_when_the_query_is_answered_leaves_the_queue(self):
        script = ScriptedUpstream({"a": [(5, b"")], "b": []})
        send = script.send
        script.send = lambda call, tried: (
            NotRun(Reason.OVERLOAD, Step.CONNECT) if call.service == "b" else send(call, tried)
        )
        script.admit = lambda call: Wait(Millis(script.now() + 10.0))
        left = []
        script.leave = left.append
        shards = Shards((ServiceId("a"), ServiceId("b")), 1, 0.5)
        reply = run_gather(make_request(), make_route(shards), shards, script, script)
        assert reply.missing == 1 and [call.service for call in left] == ["b"]
        assert "waits for room" in reply.missing_causes[0]

    def test_shard_whose_hedge_waits_leaves_the_queue(self):
        """Guards against a place that stays reserved for a call that nobody sends."""
        script = ScriptedUpstream({"a": [(60, b"")], "b": [(100, SlowConnect(b"x")), (5, b"")]})
        send, calls, queued, left = script.send, [], [], []

        def send_but_once(call, tried):
            calls.append(call)
            if [c.service for c in calls].count("b") > 1:
                return NotRun(Reason.OVERLOAD, Step.CONNECT, call.service)
            return send(call, tried)

        def admit(call):
            queued.append(call)
            return Wait(Millis(script.now() + 25.0))

        script.send, script.admit, script.leave = send_but_once, admit, left.append
        script.has_searcher = lambda service, tried: service == "b"
        shards = Shards((ServiceId("a"), ServiceId("b")), 1, 0.5)
        reply = run_gather(make_request(), make_route(shards), shards, script, script)
        assert isinstance(reply, Merged) and queued
        assert set(map(id, left)) == set(map(id, queued))

    def test_refusal_of_a_part_counts_what_searchers_declined(self):
        """Guards against repeats at another gatherer that the budget does not know of."""
        script = ScriptedUpstream({"a": [(5, "declined"), (5, "declined")]})
        shards = Shards((ServiceId("a"),), 1, 1.0)
        route = make_route(shards)
        request = replace(make_request(), part=Part((0,), 1, route))
        reply = run_gather(request, route, shards, script, script)
        assert isinstance(reply, Failed)

    def test_gate_refuses_query_only_if_too_many_shards_lack_room(self):
        site = Site()
        site.searchers[0].slowdown = 5.0
        site.fill()
        for _ in range(3):
            site.start(BULK)
        request = replace(make_request(caller_timeout=300.0), arrived_at=site.now)
        services = (ORDERS, ServiceId("other"))
        assert site.gateways[0].admit_query(request, BULK, services, 1) is None
        refusal = site.gateways[0].admit_query(request, BULK, services, 2)
        assert isinstance(refusal, Refuse) and refusal.retry_after <= 100.0

    def test_gatherer_states_the_time_to_try_again(self):
        names = peer_header_names(HEADER_NAMES)
        failure = NotRun(Reason.OVERLOAD, Step.ADMISSION)
        refused = Refused(503, failure, Millis(120.0))
        head = b"".join(encode_peer_reply(refused, names, "q1", close=False))
        headers = {
            name.lower(): value
            for name, _, value in (line.partition(b": ") for line in head.split(b"\r\n")[1:])
        }
        assert decode_retry_after(headers, names) == 120.0
        assert decode_retry_after(headers | {names.not_run: b"1"}, names) is None


class TestTruthfulFailures:
    """Guards against 502 or 504 for requests that have certainly not run, and the reverse."""

    def gather(self, plans, ratio=1.0):
        script = ScriptedUpstream(plans)
        shards = Shards(tuple(ServiceId(name) for name in plans), 1, ratio)
        return run_gather(make_request(), make_route(shards), shards, script, script)

    def test_query_that_all_searchers_declined_is_refused(self):
        reply = self.gather({"a": [(5, "declined")] * 2, "b": [(5, "declined")] * 2})
        assert isinstance(reply, Refused) and reply.status == 503
        assert reply.retry_after is not None

    def test_query_that_one_searcher_may_have_run_is_not(self):
        reply = self.gather({"a": [(5, "declined")] * 2, "b": [(5, "lost")] * 2})
        assert isinstance(reply, Failed) and reply.status == 502

    def test_query_whose_attempt_was_cancelled_after_its_start_is_not(self):
        # The query fails as soon as "a" cannot answer any more, while "b" may still run it.
        reply = self.gather({"a": [(5, "declined")] * 2, "b": [(0, "silent")] * 2})
        assert isinstance(reply, Failed) and reply.status == 502

    def test_request_that_waited_until_its_deadline_has_not_run(self):
        script = ScriptedUpstream({"orders": []})
        script.send = lambda call, tried: NotRun(Reason.OVERLOAD, Step.CONNECT, call.service)
        script.admit = lambda call: Wait(Millis(min(script.now() + 100.0, call.deadline)))
        script.leave = lambda call: None
        route = make_route(kind=Idempotency.NON_IDEMPOTENT)
        reply = run_forward(make_request(), route, ORDERS, script, script)
        assert isinstance(reply, Refused) and reply.failure.reason is Reason.DEADLINE
        assert script.now() == 400.0
