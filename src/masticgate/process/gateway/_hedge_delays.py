"""When a send is repeated elsewhere, from the latest latencies of its route."""

from ..._ids import Millis, RouteId
from ...version.gateway import Route
from .._latency_window import LatencyWindow

HEDGE_PERCENTILE = 90.0
HEDGE_MARGIN = 1.2
INITIAL_DELAY_SHARE = 0.25
"""The hedge delay over the route's objective while no latencies are known."""

MAX_DELAY_SHARE = 0.5
TYPICAL_PERCENTILE = 50.0


class HedgeDelays:
    """The latencies of first sends by route; the fleet's lock guards them."""

    def __init__(self) -> None:
        self.windows: dict[RouteId, LatencyWindow] = {}

    def delay(self, route: Route) -> Millis:
        """Return the age at which a send on ``route`` is repeated."""
        window = self.windows.get(route.id)
        usual = window.percentile(HEDGE_PERCENTILE) if window is not None else None
        if usual is None:
            return Millis(route.objective * INITIAL_DELAY_SHARE)
        return Millis(min(usual * HEDGE_MARGIN, route.objective * MAX_DELAY_SHARE))

    def record(self, route: RouteId, latency: Millis, now: Millis, *, first_attempt: bool) -> float:
        """Record the latency of a first send; return it over the usual one of its route."""
        window = self.windows.setdefault(route, LatencyWindow())
        usual = window.percentile(TYPICAL_PERCENTILE)
        if first_attempt:
            window.record(now, latency)
        return latency / usual if usual else 1.0

    def retain_routes(self, routes: set[RouteId]) -> None:
        """Forget the routes that are not in ``routes``."""
        self.windows = {key: kept for key, kept in self.windows.items() if key in routes}
