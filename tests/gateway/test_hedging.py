"""Guard against answers that are late for want of an early hedge, and against needless hedges."""

from dataclasses import replace

import pytest

from masticgate import ManualClock, Millis, ServiceId
from masticgate.request.gateway import (
    Call,
    Failed,
    Merged,
    Part,
    Relayed,
    Repeat,
    run_forward,
    run_gather,
)
from masticgate.request.gateway._answer_times import ANSWER_MARGIN
from masticgate.request.gateway._hedging import BudgetUse, HedgeSchedule, Urgency, may_hedge
from masticgate.version.gateway import Idempotency, Shards

from .fakes import (
    ScriptedUpstream,
    SlowConnect,
    answered,
    make_entry,
    make_fleet,
    make_request,
    make_route,
)
from .shard_models import LONG, SHORT, OneHedge, Trouble, World, run_model
from .test_gather import record

ORDERS = ServiceId("orders")


class DoubtfulUpstream(ScriptedUpstream):
    """A scripted client whose first attempts at ``doubtful`` services are likely late."""

    def __init__(self, plans, doubtful, repeats=100):
        super().__init__(plans, repeats)
        self.doubtful = doubtful

    def send(self, call, tried):
        call.likely_late = call.repeat is None and call.service in self.doubtful
        return super().send(call, tried)


def send_and_finish(fleet, latency: float, *, kind=None):
    """Send a call that is answered after ``latency``, and return it."""
    call = Call(make_request(), make_route(), ORDERS, Millis(9e9), None, kind)
    dispatched = fleet.send(call, set())
    call.started = True
    fleet.clock.advance(Millis(latency))
    call.outcome = answered(dispatched.searcher, latency=latency)
    fleet.handle_outcome(dispatched.task, call, None, reusable=True)
    return dispatched


def make_busy_fleet(**settings):
    """Return a fleet with two searchers whose usual latency is known, and full budgets."""
    fleet = make_fleet(ManualClock(), **settings)
    fleet.apply_listing(make_entry("near", domain="z1"))
    fleet.apply_listing(make_entry("far", domain="z2"))
    fleet.clock.advance(Millis(20_000.0))
    for _ in range(30):
        send_and_finish(fleet, 10.0)
    return fleet


class TestEarlyHedges:
    def test_likely_late_shard_is_hedged_at_once(self):
        plans = {"a": [(5, record(1))], "b": [(300, record(2)), (5, record(2))]}
        script = DoubtfulUpstream(plans, {"b"})
        reply = run_gather(*gather_arguments(script))
        assert isinstance(reply, Merged) and reply.missing == 0
        assert script.now() == 5.0

    def test_without_budget_first_attempt_is_waited_for(self):
        script = DoubtfulUpstream(
            {"orders": [(30, b"order"), (5, b"hedge")]}, {"orders"}, repeats=0
        )
        reply = run_forward(make_request(), make_route(), ORDERS, script, script)
        assert isinstance(reply, Relayed) and reply.answer.body == b"order"

    def test_request_that_is_not_idempotent_is_sent_once(self):
        script = DoubtfulUpstream({"orders": [(30, b"order"), (5, b"hedge")]}, {"orders"})
        route = make_route(kind=Idempotency.NON_IDEMPOTENT)
        run_forward(make_request(), route, ORDERS, script, script)
        assert len(script.sent_calls) == 1

    def test_attempt_whose_connection_is_opening_is_not_replaced_at_once(self):
        script = DoubtfulUpstream(
            {"orders": [(15, SlowConnect(b"order")), (5, b"hedge")]}, {"orders"}
        )
        reply = run_forward(make_request(), make_route(), ORDERS, script, script)
        assert isinstance(reply, Relayed) and reply.answer.body == b"order"
        assert len(script.sent_calls) == 1

    def test_early_hedge_is_no_sign_that_first_attempt_is_overdue(self):
        script = DoubtfulUpstream({"orders": [(15, b"order"), (5, b"hedge")]}, {"orders"})
        run_forward(make_request(), make_route(), ORDERS, script, script)
        assert [sent.call.overdue for sent in script.sent_calls] == [False, False]


def gather_arguments(script):
    target = Shards(tuple(ServiceId(name) for name in script.plans), 3, 0.5)
    return make_request(), make_route(target), target, script, script


class TestLikelyLateCalls:
    def test_call_after_late_answer_goes_to_same_searcher_and_may_be_hedged(self):
        fleet = make_busy_fleet()
        assert not send_and_finish(fleet, 90.0).call.likely_late
        probe = send_and_finish(fleet, 90.0)
        assert (probe.searcher, probe.call.likely_late) == ("near", True)
        following = send_and_finish(fleet, 10.0)
        assert (following.searcher, following.call.likely_late) == ("far", False)

    def test_no_early_hedge_while_all_other_searchers_are_busy(self):
        """Guards against early hedges that add to an overload."""
        fleet = make_busy_fleet()
        send_and_finish(fleet, 90.0)
        far = fleet.replicas["far"]
        far.in_flight = far.entry.slots
        assert not send_and_finish(fleet, 90.0).call.likely_late

    def test_early_hedges_leave_half_of_the_budget(self):
        fleet = make_busy_fleet(ratio=0.0, slack=100.0)
        budget = fleet.budgets.window(ORDERS)
        while fleet.budgets.allows_early_hedge(ORDERS, fleet.now()):
            assert fleet.allow_hedge(ORDERS)
        send_and_finish(fleet, 90.0)
        assert not send_and_finish(fleet, 90.0).call.likely_late
        assert budget.slack * 0.5 <= len(budget.repeats) <= budget.slack * 0.5 + 1.0
        assert fleet.allow_hedge(ORDERS)

    def test_hedge_is_no_probe(self):
        """Guards against a hedge that is late as well, at a searcher that may be slow."""
        fleet = make_busy_fleet()
        send_and_finish(fleet, 90.0)
        assert send_and_finish(fleet, 10.0, kind=Repeat.HEDGE).searcher == "far"
        assert send_and_finish(fleet, 10.0).searcher == "near"

    def test_recovered_searcher_is_used_again(self):
        fleet = make_busy_fleet()
        for _ in range(2):
            send_and_finish(fleet, 90.0)
        fleet.clock.advance(Millis(600.0))
        assert send_and_finish(fleet, 10.0).searcher == "near"
        last = send_and_finish(fleet, 10.0)
        assert (last.searcher, last.call.likely_late) == ("near", False)


class BatchingUpstream(ScriptedUpstream):
    """A scripted client that wakes the task of a query only for a batch, as ``RequestInbox``."""

    def __init__(self, plans, repeats=100):
        super().__init__(plans, repeats)
        self.batch_size = 1
        self.ready = []

    def set_batch_size(self, number):
        self.batch_size = number

    def wait(self, deadline):
        while not self.ready or len(self.ready) < self.batch_size:
            event = super().wait(deadline)
            if event is None:
                break
            self.ready.append(event)
            if not event.outcome.is_success:
                break
        return self.ready.pop(0) if self.ready else None


class TestReadyAnswers:
    """Guards against answers that are ready but left out, or held back."""

    def test_all_answers_that_are_ready_at_the_objective_are_merged(self):
        """The load: one of three hedged shards has only slow searchers."""
        late = [(300, record(1)), (300, record(1))]
        plans = {"a": [(5, record(1))], "b": late}
        plans |= {name: [(300, record(2)), (30, record(2))] for name in "cd"}
        script = BatchingUpstream(plans)
        reply = run_gather(*gather_arguments(script))
        assert isinstance(reply, Merged) and reply.missing_positions == (1,)
        assert script.now() == 100.0 - ANSWER_MARGIN

    def test_past_the_objective_the_reply_waits_for_no_more_than_the_minimum(self):
        """The load: three of four shards are late, and half of them have to answer."""
        plans = {"a": [(5, record(1))], "b": [(120, record(2))]}
        plans |= {name: [(300, record(3))] for name in "cd"}
        script = BatchingUpstream(plans, repeats=0)
        reply = run_gather(*gather_arguments(script))
        assert isinstance(reply, Merged) and script.now() == 120.0


class TestHedgeSchedule:
    def test_next_hedges_are_never_due_in_the_past(self):
        """Guards against a task that wakes again and again for a hedge that it may not send."""
        schedule = HedgeSchedule(Millis(20.0), None, Millis(95.0))
        schedule.record_sent(Millis(0.0))
        assert schedule.is_due(Millis(20.0))
        schedule.schedule([Millis(0.0), Millis(15.0)], Millis(20.0))
        assert schedule.due_at == 35.0
        schedule.schedule([Millis(0.0)], Millis(20.0))
        assert schedule.due_at is None

    def test_attempts_sent_shortly_after_each_other_are_hedged_together(self):
        """Guards against a wake-up for each of 90 shards."""
        schedule = HedgeSchedule(Millis(20.0), None, Millis(95.0))
        assert schedule.is_late(Millis(1.5), Millis(20.0))
        assert not schedule.is_late(Millis(2.5), Millis(20.0))
        schedule.schedule([Millis(1.5), Millis(2.5)], Millis(20.0))
        assert schedule.due_at == 22.5

    def test_hedge_leaves_time_for_its_answer(self):
        """The load: a kind of query with little time, and a pause of one searcher."""
        schedule = HedgeSchedule(Millis(30.0), Millis(16.0), Millis(38.0))
        assert schedule.hedge_time(Millis(0.0)) == 18.0
        schedule = HedgeSchedule(Millis(30.0), Millis(16.0), Millis(25.0))
        assert schedule.hedge_time(Millis(0.0)) == 16.0

    def test_kind_with_much_time_is_hedged_as_before(self):
        schedule = HedgeSchedule(Millis(54.0), Millis(40.0), Millis(223.0))
        assert schedule.hedge_time(Millis(9.0)) == 63.0


class TestHedgeBudget:
    def test_less_urgent_hedges_leave_a_part_of_the_budget(self):
        """Guards against a slow phase that uses up the budget for decisive hedges and retries."""
        allowed = {
            urgency: sum(may_hedge(urgency, BudgetUse(40.0, used, 0), 1.0) for used in range(41))
            for urgency in Urgency
        }
        assert allowed == {Urgency.DECISIVE: 39, Urgency.ORDINARY: 29, Urgency.SECOND: 19}

    def test_less_urgent_hedges_are_spread_over_the_window(self):
        """Guards against a budget that is used up in the first second of a slow phase of 8 s."""
        use = BudgetUse(40.0, 10, 10)
        assert not may_hedge(Urgency.ORDINARY, use, 1.0)
        assert may_hedge(Urgency.DECISIVE, use, 1.0)
        assert may_hedge(Urgency.ORDINARY, BudgetUse(40.0, 10, 9), 1.0)


class TestSecondHedge:
    def test_third_searcher_is_tried_when_the_first_hedge_is_late(self):
        plans = {"a": [(5, record(1))], "b": [(300, record(2)), (300, record(2)), (5, record(2))]}
        script = ScriptedUpstream(plans)
        services = tuple(ServiceId(name) for name in plans)
        route = make_route(Shards(services, 3, 0.5), attempts=3)
        reply = run_gather(make_request(), route, route.target, script, script)
        assert isinstance(reply, Merged) and reply.missing == 0
        assert script.now() == 45.0

    def test_refused_hedge_of_late_shard_is_replaced_at_once(self):
        """Guards against a shard that waits for a late searcher after its hedge was refused."""
        plans = {"a": [(5, record(1))], "b": [(300, record(2)), (2, "declined"), (5, record(2))]}
        script = ScriptedUpstream(plans)
        services = tuple(ServiceId(name) for name in plans)
        route = make_route(Shards(services, 3, 0.5), attempts=3)
        reply = run_gather(make_request(), route, route.target, script, script)
        assert isinstance(reply, Merged) and reply.missing == 0
        assert script.now() == 27.0

    def test_no_hedge_is_sent_that_cannot_be_answered_in_time(self):
        plans = {"a": [(5, record(1))], "b": [(300, record(2))] * 3}
        script = ScriptedUpstream(plans)
        script.second_answer_time = lambda route: Millis(60.0)
        services = tuple(ServiceId(name) for name in plans)
        route = make_route(Shards(services, 3, 0.5), attempts=3)
        script.hedge = Millis(70.0)
        run_gather(make_request(), route, route.target, script, script)
        assert len([sent for sent in script.sent_calls if sent.call.service == "b"]) == 1


class TestLostShards:
    def test_query_fails_at_once_if_too_many_shards_are_lost(self):
        """The load: all searchers of a shard that the answer needs refuse; the rest is slow."""
        plans = {"a": [(90, record(1))], "b": [(2, "declined"), (2, "declined")]}
        script = ScriptedUpstream(plans)
        services = tuple(ServiceId(name) for name in plans)
        route = make_route(Shards(services, 3, 1.0))
        reply = run_gather(make_request(), route, route.target, script, script)
        assert isinstance(reply, Failed) and reply.status == 502
        assert script.now() == 4.0

    def test_part_is_answered_without_lost_shards_below_its_least_number(self):
        """Guards against a part that is lost for the one shard too many that has no searcher."""
        plans = {"a": [(5, record(1))], "b": [(2, "declined"), (2, "declined")]}
        script = ScriptedUpstream(plans)
        services = tuple(ServiceId(name) for name in plans)
        route = make_route(Shards(services, 3, 1.0))
        request = replace(make_request(), part=Part((0, 1), 2, route))
        reply = run_gather(request, route, route.target, script, script)
        assert isinstance(reply, Merged) and reply.missing_positions == (1,)
        assert script.now() == 5.0


SEEDS = (11, 12, 13, 14)
CALM = Trouble()
PAUSES = Trouble(pause=200.0)
SLOW = Trouble(slow=0.15, pause=200.0)
VERY_SLOW = Trouble(slow=0.3, pause=200.0)
SLOW_SHARD = Trouble(slow_shards=1)


def run_seeds(kind, trouble, world_type=World, **settings):
    """Return the mean result over the fixed seeds."""
    results = [
        run_model((kind,), trouble, seed=seed, world_type=world_type, **settings) for seed in SEEDS
    ]
    return {
        name: sum(getattr(result, name) for result in results) / len(results)
        for name in ("whole", "benefit", "repeat_ratio", "most_repeats")
    }


@pytest.mark.parametrize("kind", [LONG, SHORT], ids=["long", "short"])
class TestModel:
    """Queries over 90 shards, compared with one hedge for each shard at a fixed age."""

    def test_repeats_are_rare_without_slow_searchers(self, kind):
        """The load: all searchers are equal. Repeats use at most a tenth of the ratio of 0.2."""
        result = run_seeds(kind, CALM)
        assert result["whole"] == 1.0 and result["repeat_ratio"] <= 0.02

    @pytest.mark.parametrize("trouble", [PAUSES, SLOW], ids=["pauses", "15 % slow"])
    def test_more_answers_are_whole_beside_pauses_and_slow_searchers(self, kind, trouble):
        """The load: pauses of 200 ms every 4.5 s, alone or beside 15 % slow by 8 for 8 s."""
        present, new = run_seeds(kind, trouble, OneHedge), run_seeds(kind, trouble)
        assert new["whole"] >= present["whole"] and new["benefit"] >= present["benefit"]

    def test_benefit_is_higher_while_most_shards_have_a_slow_searcher(self, kind):
        """The load: 30 % of the searchers are slow by 8 for 8 s; all three of a few shards are."""
        assert (
            run_seeds(kind, VERY_SLOW)["benefit"] > run_seeds(kind, VERY_SLOW, OneHedge)["benefit"]
        )

    def test_shard_whose_searchers_are_all_slow_costs_only_itself(self, kind):
        """Guards against the loss of further shards; one of 90 is worth 0.022 of the benefit."""
        assert run_seeds(kind, SLOW_SHARD)["benefit"] >= (89 / 90) ** 2

    def test_answers_stay_in_time_with_an_exhausted_budget(self, kind):
        """The load: 15 % slow, and a budget of 0.17 of the requests without slack."""
        result = run_seeds(kind, SLOW, slack=0.0)
        present = run_seeds(kind, SLOW, OneHedge, slack=0.0)
        assert result["benefit"] >= present["benefit"] - 0.01
