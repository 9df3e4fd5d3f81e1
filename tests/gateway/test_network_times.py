"""Tests for the network time that is estimated from callers' timeouts."""

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
    def test_assumes_initial_round_trip(self):
        assert estimate(NetworkTimes(), 600.0) == INITIAL_ROUND_TRIP
        assert estimate(NetworkTimes(), 600.0, new_connection=True) == 2 * INITIAL_ROUND_TRIP

    def test_open_connection_costs_one_round_trip(self):
        times = NetworkTimes()
        estimate(times, 600.0, new_connection=True)
        assert estimate(times, 607.0) == 7.0

    def test_new_connection_costs_two_round_trips(self):
        times = NetworkTimes()
        estimate(times, 607.0)
        assert estimate(times, 600.0, new_connection=True) == 14.0

    def test_shorter_timeout_of_repeated_request_keeps_estimate(self):
        times = NetworkTimes()
        estimate(times, 607.0)
        estimate(times, 600.0, new_connection=True)
        assert estimate(times, 350.0, new_connection=True) == 14.0

    def test_round_trip_of_one_route_applies_to_others(self):
        times = NetworkTimes()
        estimate(times, 600.0, new_connection=True)
        estimate(times, 602.0)
        assert times.estimate(RouteId("other"), make_request(caller_timeout=2_000.0)) == 2.0

    def test_request_without_caller_timeout_is_not_recorded(self):
        times = NetworkTimes()
        assert times.estimate(ROUTE, make_request(caller_timeout=None)) == INITIAL_ROUND_TRIP
        assert times.routes == {}

    def test_drops_routes_that_are_not_in_configuration(self):
        times = NetworkTimes()
        kept = make_route()
        times.estimate(kept.id, make_request())
        estimate(times, 600.0)
        times.apply_table(make_table(kept, version=2))
        assert set(times.routes) == {kept.id}

    @given(st.lists(st.tuples(st.floats(1, 5_000), st.booleans()), max_size=30))
    def test_estimate_is_one_or_two_positive_round_trips(self, requests):
        times = NetworkTimes()
        for caller_timeout, new_connection in requests:
            network_time = estimate(times, caller_timeout, new_connection=new_connection)
            assert network_time == times.round_trip_time * (2 if new_connection else 1) > 0
