"""Tests for a store that is restored from an older copy, directly and behind relays."""

import json
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from masticgate import ManualClock, Millis, Revision, SearcherId, ServiceId, SystemClock
from masticgate._ids import FailureDomainId, HostId, StoreEra
from masticgate.connection.gateway import HttpResponse, decode_changes, encode_update
from masticgate.connection.gateway._catalogue_codec import encode_change
from masticgate.platform._store import PlatformStore
from masticgate.process.gateway import (
    Changes,
    Contents,
    DomainEvacuated,
    EvacuationEnded,
    HistoryGone,
    PublishedConfiguration,
    SearcherListed,
    SearcherPhase,
    SearcherUnlisted,
    Unavailable,
)
from masticgate.process.gateway._catalogue_log import CatalogueLog
from masticgate.process.gateway._log import EventLog
from masticgate.process.gateway._relay import RelayedSource
from masticgate.process.gateway.store_view import MAX_DEPARTURES, EraBegun, StoreView
from masticgate.version.gateway import Change
from tests.platform.test_items import CONFIG, ENTRY
from tests.platform.test_store import query_of, stored

from .fakes import make_entry, make_route, make_table
from .loopback import StandInSearcher
from .test_follower import follow, is_used
from .test_relay import request_catalogue, watch_catalogue

A, Z1, ORDERS = SearcherId("a"), FailureDomainId("z1"), ServiceId("orders")
ROUTE = make_route()


def table(version: int = 1) -> PublishedConfiguration:
    return PublishedConfiguration(make_table(ROUTE, version=version))


def listed(name: str = "a", *, sequence: int = 1, born: int = 1, **fields) -> SearcherListed:
    return SearcherListed(replace(make_entry(name, born=born, **fields), sequence=sequence))


def contents(era: int | None, *changes: Change, revision: int = 1) -> Contents:
    if not any(isinstance(change, PublishedConfiguration) for change in changes):
        changes = (table(), *changes)
    return Contents(changes, Revision(revision), None if era is None else StoreEra(era))


def changes(era: int | None, revision: int, *items: Change) -> Changes:
    return Changes(items, Revision(revision), None if era is None else StoreEra(era))


def events(follower) -> list[str]:
    return [json.loads(line)["event"] for line in follower.log.queue]


class TestStore:
    """The client of the store, against a server with scripted answers."""

    def http(self, body: object, era: str | None) -> bytes:
        data = json.dumps(body).encode()
        head = b"" if era is None else b"Store-Era: %s\r\n" % era.encode()
        return b"HTTP/1.1 200 X\r\n%sContent-Length: %d\r\n\r\n%s" % (head, len(data), data)

    def store(self, answer) -> PlatformStore:
        return PlatformStore(StandInSearcher(answer).address, SystemClock())

    @pytest.mark.parametrize(
        ("header", "era"), [("7", 7), ("0", 0), (None, None), ("x", None), ("-1", None), ("", None)]
    )
    def test_read_and_watch_state_era_of_header(self, header, era):
        body = {"items": [stored("op/config", CONFIG)], "events": [], "currentRev": 3}
        store = self.store(lambda head: self.http(body, header))
        assert store.read().era == era
        assert store.watch(Revision(3), Millis(10.0)).era == era

    def test_pages_of_two_eras_are_no_contents(self):
        """Guard against a catalogue of which one half is that of an older copy."""

        def answer(head):
            if "after" in query_of(head):
                return self.http({"items": [stored("servers/b", ENTRY)], "currentRev": 2}, "6")
            page = [stored("op/config", CONFIG), stored("servers/a", ENTRY)]
            return self.http({"items": page, "hasMore": True, "currentRev": 9}, "5")

        assert self.store(answer).read() == Unavailable("pages of the eras 5 and 6")

    def test_response_equals_another_with_other_headers(self):
        assert HttpResponse(200, b"", {b"a": b"b"}) == HttpResponse(200, b"")


class TestWatch:
    def test_watch_of_another_era_is_not_applied_and_everything_is_read_again(self):
        """Guard against changes missed since a revision was given out again."""
        follower, _, source = follow(
            (0, contents(5, table(1), revision=9)),
            (1, changes(6, 11, table(2))),
            (1, contents(6, table(3), revision=11)),
        )
        assert source.requests == ["read", "watch 9", "read", "watch 11"]
        assert follower.table.version == 3
        assert events(follower).count("configuration") == 2

    def test_era_is_followed_also_if_revision_is_lower_or_gone(self):
        for answer in (changes(6, 2), HistoryGone()):
            follower, _, _ = follow(
                (0, contents(5, revision=9)), (1, answer), (1, contents(6, revision=2))
            )
            assert follower.view.era == 6

    def test_era_that_appears_later_leads_to_one_read(self):
        _, _, source = follow(
            (0, contents(None)),
            (1_800, changes(5, 1)),
            (0, contents(5)),
            *[(1_800, changes(5, 1))] * 5,
        )
        assert source.requests.count("read") == 2

    def test_store_away_halfway_keeps_last_known_state(self):
        """Guard against a gateway without searchers since the store fails right after a restore."""
        follower, fleet, source = follow(
            (0, contents(5, listed(), DomainEvacuated(FailureDomainId("z9")), revision=9)),
            (1, changes(6, 9)),
            *[(1_000, Unavailable("down"))] * 4,
        )
        assert follower.table is not None and is_used(fleet, "a")
        assert follower.view.era == 5 and follower.evacuations.in_force == {"z9"}

    def test_era_is_logged_and_measured(self):
        follower, _, _ = follow((0, contents(5)), (1, changes(6, 1)), (1, contents(6)))
        lines = [json.loads(line) for line in follower.log.queue]
        eras = [(line["before"], line["after"]) for line in lines if line["event"] == "store_era"]
        assert eras == [(None, 5), (5, 6)]
        assert follower.metrics.gauges["store_era"] == 6


class TestConfiguration:
    def test_never_goes_back_and_a_higher_version_is_applied(self):
        follower, _, _ = follow(
            (0, contents(5, table(7))),
            (1, changes(6, 1)),
            (1, contents(6, table(3))),
        )
        assert follower.table.version == 7
        follower, _, _ = follow(
            (0, contents(5, table(7))),
            (1, changes(6, 1)),
            (1, contents(6, table(3))),
            (1, changes(6, 2, table(8))),
        )
        assert follower.table.version == 8


class TestLostListings:
    def test_searcher_that_the_copy_lost_is_held_and_used(self):
        _, fleet, _ = follow(
            (0, contents(5, listed())), (1, changes(6, 1)), (1, contents(6)), (1_000, changes(6, 1))
        )
        assert is_used(fleet, "a")

    def test_searcher_that_is_not_written_again_is_removed(self):
        _, fleet, _ = follow(
            (0, contents(5, listed())),
            (1, changes(6, 1)),
            (1, contents(6)),
            (2_400, changes(6, 1)),
        )
        assert not is_used(fleet, "a")

    def test_searcher_that_is_written_again_stays(self):
        _, fleet, _ = follow(
            (0, contents(5, listed())),
            (1, changes(6, 1)),
            (1, contents(6)),
            (1_000, changes(6, 2, listed())),
            (5_000, changes(6, 2)),
        )
        assert is_used(fleet, "a")

    def test_missing_listing_without_new_era_is_removed_as_before(self):
        _, fleet, _ = follow(
            (0, contents(5, listed())), (1, HistoryGone()), (1, contents(5)), (2_000, changes(5, 1))
        )
        assert not is_used(fleet, "a")


LEFT = (
    (0, contents(5, listed(sequence=4))),
    (1, changes(5, 2, SearcherUnlisted(A))),
    (4_000, changes(5, 2)),
    (1, changes(6, 2)),
)


class TestLostDepartures:
    """The searcher ``a`` left, and the copy lists it as ready."""

    def run(self, *answers):
        follower, fleet, _ = follow(*LEFT, *answers)
        fleet.maintain()
        return follower, fleet

    def test_searcher_that_left_is_not_used(self):
        """Guard against requests to a searcher that has ended."""
        follower, fleet = self.run((1, contents(6, listed(sequence=4))))
        assert not is_used(fleet, "a")
        assert "searcher a" not in follower.catalogue.state
        assert "searcher_ignored" in events(follower)

    def test_listing_of_earlier_sequence_is_not_used(self):
        _, fleet = self.run((1, contents(6, listed(sequence=3))))
        assert not is_used(fleet, "a")

    @pytest.mark.parametrize("again", [listed(sequence=5), listed(sequence=1, born=2)])
    def test_searcher_that_returns_is_used(self, again):
        _, fleet = self.run((1, contents(6, listed(sequence=4))), (1, changes(6, 3, again)))
        assert is_used(fleet, "a")

    def test_departure_holds_over_several_restores(self):
        _, fleet = self.run(
            (1, contents(6, listed(sequence=4))),
            (1, changes(7, 2)),
            (1, contents(7, listed(sequence=4))),
        )
        assert not is_used(fleet, "a")

    def test_draining_searcher_that_the_copy_lists_as_ready_is_not_used(self):
        _, fleet, _ = follow(
            (0, contents(5, listed(sequence=3))),
            (1, changes(5, 2, listed(sequence=4, phase=SearcherPhase.DRAINING))),
            (1, changes(6, 2)),
            (4_000, contents(6, listed(sequence=3))),
        )
        assert not is_used(fleet, "a")

    def test_without_new_era_a_listing_of_the_same_start_is_used_as_before(self):
        _, fleet, _ = follow(
            (0, contents(5, listed(sequence=4))),
            (1, changes(5, 2, SearcherUnlisted(A))),
            (4_000, changes(5, 2)),
            (1, changes(5, 3, listed(sequence=4))),
        )
        assert is_used(fleet, "a")


class TestLostEvacuations:
    def test_evacuation_that_the_copy_lost_holds_and_then_ends(self):
        before = ((0, contents(5, listed(), DomainEvacuated(Z1))), (1, changes(6, 1)))
        _, fleet, _ = follow(*before, (1, contents(6, listed())), (2_000, changes(6, 1)))
        assert not is_used(fleet, "a")
        follower, fleet, _ = follow(*before, (1, contents(6, listed())), (2_400, changes(6, 1)))
        assert is_used(fleet, "a")
        assert "evacuated z1" not in follower.catalogue.state

    def test_evacuation_that_is_written_again_stays(self):
        _, fleet, _ = follow(
            (0, contents(5, listed(), DomainEvacuated(Z1))),
            (1, changes(6, 1)),
            (1, contents(6, listed())),
            (1_000, changes(6, 2, DomainEvacuated(Z1))),
            (5_000, changes(6, 2)),
        )
        assert not is_used(fleet, "a")

    def test_evacuation_that_is_removed_meanwhile_ends_at_once(self):
        _, fleet, _ = follow(
            (0, contents(5, listed(), DomainEvacuated(Z1))),
            (1, changes(6, 1)),
            (1, contents(6, listed())),
            (100, changes(6, 2, EvacuationEnded(Z1))),
        )
        assert is_used(fleet, "a")

    def test_second_read_meanwhile_does_not_end_it(self):
        _, fleet, _ = follow(
            (0, contents(5, listed(), DomainEvacuated(Z1))),
            (1, changes(6, 1)),
            (1, contents(6, listed())),
            (100, HistoryGone()),
            (1, contents(6, listed())),
        )
        assert not is_used(fleet, "a")

    def test_time_in_which_the_store_is_away_does_not_count(self):
        _, fleet, _ = follow(
            (0, contents(5, listed(), DomainEvacuated(Z1))),
            (1, changes(6, 1)),
            (1, contents(6, listed())),
            (10, Unavailable("down")),
            (3_000, Unavailable("down")),
            (10, changes(6, 1)),
        )
        assert not is_used(fleet, "a")


class FakeRelays:
    """A platform and relays that answer with given eras, by their addresses."""

    def __init__(self, platform_era: int, *relay_eras: int | None) -> None:
        self.platform_era = platform_era
        self.reads = 0
        self.catalogues = []
        self.servers = []
        for era in relay_eras:
            catalogue = CatalogueLog(lambda: Millis(0.0))
            catalogue.add(table())
            catalogue.begin_era(era)
            self.catalogues.append(catalogue)
            self.servers.append(StandInSearcher(self._answer_of(catalogue)))
        self.source = RelayedSource(
            self,
            lambda: [server.address for server in self.servers],
            SystemClock(),
            EventLog(HostId("g"), ManualClock()),
            lambda seconds: None,
        )
        self.source.startup_wait_over = True

    def _answer_of(self, catalogue):
        def answer(head):
            query = head.split(b" ")[1].partition(b"?")[2].decode()
            page = request_catalogue(catalogue, query)
            return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (
                page.status,
                len(page.body),
                page.body,
            )

        return answer

    def read_table(self):
        return table()

    def read(self):
        self.reads += 1
        return contents(self.platform_era, revision=50)

    def watch(self, after, wait):
        return changes(self.platform_era, 50)


class TestRelays:
    def test_relay_states_era_in_contents_and_changes(self):
        catalogue = CatalogueLog(lambda: Millis(0.0))
        catalogue.add(table())
        assert decode_changes(request_catalogue(catalogue).body).era is None
        assert b"era" not in request_catalogue(catalogue).body
        catalogue.begin_era(StoreEra(5))
        for query in ("", "compressed=1"):
            assert decode_changes(request_catalogue(catalogue, query).body).era == 5
        assert decode_changes(watch_catalogue(catalogue, 0).body).era == 5

    def test_new_era_ends_watches_of_relay(self):
        """Guard against gateways that learn of a restore only with the next change."""
        catalogue = CatalogueLog(lambda: Millis(0.0))
        catalogue.add(table())
        before = catalogue.number
        catalogue.begin_era(StoreEra(6))
        assert decode_changes(watch_catalogue(catalogue, before).body).number > before
        catalogue.begin_era(StoreEra(6))
        assert catalogue.number == before + 1

    def test_relay_of_older_era_is_not_read(self):
        """Guard against a gateway that goes back to the state before the restore."""
        fakes = FakeRelays(6, 5, 6)
        fakes.source.era = StoreEra(6)
        assert fakes.source.read().era == 6
        assert fakes.reads == 0 and fakes.source.client.address == fakes.servers[1].address

    def test_store_is_read_if_all_relays_are_of_older_eras(self):
        fakes = FakeRelays(6, 5, None)
        fakes.source.era = StoreEra(6)
        assert fakes.source.read().revision == 50
        assert fakes.reads == 1

    def test_era_seen_in_a_watch_of_the_store_counts(self):
        fakes = FakeRelays(6, 5)
        server = fakes.servers.pop()
        fakes.source.read()
        fakes.platform_era = 7
        fakes.source.watch(Revision(50), Millis(1.0))
        fakes.servers.append(server)
        assert fakes.source.read().era == 7
        assert fakes.reads == 2

    def test_relay_with_higher_era_is_read(self):
        fakes = FakeRelays(6, 7)
        fakes.source.era = StoreEra(6)
        assert fakes.source.read().era == 7

    def test_relay_keeps_sequences_exact_once_the_store_states_an_era(self):
        """Guard against a departure that counts with an older sequence behind a relay."""
        catalogue = CatalogueLog(lambda: Millis(0.0))
        catalogue.add(listed(sequence=1))
        assert catalogue.lists(listed(sequence=2))
        catalogue.begin_era(StoreEra(1))
        assert not catalogue.lists(listed(sequence=2))

    @pytest.mark.parametrize("era", [None, 0, 9])
    def test_era_survives_encoding(self, era):
        body = encode_update("e", 3, [encode_change(listed(sequence=8))], era=era)
        update = decode_changes(body)
        assert (update.era, update.changes) == (era, (listed(sequence=8),))


class TestStoreView:
    def test_first_era_is_no_restore(self):
        view = StoreView()
        assert view.begin(None) is None
        assert view.begin(StoreEra(5)) == EraBegun(None, StoreEra(5))
        assert view.begin(StoreEra(5)) is None
        assert view.begin(None) is None

    def test_number_of_departures_is_bounded(self):
        view = StoreView()
        for number in range(MAX_DEPARTURES + 10):
            view.record_departure(make_entry(f"s{number}"))
        assert len(view.departed) == MAX_DEPARTURES

    @given(st.lists(st.tuples(st.booleans(), st.integers(0, 3), st.integers(0, 3)), max_size=12))
    def test_searcher_that_left_before_is_used_by_higher_sequence_or_start_only(self, steps):
        """Guard against any order of listings by which a lost departure is undone."""
        view, last = StoreView(), None
        view.begin(StoreEra(1))
        for leaves, born, sequence in steps:
            entry = replace(make_entry("a", born=born), sequence=sequence)
            if leaves:
                view.record_departure(entry)
                view.begin(StoreEra(view.era + 1))
                last = max(last or (born, sequence), (born, sequence))
                continue
            expected = last is not None and born <= last[0] and sequence <= last[1]
            assert view.is_restored_departure(entry) == expected
            if not expected:
                view.record_listing(entry)
                last = None


class TestInactivity:
    def test_without_header_nothing_is_logged_or_measured(self):
        follower, fleet, source = follow(
            (0, contents(None, listed())), (1_800, changes(None, 1)), (1_800, changes(None, 1))
        )
        assert "store_era" not in events(follower)
        assert "store_era" not in follower.metrics.gauges
        assert source.requests.count("read") == 1
        assert is_used(fleet, "a")
