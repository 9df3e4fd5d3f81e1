"""The header by which a gateway asks another to gather a part of a query.

It states the shards and the route of the query, so that the other gateway serves the part by the
configuration of the first one.
"""

import json

from ..._fields import FieldError, Fields, decode_json
from ..._ids import Millis, RouteId, ServiceId
from ...request.gateway import Part
from ...version.gateway import Idempotency, Route, Shards
from ._positions import MAX_SHARDS, decode_positions, encode_positions


def encode_part(part: Part) -> bytes:
    """Return the value of the header."""
    route = part.route
    assert isinstance(route.target, Shards)
    value = {
        "positions": encode_positions(part.positions).decode(),
        "services": [route.target.services[position] for position in part.positions],
        "least": part.least,
        "top": route.target.top,
        "route": route.id,
        "attempts": route.attempts,
        "timeout": route.timeout,
        "objective": route.objective,
        "rank": route.rank,
    }
    return json.dumps(value, separators=(",", ":")).encode()


def decode_part(value: bytes) -> Part | None:
    """Return the part that the header states, or ``None`` if it is not valid.

    The route of the part has no name for the shards of other parts.
    """
    try:
        fields = Fields.of("part", decode_json(value))
        positions = decode_positions(fields.text("positions").encode())
        services = fields.text_list("services")
        if not positions or len(services) != len(positions):
            return None
        names = [ServiceId("")] * (positions[-1] + 1)
        for position, service in zip(positions, services, strict=True):
            names[position] = ServiceId(service)
        route = Route(
            id=RouteId(fields.text("route")),
            host="",
            prefix="",
            kind=Idempotency.IDEMPOTENT,
            target=Shards(tuple(names), fields.integer("top", 0), 0.0),
            attempts=fields.integer("attempts", 1),
            timeout=Millis(fields.number("timeout")),
            objective=Millis(fields.number("objective")),
            rank=fields.integer("rank"),
        )
        return Part(positions, fields.integer("least", 0, MAX_SHARDS), route)
    except FieldError:
        return None
