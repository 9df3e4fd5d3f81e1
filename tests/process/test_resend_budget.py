"""The budget for parts of searches that a host resends to another owner if one is silent."""

from masticgate.process._resend_budget import MAX_RESENDS, RESENDS_PER_PART, ResendBudget


class TestResendBudget:
    def test_starts_full_and_refuses_once_spent(self):
        budget = ResendBudget()
        assert budget.spend(int(MAX_RESENDS))
        assert not budget.spend(1)

    def test_earns_a_small_share_of_the_parts_sent(self):
        budget = ResendBudget()
        budget.spend(int(MAX_RESENDS))
        budget.earn(int(2 / RESENDS_PER_PART))
        assert budget.spend(2) and not budget.spend(1)

    def test_saves_up_at_most_its_maximum(self):
        budget = ResendBudget()
        budget.earn(10**9)
        assert not budget.spend(int(MAX_RESENDS) + 1)
