"""The order of pending work: urgent first, floors for the rest."""

from hypothesis import given, settings
from hypothesis import strategies as st

from masticgate import Millis, QueryId, Rank, ServiceId, SnapshotVersion
from masticgate.process._policy import RankOrder
from masticgate.process._rank_queue import RankQueue
from masticgate.process._work import QueueEntry, SearchWork

FLOORS = {Rank.STANDARD: 0.15, Rank.BULK: 0.1}
PATIENCE = Millis(150.0)


def entry(number, rank, share=0.5, queued_at=0.0):
    work = SearchWork(
        QueryId(f"q{number}"),
        ServiceId("s"),
        (),
        SnapshotVersion(1),
        rank,
        Millis(1e6),
        share,
        "",
        lambda result: None,
    )
    return QueueEntry(work, Millis(queued_at))


def serve(queue, now=0.0):
    found = queue.pop(Millis(now))
    queue.record_served(found)
    return found


class TestRankQueue:
    @settings(derandomize=True, max_examples=50, deadline=None)
    @given(flood=st.sampled_from(list(Rank)), served=st.integers(40, 400))
    def test_keeps_the_floors_and_starves_no_rank_in_any_flood(self, flood, served):
        queue = RankQueue(RankOrder(PATIENCE), FLOORS)
        for number in range(served):
            for rank in Rank:
                queue.add(entry(f"{number}.{rank}", rank))
            queue.add(entry(f"{number}.flood", flood))
        ranks = [serve(queue).work.rank for _ in range(served)]
        for rank, floor in FLOORS.items():
            assert ranks.count(rank) >= int(floor * served) - 1
        assert ranks.count(Rank.URGENT) >= int(0.75 * served) - 2

    @settings(derandomize=True, max_examples=50, deadline=None)
    @given(ranks=st.lists(st.sampled_from(list(Rank)), min_size=1, max_size=8))
    def test_serves_urgent_before_the_rest_until_a_floor_is_owed(self, ranks):
        queue = RankQueue(RankOrder(PATIENCE), {})
        for number, rank in enumerate(ranks):
            queue.add(entry(number, rank))
        assert [serve(queue).work.rank for _ in ranks] == sorted(ranks)

    @settings(derandomize=True, max_examples=50, deadline=None)
    @given(shares=st.lists(st.floats(0, 1), min_size=2, max_size=20, unique=True), data=st.data())
    def test_serves_an_overloaded_rank_in_the_same_order_on_every_owner(self, shares, data):
        orders = []
        for arrivals in (shares, data.draw(st.permutations(shares))):
            queue = RankQueue(RankOrder(PATIENCE), FLOORS)
            for share in arrivals:
                queue.add(entry(share, Rank.BULK, share))
            orders.append([serve(queue, PATIENCE + 1).work.admission_number for _ in shares])
        assert orders[0] == orders[1] == sorted(shares)

    def test_takes_work_that_expired_off_no_floor(self):
        queue = RankQueue(RankOrder(PATIENCE), {Rank.BULK: 0.5})
        for number in range(9):
            queue.add(entry(f"u{number}", Rank.URGENT))
            queue.add(entry(f"b{number}", Rank.BULK))
        serve(queue)
        serve(queue)
        assert queue.pop(Millis(0.0)).work.rank is Rank.BULK
        assert serve(queue).work.rank is Rank.BULK
