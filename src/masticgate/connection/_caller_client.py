"""A client for the HTTP interface that each host offers to callers.

The entry host is the host to which a caller sends its request.
"""

import json
from dataclasses import dataclass
from typing import Any

from .._ids import Address, Millis
from ._http_connection import HttpConnection, HttpFailure, HttpReply

RESPONSE_MARGIN = Millis(500.0)
"""How much longer than ``remaining_ms`` of its request the client waits for a response."""

DEFAULT_TIMEOUT = Millis(5000.0)
"""The timeout of a request that has no ``remaining_ms``."""


@dataclass(frozen=True, slots=True)
class CallerReply:
    """The response of an entry host: its HTTP status and its JSON body."""

    status: int
    body: dict[str, Any]


class CallerClient:
    """Sends requests to one entry host over one connection.

    A method returns :class:`HttpFailure` if it gets no complete response with a JSON object.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self.connection = HttpConnection(address)

    def search(self, body: dict[str, Any]) -> CallerReply | HttpFailure:
        """Run a search; it may be repeated, because it changes no data."""
        timeout = Millis(float(body["remaining_ms"]) + RESPONSE_MARGIN)
        return _decode_reply(self.connection.post("/v1/search", json.dumps(body).encode(), timeout))

    def mint_ticket(self) -> CallerReply | HttpFailure:
        """Request a ticket, which allows one booking."""
        return _decode_reply(self.connection.post("/v1/tickets", b"", DEFAULT_TIMEOUT))

    def book(self, body: dict[str, Any]) -> CallerReply | HttpFailure:
        """Submit a booking; it may be submitted again with the same ticket, through any host."""
        timeout = Millis(float(body["remaining_ms"]) + RESPONSE_MARGIN)
        return _decode_reply(
            self.connection.post("/v1/bookings", json.dumps(body).encode(), timeout)
        )

    def status(self) -> CallerReply | HttpFailure:
        """Request the status of the host."""
        return _decode_reply(self.connection.get("/v1/status", DEFAULT_TIMEOUT))

    def events(self) -> CallerReply | HttpFailure:
        """Request the events of the host's timeline."""
        return _decode_reply(self.connection.get("/v1/events", DEFAULT_TIMEOUT))

    def close(self) -> None:
        """Close the connection."""
        self.connection.close()


def _decode_reply(reply: HttpReply | HttpFailure) -> CallerReply | HttpFailure:
    if isinstance(reply, HttpFailure):
        return reply
    try:
        body = json.loads(reply.body)
    except ValueError:
        return HttpFailure(True, f"status {reply.status} with a body that is not JSON")
    if not isinstance(body, dict):
        return HttpFailure(True, f"status {reply.status} with a body that is not a JSON object")
    return CallerReply(reply.status, body)
