"""Decodes the operators' configuration, which the platform publishes."""

from .._clock import MILLIS_PER_SECOND
from .._fields import Fields
from .._ids import ConfigurationVersion, Millis, RouteId, ServiceId
from ..connection.gateway import MAX_SHARDS
from ..version.gateway import (
    Idempotency,
    Limits,
    OneService,
    Route,
    RouteTable,
    ServiceEntry,
    Shards,
    Split,
    Target,
    WeightedService,
)

IDEMPOTENCY_KINDS = {
    "idempotent": Idempotency.IDEMPOTENT,
    "non_idempotent": Idempotency.NON_IDEMPOTENT,
}
DEFAULT_TIMEOUT_MS = 30_000.0
DEFAULT_OBJECTIVE_MS = 1_000.0
MAX_ATTEMPTS = 1_000.0
MAX_TOP = 1_000_000.0
DEFAULT_RANK = 9
"""The rank of a route that states none; 0 is the most urgent."""


def decode_configuration(value: object) -> RouteTable:
    """Return the configuration that the decoded JSON ``value`` describes.

    A route whose ``type`` is unknown counts as not idempotent.

    :raises FieldError: a field is missing or has an invalid value.
    """
    fields = Fields.of("config", value)
    services = [decode_service(service) for service in fields.tables("services")]
    return RouteTable(
        ConfigurationVersion(fields.counter("version")),
        tuple(decode_route(route) for route in fields.tables("routes")),
        {service.id: service for service in services},
        _decode_limits(fields.table("limits")),
    )


def decode_service(fields: Fields) -> ServiceEntry:
    """Return the service that one entry describes.

    :raises FieldError: a field is missing or has an invalid value.
    """
    return ServiceEntry(
        ServiceId(fields.text("name")),
        int(fields.number("maxConnections", 16.0)),
        fields.number("coldPerS", 0.0),
        Millis(fields.number("coldStartS", 0.0) * MILLIS_PER_SECOND),
    )


def decode_route(fields: Fields) -> Route:
    """Return the route that one entry describes.

    :raises FieldError: a field is missing or has an invalid value.
    """
    return Route(
        id=RouteId(fields.text("name")),
        host=fields.text("hostname"),
        prefix=fields.text("prefix"),
        kind=IDEMPOTENCY_KINDS.get(fields.text("type"), Idempotency.NON_IDEMPOTENT),
        target=_decode_target(fields),
        attempts=int(fields.number("maxAttempts", 1.0, 1.0, MAX_ATTEMPTS)),
        timeout=Millis(fields.number("timeoutMs", DEFAULT_TIMEOUT_MS)),
        objective=Millis(fields.number("targetLatencyMs", DEFAULT_OBJECTIVE_MS)),
        rank=int(fields.number("priority", DEFAULT_RANK)),
    )


def _decode_target(fields: Fields) -> Target:
    if "fanoutServices" in fields.values:
        services = tuple(ServiceId(name) for name in fields.text_list("fanoutServices"))
        if not 0 < len(services) <= MAX_SHARDS:
            raise fields.error("fanoutServices", f"from 1 to {MAX_SHARDS} services")
        top = int(fields.number("topK", 0.0, maximum=MAX_TOP))
        return Shards(services, top, fields.number("minShardRatio", 0.0, maximum=1.0))
    if "trafficSplit" in fields.values:
        parts = fields.tables("trafficSplit")
        return Split(
            tuple(
                WeightedService(ServiceId(part.text("service")), part.number("weight"))
                for part in parts
            )
        )
    return OneService(ServiceId(fields.text("service")))


def _decode_limits(fields: Fields) -> Limits:
    defaults = Limits()
    return Limits(
        header_bytes=int(fields.number("maxHeaderBytes", defaults.header_bytes)),
        body_bytes=int(fields.number("maxBodyBytes", defaults.body_bytes)),
        header_timeout=Millis(fields.number("headerTimeoutMs", defaults.header_timeout)),
        idle_timeout=Millis(fields.number("idleTimeoutMs", defaults.idle_timeout)),
    )
