"""What the network between the callers and a gateway takes, told from the callers' patience.

A caller states the patience that it has left when it sends. The longest that a route sees is that
of a caller that sent at once, over an open connection. A caller that opened its connection first
spent a round trip on that, and states so much less.
"""

from dataclasses import dataclass
from threading import Lock

from ..._ids import ConfigurationVersion, Millis, RouteId
from ...request.gateway import Request
from ...version.gateway import RouteTable

INITIAL_ROUND_TRIP = Millis(6.0)
"""The round trip while none is known: between neighbouring sites, rather long than short."""


@dataclass(slots=True)
class LongestPatience:
    """The longest patience seen on one route, over any connection and over fresh ones."""

    any: Millis = Millis(0.0)
    fresh: Millis = Millis(0.0)

    def note(self, patience: Millis, *, fresh: bool) -> None:
        """Take the patience of one request."""
        self.any = max(self.any, patience)
        if fresh:
            self.fresh = max(self.fresh, patience)

    def round_trip(self) -> Millis | None:
        """Return what opening a connection took of a caller's patience, where that was seen."""
        return Millis(self.any - self.fresh) if 0.0 < self.fresh < self.any else None


class NetworkTimes:
    """Estimates what the network between a caller and this gateway takes of an objective."""

    def __init__(self) -> None:
        self.lock = Lock()
        self.trip = INITIAL_ROUND_TRIP
        self.version = ConfigurationVersion(0)
        self.routes: dict[RouteId, LongestPatience] = {}

    def estimate(self, route: RouteId, request: Request) -> Millis:
        """Return what opening the connection took, if it did, and the way there and back."""
        with self.lock:
            if request.caller_timeout is not None:
                longest = self.routes.setdefault(route, LongestPatience())
                longest.note(request.caller_timeout, fresh=request.is_first_on_connection)
                self.trip = longest.round_trip() or self.trip
            return Millis(self.trip * (2.0 if request.is_first_on_connection else 1.0))

    def follow(self, table: RouteTable) -> None:
        """Forget the routes that a newer configuration dropped."""
        with self.lock:
            if table.version <= self.version:
                return
            self.version = table.version
            routes = {route.id for route in table.routes}
            self.routes = {key: kept for key, kept in self.routes.items() if key in routes}
