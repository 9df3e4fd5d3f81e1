"""Choice of searchers, their connections and the budget of repeats."""

from masticgate import ManualClock, Millis, Reason, SearcherId, ServiceId
from masticgate.process.gateway import SearcherPhase
from masticgate.process.gateway._replica import ReplicaState
from masticgate.request.gateway import Call, Declined, Lost, Repeat

from .fakes import (
    answered,
    make_entry,
    make_fleet,
    make_request,
    make_route,
    make_settings,
    make_table,
)

ORDERS = ServiceId("orders")


def make_call(*, repeat: Repeat | None = None) -> Call:
    return Call(make_request(), make_route(), ORDERS, Millis(400.0), None, repeat)


def send(fleet, tried=(), repeat=None):
    return fleet.send(make_call(repeat=repeat), set(tried))


def finish(fleet, dispatched, outcome):
    dispatched.call.outcome = outcome
    fleet.handle_outcome(dispatched.task, dispatched.call, None, reusable=True)


def send_and_finish(fleet, make_outcome):
    dispatched = send(fleet)
    finish(fleet, dispatched, make_outcome(dispatched.searcher))
    return dispatched.searcher


class TestChoice:
    def test_nobody_listed_is_not_run(self):
        assert send(make_fleet()).reason is Reason.NO_SEARCHER

    def test_the_own_domain_is_preferred_while_equal(self):
        fleet = make_fleet()
        fleet.apply_listing(make_entry("far", domain="z2"))
        fleet.apply_listing(make_entry("near", domain="z1"))
        assert send(fleet).searcher == "near"

    def test_a_busy_searcher_is_left_for_another(self):
        fleet = make_fleet()
        fleet.apply_listing(make_entry("far", domain="z2"))
        fleet.apply_listing(make_entry("near", domain="z1"))
        chosen = [send(fleet).searcher for _ in range(4)]
        assert set(chosen) == {"near", "far"}

    def test_a_searcher_is_tried_once_a_request(self):
        fleet = make_fleet()
        fleet.apply_listing(make_entry("a"))
        assert send(fleet, tried={SearcherId("a")}).reason is Reason.NO_SEARCHER

    def test_one_late_answer_does_not_move_requests_to_another_domain(self):
        fleet = make_fleet()
        fleet.apply_listing(make_entry("near", domain="z1"))
        fleet.apply_listing(make_entry("far", domain="z2"))
        for _ in range(30):
            send_and_finish(fleet, answered)
        send_and_finish(fleet, lambda s: answered(s, latency=130.0))
        assert send_and_finish(fleet, answered) == "near"

    def test_late_answers_in_a_row_do(self):
        fleet = make_fleet()
        fleet.apply_listing(make_entry("near", domain="z1"))
        fleet.apply_listing(make_entry("far", domain="z2"))
        for _ in range(30):
            send_and_finish(fleet, answered)
        for _ in range(4):
            send_and_finish(fleet, lambda s: answered(s, latency=130.0 if s == "near" else 10.0))
        assert send_and_finish(fleet, answered) == "far"

    def test_one_that_refuses_most_requests_is_avoided(self):
        fleet = make_fleet()
        fleet.apply_listing(make_entry("bad", domain="z1"))
        fleet.apply_listing(make_entry("good", domain="z2"))
        chosen = [
            send_and_finish(
                fleet,
                lambda s: Declined(s, Reason.SEARCHER_SHED) if s == "bad" else answered(s),
            )
            for _ in range(20)
        ]
        assert chosen.count(SearcherId("bad")) <= 3

    def test_a_retry_goes_to_an_ejected_searcher_where_there_is_no_other(self):
        fleet = make_fleet()
        fleet.apply_listing(make_entry("a"))
        for _ in range(2):
            send_and_finish(fleet, lambda s: Lost(s, True, "reset"))
        fleet.apply_listing(make_entry("b"))
        assert send(fleet).searcher == "b"
        tried = {SearcherId("b")}
        assert send(fleet, tried, Repeat.HEDGE).reason is Reason.NO_SEARCHER
        assert send(fleet, tried, Repeat.RETRY).searcher == "a"

    def test_one_that_refused_is_tried_again_later(self):
        clock = ManualClock()
        fleet = make_fleet(clock)
        fleet.apply_listing(make_entry("bad", domain="z1"))
        fleet.apply_listing(make_entry("good", domain="z2"))
        for _ in range(3):
            send_and_finish(
                fleet,
                lambda s: Declined(s, Reason.SEARCHER_SHED) if s == "bad" else answered(s),
            )
        clock.advance(Millis(20_000.0))
        assert send(fleet).searcher == "bad"

    def test_failures_in_a_row_eject_until_a_probe_succeeds(self):
        clock = ManualClock()
        fleet = make_fleet(clock)
        fleet.apply_listing(make_entry("a"))
        for _ in range(2):
            send_and_finish(fleet, lambda s: Lost(s, True, "reset"))
        assert send(fleet).reason is Reason.NO_SEARCHER
        clock.advance(Millis(600.0))
        probe = send(fleet)
        assert send(fleet).reason is Reason.NO_SEARCHER
        finish(fleet, probe, answered(probe.searcher))
        assert send(fleet).searcher == "a"

    def test_a_cancelled_send_is_no_failure(self):
        fleet = make_fleet()
        fleet.apply_listing(make_entry("a"))
        for _ in range(5):
            dispatched = send(fleet)
            dispatched.call.cancelled = True
            finish(fleet, dispatched, Lost(dispatched.searcher, True, "closed"))
        assert send(fleet).searcher == "a"


class TestLeaving:
    def test_one_that_drains_is_a_last_resort_for_half_of_the_drain_time(self):
        clock = ManualClock()
        fleet = make_fleet(clock)
        fleet.apply_listing(make_entry("a"))
        fleet.apply_listing(make_entry("b", domain="z2"))
        fleet.apply_listing(make_entry("a", phase=SearcherPhase.DRAINING))
        assert send(fleet).searcher == "b"
        assert send(fleet, tried={SearcherId("b")}).searcher == "a"
        clock.advance(Millis(1_501.0))
        assert send(fleet, tried={SearcherId("b")}).reason is Reason.NO_SEARCHER

    def test_a_changed_listing_of_a_forgotten_drained_searcher_does_not_bring_it_back(self):
        clock = ManualClock()
        fleet = make_fleet(clock)
        fleet.apply_listing(make_entry("a"))
        fleet.apply_listing(make_entry("a", phase=SearcherPhase.DRAINING))
        clock.advance(Millis(2_000.0))
        fleet.sweep()
        fleet.apply_listing(make_entry("a", phase=SearcherPhase.DRAINING))
        assert send(fleet).reason is Reason.NO_SEARCHER
        fleet.apply_listing(make_entry("a", phase=SearcherPhase.READY))
        assert send(fleet).reason is Reason.NO_SEARCHER

    def test_the_same_id_started_again_is_another_searcher(self):
        clock = ManualClock()
        fleet = make_fleet(clock)
        fleet.apply_listing(make_entry("a"))
        fleet.apply_listing(make_entry("a", phase=SearcherPhase.DRAINING))
        clock.advance(Millis(2_000.0))
        fleet.sweep()
        fleet.apply_listing(make_entry("a", born=2))
        assert send(fleet).searcher == "a"

    def test_a_listing_of_an_earlier_start_is_ignored(self):
        fleet = make_fleet()
        fleet.apply_listing(make_entry("a", born=5))
        fleet.apply_listing(make_entry("a", born=3, phase=SearcherPhase.DRAINING))
        assert send(fleet).searcher == "a"

    def test_one_that_was_unlisted_comes_back_with_its_listing(self):
        clock = ManualClock()
        fleet = make_fleet(clock)
        fleet.apply_listing(make_entry("a"))
        fleet.remove_searcher(SearcherId("a"), "unlisted")
        clock.advance(Millis(2_000.0))
        assert send(fleet).reason is Reason.NO_SEARCHER
        fleet.apply_listing(make_entry("a"))
        assert send(fleet).searcher == "a"

    def test_another_searcher_at_its_address_ends_its_use(self):
        fleet = make_fleet()
        fleet.apply_listing(make_entry("a"))
        send_and_finish(fleet, lambda s: Declined(s, Reason.NO_SEARCHER))
        assert send(fleet).reason is Reason.NO_SEARCHER


class TestConnections:
    def test_a_finished_connection_is_used_again(self):
        fleet = make_fleet()
        fleet.apply_listing(make_entry("a"))
        first = send(fleet)
        finish(fleet, first, answered(first.searcher))
        assert send(fleet).task is first.task

    def test_no_more_connections_than_the_share_of_this_gateway(self):
        fleet = make_fleet()
        fleet.apply_table(make_table(make_route()))
        fleet.apply_listing(make_entry("a"))
        sent = [send(fleet) for _ in range(3)]
        assert len({dispatched.task for dispatched in sent}) == 3
        assert send(fleet).reason is Reason.OVERLOAD

    def test_an_idle_connection_that_was_just_given_work_stays(self):
        fleet = make_fleet()
        fleet.apply_listing(make_entry("a"))
        first = send(fleet)
        finish(fleet, first, answered(first.searcher))
        again = send(fleet)
        fleet.sweep()
        assert again.task is first.task
        assert not again.task.client.aborted

    def test_an_idle_connection_is_renewed_before_the_searcher_closes_it(self):
        clock = ManualClock()
        fleet = make_fleet(clock)
        fleet.apply_listing(make_entry("a"))
        first = send(fleet)
        finish(fleet, first, answered(first.searcher))
        first.task.keep_alive_timeout = Millis(5_000.0)
        clock.advance(Millis(3_900.0))
        fleet.sweep()
        assert not first.task.client.aborted
        clock.advance(Millis(200.0))
        fleet.sweep()
        assert first.task.client.aborted
        assert fleet.starter.started == 2

    def test_a_connection_that_ends_as_it_is_given_work_is_replaced(self):
        fleet = make_fleet()
        fleet.apply_listing(make_entry("a"))
        first = send(fleet)
        finish(fleet, first, answered(first.searcher))
        first.task.ended = True
        again = send(fleet)
        assert again.task is not first.task
        assert fleet.replicas[SearcherId("a")].in_flight == 1

    def test_a_connection_whose_call_is_long_overdue_is_cut(self):
        clock = ManualClock()
        fleet = make_fleet(clock)
        fleet.apply_listing(make_entry("a"))
        stuck = send(fleet)
        stuck.call.started = True
        clock.advance(Millis(600.0))
        fleet.sweep()
        assert stuck.task.client.aborted

    def test_connections_of_a_forgotten_searcher_are_counted_out(self):
        fleet = make_fleet()
        fleet.apply_listing(make_entry("a"))
        old = send(fleet)
        fleet.apply_listing(make_entry("a", born=2))
        finish(fleet, old, answered(old.searcher))
        fleet.handle_close(old.task, connected=True)
        replica = fleet.replicas[SearcherId("a")]
        assert (replica.connection_count, replica.in_flight) == (0, 0)
        assert replica.state is ReplicaState.ACTIVE


class TestRepeats:
    def test_the_repeats_of_all_gateways_stay_within_the_bounds_of_any_window(self):
        clock = ManualClock()
        fleet = make_fleet(clock, ratio=0.2, slack=52.0)
        requests: list[float] = []
        repeats: list[float] = []
        for number in range(6_000):
            clock.advance(Millis(5.0))
            if number % 4 == 0:
                requests.append(clock.now())
                fleet.budgets.record_request(ORDERS, clock.now())
            for spend in (fleet.allow_retry, fleet.allow_hedge):
                if spend(ORDERS):
                    repeats.append(clock.now())
        for start in range(0, 20_000, 500):
            spent = sum(start <= at <= start + 10_000 for at in repeats)
            asked = max(
                sum(begin <= at <= begin + 10_000 for at in requests)
                for begin in (start, start - 5_000, start - 10_000)
            )
            assert spent <= 0.2 * asked + 52.0 / 8

    def test_the_slack_is_there_again_in_the_next_window(self):
        clock = ManualClock()
        fleet = make_fleet(clock)
        clock.advance(Millis(10_000.0))
        first = sum(fleet.allow_retry(ORDERS) for _ in range(50))
        clock.advance(Millis(10_001.0))
        assert sum(fleet.allow_retry(ORDERS) for _ in range(50)) == first > 0

    def test_a_gateway_that_has_just_started_has_no_slack_yet(self):
        assert not make_fleet(ManualClock()).allow_retry(ORDERS)

    def test_changed_settings_hold_for_the_windows_that_there_are(self):
        clock = ManualClock()
        fleet = make_fleet(clock)
        clock.advance(Millis(10_000.0))
        assert fleet.allow_retry(ORDERS)
        fleet.apply_settings(make_settings(ratio=0.0, slack=0.0))
        assert not fleet.allow_retry(ORDERS)

    def test_hedges_leave_a_reserve_for_retries(self):
        clock = ManualClock()
        fleet = make_fleet(clock)
        clock.advance(Millis(10_000.0))
        while fleet.allow_hedge(ORDERS):
            pass
        assert fleet.allow_retry(ORDERS)

    def test_the_hedge_delay_follows_the_latencies_of_the_route(self):
        fleet = make_fleet()
        fleet.apply_listing(make_entry("a"))
        route = make_route()
        assert fleet.hedge_delay(route) == 25.0
        for _ in range(50):
            send_and_finish(fleet, lambda s: answered(s, latency=10.0))
        assert fleet.hedge_delay(route) == 12.0
