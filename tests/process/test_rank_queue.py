"""The order of queued work: urgent first, with a floor for each lower rank.

The floor of a rank is the share of the served work that it gets even if more urgent work waits.
"""

from hypothesis import given, settings
from hypothesis import strategies as st

from masticgate import Millis, QueryId, Rank, ServiceId, SnapshotVersion
from masticgate.process._policy import RankOrder
from masticgate.process._rank_queue import RankQueue
from masticgate.process._work import QueueEntry, SearchWork

FLOORS = {Rank.STANDARD: 0.15, Rank.BULK: 0.1}
SHARED_ORDER_AFTER = Millis(150.0)


def make_entry(number, rank, admission_number=0.5, queued_at=0.0):
    work = SearchWork(
        QueryId(f"q{number}"),
        ServiceId("s"),
        (),
        SnapshotVersion(1),
        rank,
        Millis(1e6),
        admission_number,
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
    def test_every_rank_gets_its_floor_in_a_flood_of_any_rank(self, flood, served):
        queue = RankQueue(RankOrder(SHARED_ORDER_AFTER), FLOORS)
        for number in range(served):
            for rank in Rank:
                queue.add(make_entry(f"{number}.{rank}", rank))
            queue.add(make_entry(f"{number}.flood", flood))
        ranks = [serve(queue).work.rank for _ in range(served)]
        for rank, floor in FLOORS.items():
            assert ranks.count(rank) >= int(floor * served) - 1
        assert ranks.count(Rank.URGENT) >= int(0.75 * served) - 2

    @settings(derandomize=True, max_examples=50, deadline=None)
    @given(ranks=st.lists(st.sampled_from(list(Rank)), min_size=1, max_size=8))
    def test_serves_more_urgent_ranks_first_without_floors(self, ranks):
        queue = RankQueue(RankOrder(SHARED_ORDER_AFTER), {})
        for number, rank in enumerate(ranks):
            queue.add(make_entry(number, rank))
        assert [serve(queue).work.rank for _ in ranks] == sorted(ranks)

    @settings(derandomize=True, max_examples=50, deadline=None)
    @given(
        admission_numbers=st.lists(st.floats(0, 1), min_size=2, max_size=20, unique=True),
        data=st.data(),
    )
    def test_serves_overloaded_rank_in_same_order_on_every_owner(self, admission_numbers, data):
        orders = []
        for arrivals in (admission_numbers, data.draw(st.permutations(admission_numbers))):
            queue = RankQueue(RankOrder(SHARED_ORDER_AFTER), FLOORS)
            for admission_number in arrivals:
                queue.add(make_entry(admission_number, Rank.BULK, admission_number))
            orders.append(
                [
                    serve(queue, SHARED_ORDER_AFTER + 1).work.admission_number
                    for _ in admission_numbers
                ]
            )
        assert orders[0] == orders[1] == sorted(admission_numbers)

    def test_expired_work_uses_up_no_credit_of_its_rank(self):
        queue = RankQueue(RankOrder(SHARED_ORDER_AFTER), {Rank.BULK: 0.5})
        for number in range(9):
            queue.add(make_entry(f"u{number}", Rank.URGENT))
            queue.add(make_entry(f"b{number}", Rank.BULK))
        serve(queue)
        serve(queue)
        assert queue.pop(Millis(0.0)).work.rank is Rank.BULK
        assert serve(queue).work.rank is Rank.BULK
