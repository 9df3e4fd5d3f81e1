"""Versions, revisions, eras, starts and sequences above 2^53; their writers choose them freely.

Guards against a bound on them that the platform does not set. A configuration beyond it was never
applied, no gateway became ready with such a revision of the store, and a searcher was not used.
"""

import json

import pytest

from masticgate import Millis, Revision, SystemClock
from masticgate._fields import MAX_COUNTER, FieldError
from masticgate._ids import StoreEra
from masticgate.connection.gateway._catalogue_codec import (
    decode_changes,
    encode_change,
    encode_update,
)
from masticgate.platform._check import check_configuration
from masticgate.platform._configuration import decode_configuration
from masticgate.platform._items import decode_item
from masticgate.platform._store import PlatformStore
from masticgate.process.gateway import (
    Changes,
    Contents,
    PublishedConfiguration,
    SearcherListed,
    UnreadableItem,
)
from masticgate.process.gateway._metrics import Metrics
from tests.gateway.fakes import make_route, make_table
from tests.gateway.loopback import StandInSearcher
from tests.gateway.test_follower import changes, contents, follow

from .test_items import CONFIG, ENTRY, item
from .test_store import stored

LARGE = [2**53 + 1, 2**63 - 1, 2**64 + 5, MAX_COUNTER]
TOO_LARGE = [MAX_COUNTER + 1, -1]
UNREADABLE_DIGITS = b"9" * 5_000
"""More digits than the JSON decoder accepts for an integer."""

large = pytest.mark.parametrize("number", LARGE, ids=lambda number: f"{len(str(number))}-digits")


class TestItems:
    @large
    def test_decodes_version(self, number):
        change = decode_item(item("op/config", CONFIG | {"version": number}))
        assert isinstance(change, PublishedConfiguration) and change.table.version == number

    @large
    @pytest.mark.parametrize("name", ["born", "sequence"])
    def test_decodes_listing(self, name, number):
        change = decode_item(item("servers/i-1", ENTRY | {name: number}))
        assert isinstance(change, SearcherListed) and getattr(change.entry, name) == number

    @pytest.mark.parametrize("number", TOO_LARGE, ids=["101-digits", "negative"])
    def test_number_beyond_bound_is_unreadable(self, number):
        assert isinstance(
            decode_item(item("op/config", CONFIG | {"version": number})), UnreadableItem
        )
        with pytest.raises(FieldError) as error:
            decode_configuration(CONFIG | {"version": number})
        assert len(str(error.value)) < 100

    def test_number_that_json_cannot_hold_is_unreadable(self):
        data = json.dumps(CONFIG).encode().replace(b'"version": 7', b'"version": %b')
        change = decode_item(item("op/config", data.replace(b"%b", UNREADABLE_DIGITS)))
        assert isinstance(change, UnreadableItem) and len(change.detail) < 300


class TestStore:
    @large
    def test_reads_and_watches_beside_large_revision_and_era(self, number):
        queries = []

        def answer(head: bytes) -> bytes:
            queries.append(head.split(b" ")[1].decode())
            page = {
                "items": [stored("op/config", CONFIG) | {"revision": number}],
                "events": [stored("servers/i-1", ENTRY) | {"revision": number}],
                "currentRev": number,
            }
            data = json.dumps(page).encode()
            head = b"HTTP/1.1 200 X\r\nStore-Era: %d\r\nContent-Length: %d\r\n\r\n"
            return head % (number, len(data)) + data

        store = PlatformStore(StandInSearcher(answer).address, SystemClock())
        read = store.read()
        assert isinstance(read, Contents)
        assert (read.revision, read.era, len(read.changes)) == (number, number, 1)
        watched = store.watch(Revision(number), Millis(10.0))
        assert isinstance(watched, Changes)
        assert (watched.revision, watched.era, len(watched.changes)) == (number, number, 1)
        assert f"after={number}" in queries[-1]


class TestRelays:
    @large
    def test_update_survives_encoding(self, number):
        relayed = (
            decode_item(item("op/config", CONFIG | {"version": number})),
            decode_item(item("servers/i-1", ENTRY | {"born": number, "sequence": number})),
        )
        body = encode_update("e", 3, [encode_change(change) for change in relayed], era=number)
        update = decode_changes(body)
        assert (update.era, update.changes) == (StoreEra(number), relayed)


class TestFollower:
    def configuration(self, version: int) -> PublishedConfiguration:
        return PublishedConfiguration(make_table(make_route(), version=version))

    def test_higher_version_is_applied_after_one_by_mistake_and_lower_ones_are_counted(self):
        """Guard against a version by mistake behind which no other is possible before a restart."""
        mistake = 10**30
        follower, _, _ = follow(
            (0, contents(self.configuration(3))),
            (1, changes(2, self.configuration(mistake))),
            (1, changes(3, self.configuration(4))),
            (1, changes(4, self.configuration(mistake + 1))),
        )
        assert follower.table.version == mistake + 1
        assert follower.metrics.counters["configurations_ignored"] == 1

    def test_number_that_cannot_be_read_hides_no_later_one(self):
        follower, _, _ = follow(
            (0, contents(self.configuration(3))),
            (1, changes(2, UnreadableItem("op/config", "version"))),
            (1, changes(3, self.configuration(2**64 + 5))),
        )
        assert follower.table.version == 2**64 + 5


class TestCheck:
    def test_compares_versions_exactly(self):
        before, after = (
            json.dumps(CONFIG | {"version": version}).encode() for version in (2**53, 2**53 + 1)
        )
        kinds = [finding.kind.value for finding in check_configuration(after, before)]
        assert "error" not in kinds and "version" not in kinds
        kinds = [finding.kind.value for finding in check_configuration(before, after)]
        assert "version" in kinds


class TestMetrics:
    @large
    def test_gauge_of_integer_is_exact(self, number):
        metrics = Metrics()
        metrics.set_gauge("store_era", number)
        assert f"masticgate_store_era {number}\n".encode() in metrics.render()
