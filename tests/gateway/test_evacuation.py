"""Tests for the evacuation of failure domains, from the store's keys to the choice of searchers."""

import base64
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from masticgate import Millis, NotRun, Reason, SearcherId, ServiceId
from masticgate._ids import FailureDomainId
from masticgate.connection.gateway import InvalidCatalogueError, decode_changes, encode_update
from masticgate.connection.gateway._catalogue_codec import encode_change
from masticgate.platform._items import decode_item
from masticgate.process.gateway import (
    DomainEvacuated,
    EvacuationEnded,
    HistoryGone,
    PublishedConfiguration,
    SearcherListed,
    SearcherPhase,
    Unavailable,
    UnreadableItem,
)
from masticgate.process.gateway._catalogue_log import CatalogueLog
from masticgate.process.gateway._log import LogEvent
from masticgate.process.gateway.evacuation import MAX_EVACUATIONS, EvacuatedDomains
from masticgate.request.gateway import Call, Lost, Refused, Repeat, run_forward
from masticgate.version.gateway import PEER_SERVICE, Shards

from .fakes import answered, make_entry, make_fleet, make_request, make_route, make_table
from .test_follower import changes, contents, follow

Z1, Z2 = FailureDomainId("z1"), FailureDomainId("z2")
ORDERS = ServiceId("orders")


def item(domain: str, value: object = None, **more):
    data = json.dumps({} if value is None else value).encode()
    return {"key": f"op/evacuate/{domain}", "value": base64.b64encode(data).decode(), **more}


def send(fleet, tried=(), repeat=None, service=ORDERS):
    call = Call(make_request(), make_route(), service, Millis(400.0), None, repeat)
    return fleet.send(call, set(tried))


def finish(fleet, dispatched, outcome):
    dispatched.call.outcome = outcome
    fleet.handle_outcome(dispatched.task, dispatched.call, None, reusable=True)


def fleet_of(*entries, clock=None):
    fleet = make_fleet(clock)
    for entry in entries:
        fleet.apply_listing(entry)
    return fleet


class TestKeys:
    def test_key_names_domain(self):
        assert decode_item(item("z1")) == DomainEvacuated(Z1)

    def test_removed_key_ends_evacuation(self):
        assert decode_item({"key": "op/evacuate/z1", "removed": True}) == EvacuationEnded(Z1)

    @pytest.mark.parametrize("value", [None, "no base64", 7, base64.b64encode(b"[").decode()])
    def test_unreadable_value_evacuates_by_key_alone(self, value):
        """Guard against an evacuation that is ignored since another writer left its value odd."""
        change = decode_item({"key": "op/evacuate/z1", "value": value})
        assert isinstance(change, DomainEvacuated) and change.domain == "z1" and change.detail

    def test_domain_with_letters_that_no_header_can_hold_is_evacuated(self):
        """A listing may state such a domain."""
        assert decode_item(item("vår øst")) == DomainEvacuated(FailureDomainId("vår øst"))

    @pytest.mark.parametrize("domain", ["", "a\nb", "x" * 1_001, "\ud800"])
    def test_name_that_no_listing_can_state_evacuates_nothing(self, domain):
        change = decode_item({"key": f"op/evacuate/{domain}", "value": ""})
        assert isinstance(change, UnreadableItem)
        assert change.key == "" and len(change.detail) < 1_000
        assert change.detail.isprintable()

    @given(st.text(max_size=20), st.binary(max_size=20), st.booleans())
    def test_arbitrary_key_and_value_raise_no_error(self, name, value, removed):
        text = base64.b64encode(value).decode()
        decode_item({"key": f"op/evacuate/{name}", "value": text, "removed": removed})


class TestRelayedChanges:
    @pytest.mark.parametrize("change", [DomainEvacuated(Z1), EvacuationEnded(Z1)])
    def test_change_survives_encoding(self, change):
        body = encode_update("e", 3, [encode_change(change)])
        assert decode_changes(body).changes == (change,)

    @pytest.mark.parametrize("value", [{"evacuated": ""}, {"evacuated": 3}, {"flooded": "z1"}])
    def test_invalid_or_unknown_change_makes_update_invalid(self, value):
        """A gateway of an earlier release leaves its relay in this way and reads the store."""
        with pytest.raises(InvalidCatalogueError):
            decode_changes(encode_update("e", 3, [value]))

    def test_contents_for_other_gateways_have_evacuations_in_force(self):
        catalogue = CatalogueLog(lambda: Millis(0.0))
        for change in (
            PublishedConfiguration(make_table(make_route())),
            DomainEvacuated(Z1),
            DomainEvacuated(Z2),
            EvacuationEnded(Z1),
        ):
            catalogue.add(change)
        body = catalogue.handle_request(make_request()).body
        found = [c for c in decode_changes(body).changes if isinstance(c, DomainEvacuated)]
        assert found == [DomainEvacuated(Z2)]


class TestEvacuatedDomains:
    def test_number_of_domains_is_bounded(self):
        """Guard against another writer that fills the memory with evacuations."""
        domains = EvacuatedDomains()
        for number in range(MAX_EVACUATIONS + 5):
            domains.start(FailureDomainId(f"z{number}"))
        assert len(domains.domains) == MAX_EVACUATIONS

    def test_gatherers_are_not_evacuated(self):
        """A gatherer in the domain sends to other domains and stays in use."""
        domains = EvacuatedDomains()
        domains.start(Z1)
        assert not domains.covers(make_entry("g", PEER_SERVICE))
        assert domains.covers(make_entry("s"))


class TestSending:
    def test_sends_to_other_domains_only(self):
        fleet = fleet_of(make_entry("a", domain="z1"), make_entry("b", domain="z2"))
        fleet.evacuate(Z1)
        assert {send(fleet).searcher for _ in range(6)} == {"b"}

    @pytest.mark.parametrize("repeat", [None, Repeat.HEDGE, Repeat.RETRY])
    def test_sends_no_attempt_of_any_kind(self, repeat):
        fleet = fleet_of(make_entry("a", domain="z1"), make_entry("b", domain="z2"))
        fleet.evacuate(Z1)
        refusal = send(fleet, {SearcherId("b")}, repeat)
        assert isinstance(refusal, NotRun) and refusal.reason is Reason.NO_SEARCHER
        assert "1 evacuated" in refusal.detail

    def test_ejected_and_leaving_searchers_are_no_last_resort(self):
        """Guard against retries that reach an evacuated domain for lack of any other searcher."""
        fleet = fleet_of(make_entry("a", domain="z1"), make_entry("b", domain="z1"))
        for _ in range(4):
            dispatched = send(fleet)
            finish(fleet, dispatched, Lost(dispatched.searcher, True, "reset"))
        fleet.apply_listing(make_entry("b", domain="z1", phase=SearcherPhase.DRAINING))
        fleet.evacuate(Z1)
        assert isinstance(send(fleet, {SearcherId("x")}, Repeat.RETRY), NotRun)

    def test_searcher_listed_during_evacuation_gets_nothing(self):
        fleet = fleet_of()
        fleet.evacuate(Z1)
        fleet.apply_listing(make_entry("a", domain="z1"))
        assert isinstance(send(fleet), NotRun)

    def test_searcher_that_moves_into_evacuated_domain_gets_nothing(self):
        fleet = fleet_of(make_entry("a", domain="z2"))
        fleet.evacuate(Z1)
        fleet.apply_listing(make_entry("a", domain="z1"))
        assert isinstance(send(fleet), NotRun)

    def test_searchers_are_used_again_after_evacuation(self):
        fleet = fleet_of(make_entry("a", domain="z1"))
        fleet.evacuate(Z1)
        assert fleet.end_evacuation(Z1)
        assert send(fleet).searcher == "a"

    def test_service_without_other_searchers_is_refused_at_once_with_retry_after(self):
        """Guard against requests that are held, or refused with a Retry-After of nothing."""
        fleet = fleet_of(make_entry("a", domain="z1"))
        fleet.evacuate(Z1)
        reply = run_forward(make_request(), make_route(), ORDERS, fleet, None)
        assert isinstance(reply, Refused) and reply.status == 503
        assert reply.retry_after >= 1_000.0


class TestConnections:
    def test_idle_connections_are_closed(self):
        fleet = fleet_of(make_entry("a", domain="z1"))
        dispatched = send(fleet)
        finish(fleet, dispatched, answered("a"))
        fleet.evacuate(Z1)
        assert dispatched.task.client.aborted
        assert not fleet.replicas["a"].idle

    def test_request_in_progress_ends_normally_and_its_connection_is_closed_after(self):
        fleet = fleet_of(make_entry("a", domain="z1"))
        dispatched = send(fleet)
        fleet.evacuate(Z1)
        assert not dispatched.task.client.aborted and not dispatched.call.cancelled
        finish(fleet, dispatched, answered("a"))
        assert dispatched.task.client.aborted
        assert not fleet.replicas["a"].idle

    def test_no_connection_is_opened_ahead_of_requests(self):
        """Guard against connections that the regular maintenance opens again and again."""
        route = make_route(Shards((ORDERS,), 3, 0.5))
        fleet = fleet_of(make_entry("a", domain="z1"))
        fleet.evacuate(Z1)
        fleet.shares = fleet.shares.__class__(1, (), Z1, True)
        fleet.apply_table(make_table(route))
        fleet.maintain()
        assert fleet.replicas["a"].connection_count == 0


class TestGathering:
    def test_gatherers_in_evacuated_domain_gather_shards_of_other_domains(self):
        fleet = fleet_of(make_entry("a", domain="z1"), make_entry("b", domain="z2"))
        fleet.evacuate(Z1)
        assert fleet.searcher_domains((ORDERS,)) == [{Z1, Z2}]

    def test_shard_in_evacuated_domains_only_has_no_domain(self):
        fleet = fleet_of(make_entry("a", domain="z1"))
        fleet.evacuate(Z1)
        assert fleet.searcher_domains((ORDERS,)) == [set()]
        assert fleet.unservable((ORDERS,)) == [ORDERS]


class TestFollower:
    def test_applies_evacuation_and_its_end(self):
        listed = SearcherListed(make_entry("a", domain="z1"))
        _, fleet, _ = follow((0, contents(listed)), (1, changes(2, DomainEvacuated(Z1))))
        assert isinstance(send(fleet), NotRun)
        _, fleet, _ = follow(
            (0, contents(listed, DomainEvacuated(Z1))), (1, changes(2, EvacuationEnded(Z1)))
        )
        assert send(fleet).searcher == "a"

    def test_full_read_ends_evacuations_that_are_not_listed(self):
        """Guard against an evacuation for ever since its end fell into lost history."""
        listed = SearcherListed(make_entry("a", domain="z1"))
        follower, fleet, _ = follow(
            (0, contents(listed, DomainEvacuated(Z1))), (1, HistoryGone()), (1, contents(listed))
        )
        assert send(fleet).searcher == "a"
        assert "evacuated z1" not in follower.catalogue.state

    def test_full_read_keeps_evacuation_that_is_listed(self):
        listed = SearcherListed(make_entry("a", domain="z1"))
        whole = contents(listed, DomainEvacuated(Z1))
        _, fleet, _ = follow((0, whole), (1, HistoryGone()), (1, whole))
        assert isinstance(send(fleet), NotRun)

    def test_evacuation_stays_in_force_while_store_is_unavailable(self):
        listed = SearcherListed(make_entry("a", domain="z1"))
        _, fleet, _ = follow(
            (0, contents(listed, DomainEvacuated(Z1))), *[(3_000, Unavailable("down"))] * 5
        )
        assert isinstance(send(fleet), NotRun)

    def test_odd_items_are_logged_once_and_keep_configuration_readable(self):
        """Guard against a gateway that reads everything again for a key that nobody mends."""
        odd = UnreadableItem("", "'op/evacuate/': not the name of a failure domain")
        whole = contents(DomainEvacuated(Z1, "item.value: must be a string"), odd)
        follower, _, _ = follow(*[(0, whole), (1, HistoryGone())] * 3)
        lines = [json.loads(line) for line in follower.log.queue]
        assert [line["event"] for line in lines].count("unreadable") == 1
        assert [line["event"] for line in lines].count("domain_evacuated") == 1
        assert not follower.configuration_unreadable

    def test_domains_beyond_the_bound_are_logged_once(self):
        whole = [DomainEvacuated(FailureDomainId(f"z{n}")) for n in range(MAX_EVACUATIONS + 3)]
        follower, _, _ = follow((0, contents(*whole)), (1, HistoryGone()), (1, contents(*whole)))
        lines = [json.loads(line) for line in follower.log.queue]
        assert [line["event"] for line in lines].count("unreadable") == 1

    def test_gauge_has_number_of_evacuated_domains(self):
        follower, _, _ = follow((0, contents(DomainEvacuated(Z1), DomainEvacuated(Z2))))
        assert follower.metrics.gauges["domains_evacuated"] == 2


class TestInactivity:
    def test_without_evacuations_nothing_is_logged_or_measured(self):
        follower, fleet, _ = follow((0, contents(SearcherListed(make_entry("a")))), (1, changes(2)))
        events = {json.loads(line)["event"] for line in follower.log.queue}
        assert LogEvent.DOMAIN_EVACUATED.value not in events
        assert "domains_evacuated" not in follower.metrics.gauges
        assert send(fleet).searcher == "a"
