"""The delays after which requests are hedged, derived from recent latencies.

A hedge repeats a request at another searcher while an earlier attempt has no response yet. The
objective of a route is the latency that its answers should not exceed.
"""

from ..._ids import Millis, RouteId
from ...version.gateway import PEER_SERVICE, Route
from .._latency_window import LatencyWindow

HEDGE_PERCENTILE = 90.0
"""The percentile of a route's latencies from which its hedge delay is computed."""

HEDGE_DELAY_FACTOR = 1.2
"""The hedge delay is that percentile times this factor."""

MAX_MEDIAN_FACTOR = 2.5
"""The upper bound on the hedge delay, as a multiple of the median latency.

Where more than a tenth of the searchers are slow, the percentile is their latency, but the median
is that of the others.
"""

INITIAL_DELAY_SHARE = 0.25
"""The hedge delay as a share of the route's objective while no latencies are known."""

MAX_DELAY_SHARE = 0.5
"""The upper bound on the hedge delay, as a share of the route's objective."""

TYPICAL_PERCENTILE = 50.0
"""The percentile of a route's latencies to which a single latency is compared."""


SECOND_ANSWER_PERCENTILE = 75.0
"""The percentile of a route's latencies that is the upper bound on most answers to hedges.

It is the latency of a slow searcher only if a quarter of the answers are those of slow searchers.
"""


def peer_route_id(route: RouteId) -> RouteId:
    """Return the id of the route by which parts of queries on ``route`` go to gatherers."""
    return RouteId(f"{PEER_SERVICE}/{route}")


class HedgeDelays:
    """The latencies of first attempts by route; the fleet's lock guards them."""

    def __init__(self) -> None:
        self.windows: dict[RouteId, LatencyWindow] = {}

    def delay(self, route: Route) -> Millis:
        """Return the age at which a request on ``route`` is hedged."""
        window = self.windows.get(route.id)
        percentile = window.percentile(HEDGE_PERCENTILE) if window is not None else None
        median = window.percentile(TYPICAL_PERCENTILE) if window is not None else None
        if percentile is None or median is None:
            return Millis(route.objective * INITIAL_DELAY_SHARE)
        delay = min(percentile * HEDGE_DELAY_FACTOR, median * MAX_MEDIAN_FACTOR)
        return Millis(min(delay, route.objective * MAX_DELAY_SHARE))

    def second_answer_time(self, route: RouteId) -> Millis | None:
        """Return the time in which most hedges are answered, or ``None`` while it is not known."""
        window = self.windows.get(route)
        return window.percentile(SECOND_ANSWER_PERCENTILE) if window is not None else None

    def usual_latency(self, route: RouteId) -> Millis | None:
        """Return the median latency of a route, or ``None`` while it is not known."""
        window = self.windows.get(route)
        return window.percentile(TYPICAL_PERCENTILE) if window is not None else None

    def record(self, route: RouteId, latency: Millis, now: Millis, *, first_attempt: bool) -> float:
        """Record the latency of an answer, and return its ratio to the median of its route.

        The latency of a repeat is not recorded. The ratio is 1 while no median is known.
        """
        window = self.windows.setdefault(route, LatencyWindow())
        median = window.percentile(TYPICAL_PERCENTILE)
        if first_attempt:
            window.record(now, latency)
        return latency / median if median else 1.0

    def retain_routes(self, routes: set[RouteId]) -> None:
        """Drop the latencies of all routes that are not in ``routes``."""
        self.windows = {key: kept for key, kept in self.windows.items() if key in routes}
