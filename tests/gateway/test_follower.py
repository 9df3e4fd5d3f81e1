"""Tests for how a gateway applies the configuration and listings that the platform publishes."""

from masticgate import ManualClock, Millis, Revision, SearcherId, ServiceId
from masticgate._ids import HostId
from masticgate.process.gateway import (
    Changes,
    Contents,
    HistoryGone,
    PublishedConfiguration,
    SearcherListed,
    SearcherUnlisted,
    Unavailable,
    UnreadableItem,
    _known_searchers,
)
from masticgate.process.gateway._follower import Follower
from masticgate.process.gateway._log import EventLog
from masticgate.process.gateway._metrics import Metrics
from masticgate.request.gateway import Call

from .fakes import make_entry, make_fleet, make_request, make_route, make_table

ROUTE = make_route()


class ScriptedSource:
    """A catalogue source that returns ``answers`` in order, each after its delay in milliseconds.

    The request after the last answer stops the follower.
    """

    def __init__(self, clock: ManualClock, *answers: tuple[float, object]) -> None:
        self.clock = clock
        self.answers = list(answers)
        self.follower: Follower | None = None
        self.requests: list[str] = []
        self.requested_at: list[Millis] = []

    def read(self):
        return self._next("read")

    def watch(self, after, wait):
        return self._next(f"watch {after}")

    def _next(self, request):
        self.requests.append(request)
        self.requested_at.append(self.clock.now())
        if not self.answers:
            self.follower.stop()
            return Unavailable("the script ended")
        wait, answer = self.answers.pop(0)
        self.clock.advance(Millis(wait))
        return answer


def follow(*answers: tuple[float, object]):
    """Run a follower on the scripted answers; return it, its fleet and its source."""
    clock = ManualClock()
    fleet = make_fleet(clock)
    source = ScriptedSource(clock, *answers)
    follower = Follower(source, fleet, clock, EventLog(HostId("g"), clock), Metrics())
    follower.stopping.wait = lambda timeout_s: clock.advance(Millis(timeout_s * 1_000))
    source.follower = follower
    follower.run()
    return follower, fleet, source


def contents(*changes, revision: int = 1):
    """Return a catalogue with ``changes`` and, unless they have one, a configuration."""
    if not any(isinstance(change, PublishedConfiguration) for change in changes):
        changes = (PublishedConfiguration(make_table(ROUTE, version=1)), *changes)
    return Contents(changes, Revision(revision))


def changes(revision: int, *items):
    return Changes(items, Revision(revision))


def is_used(fleet, searcher: str) -> bool:
    """Return whether the fleet sends a request to ``searcher`` once all others were tried."""
    call = Call(make_request(), ROUTE, ServiceId("orders"), Millis(1e9), None)
    others = {known for known in fleet.replicas if known != searcher}
    return getattr(fleet.send(call, others), "searcher", None) == searcher


class TestConfiguration:
    def test_applies_later_version(self):
        one, two = make_table(ROUTE, version=1), make_table(ROUTE, version=7)
        follower, _, _ = follow(
            (0, contents(PublishedConfiguration(one))), (1, changes(2, PublishedConfiguration(two)))
        )
        assert follower.table is two

    def test_ignores_earlier_version(self):
        one, two = make_table(ROUTE, version=1), make_table(ROUTE, version=7)
        follower, _, _ = follow(
            (0, contents(PublishedConfiguration(two))),
            (1, HistoryGone()),
            (1, contents(PublishedConfiguration(one), revision=9)),
        )
        assert follower.table is two

    def test_keeps_configuration_if_new_one_is_unreadable(self):
        one = make_table(ROUTE, version=1)
        follower, _, _ = follow(
            (0, contents(PublishedConfiguration(one))),
            (1, changes(2, UnreadableItem("op/config", "no version"))),
        )
        assert follower.table is one

    def test_keeps_configuration_while_platform_is_unavailable(self):
        one = make_table(ROUTE, version=1)
        follower, _, source = follow(
            (0, contents(PublishedConfiguration(one), revision=4)),
            (3_000, Unavailable("timed out")),
            (3_000, Unavailable("timed out")),
        )
        assert follower.table is one
        assert source.requests[1:] == ["watch 4", "watch 4", "watch 4"]


class TestReadingAgain:
    def test_reads_again_until_configuration_is_readable(self):
        """Guard against a gateway that is never ready since the first read was damaged."""
        table = make_table(ROUTE, version=7)
        damaged = Contents((UnreadableItem("op/config", "not readable as JSON"),), Revision(1))
        follower, _, _ = follow(
            (0, damaged),
            (1_800, changes(1)),
            (0, contents(PublishedConfiguration(table))),
        )
        assert follower.table is table

    def test_reads_again_until_changed_configuration_is_readable(self):
        """Guard against a version that is never applied since its event was damaged."""
        one, two = make_table(ROUTE, version=1), make_table(ROUTE, version=7)
        follower, _, source = follow(
            (0, contents(PublishedConfiguration(one))),
            (1_800, changes(1)),
            (10, changes(2, UnreadableItem("op/config", "not readable as JSON"))),
            (0, contents(PublishedConfiguration(two), revision=2)),
        )
        assert follower.table is two
        assert source.requests == ["read", "watch 1", "watch 1", "read", "watch 2"]

    def test_reads_again_if_there_is_no_configuration(self):
        table = make_table(ROUTE, version=7)
        follower, _, _ = follow(
            (0, Contents((), Revision(1))),
            (1_800, changes(1)),
            (0, contents(PublishedConfiguration(table))),
        )
        assert follower.table is table

    def test_unreadable_configuration_is_read_again_rarely(self):
        damaged = Contents((UnreadableItem("op/config", "not readable as JSON"),), Revision(1))
        _, _, source = follow(*[(0, damaged), (1_800, changes(1)), (1_800, changes(1))] * 20)
        reads = [
            at
            for at, request in zip(source.requested_at, source.requests, strict=True)
            if request == "read"
        ]
        assert len(reads) > 10
        assert reads[-1] - reads[-2] >= 1_500

    def test_reads_again_if_revision_is_lower_than_before(self):
        """Guard against a gateway that sees no change since one revision was far too high."""
        one, two = make_table(ROUTE, version=1), make_table(ROUTE, version=7)
        follower, _, source = follow(
            (0, contents(PublishedConfiguration(one), revision=4)),
            (1_800, changes(9_007_199_254_740_992)),
            (1_800, changes(5)),
            (0, contents(PublishedConfiguration(two), revision=5)),
        )
        assert follower.table is two
        assert source.requests[-1] == "watch 5"


class TestPauses:
    def test_source_that_answers_at_once_is_asked_a_few_times_a_second(self):
        """Guard against a loop that keeps the processor busy with empty answers."""
        _, _, source = follow((0, contents()), *[(1, changes(1))] * 50)
        assert source.requested_at[-1] - source.requested_at[1] > 50 * 300

    def test_source_that_cuts_every_watch_is_asked_a_few_times_a_second(self):
        cut = (0, Unavailable("closed", closed_by_source=True))
        _, _, source = follow((0, contents()), *[cut, (50, changes(1))] * 25)
        assert source.requested_at[-1] - source.requested_at[1] > 25 * 300

    def test_source_without_history_is_read_a_few_times_a_second(self):
        _, _, source = follow(*[(1, contents()), (1, HistoryGone())] * 20)
        assert source.requested_at[-1] - source.requested_at[0] > 20 * 1_000

    def test_watch_that_waited_is_followed_at_once(self):
        _, _, source = follow((0, contents()), *[(1_800, changes(1))] * 10)
        assert source.requested_at[-1] - source.requested_at[1] == 10 * 1_800

    def test_lost_history_is_read_again_at_once_after_a_watch(self):
        _, _, source = follow(
            (0, contents()), (1_800, changes(1)), (0, HistoryGone()), (0, contents())
        )
        assert source.requested_at[3] == 1_800


class TestSearchers:
    def test_stops_using_searcher_whose_listing_is_removed(self):
        _, fleet, _ = follow(
            (0, contents(SearcherListed(make_entry("a")))),
            (1, changes(2, SearcherUnlisted(SearcherId("a")))),
            (2_000, changes(2)),
        )
        assert not is_used(fleet, "a")

    def test_removes_searcher_missing_after_history_was_lost(self):
        _, fleet, _ = follow(
            (0, contents(SearcherListed(make_entry("a")), SearcherListed(make_entry("b")))),
            (1, HistoryGone()),
            (1, contents(SearcherListed(make_entry("b")), revision=9)),
            (2_000, changes(9)),
        )
        assert not is_used(fleet, "a")
        assert is_used(fleet, "b")

    def test_keeps_searcher_whose_listing_expired_while_platform_was_unavailable(self):
        _, fleet, _ = follow(
            (0, contents(SearcherListed(make_entry("a")))),
            (5_000, Unavailable("down")),
            (10, changes(5, SearcherUnlisted(SearcherId("a")))),
            (1_000, changes(6)),
        )
        assert is_used(fleet, "a")

    def test_removes_searcher_whose_listing_does_not_return_in_time(self):
        _, fleet, _ = follow(
            (0, contents(SearcherListed(make_entry("a")))),
            (5_000, Unavailable("down")),
            (10, changes(5, SearcherUnlisted(SearcherId("a")))),
            (2_500, changes(6)),
            (2_000, changes(6)),
        )
        assert not is_used(fleet, "a")

    def test_stops_using_sole_searcher_at_once_if_its_listing_does_not_return(self):
        _, fleet, _ = follow(
            (0, contents(SearcherListed(make_entry("a")))),
            (5_000, Unavailable("down")),
            (10, changes(5, SearcherUnlisted(SearcherId("a")))),
            (2_500, changes(6)),
        )
        assert not is_used(fleet, "a")

    def test_hold_of_searcher_ends_although_platform_is_lost_again_and_again(self):
        """Guard against a searcher in use for as long as calls to the platform fail by turns."""
        lost_again = [(1_000, Unavailable("down")), (10, changes(5))] * 4
        _, fleet, _ = follow(
            (0, contents(SearcherListed(make_entry("a")))),
            (5_000, Unavailable("down")),
            (10, changes(5, SearcherUnlisted(SearcherId("a")))),
            *lost_again,
        )
        assert not is_used(fleet, "a")

    def test_relays_removal_of_listing_only_when_searcher_is_removed(self):
        listing_removed = (10, changes(5, SearcherUnlisted(SearcherId("a"))))
        follower, _, _ = follow(
            (
                0,
                contents(
                    PublishedConfiguration(make_table(ROUTE)), SearcherListed(make_entry("a"))
                ),
            ),
            (5_000, Unavailable("down")),
            listing_removed,
        )
        assert "searcher a" in follower.catalogue.state
        follower, _, _ = follow(
            (
                0,
                contents(
                    PublishedConfiguration(make_table(ROUTE)), SearcherListed(make_entry("a"))
                ),
            ),
            (5_000, Unavailable("down")),
            listing_removed,
            (2_500, changes(6)),
        )
        assert "searcher a" not in follower.catalogue.state

    def test_listings_that_are_read_again_are_not_relayed_again(self):
        """Guard against gateways that all read everything again when their relay does."""
        listings = [SearcherListed(make_entry(str(number))) for number in range(2_100)]
        follower, _, _ = follow(
            (0, contents(*listings)),
            (1, HistoryGone()),
            (0, contents(*listings, revision=2)),
            (1, changes(3, SearcherUnlisted(SearcherId("7")))),
            (1, changes(4, listings[7])),
        )
        log = follower.catalogue
        assert log.lists(listings[7]) and not log.lists(SearcherListed(make_entry("x")))
        assert log.number == 2_103

    def test_listings_without_end_are_applied_up_to_a_number(self, monkeypatch):
        """Guard against listings of another writer that take all memory."""
        monkeypatch.setattr(_known_searchers, "MAX_SEARCHERS", 100)
        flood = [SearcherListed(make_entry(f"flood-{number}")) for number in range(300)]
        follower, fleet, _ = follow(
            (0, contents(SearcherListed(make_entry("a")))),
            (1, changes(2, *flood)),
            (1, changes(3, SearcherUnlisted(SearcherId("flood-0")))),
            (1, changes(4, SearcherListed(make_entry("a")))),
        )
        assert is_used(fleet, "a")
        assert len(fleet.replicas) == 100
        assert len(follower.catalogue.state) <= 101
        assert follower.metrics.counters["unreadable_items"] == 201

    def test_unreadable_listing_removes_only_its_searcher(self):
        _, fleet, _ = follow(
            (0, contents(SearcherListed(make_entry("a")), SearcherListed(make_entry("b")))),
            (1, changes(2, UnreadableItem("servers/a", "no slots", SearcherId("a")))),
            (2_000, changes(2)),
        )
        assert not is_used(fleet, "a")
        assert is_used(fleet, "b")
