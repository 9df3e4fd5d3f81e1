"""The common budget of hedges and retries.

A hedge is a second attempt of a search while a slow first one is in flight. A retry is another
attempt after one failed.
"""

from masticgate.process import OWNER_POLICY
from masticgate.process._hedge_budget import MAX_TOKENS, RETRY_RESERVE, HedgeBudget


class TestHedgeBudget:
    def test_hedges_leave_a_reserve_for_retries(self):
        budget = HedgeBudget(OWNER_POLICY.hedging)
        while budget.spend_on_hedge():
            pass
        retries = 0
        while budget.spend_on_retry():
            retries += 1
        assert retries == RETRY_RESERVE

    def test_hedges_and_retries_together_spend_at_most_what_was_earned(self):
        budget = HedgeBudget(OWNER_POLICY.hedging)
        first = budget.tokens
        spent = 0
        for number in range(2000):
            budget.earn()
            spend = budget.spend_on_hedge if number % 2 else budget.spend_on_retry
            spent += spend()
        assert spent <= first + 2000 * OWNER_POLICY.hedging.budget
        assert 0.0 <= budget.tokens <= MAX_TOKENS
