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
class LongestTimeouts:
    """The longest patience seen on one route, over any connection and over fresh ones."""

    any_connection: Millis = Millis(0.0)
    new_connection: Millis = Millis(0.0)

    def record(self, caller_timeout: Millis, *, on_new_connection: bool) -> None:
        """Take the patience of one request."""
        self.any_connection = max(self.any_connection, caller_timeout)
        if on_new_connection:
            self.new_connection = max(self.new_connection, caller_timeout)

    def round_trip(self) -> Millis | None:
        """Return what opening a connection took of a caller's patience, where that was seen."""
        return (
            Millis(self.any_connection - self.new_connection)
            if 0.0 < self.new_connection < self.any_connection
            else None
        )


class NetworkTimes:
    """Estimates what the network between a caller and this gateway takes of an objective."""

    def __init__(self) -> None:
        self.lock = Lock()
        self.round_trip_time = INITIAL_ROUND_TRIP
        self.version = ConfigurationVersion(0)
        self.routes: dict[RouteId, LongestTimeouts] = {}

    def estimate(self, route: RouteId, request: Request) -> Millis:
        """Return what opening the connection took, if it did, and the way there and back."""
        with self.lock:
            if request.caller_timeout is not None:
                longest = self.routes.setdefault(route, LongestTimeouts())
                longest.record(
                    request.caller_timeout, on_new_connection=request.is_first_on_connection
                )
                self.round_trip_time = longest.round_trip() or self.round_trip_time
            return Millis(self.round_trip_time * (2.0 if request.is_first_on_connection else 1.0))

    def apply_table(self, table: RouteTable) -> None:
        """Forget the routes that a newer configuration dropped."""
        with self.lock:
            if table.version <= self.version:
                return
            self.version = table.version
            routes = {route.id for route in table.routes}
            self.routes = {key: kept for key, kept in self.routes.items() if key in routes}
