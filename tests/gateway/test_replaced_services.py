"""Guard against memory that grows with each service or route that a configuration replaces."""

from masticgate import ManualClock, Millis, SearcherId, ServiceId
from masticgate._ids import ConfigurationVersion
from masticgate.process.gateway._service import WeightedRoundRobin
from masticgate.version.gateway import OneService, Split, WeightedService

from .fakes import make_entry, make_fleet, make_route, make_table

INTERVAL = Millis(6_600.0)
"""The interval of 13,000 configurations a day."""


class TestReplacedServices:
    def test_nothing_is_kept_of_services_that_were_replaced(self):
        clock = ManualClock()
        fleet = make_fleet(clock)
        for number in range(100):
            service = ServiceId(f"s{number}")
            fleet.apply_table(make_table(make_route(OneService(service)), version=number))
            fleet.apply_listing(make_entry(f"i{number}", service))
            fleet.budgets.record_request(service, clock.now())
            fleet.remove_searcher(SearcherId(f"i{number - 1}"), "gone", Millis(0.0))
            clock.advance(INTERVAL)
            fleet.maintain()
        assert set(fleet.services) == {"s99"}
        assert len(fleet.budgets.windows) <= 3

    def test_budget_in_use_is_kept(self):
        """A window that was used lately still counts, whatever the configuration names."""
        clock = ManualClock()
        fleet = make_fleet(clock)
        clock.advance(Millis(60_000.0))
        orders = ServiceId("orders")
        assert fleet.allow_retry(orders)
        while fleet.allow_retry(orders):
            pass
        fleet.apply_table(make_table(make_route(OneService(ServiceId("other")))))
        assert not fleet.allow_retry(orders)
        clock.advance(Millis(60_000.0))
        fleet.apply_table(make_table(make_route(OneService(ServiceId("other"))), version=2))
        assert orders not in fleet.budgets.windows
        assert fleet.allow_retry(orders)


class TestReplacedRoutes:
    def test_nothing_is_kept_of_split_routes_of_earlier_versions(self):
        balancer = WeightedRoundRobin()
        for number in range(100):
            split = Split(
                (WeightedService(ServiceId("a"), 1.0), WeightedService(ServiceId("b"), 1))
            )
            route = make_route(split, prefix=f"/{number}/")
            balancer.next(ConfigurationVersion(number), route.id, split)
        assert len(balancer.credits) == 1
