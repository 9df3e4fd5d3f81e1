"""The budget that the hedges and retries of a service share, and the delay before a hedge.

A hedge sends a search to a second searcher while a slow first attempt is in flight. A retry is
another attempt after one failed.
"""

from .._ids import Millis
from ._latency_window import LatencyWindow
from ._policy import Hedge, Hedging, NoHedge

RETRY_RESERVE = 4.0
"""The number of tokens that only retries may spend.

If a failed attempt is not retried, its shards are certainly missing from the answer, whereas a slow
attempt without a hedge may still succeed.
"""

MAX_TOKENS = RETRY_RESERVE + 8.0
"""The maximum number of tokens in the budget."""

INITIAL_DELAY = Millis(50.0)
"""The hedge delay until enough latencies are recorded."""

HEDGE_PERCENTILE = 90.0
"""The percentile of latencies that sets the hedge delay.

It is low enough that a few very slow attempts do not change the delay.
"""

DELAY_FACTOR_FULL = 1.2
DELAY_FACTOR_EMPTY = 1.6
"""The hedge delay as a multiple of the percentile, with a full and with an empty budget.

The budget counts as empty when only the reserve for retries is left. As hedges spend tokens, the
delay rises and hedges become rarer, until they spend as many tokens as the budget earns.
"""


class HedgeBudget:
    """Limits hedges and retries to a fraction of the number of first attempts of a service.

    Each first attempt earns a fraction of a token, and each hedge or retry spends one, except a
    retry whose :class:`RetryCost` is free. Callers hold the lock of the service pool.
    """

    def __init__(self, hedging: Hedging) -> None:
        self.hedging = hedging
        self.tokens = RETRY_RESERVE + 1.0
        self.percentile_latency: Millis | None = None
        self.window = LatencyWindow()

    def earn(self) -> None:
        """Add the tokens that one first attempt earns; without hedging, empty the budget."""
        match self.hedging:
            case Hedge(budget=budget):
                self.tokens = min(MAX_TOKENS, self.tokens + budget)
            case NoHedge():
                self.tokens = 0.0

    def spend_on_retry(self) -> bool:
        """Spend one token on a retry; return ``False`` if there is none."""
        return self._spend(0.0)

    def spend_on_hedge(self) -> bool:
        """Spend one token on a hedge; return ``False`` if only the reserve for retries is left."""
        return self._spend(RETRY_RESERVE)

    def _spend(self, reserve: float) -> bool:
        if self.tokens < reserve + 1.0:
            return False
        self.tokens -= 1.0
        return True

    def record_latency(self, now: Millis, latency: Millis) -> None:
        """Record the latency of an attempt other than a hedge, to derive the hedge delay from."""
        if isinstance(self.hedging, NoHedge):
            return
        self.window.record(now, latency)
        self.percentile_latency = self.window.percentile(HEDGE_PERCENTILE)

    def hedge_delay(self) -> Millis | None:
        """Return how long after its start an attempt is hedged, ``None`` if hedging is disabled."""
        match self.hedging:
            case NoHedge():
                return None
            case Hedge(minimum_delay=minimum):
                return max(minimum, self._delay())

    def _delay(self) -> Millis:
        if self.percentile_latency is None:
            return INITIAL_DELAY
        unreserved_fraction = (self.tokens - RETRY_RESERVE) / (MAX_TOKENS - RETRY_RESERVE)
        fill_level = max(0.0, min(1.0, unreserved_fraction))
        return Millis(
            self.percentile_latency
            * (DELAY_FACTOR_EMPTY + fill_level * (DELAY_FACTOR_FULL - DELAY_FACTOR_EMPTY))
        )
