"""Tests for the owners of services, and for the connections that each owner may open."""

from collections import Counter

import pytest

from masticgate import HostId, Revision
from masticgate.version import Accepted, Searcher, accept_text, connections_per_owner, owner_table
from masticgate.version._placement import MAX_OWNER_CANDIDATES
from tests.texts import example


@pytest.fixture(scope="module", params=["kerala", "norte"])
def configuration(request):
    accepted = accept_text(example(request.param), Revision(1))
    assert isinstance(accepted, Accepted)
    return accepted.configuration


def hosts(number: int) -> list[HostId]:
    return [HostId(f"h{n}") for n in range(number)]


class TestOwnerTable:
    def test_assigns_an_owner_to_every_service_with_searchers(self, configuration):
        table = owner_table(configuration, hosts(7))
        assert set(table) == {s.id for s in configuration.services.values() if s.searchers}
        assert all(owners for owners in table.values())

    def test_is_independent_of_the_order_of_hosts(self, configuration):
        assert owner_table(configuration, hosts(7)) == owner_table(configuration, hosts(7)[::-1])

    def test_distributes_services_of_a_department_evenly(self, configuration):
        table = owner_table(configuration, hosts(7))
        department = [s for s in table if "/01" in s][0].split("/")[0]
        owned = Counter(owners[0] for s, owners in table.items() if s.startswith(f"{department}/"))
        assert max(owned.values()) <= 5

    def test_limits_owners_of_a_department_with_many_hosts(self, configuration):
        table = owner_table(configuration, hosts(300))
        for department in configuration.departments:
            services = [
                s.id
                for s in configuration.services.values()
                if s.department == department and s.searchers
            ]
            owners = {host for s in services for host in table[s]}
            assert len(owners) <= max(3, -(-len(services) // 3))


class TestConnectionsPerOwner:
    @pytest.mark.parametrize("listed_hosts", range(1, 9))
    @pytest.mark.parametrize(("slots", "limit"), [(2, 25), (2, 100), (3, 40)])
    def test_sum_over_candidate_owners_stays_within_limit(self, listed_hosts, slots, limit):
        searcher = Searcher("s", "127.0.0.1:1", "north", slots, limit)
        assert listed_hosts * connections_per_owner(searcher, listed_hosts) <= limit

    @pytest.mark.parametrize(("slots", "limit"), [(2, 25), (2, 100), (3, 40)])
    def test_sum_stays_within_limit_if_owners_count_hosts_differently(self, slots, limit):
        searcher = Searcher("s", "127.0.0.1:1", "north", slots, limit)
        largest = max(
            connections_per_owner(searcher, listed_hosts) for listed_hosts in range(1, 20)
        )
        assert MAX_OWNER_CANDIDATES * largest <= limit
