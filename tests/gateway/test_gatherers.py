"""The load pattern: queries over many shards from hundreds of gateways, gathered by a few.

Each query costs its gatherer a message to every shard, some 200 kB, so that a gatherer with a
narrow network link or far from the shards holds up all queries.
"""

from collections import Counter
from math import ceil

import pytest
from hypothesis import given
from hypothesis import strategies as st

from masticgate import Address, Millis, SearcherId
from masticgate._ids import FailureDomainId, HostId
from masticgate.process.gateway._gatherers import Member, choose_gatherers, gatherer_count
from masticgate.process.gateway._membership import heartbeat_interval
from masticgate.process.gateway._planner import plan_parts
from masticgate.process.gateway._settings import HostCapacity
from masticgate.request.gateway import Call
from masticgate.version.gateway import PEER_SERVICE

from .fakes import make_entry, make_fleet, make_request, make_route

WIDE = HostCapacity(2.15, 100.0).gathering_rate
NARROW = HostCapacity(0.516, 15.5).gathering_rate
SHARD_DOMAINS = {FailureDomainId("z0"), FailureDomainId("z1")}


def make_member(number: int, domain: int, rate: float) -> Member:
    return Member(
        HostId(f"g{number}"),
        Address(f"127.1.{domain}.{number}:1"),
        FailureDomainId(f"z{domain}"),
        rate,
    )


def make_members(domains: int, wide: int, narrow: int) -> list[Member]:
    """Return members with ``wide`` and ``narrow`` links in each domain."""
    return [
        make_member(number, domain, WIDE if number < wide else NARROW)
        for domain in range(domains)
        for number in range(wide + narrow)
    ]


class TestChoice:
    def test_hundreds_of_gateways_use_those_with_wide_links_in_each_domain_of_shards(self):
        chosen = choose_gatherers(make_members(6, 3, 30), SHARD_DOMAINS, 120)
        assert {member.domain for member in chosen} == SHARD_DOMAINS
        assert all(member.rate == WIDE for member in chosen if member.host < "g3")
        everywhere = {FailureDomainId(f"z{number}") for number in range(6)}
        chosen = choose_gatherers(make_members(6, 3, 30), everywhere, 120)
        assert Counter(member.domain for member in chosen) == dict.fromkeys(everywhere, 2)
        assert all(member.rate == WIDE for member in chosen)

    def test_narrow_links_are_left_out_beside_two_wide_ones(self):
        everywhere = {FailureDomainId(f"z{number}") for number in range(4)}
        chosen = choose_gatherers(make_members(4, 2, 20), everywhere, 66)
        assert len(chosen) == 8 and all(member.rate == WIDE for member in chosen)

    def test_few_gateways_all_gather(self):
        everywhere = {FailureDomainId(f"z{number}") for number in range(3)}
        assert len(choose_gatherers(make_members(3, 3, 0), everywhere, 26)) == 9

    def test_other_domains_replace_lost_ones(self):
        left = [m for m in make_members(6, 3, 30) if m.domain not in SHARD_DOMAINS]
        assert {m.domain for m in choose_gatherers(left, SHARD_DOMAINS, 120)}
        assert choose_gatherers([], SHARD_DOMAINS, 120) == ()

    @given(st.randoms(), st.integers(0, 200))
    def test_all_seeds_choose_alike_and_one_loss_moves_at_most_one_gatherer(self, random, lost):
        members = make_members(6, 3, 30)
        chosen = choose_gatherers(members, SHARD_DOMAINS, 120)
        random.shuffle(members)
        assert set(choose_gatherers(members, SHARD_DOMAINS, 120)) == set(chosen)
        gone = members[lost % len(members)]
        rest = [member for member in members if member is not gone]
        after = choose_gatherers(rest, SHARD_DOMAINS, 120)
        assert len(set(chosen) - set(after)) == (gone in chosen)

    @pytest.mark.parametrize(
        ("members", "connections", "count"),
        [(1, 25, 12), (9, 26, 12), (58, 51, 12), (195, 120, 12), (300, 120, 18), (1000, 120, 60),
         (3300, 120, 60), (9, 0, 1)],
    )  # fmt: skip
    def test_count_grows_with_gateways_up_to_the_connections(self, members, connections, count):
        assert gatherer_count(members, connections) == count


class TestPlan:
    """Each shard has searchers in two neighbouring domains of a ring, as on the users' sites."""

    def plan(self, domains: int, gatherers: set[int], own: int | None, key: str = "q"):
        names = [FailureDomainId(f"z{number}") for number in range(domains)]
        shards = [{names[n % domains], names[(n + 1) % domains]} for n in range(90)]
        usable = {names[number] for number in gatherers}
        return (
            plan_parts(make_route(), shards, usable, None if own is None else names[own], 4, key),
            shards,
        )

    @given(st.integers(2, 8), st.sets(st.integers(0, 7)), st.none() | st.integers(0, 7), st.text())
    def test_each_shard_is_gathered_once_and_in_one_of_its_domains_if_possible(
        self, domains, gatherers, own, key
    ):
        gatherers = {number % domains for number in gatherers}
        own = None if own is None else own % domains
        (here, parts), shards = self.plan(domains, gatherers, own, key)
        positions = [*here, *(position for part in parts for position in part.positions)]
        assert sorted(positions) == list(range(90))
        usable = {FailureDomainId(f"z{number}") for number in gatherers}
        for part in parts:
            near = [p for p in part.positions if part.domain in shards[p]]
            far = set(part.positions) - set(near)
            assert near and not any(shards[position] & usable for position in far)

    def test_a_query_takes_few_messages(self):
        assert len(self.plan(4, {0, 1, 2, 3}, 0)[0][1]) == 1
        assert len(self.plan(6, {0, 1, 2, 3, 4, 5}, None)[0][1]) <= 4

    def test_first_domains_are_spread_over_queries(self):
        first = Counter(
            self.plan(6, {0, 1, 2, 3, 4, 5}, None, f"q{n}")[0][1][0].domain for n in range(600)
        )
        assert len(first) == 6 and max(first.values()) < 150

    def test_a_part_may_miss_its_share_of_what_the_query_may(self):
        for part in self.plan(6, {0, 1, 2, 3, 4, 5}, None)[0][1]:
            assert part.least == len(part.positions) - ceil(4 * len(part.positions) / 90)

    def test_without_gatherers_all_is_gathered_here(self):
        (here, parts), _ = self.plan(6, set(), None)
        assert len(here) == 90 and parts == ()


class TestHeartbeatLoad:
    @pytest.mark.parametrize("members", [6, 58, 195, 300])
    def test_a_seed_receives_at_most_100_heartbeats_a_second_of_gateways_that_do_not_gather(
        self, members
    ):
        others = members - gatherer_count(members, 120)
        interval = heartbeat_interval(members, is_gatherer=False)
        assert others * 1_000.0 / interval <= 100.0


class TestSpreadingQueries:
    def make_peers(self):
        fleet = make_fleet()
        for number in range(6):
            domain = f"z{number % 2 + 1}"
            fleet.apply_listing(make_entry(f"p{number}", PEER_SERVICE, domain=domain))
        return fleet

    def choose(self, fleet, request_id: str) -> SearcherId:
        request = make_request(request_id)
        call = Call(request, make_route(), PEER_SERVICE, Millis(400.0), None)
        return fleet.send(call, set()).searcher

    def test_single_queries_of_many_gateways_are_spread_over_all_gatherers(self):
        """Guard against gateways that all prefer the same gatherer, each with one query."""
        chosen = Counter(self.choose(self.make_peers(), f"q{n}") for n in range(600))
        assert len(chosen) == 6 and max(chosen.values()) < 150

    def test_gatherer_that_just_failed_is_the_last_choice(self):
        chosen = set()
        for number in range(100):
            fleet = self.make_peers()
            fleet.replicas[SearcherId("p0")].record_failure(fleet.now())
            chosen.add(self.choose(fleet, f"q{number}"))
        assert len(chosen) == 5 and SearcherId("p0") not in chosen
