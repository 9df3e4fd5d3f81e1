"""Estimates of the network time between callers and a gateway, from the callers' timeouts.

A caller states the remaining part of its timeout when it sends a request. The longest value on a
route comes from a caller that sent at once, over an open connection. A caller that opened its
connection first spent a round trip on it and states a value that is shorter by that round trip.
"""

from dataclasses import dataclass
from threading import Lock

from ..._ids import ConfigurationVersion, Millis, RouteId
from ...request.gateway import Request
from ...version.gateway import RouteTable

INITIAL_ROUND_TRIP = Millis(6.0)
"""The round trip that is assumed while none is known.

It is a typical round trip between neighbouring sites; an estimate that is too long is preferred to
one that is too short.
"""


@dataclass(slots=True)
class LongestTimeouts:
    """The longest caller timeouts on one route, over any connection and over new connections."""

    any_connection: Millis = Millis(0.0)
    new_connection: Millis = Millis(0.0)

    def record(self, caller_timeout: Millis, *, on_new_connection: bool) -> None:
        """Record the caller timeout of one request."""
        self.any_connection = max(self.any_connection, caller_timeout)
        if on_new_connection:
            self.new_connection = max(self.new_connection, caller_timeout)

    def round_trip(self) -> Millis | None:
        """Return the time for opening a connection, or ``None`` while it is unknown."""
        return (
            Millis(self.any_connection - self.new_connection)
            if 0.0 < self.new_connection < self.any_connection
            else None
        )


class NetworkTimes:
    """Estimates the network time of each request between its caller and the gateway.

    The network time is a part of the route's objective, the latency that an answer should not
    exceed.
    """

    def __init__(self) -> None:
        self.lock = Lock()
        self.round_trip_time = INITIAL_ROUND_TRIP
        self.version = ConfigurationVersion(0)
        self.routes: dict[RouteId, LongestTimeouts] = {}

    def estimate(self, route: RouteId, request: Request) -> Millis:
        """Return the estimated network time of one request, and record its caller timeout.

        It is one round trip for the request and its response, and another one if the caller opened
        its connection for this request.
        """
        with self.lock:
            if request.caller_timeout is not None:
                longest = self.routes.setdefault(route, LongestTimeouts())
                longest.record(
                    request.caller_timeout, on_new_connection=request.is_first_on_connection
                )
                self.round_trip_time = longest.round_trip() or self.round_trip_time
            return Millis(self.round_trip_time * (2.0 if request.is_first_on_connection else 1.0))

    def apply_table(self, table: RouteTable) -> None:
        """Drop the timeouts of routes that a newer configuration no longer contains."""
        with self.lock:
            if table.version <= self.version:
                return
            self.version = table.version
            routes = {route.id for route in table.routes}
            self.routes = {key: kept for key, kept in self.routes.items() if key in routes}
