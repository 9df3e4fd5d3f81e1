"""The check of a configuration of gateways: entries without effect, contradictions, changes."""

from dataclasses import replace

import pytest

from masticgate._ids import ConfigurationVersion, Millis, RouteId, ServiceId
from masticgate.version.gateway import (
    Idempotency,
    Limits,
    OneService,
    Route,
    RouteTable,
    ServiceEntry,
    Shards,
    Split,
    WeightedService,
)
from masticgate.version.gateway._configuration_check import (
    CallerLimit,
    FindingKind,
    LimitNamed,
    RouteAt,
    ServiceNamed,
    find_changes,
    find_faults,
)

ONE = ServiceId("one")
TWO = ServiceId("two")
LIMITS = Limits()
ROUTE = Route(
    id=RouteId("r1"),
    host="a.example",
    prefix="/x/",
    kind=Idempotency.IDEMPOTENT,
    target=OneService(ONE),
    attempts=2,
    timeout=Millis(250.0),
    objective=Millis(50.0),
    rank=3,
)


def table(*routes, services=(ONE,), version=7, limits=LIMITS):
    entries = {service: ServiceEntry(service, 16) for service in services}
    return RouteTable(ConfigurationVersion(version), routes, entries, limits)


def faults(*args, **kwargs):
    return [(f.kind, f.subject, f.message) for f in find_faults(table(*args, **kwargs))]


def changes(before, after):
    return [finding.message for finding in find_changes(before, after)]


class TestEntriesWithoutEffect:
    def test_plain_table_has_no_findings(self):
        assert faults(ROUTE) == []

    def test_route_behind_same_host_in_other_case_is_found(self):
        """Host names match in any case, so that a comparison by case would miss the shadow."""
        later = replace(ROUTE, id=RouteId("r2"), host="A.Example")
        [(kind, subject, message)] = faults(ROUTE, later)
        assert (kind, subject) == (FindingKind.NEVER_MATCHES, RouteAt(1))
        assert "r2" in message and "r1" in message
        assert table(ROUTE, later).find_route("a.example", "/x/1") is ROUTE

    def test_longer_prefix_after_shorter_one_is_not_found(self):
        """The longest prefix wins in any order, so that this would be a false finding."""
        assert faults(ROUTE, replace(ROUTE, id=RouteId("r2"), prefix="/x/y/")) == []

    def test_part_with_weight_zero_is_found(self):
        split = Split((WeightedService(ONE, 1.0), WeightedService(TWO, 0.0)))
        [(kind, subject, message)] = faults(replace(ROUTE, target=split), services=(ONE, TWO))
        assert (kind, subject) == (FindingKind.NEVER_MATCHES, RouteAt(0))
        assert "two the weight 0" in message

    def test_split_with_all_weights_zero_is_found_once(self):
        """One of its services does get requests, so that no part may be called idle."""
        split = Split((WeightedService(ONE, 0.0), WeightedService(TWO, 0.0)))
        [(_, _, message)] = faults(replace(ROUTE, target=split), services=(ONE, TWO))
        assert "all of its services the weight 0" in message

    def test_split_without_parts_is_found(self):
        [(kind, _, message)] = faults(replace(ROUTE, target=Split(())), services=())
        assert kind is FindingKind.NEVER_MATCHES and "no service" in message

    def test_unused_service_is_found(self):
        [(kind, subject, _)] = faults(ROUTE, services=(ONE, TWO))
        assert (kind, subject) == (FindingKind.NEVER_MATCHES, ServiceNamed(TWO))

    @pytest.mark.parametrize(
        "target",
        [
            OneService(TWO),
            Split((WeightedService(ONE, 1.0), WeightedService(TWO, 1.0))),
            Shards((ONE, TWO), 5, 0.5),
        ],
    )
    def test_service_that_is_not_listed_is_found(self, target):
        found = faults(replace(ROUTE, target=target))
        messages = [message for kind, subject, message in found if subject == RouteAt(0)]
        assert messages == ["route r1 names service two, which is not listed"]


class TestContradictions:
    @pytest.mark.parametrize(
        ("change", "words"),
        [
            ({"objective": Millis(251.0)}, "target latency of 251 ms, over its timeout of 250 ms"),
            ({"timeout": Millis(0.0)}, "timeout of 0 ms"),
            ({"attempts": 0}, "0 attempts"),
            ({"target": Shards((ONE, ONE), 5, 1.0)}, "2 shards, but names 1 different"),
        ],
    )
    def test_contradiction_of_a_route_is_found_once(self, change, words):
        [(kind, subject, message)] = faults(replace(ROUTE, **change))
        assert (kind, subject) == (FindingKind.CONTRADICTION, RouteAt(0))
        assert words in message

    def test_values_at_the_bounds_are_not_found(self):
        """An objective equal to the timeout and a ratio of exactly all shards can be met."""
        target = Shards((ONE, TWO), 5, 1.0)
        route = replace(ROUTE, objective=ROUTE.timeout, attempts=1, target=target)
        assert faults(route, services=(ONE, TWO)) == []

    @pytest.mark.parametrize(
        ("limits", "limit"),
        [
            (Limits(header_bytes=0), CallerLimit.HEADER_BYTES),
            (Limits(header_timeout=Millis(0.0)), CallerLimit.HEADER_TIMEOUT),
        ],
    )
    def test_limit_of_zero_is_found(self, limits, limit):
        [(kind, subject, _)] = faults(ROUTE, limits=limits)
        assert (kind, subject) == (FindingKind.CONTRADICTION, LimitNamed(limit))


class TestChanges:
    def test_higher_version_alone_is_no_finding(self):
        assert changes(table(ROUTE), table(ROUTE, version=8)) == []

    @pytest.mark.parametrize("version", [6, 7])
    def test_version_that_is_not_higher_is_a_fault(self, version):
        [finding] = find_changes(table(ROUTE), table(ROUTE, version=version))
        assert finding.kind is FindingKind.VERSION and "not higher than 7" in finding.message

    def test_added_and_removed_routes_and_services_are_named(self):
        other = replace(ROUTE, id=RouteId("r2"), target=OneService(TWO))
        assert changes(table(ROUTE), table(other, services=(TWO,), version=8)) == [
            "route r1 is removed",
            "route r2 is added",
            "service one is removed",
            "service two is added",
        ]

    @pytest.mark.parametrize(
        ("change", "words"),
        [
            ({"target": OneService(TWO)}, "route r1 moves from one to two"),
            ({"prefix": "/y/"}, "route r1 moves from a.example/x/ to a.example/y/"),
            ({"timeout": Millis(9.5)}, "timeout of route r1 changes from 250 ms to 9.5 ms"),
            ({"objective": Millis(60.0)}, "latency of route r1 changes from 50 ms to 60 ms"),
            ({"rank": 0}, "rank of route r1 changes from 3 to 0"),
            ({"attempts": 1}, "attempts of route r1 changes from 2 to 1"),
            ({"kind": Idempotency.NON_IDEMPOTENT}, "from idempotent to non_idempotent"),
        ],
    )
    def test_change_of_a_route_is_described_once(self, change, words):
        [message] = changes(table(ROUTE), table(replace(ROUTE, **change), version=8))
        assert words in message

    def test_changed_weights_are_described(self):
        """The services stay the same, so that a comparison of their names would miss it."""
        old = replace(ROUTE, target=Split((WeightedService(ONE, 1.0),)))
        new = replace(ROUTE, target=Split((WeightedService(ONE, 2.0),)))
        [message] = changes(table(old), table(new, version=8))
        assert message == "route r1 changes how it uses a split over one"
