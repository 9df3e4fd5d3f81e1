"""A caller that sends searches over one persistent connection, run as one task."""

import http.client
import json
import select
import socket
import time
from collections.abc import Iterator
from dataclasses import dataclass

from bench.request import LOST, Arrival, Result

TIMEOUT_SECONDS = 1.0
"""The time after which a caller gives up on a silent host."""

SMALLEST_REMAINING_MS = 1.0
"""The smallest caller timeout that is sent, also if the deadline has passed already."""


def is_closed(connection: socket.socket) -> bool:
    """Return whether the host has closed an idle connection."""
    poller = select.poll()
    poller.register(connection, select.POLLIN)
    return bool(poller.poll(0))


@dataclass
class Caller:
    """Sends each search that it draws from ``arrivals`` and records the result.

    An arrival says when to send a search, in seconds after ``started_at``, and with which rank.
    ``addresses`` begins with the caller's own host. The others stand for the next choices of a load
    balancer if that host refuses connections.
    """

    addresses: list[str]
    services: list[str]
    deadline_ms: float
    arrivals: Iterator[Arrival]
    started_at: float

    def __post_init__(self) -> None:
        self.connection: http.client.HTTPConnection | None = None
        self.results: list[Result] = []

    def run(self) -> list[Result]:
        """Send every arrival at its time and return the results."""
        for arrival in self.arrivals:
            due = self.started_at + arrival.at
            time.sleep(max(0.0, due - time.monotonic()))
            self.results.append(self.send(arrival, due))
        if self.connection is not None:
            self.connection.close()
        return self.results

    def send(self, arrival: Arrival, due: float) -> Result:
        """Send one search and return its result, with the latency counted from ``due``.

        The deadline counts from ``due`` too, so a late start leaves less time for the search.
        """
        lag_ms = (time.monotonic() - due) * 1000
        try:
            status, body = self._exchange(arrival.rank, self.deadline_ms - lag_ms)
        except (OSError, http.client.HTTPException, ValueError) as error:
            self.connection = None
            status, body = 0, {"outcome": LOST, "reason": type(error).__name__}
        return Result(
            arrival.at,
            arrival.rank,
            lag_ms,
            (time.monotonic() - due) * 1000,
            status,
            body["outcome"],
            body.get("coverage", 0.0),
            body.get("whole", False),
            body.get("reason", ""),
            tuple(sorted({item["reason"] for item in body.get("missing", ())})),
        )

    def _exchange(self, rank: str, remaining_ms: float) -> tuple[int, dict]:
        if self.connection is None or is_closed(self.connection.sock):
            self.connection = self._connect()
        connection = self.connection
        body = {
            "services": self.services,
            "text": "lamp",
            "rank": rank,
            "remaining_ms": max(SMALLEST_REMAINING_MS, remaining_ms),
        }
        headers = {"Content-Type": "application/json"}
        connection.request("POST", "/v1/search", json.dumps(body), headers)
        response = connection.getresponse()
        data = response.read()
        if response.will_close:
            connection.close()
            self.connection = None
        return response.status, json.loads(data)

    def _connect(self) -> http.client.HTTPConnection:
        for address in self.addresses:
            connection = http.client.HTTPConnection(address, timeout=TIMEOUT_SECONDS)
            try:
                connection.connect()
            except ConnectionRefusedError:
                continue
            connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            return connection
        raise ConnectionRefusedError("no host accepts connections")
