"""The extra load of leaving owners that are only silent."""

from masticgate.process._repeat_budget import EARNED_PER_PART, MAX_PARTS, RepeatBudget


class TestRepeatBudget:
    def test_covers_the_searches_in_flight_when_an_owner_pauses_and_then_runs_out(self):
        budget = RepeatBudget()
        assert budget.spend(int(MAX_PARTS))
        assert not budget.spend(1)

    def test_earns_a_small_share_of_the_work_asked_for(self):
        budget = RepeatBudget()
        budget.spend(int(MAX_PARTS))
        budget.earn(int(2 / EARNED_PER_PART))
        assert budget.spend(2) and not budget.spend(1)

    def test_saves_up_no_more_than_its_most(self):
        budget = RepeatBudget()
        budget.earn(10**9)
        assert not budget.spend(int(MAX_PARTS) + 1)
