"""A caller's client: one connection to one entry host."""

import json
from dataclasses import dataclass
from typing import Any

from .._ids import Address, Millis
from ._http_connection import HttpConnection, HttpFailure, HttpReply

RESPONSE_MARGIN = Millis(500.0)
"""Waited beyond the request's own deadline for the answer to arrive."""

DEFAULT_TIMEOUT = Millis(5000.0)


@dataclass(frozen=True, slots=True)
class CallerReply:
    """An entry host's answer: the HTTP status and the JSON body."""

    status: int
    body: dict[str, Any]


class CallerClient:
    """Calls one entry host; a lost connection is returned as :class:`HttpFailure`."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.connection = HttpConnection(address)

    def search(self, body: dict[str, Any]) -> CallerReply | HttpFailure:
        """Run a search; it is idempotent."""
        timeout = Millis(float(body["remaining_ms"]) + RESPONSE_MARGIN)
        return _read(self.connection.post("/v1/search", json.dumps(body).encode(), timeout))

    def mint_ticket(self) -> CallerReply | HttpFailure:
        """Ask for a ticket for one booking."""
        return _read(self.connection.post("/v1/tickets", b"", DEFAULT_TIMEOUT))

    def book(self, body: dict[str, Any]) -> CallerReply | HttpFailure:
        """Submit a booking; with the same ticket this may be repeated through any host."""
        timeout = Millis(float(body["remaining_ms"]) + RESPONSE_MARGIN)
        return _read(self.connection.post("/v1/bookings", json.dumps(body).encode(), timeout))

    def status(self) -> CallerReply | HttpFailure:
        """Return the host's status."""
        return _read(self.connection.get("/v1/status", DEFAULT_TIMEOUT))

    def events(self) -> CallerReply | HttpFailure:
        """Return the events of the host's time line."""
        return _read(self.connection.get("/v1/events", DEFAULT_TIMEOUT))

    def close(self) -> None:
        """Close the connection."""
        self.connection.close()


def _read(reply: HttpReply | HttpFailure) -> CallerReply | HttpFailure:
    if isinstance(reply, HttpFailure):
        return reply
    try:
        body = json.loads(reply.body)
    except ValueError:
        return HttpFailure(True, f"status {reply.status} without JSON")
    if not isinstance(body, dict):
        return HttpFailure(True, f"status {reply.status} without a JSON object")
    return CallerReply(reply.status, body)
