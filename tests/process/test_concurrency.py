"""The searches that one entry host has in progress."""

from masticgate import ManualClock, Millis, Rank
from masticgate.process._concurrency import (
    DECREASE_INTERVAL,
    FIRST_LIMIT,
    SMALLEST_LIMIT,
    ConcurrencyLimit,
)


def fill(limit: ConcurrencyLimit, rank: Rank) -> int:
    entered = 0
    while limit.enter(rank):
        entered += 1
    return entered


class TestConcurrencyLimit:
    def test_a_flood_of_one_rank_leaves_room_for_the_others(self):
        limit = ConcurrencyLimit(ManualClock())
        assert fill(limit, Rank.BULK) == FIRST_LIMIT / 2
        assert fill(limit, Rank.URGENT) == FIRST_LIMIT * 3 / 4
        assert limit.enter(Rank.STANDARD)

    def test_grows_while_searches_end_in_time(self):
        limit = ConcurrencyLimit(ManualClock())
        for _ in range(500):
            assert limit.enter(Rank.URGENT)
            limit.leave(Rank.URGENT, late=False)
        assert limit.limit > FIRST_LIMIT + 10

    def test_falls_once_an_interval_and_never_to_nothing(self):
        clock = ManualClock()
        limit = ConcurrencyLimit(clock)
        for _ in range(200):
            clock.advance(Millis(DECREASE_INTERVAL / 10))
            assert limit.enter(Rank.URGENT)
            limit.leave(Rank.URGENT, late=True)
        assert FIRST_LIMIT * 0.9**21 <= SMALLEST_LIMIT == limit.limit
        assert fill(limit, Rank.BULK) == SMALLEST_LIMIT / 2
