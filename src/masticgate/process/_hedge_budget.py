"""The one budget of hedges and retries of a service, and when a hedge is due."""

from hdrh.histogram import HdrHistogram

from .._ids import Millis
from ._policy import Hedge, Hedging, NoHedge

MAX_TOKENS = 8.0
SMALLEST_MICROS = 1
LARGEST_MICROS = 60_000_000
SIGNIFICANT_FIGURES = 2
HEDGE_PERCENTILE = 95.0
WINDOW_SAMPLES = 512
FIRST_DELAY = Millis(50.0)


class HedgeBudget:
    """Earns a share of each first send, spends one a hedge or retry; the owner's lock guards it."""

    def __init__(self, hedging: Hedging) -> None:
        self.hedging = hedging
        self.tokens = 1.0
        self.delay = FIRST_DELAY
        self.histogram = _new_histogram()

    def earn(self) -> None:
        """Count one first send."""
        match self.hedging:
            case Hedge(budget=budget):
                self.tokens = min(MAX_TOKENS, self.tokens + budget)
            case NoHedge():
                self.tokens = 0.0

    def spend(self) -> bool:
        """Take one token; return ``False`` where the budget is empty."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def observe(self, latency: Millis) -> None:
        """Record the latency of a first send, from which the hedge delay follows."""
        self.histogram.record_value(max(SMALLEST_MICROS, int(latency * 1000)))
        if self.histogram.get_total_count() >= WINDOW_SAMPLES:
            self.delay = Millis(self.histogram.get_value_at_percentile(HEDGE_PERCENTILE) / 1000)
            self.histogram = _new_histogram()

    def hedge_delay(self) -> Millis | None:
        """Return the age at which a send is hedged, ``None`` where it never is."""
        match self.hedging:
            case NoHedge():
                return None
            case Hedge(minimum_delay=minimum):
                return max(minimum, self.delay)


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(SMALLEST_MICROS, LARGEST_MICROS, SIGNIFICANT_FIGURES)
