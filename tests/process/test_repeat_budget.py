"""The budget for the parts of searches that a host sends again while their owner is silent."""

from masticgate.process._repeat_budget import EARNED_PER_PART, MAX_PARTS, RepeatBudget


class TestRepeatBudget:
    def test_starts_full_and_refuses_once_spent(self):
        budget = RepeatBudget()
        assert budget.spend(int(MAX_PARTS))
        assert not budget.spend(1)

    def test_earns_a_small_share_of_the_parts_sent(self):
        budget = RepeatBudget()
        budget.spend(int(MAX_PARTS))
        budget.earn(int(2 / EARNED_PER_PART))
        assert budget.spend(2) and not budget.spend(1)

    def test_saves_up_at_most_its_maximum(self):
        budget = RepeatBudget()
        budget.earn(10**9)
        assert not budget.spend(int(MAX_PARTS) + 1)
