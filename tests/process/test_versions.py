"""The versions in force on one host, its watches of the platform, and its startup."""

import json
from concurrent.futures import ThreadPoolExecutor

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from masticgate import (
    Address,
    FailureDomainId,
    HostId,
    ManualClock,
    Millis,
    Reason,
    Revision,
    Step,
    SystemClock,
    Unknown,
)
from masticgate.connection import PlatformReader, Unchanged, Value
from masticgate.process._backoff import MAX_RETRY_DELAY, Backoff
from masticgate.process._startup import StartState, Startup
from masticgate.process._timeline import EventKind, Timeline
from masticgate.process._versions import MAX_DIGEST_REVISIONS, OfferResult, VersionStore
from masticgate.process._watch import (
    MIN_READ_INTERVAL,
    KeyWatch,
    most_outage_reads_per_second,
    most_reads,
)
from masticgate.process._watch_role import WatchRole
from masticgate.version import SectionsPush, TextPush, Versions
from tests.texts import SMALL

REVISIONS = st.integers(1, 12)
INVALID_REVISIONS = {4, 9}


def text_at(revision: int) -> str:
    """Return the text that the platform publishes as ``revision``, which may be an invalid one."""
    text = SMALL.replace('"slots": 2', f'"slots": {revision}', 1)
    return text.replace('"desk/1": {', '"desk/1": }') if revision in INVALID_REVISIONS else text


def catalogue_at(version: int) -> str:
    return json.dumps({"versions": [{"version": version, "shards": {"desk/1": {"a": 1.0}}}]})


def new_store(on_configuration=lambda configuration: None, starting=False) -> VersionStore:
    return VersionStore(Timeline(HostId("h1"), ManualClock()), on_configuration, starting)


def kinds(store: VersionStore) -> list[EventKind]:
    return [event.kind for event in store.timeline.list_events()]


class VersionStores(RuleBasedStateMachine):
    """Two hosts that receive the same texts in any order, repeatedly, late and from each other."""

    def __init__(self) -> None:
        super().__init__()
        self.notified: list[int] = []
        self.stores = [
            new_store(lambda c: self.notified.append(c.revision)),
            new_store(),
        ]
        self.offered: list[set[int]] = [set(), set()]
        self.highest = [Versions(0, 0)] * 2

    @rule(index=st.integers(0, 1), revision=REVISIONS)
    def offer_text(self, index, revision):
        self.stores[index].offer_text(text_at(revision), Revision(revision))
        self.offered[index].add(revision)

    @rule(index=st.integers(0, 1), version=REVISIONS)
    def offer_catalogue(self, index, version):
        self.stores[index].offer_catalogue(catalogue_at(version))

    @rule(index=st.integers(0, 1), drawn_revision=st.integers(0, 12))
    def offer_push(self, index, drawn_revision):
        """Offer one store what the other would send to a peer that has the base revision.

        The base revision is the store's own one, or the drawn one if that is at most 6.
        """
        store, peer = self.stores[index], self.stores[1 - index]
        base_revision = (
            store.versions().revision if drawn_revision > 6 else Revision(drawn_revision)
        )
        match peer.build_push(base_revision):
            case SectionsPush(base=base) as push:
                fits = base == store.versions().revision
                result = store.offer_sections(push)
                assert fits or result in (OfferResult.OTHER_BASE, OfferResult.NOT_NEWER)
                self.offered[index].add(store.versions().revision)
            case TextPush(revision=revision, text=text):
                store.offer_text(text, revision)
                self.offered[index].add(revision)

    @invariant()
    def never_reverts(self):
        for index, store in enumerate(self.stores):
            now = store.versions()
            assert now.revision >= self.highest[index].revision
            assert now.catalogue >= self.highest[index].catalogue
            self.highest[index] = now

    @invariant()
    def notifies_rising_revisions(self):
        assert self.notified == sorted(set(self.notified))

    @invariant()
    def holds_the_highest_valid_text(self):
        for store, offered in zip(self.stores, self.offered, strict=True):
            assert store.versions().revision == max(offered - INVALID_REVISIONS, default=0)
            if store.configuration is not None:
                slots = store.configuration.services["desk/1"].searchers[0].slots
                assert slots == store.configuration.revision


class TestVersionStore(VersionStores.TestCase):
    settings = settings(derandomize=True, max_examples=60, stateful_step_count=25, deadline=None)


class TestRefusedText:
    def test_changes_nothing_and_reports_its_position(self):
        store = new_store()
        store.offer_text(text_at(3), Revision(3))
        assert not store.offer_text(text_at(4), Revision(4))
        assert store.configuration.revision == 3
        assert store.problems[0].startswith("line 8, column ")
        assert kinds(store) == [EventKind.TEXT_ACCEPTED, EventKind.TEXT_REFUSED]
        assert store.build_push(Revision(3)) is None
        assert store.offer_text(text_at(5), Revision(5))
        assert store.problems == ()


class TestCatalogue:
    def test_invalid_catalogue_changes_nothing_and_is_recorded(self):
        store = new_store()
        assert store.offer_catalogue(catalogue_at(2))
        assert not store.offer_catalogue(catalogue_at(3).replace("1.0", "-1.0"))
        assert store.versions().catalogue == 2
        assert kinds(store) == [EventKind.CATALOGUE_CHANGED, EventKind.CATALOGUE_REFUSED]


class TestDigests:
    def test_are_kept_for_the_latest_revisions_only(self):
        store = new_store()
        for revision in range(1, MAX_DIGEST_REVISIONS + 3):
            store.offer_text(text_at(1), Revision(revision))
        assert isinstance(store.build_push(Revision(1)), TextPush)
        assert isinstance(store.build_push(Revision(3)), SectionsPush)

    def test_reveal_another_text_at_the_same_revision(self):
        first, second = new_store(), new_store()
        first.offer_text(text_at(1), Revision(1))
        second.offer_text(text_at(2).replace('"orders": {}', '"orders": {"leaving": true}'), 1)
        second.offer_text(text_at(3).replace('"orders": {}', '"orders": {"leaving": true}'), 2)
        assert first.offer_sections(second.build_push(Revision(1))) is OfferResult.OTHER_TEXT
        whole = second.build_push(Revision(0))
        assert first.offer_text(whole.text, whole.revision)
        assert first.configuration == second.configuration


class TestStartup:
    seeds = {HostId(f"h{n}"): FailureDomainId("north" if n < 4 else "south") for n in range(2, 6)}

    def startup(self) -> Startup:
        return Startup(self.seeds, new_store(starting=True), SystemClock())

    def record_peers(self, startup: Startup, *names: str, revision: int = 0) -> None:
        """Record that the peers ``names`` answered and have ``revision``."""
        for name in names:
            startup.record_peer(HostId(name), self.seeds[HostId(name)], Versions(revision, 0))

    def wait(self, startup: Startup, duration: float = 0.0) -> StartState:
        return startup.wait(Millis(startup.clock.now() + duration))

    def test_nothing_is_in_force_before_the_store_is_activated(self):
        notified = []
        store = new_store(notified.append, starting=True)
        store.offer_text(text_at(1), Revision(1))
        assert store.configuration is None and not notified
        assert isinstance(store.build_push(Revision(0)), TextPush)
        store.activate()
        assert [c.revision for c in notified] == [1] and store.configuration.revision == 1

    def test_is_complete_with_the_platform_and_peers_in_two_failure_domains(self):
        startup = self.startup()
        assert self.wait(startup) is StartState.ALONE
        self.record_peers(startup, "h2", "h3")
        startup.record_platform_read(True)
        assert self.wait(startup) is StartState.PARTIAL
        self.record_peers(startup, "h4")
        assert self.wait(startup) is StartState.COMPLETE

    def test_is_complete_without_the_platform_once_enough_peers_answered(self):
        startup = self.startup()
        self.record_peers(startup, "h2", "h3", "h4")
        startup.record_platform_read(False)
        assert self.wait(startup) is StartState.COMPLETE

    def test_waits_for_the_highest_version_that_a_peer_has(self):
        """Guard against a host that starts with an older version than a peer has in force."""
        startup = self.startup()
        startup.record_platform_read(True)
        self.record_peers(startup, "h2", "h4")
        self.record_peers(startup, "h3", revision=7)
        startup.versions.offer_text(text_at(1), Revision(5))
        assert self.wait(startup) is StartState.PARTIAL
        with ThreadPoolExecutor(1) as tasks:
            waiting = tasks.submit(self.wait, startup, 10_000.0)
            startup.versions.offer_text(text_at(1), Revision(7))
            startup.notify_change()
            assert waiting.result() is StartState.COMPLETE


class TestReadRate:
    def test_is_bounded_by_the_failure_domains_whatever_the_number_of_hosts(self):
        assert most_reads(17, Millis(1000.0), changes=1, starts=0) < 2000

    def test_is_bounded_in_an_outage_with_every_host_cut_off(self):
        assert most_outage_reads_per_second(3300) <= 2000

    def test_backs_off_with_jitter_up_to_a_cap(self):
        backoff = Backoff()
        waits = [backoff.next_delay() for _ in range(200)]
        assert waits[0] <= 500 and max(waits) <= MAX_RETRY_DELAY
        assert min(waits[10:]) >= MAX_RETRY_DELAY / 2
        assert len(set(waits)) > 150
        backoff.reset()
        assert backoff.next_delay() <= 500


class FakeReader:
    """A reader of a platform that answers every watch at once, with ``results`` in order."""

    def __init__(self, *results) -> None:
        self.results = list(results)

    def watch(self, key, after, wait):
        return self.results.pop(0)


class TestKeyWatch:
    def watch(self, *results) -> tuple[KeyWatch, list[int]]:
        """Return a watch that reads ``results`` in turn, and the revisions that it passes on."""
        received: list[int] = []
        timeline = Timeline(HostId("h1"), ManualClock())
        role = WatchRole(timeline)
        role.update(True)
        reader = FakeReader(*results)
        watch = KeyWatch(
            "k", reader, timeline, lambda v: received.append(v.revision), role, ManualClock()
        )
        return watch, received

    def test_ignores_older_values_and_backs_off_after_them(self):
        old, new = (Value(Revision(revision), "") for revision in (3, 5))
        watch, received = self.watch(new, old, new, old)
        delays = [watch.read_once() for _ in range(4)]
        assert received == [5] and watch.revision == 5
        assert delays[0] == MIN_READ_INTERVAL and min(delays[1:]) >= 250
        assert delays[3] > delays[1]

    def test_backs_off_if_every_watch_returns_at_once(self):
        watch, _ = self.watch(*[Unchanged()] * 9)
        assert [watch.read_once() for _ in range(9)][-1] >= MAX_RETRY_DELAY / 2

    def test_records_an_outage_and_its_end_once(self):
        lost = Unknown(Reason.PLATFORM, Step.READ)
        watch, _ = self.watch(lost, lost, Value(Revision(1), ""))
        for _ in range(3):
            watch.read_once()
        kinds = [event.kind for event in watch.timeline.list_events()]
        assert kinds[1:] == [EventKind.PLATFORM_LOST, EventKind.PLATFORM_BACK]


class TestWatchRole:
    def test_aborted_reader_may_read_again_once_the_host_watches_but_not_after_a_stop(self):
        role = WatchRole(Timeline(HostId("h1"), ManualClock()))
        reader = PlatformReader(Address("127.0.0.1:9"), Address("127.0.0.1:9"))
        reader.abort()
        assert role.update(True) and not role.update(True)
        assert role.wait_until_watching(reader.allow_requests)
        assert not reader.values.aborted and not reader.hosts.aborted
        reader.abort()
        role.stop()
        assert not role.wait_until_watching(reader.allow_requests)
        assert reader.values.aborted and reader.hosts.aborted
