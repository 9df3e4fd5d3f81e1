"""The one budget of hedges and retries of a service, and when a hedge is due."""

from .._ids import Millis
from ._latency_window import LatencyWindow
from ._policy import Hedge, Hedging, NoHedge

RETRY_RESERVE = 4.0
"""Tokens that hedges leave for retries: without a retry a lost send costs coverage for certain."""

MAX_TOKENS = RETRY_RESERVE + 8.0
INITIAL_DELAY = Millis(50.0)

HEDGE_PERCENTILE = 90.0
"""Low enough that the stragglers themselves do not move the delay."""

DELAY_FACTOR_FULL = 1.2
DELAY_FACTOR_EMPTY = 1.6
"""The delay over that percentile, with a full and with an empty budget.

In between, the delay settles where hedges cost what the budget earns.
"""


class HedgeBudget:
    """Earns a share of each first send, spends one a hedge or retry; the owner's lock guards it."""

    def __init__(self, hedging: Hedging) -> None:
        self.hedging = hedging
        self.tokens = RETRY_RESERVE + 1.0
        self.percentile_latency: Millis | None = None
        self.window = LatencyWindow()

    def earn(self) -> None:
        """Count one first send."""
        match self.hedging:
            case Hedge(budget=budget):
                self.tokens = min(MAX_TOKENS, self.tokens + budget)
            case NoHedge():
                self.tokens = 0.0

    def spend_on_retry(self) -> bool:
        """Take one token for a retry; return ``False`` where the budget is empty."""
        return self._spend(0.0)

    def spend_on_hedge(self) -> bool:
        """Take one token for a hedge; return ``False`` where only the reserve is left."""
        return self._spend(RETRY_RESERVE)

    def _spend(self, reserve: float) -> bool:
        if self.tokens < reserve + 1.0:
            return False
        self.tokens -= 1.0
        return True

    def record_latency(self, now: Millis, latency: Millis) -> None:
        """Record the latency of a first send, from which the hedge delay follows."""
        if isinstance(self.hedging, NoHedge):
            return
        self.window.record(now, latency)
        self.percentile_latency = self.window.percentile(HEDGE_PERCENTILE)

    def hedge_delay(self) -> Millis | None:
        """Return the age at which a send is hedged, ``None`` where it never is."""
        match self.hedging:
            case NoHedge():
                return None
            case Hedge(minimum_delay=minimum):
                return max(minimum, self._delay())

    def _delay(self) -> Millis:
        if self.percentile_latency is None:
            return INITIAL_DELAY
        spare = (self.tokens - RETRY_RESERVE) / (MAX_TOKENS - RETRY_RESERVE)
        fill = max(0.0, min(1.0, spare))
        return Millis(
            self.percentile_latency
            * (DELAY_FACTOR_EMPTY + fill * (DELAY_FACTOR_FULL - DELAY_FACTOR_EMPTY))
        )
