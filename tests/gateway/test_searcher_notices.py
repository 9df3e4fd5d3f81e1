"""Tests for searchers whose answers say that they leave, or that they want a pause."""

from dataclasses import replace
from threading import Event

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from masticgate import ManualClock, Millis, SearcherId, ServiceId
from masticgate._ids import HostId
from masticgate.connection.gateway._searcher_notices import (
    MAX_PAUSE,
    Leaving,
    PauseRequested,
    decode_leaving_searchers,
    decode_notices,
    decode_pause,
    encode_leaving_searchers,
)
from masticgate.process.gateway import SearcherPhase
from masticgate.process.gateway._listings import Listings
from masticgate.process.gateway._log import EventLog
from masticgate.process.gateway._replica import ReplicaState
from masticgate.version.gateway import Shards

from .fakes import HEADER_NAMES, make_entry, make_route
from .loopback import RawCaller, StandInSearcher, head_value, reply_to, running_gateway
from .test_gathering_at_peers import make_searchers, record, running_pair

LEAVING = b"X-Leaving: 1\r\n"
DRAIN = Millis(400.0)


def refusal(head: bytes, retry_after: str) -> bytes:
    extra = b"X-Not-Run: 1\r\nRetry-After: %s\r\n" % retry_after.encode()
    return reply_to(head, b"", 503, extra)


class TestDecoding:
    @pytest.mark.parametrize(
        ("value", "pause"),
        [
            (b"5", 5_000.0),
            (b" 0.25 ", 250.0),
            (b"0", 0.0),
            (b"999999999", MAX_PAUSE),
            (b"-1", None),
            (b"1e3", None),
            (b"nan", None),
            (b"", None),
            (b"Wed, 21 Oct 2026 07:28:00 GMT", None),
            (b"9" * 400, None),
        ],
    )
    def test_pause_is_a_bounded_number_of_seconds(self, value, pause):
        assert decode_pause(value) == pause

    def test_only_status_503_asks_for_pause(self):
        headers = {b"retry-after": b"5", b"x-leaving": b"1"}
        both = [Leaving(), PauseRequested(Millis(5_000.0))]
        assert decode_notices(503, headers, HEADER_NAMES) == both
        assert decode_notices(429, headers, HEADER_NAMES) == [Leaving()]

    def test_searcher_cannot_speak_for_others(self):
        assert decode_notices(200, {b"x-gateway-leaving": b"a"}, HEADER_NAMES) == []

    @pytest.mark.parametrize("searcher", ["i-1", "a,b", "a b%2C", "x" * 300])
    def test_ids_of_leaving_searchers_keep_their_characters(self, searcher):
        value = encode_leaving_searchers([SearcherId(searcher), SearcherId("other")])
        assert decode_leaving_searchers(value) == (searcher, "other")


class TestLeavingSearchers:
    def run_requests(self, gateway, number: int, gap_s: float = 0.01) -> list[int]:
        statuses = []
        for count in range(number):
            caller = RawCaller(gateway)
            statuses.append(caller.get(request_id=f"q{count}").read()[0])
            caller.close()
            Event().wait(gap_s)
        return statuses

    @pytest.mark.parametrize("status", [200, 500])
    def test_searcher_that_says_so_gets_nothing_after_drain_time(self, status):
        """Guard against a searcher in use although each answer says that it leaves (DRAIN)."""
        leaving = StandInSearcher(lambda head: reply_to(head, b"ok", status, LEAVING))
        other = StandInSearcher(reply_to)
        searchers = {"orders": [leaving, other]}
        with running_gateway([make_route()], searchers, drain=DRAIN) as gateway:
            self.run_requests(gateway, 30)
            assert leaving.requests
            Event().wait(DRAIN / 1_000)
            before = len(leaving.requests)
            assert self.run_requests(gateway, 30) == [200] * 30
            assert len(leaving.requests) == before

    def test_last_searcher_leaves_too_and_callers_are_refused_at_once(self):
        leaving = StandInSearcher(lambda head: reply_to(head, b"ok", 200, LEAVING))
        with running_gateway([make_route()], {"orders": [leaving]}, drain=DRAIN) as gateway:
            assert self.run_requests(gateway, 1) == [200]
            Event().wait(DRAIN / 1_000)
            started_at = gateway.clock.now()
            status, head, _ = RawCaller(gateway).get().read()
            assert status == 503
            assert gateway.clock.now() - started_at < 100.0
            assert 0.2 < float(head_value(head, b"retry-after")) < 1.0
            assert len(leaving.requests) == 1

    def test_word_in_answer_to_another_request_counts(self):
        """Guard against a searcher in use since its word came in a late second answer."""

        def answer(head):
            late = reply_to(b"x-id: other\r\n", b"", 200, LEAVING)
            return late + reply_to(head)

        leaving = StandInSearcher(answer)
        searchers = {"orders": [leaving, StandInSearcher(reply_to)]}
        with running_gateway([make_route()], searchers, drain=DRAIN) as gateway:
            self.run_requests(gateway, 10)
            replica = gateway.fleet.replicas.get(SearcherId("orders-0"))
            assert replica is None or replica.state is not ReplicaState.ACTIVE

    def test_entry_gateway_hears_it_from_gatherer(self):
        """Guard against an entry that asks a searcher which its gatherer knows to leave (DRAIN)."""
        searchers = make_searchers()
        leaving = StandInSearcher(lambda head: reply_to(head, record(3), 200, LEAVING))
        searchers["s1"] = [leaving, StandInSearcher(lambda head: reply_to(head, record(3)))]
        with running_pair(searchers) as (entry, _):
            for number in range(10):
                assert RawCaller(entry).get(request_id=f"q{number}").read()[0] == 200
            assert leaving.requests
            replica = entry.fleet.replicas.get(SearcherId("s1-0"))
            assert replica is None or replica.state is not ReplicaState.ACTIVE


class TestPausedSearchers:
    def test_gets_nothing_until_pause_is_over_and_is_used_again_then(self):
        """Guard against requests to a searcher that asked for a pause (BUDGET)."""
        paused = StandInSearcher(reply_to)
        paused.answer = lambda head: (
            refusal(head, "1.0") if len(paused.requests) == 1 else reply_to(head)
        )
        searchers = {"orders": [paused, StandInSearcher(reply_to)]}
        with running_gateway([make_route()], searchers) as gateway:
            clock, statuses = gateway.clock, []
            while not paused.requests:
                statuses.append(RawCaller(gateway).get().read()[0])
            asked_at = clock.now()
            while clock.now() < asked_at + 950.0:
                statuses.append(RawCaller(gateway).get().read()[0])
                Event().wait(0.02)
            assert len(paused.requests) == 1
            assert set(statuses) == {200}
            assert gateway.metrics.counters["searcher_failures"] == 0
            while len(paused.requests) < 2 and clock.now() < asked_at + 4_000.0:
                RawCaller(gateway).get().read()
            assert len(paused.requests) > 1

    @pytest.mark.parametrize("not_run", [True, False])
    def test_callers_of_only_searcher_are_refused_at_once_until_pause_is_over(self, not_run):
        extra = b"X-Not-Run: 1\r\n" if not_run else b""
        paused = StandInSearcher(
            lambda head: reply_to(head, b"", 503, extra + b"Retry-After: 2\r\n")
        )
        with running_gateway([make_route()], {"orders": [paused]}) as gateway:
            assert RawCaller(gateway).get().read()[0] == (503 if not_run else 502)
            waits = []
            for _ in range(20):
                started_at = gateway.clock.now()
                status, head, _ = RawCaller(gateway).get().read()
                assert status == 503
                assert gateway.clock.now() - started_at < 100.0
                waits.append(float(head_value(head, b"retry-after")))
            assert len(paused.requests) == 1
            assert all(1.0 < wait <= 2.4 for wait in waits)
            assert max(waits) - min(waits) > 0.05

    def test_query_without_enough_shards_is_refused_at_once_and_sent_to_none(self):
        services = (ServiceId("s1"), ServiceId("s2"))
        paused = StandInSearcher(lambda head: refusal(head, "2"))
        searchers = make_searchers() | {"s1": [paused]}
        route = make_route(Shards(services, 2, 1.0))
        with running_gateway([route], searchers) as gateway:
            RawCaller(gateway).get(request_id="q1").read()
            status, head, _ = RawCaller(gateway).get(request_id="q2").read()
            assert status == 503
            assert 1.0 < float(head_value(head, b"retry-after")) <= 2.4
            # The first query may arrive only now, since it ended without that answer.
            ids = [head_value(request, b"x-id") for request in searchers["s2"][0].requests]
            assert set(ids) <= {b"q1"}


class Notices(RuleBasedStateMachine):
    """One searcher in any order of its entries, its words, its restarts and the time.

    The machine keeps the facts, as the users' rules see them: ``left_at`` is when the present start
    said that it leaves, in an answer or an entry, and ``pause_ends`` the end of its longest pause.
    """

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.drain = Millis(3_000.0)
        log = EventLog(HostId("g"), self.clock)
        self.listings = Listings(self.clock, log, lambda service: 8)
        self.born = 1
        self.seen_born = 0
        self.address = "127.0.0.1:9"
        self.left_at: float | None = None
        self.drain_at_word = 0.0
        self.pause_ends = 0.0
        self.unlisted = False

    @property
    def replica(self):
        return self.listings.replicas.get(SearcherId("a"))

    def _list(self, phase: SearcherPhase) -> None:
        entry = make_entry("a", born=self.born, phase=phase)
        self.listings.apply(replace(entry, address=self.address), self.drain)
        self.unlisted = False
        if self.replica is not None and self.seen_born < self.born:
            self.seen_born = self.born
            self.left_at, self.pause_ends = None, 0.0

    def _word(self) -> None:
        if self.left_at is None:
            self.left_at = self.clock.now()
            self.drain_at_word = self.drain

    @rule()
    def entry_says_ready(self):
        self._list(SearcherPhase.READY)

    @rule()
    def entry_says_draining(self):
        self._list(SearcherPhase.DRAINING)
        if self.replica is not None:
            self._word()

    @precondition(lambda self: self.replica is not None and self.seen_born == self.born)
    @rule()
    def answer_says_leaving(self):
        self.listings.record_departure(self.replica, "answer", self.drain)
        self._word()

    @precondition(lambda self: self.replica is not None and self.seen_born == self.born)
    @rule(pause=st.sampled_from([0.0, 400.0, 5_000.0]))
    def answer_asks_for_pause(self, pause):
        self.listings.pause(self.replica, Millis(pause))
        self.pause_ends = max(self.pause_ends, self.clock.now() + pause)

    @precondition(lambda self: self.replica is not None)
    @rule()
    def entry_is_removed(self):
        self.listings.start_leaving(self.replica, "unlisted", Millis(self.drain / 2))
        self.unlisted = True

    @rule()
    def searcher_restarts(self):
        self.born += 1

    @rule(port=st.integers(9, 11))
    def address_changes(self, port):
        self.address = f"127.0.0.1:{port}"

    @rule(drain=st.sampled_from([1_000.0, 3_000.0]))
    def settings_are_reloaded(self, drain):
        self.drain = Millis(drain)

    @rule(wait=st.sampled_from([100.0, 600.0, 2_500.0]))
    def time_passes(self, wait):
        self.clock.advance(Millis(wait))
        self.listings.remove_gone(self.clock.now())

    @invariant()
    def searcher_that_left_gets_nothing_after_drain_time(self):
        now = self.clock.now()
        if self.left_at is not None and now > self.left_at + self.drain_at_word:
            assert self.replica is None or not self.replica.is_usable(now)

    @invariant()
    def paused_searcher_gets_nothing(self):
        now = self.clock.now()
        if now < self.pause_ends and self.replica is not None:
            assert not self.replica.is_usable(now)

    @invariant()
    def searcher_that_neither_left_nor_pauses_is_used(self):
        now = self.clock.now()
        stays = self.seen_born == self.born and self.left_at is None and not self.unlisted
        if stays and self.replica is not None and now >= self.pause_ends:
            assert self.replica.is_usable(now)


Notices.TestCase.settings = settings(max_examples=150, stateful_step_count=30, deadline=None)


class TestOrderOfEvents(Notices.TestCase):
    """Plays the machine above."""
