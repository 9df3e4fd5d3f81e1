"""The limit on the searches that one host has in progress for its callers."""

from types import SimpleNamespace

from masticgate import HostId, ManualClock, Millis, Rank, Reason, ServiceId
from masticgate.connection import SearchRequest
from masticgate.process import NAIVE_POLICY, OWNER_POLICY, Policy
from masticgate.process._caller_service import CallerService
from masticgate.process._concurrency import (
    DECREASE_INTERVAL,
    INITIAL_LIMIT,
    MIN_LIMIT,
    ConcurrencyLimit,
)


def fill(limit: ConcurrencyLimit, rank: Rank) -> int:
    """Start searches of ``rank`` until one is refused; return how many were started."""
    acquired = 0
    while limit.acquire(rank):
        acquired += 1
    return acquired


class TestConcurrencyLimit:
    def test_flood_of_one_rank_leaves_room_for_other_ranks(self):
        limit = ConcurrencyLimit(ManualClock())
        assert fill(limit, Rank.BULK) == INITIAL_LIMIT / 2
        assert fill(limit, Rank.URGENT) == INITIAL_LIMIT * 3 / 4
        assert limit.acquire(Rank.STANDARD)

    def test_grows_while_searches_end_in_time(self):
        limit = ConcurrencyLimit(ManualClock())
        for _ in range(500):
            assert limit.acquire(Rank.URGENT)
            limit.release(Rank.URGENT, late=False)
        assert limit.limit > INITIAL_LIMIT + 10

    def test_falls_at_most_once_per_interval_and_not_below_the_minimum(self):
        clock = ManualClock()
        limit = ConcurrencyLimit(clock)
        for _ in range(200):
            clock.advance(Millis(DECREASE_INTERVAL / 10))
            assert limit.acquire(Rank.URGENT)
            limit.release(Rank.URGENT, late=True)
        assert INITIAL_LIMIT * 0.9**21 <= MIN_LIMIT == limit.limit
        assert fill(limit, Rank.BULK) == MIN_LIMIT / 2


class TestCallerService:
    def reason(self, policy: Policy) -> Reason:
        """Return why a bulk search does not run on a host without a configuration.

        The host already has as many bulk searches in progress as the limit allows.
        """
        clock = ManualClock()
        runtime = SimpleNamespace(policy=policy, configuration=lambda: None)
        metrics = SimpleNamespace(count=lambda name: None)
        service = CallerService(HostId("h1"), runtime, None, None, clock, None, metrics)
        fill(service.concurrency, Rank.BULK)
        request = SearchRequest((ServiceId("desk"),), "", Rank.BULK, Millis(100.0), 1)
        return service.search(request).reason

    def test_search_beyond_the_limit_is_refused_as_overload_before_other_checks(self):
        assert self.reason(OWNER_POLICY) is Reason.OVERLOAD

    def test_naive_policy_admits_search_beyond_the_limit(self):
        assert self.reason(NAIVE_POLICY) is Reason.NO_CONFIGURATION

    def test_search_refused_before_its_fan_out_does_not_change_the_limit(self):
        clock = ManualClock()
        runtime = SimpleNamespace(policy=OWNER_POLICY, configuration=lambda: None)
        metrics = SimpleNamespace(count=lambda name: None)
        service = CallerService(HostId("h1"), runtime, None, None, clock, None, metrics)
        request = SearchRequest((ServiceId("desk"),), "", Rank.BULK, Millis(100.0), 1)
        for _ in range(50):
            assert service.search(request).reason is Reason.NO_CONFIGURATION
        assert service.concurrency.limit == INITIAL_LIMIT
        assert service.concurrency.in_progress[Rank.BULK] == 0
