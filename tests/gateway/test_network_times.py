"""What the network takes of a caller's time, told from its patience."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from masticgate._ids import RouteId
from masticgate.process.gateway._network_times import INITIAL_ROUND_TRIP, NetworkTimes

from .fakes import make_request, make_route, make_table

ROUTE = RouteId("r")


def estimate(times: NetworkTimes, caller_timeout: float, *, new_connection: bool = False) -> float:
    return times.estimate(
        ROUTE,
        replace(make_request(caller_timeout=caller_timeout), is_first_on_connection=new_connection),
    )


class TestNetworkTimes:
    def test_a_usual_round_trip_is_assumed_at_first(self):
        assert estimate(NetworkTimes(), 600.0) == INITIAL_ROUND_TRIP
        assert estimate(NetworkTimes(), 600.0, new_connection=True) == 2 * INITIAL_ROUND_TRIP

    def test_a_kept_connection_costs_one_round_trip(self):
        times = NetworkTimes()
        estimate(times, 600.0, new_connection=True)
        assert estimate(times, 607.0) == 7.0

    def test_a_fresh_connection_costs_two(self):
        times = NetworkTimes()
        estimate(times, 607.0)
        assert estimate(times, 600.0, new_connection=True) == 14.0

    def test_a_repeated_request_counts_its_own_connection_only(self):
        times = NetworkTimes()
        estimate(times, 607.0)
        estimate(times, 600.0, new_connection=True)
        assert estimate(times, 350.0, new_connection=True) == 14.0

    def test_what_one_route_told_holds_for_the_others(self):
        times = NetworkTimes()
        estimate(times, 600.0, new_connection=True)
        estimate(times, 602.0)
        assert times.estimate(RouteId("other"), make_request(caller_timeout=2_000.0)) == 2.0

    def test_a_caller_without_patience_tells_nothing(self):
        times = NetworkTimes()
        assert times.estimate(ROUTE, make_request(caller_timeout=None)) == INITIAL_ROUND_TRIP
        assert times.routes == {}

    def test_routes_that_a_configuration_drops_are_forgotten(self):
        times = NetworkTimes()
        kept = make_route()
        times.estimate(kept.id, make_request())
        estimate(times, 600.0)
        times.apply_table(make_table(kept, version=2))
        assert set(times.routes) == {kept.id}

    @given(st.lists(st.tuples(st.floats(1, 5_000), st.booleans()), max_size=30))
    def test_it_is_always_one_or_two_positive_round_trips(self, requests):
        times = NetworkTimes()
        for caller_timeout, new_connection in requests:
            taken = estimate(times, caller_timeout, new_connection=new_connection)
            assert taken == times.round_trip_time * (2 if new_connection else 1) > 0
