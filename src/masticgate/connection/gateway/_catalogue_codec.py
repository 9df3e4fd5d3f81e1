"""The JSON format in which a gateway relays the catalogue to other gateways.

The platform publishes the catalogue: the configuration with its routes, and a listing for each
searcher, which is a server that runs requests of one service.
"""

import json
import zlib
from dataclasses import asdict, dataclass
from enum import Enum
from typing import Any, TypeVar

from ..._fields import FieldError, Fields, decode_json, is_header_text, is_name
from ..._ids import (
    ConfigurationVersion,
    FailureDomainId,
    Millis,
    Revision,
    RouteId,
    SearcherId,
    ServiceId,
    StoreEra,
)
from ...version.gateway import (
    MAX_COLD_TIME,
    MAX_SLOTS,
    Change,
    DomainEvacuated,
    EvacuationEnded,
    Idempotency,
    Limits,
    OneService,
    PublishedConfiguration,
    Route,
    RouteTable,
    SearcherEntry,
    SearcherListed,
    SearcherPhase,
    SearcherUnlisted,
    ServiceEntry,
    Shards,
    Split,
    Target,
    UnreadableItem,
    WeightedService,
)
from .._address import parse_address
from ._positions import MAX_SHARDS

MAX_UPDATE_BYTES = 16_000_000
"""The maximum size of a decompressed update; one of 22,000 searchers has about 4 MB."""

Choice = TypeVar("Choice", bound=Enum)


class InvalidCatalogueError(Exception):
    """The bytes are not a catalogue update in the format of this release."""


def encode_change(change: Change) -> Any:
    """Return a change as values that :mod:`json` can encode."""
    match change:
        case PublishedConfiguration(table=table):
            return {"table": _encode_table(table)}
        case SearcherListed(entry=entry):
            return {"listed": asdict(entry) | {"phase": entry.phase.value}}
        case SearcherUnlisted(searcher=searcher):
            return {"unlisted": searcher}
        case DomainEvacuated(domain=domain):
            return {"evacuated": domain}
        case EvacuationEnded(domain=domain):
            return {"evacuation_ended": domain}
        case UnreadableItem(key=key, detail=detail, searcher=searcher):
            return {"unreadable": [key, detail, searcher]}


@dataclass(frozen=True, slots=True)
class CatalogueUpdate:
    """The changes that another gateway relays in one response.

    ``number`` is the number of the last change, counted from the start of that gateway, and
    ``epoch`` identifies this start. ``era`` is that of the store, if it states one.
    """

    epoch: str
    number: Revision
    changes: tuple[Change, ...]
    era: StoreEra | None = None


def encode_update(
    epoch: str,
    number: int,
    changes: list[object],
    *,
    compressed: bool = False,
    era: StoreEra | None = None,
) -> bytes:
    """Return the body of a response with ``changes``, each as :func:`encode_change` returns it."""
    value = {"epoch": epoch, "number": number, "changes": changes}
    if era is not None:
        value["era"] = era
    body = json.dumps(value, separators=(",", ":")).encode()
    return zlib.compress(body) if compressed else body


def decode_changes(body: bytes) -> CatalogueUpdate:
    """Return the catalogue update in the body of another gateway's response.

    The body may be compressed. The fields have the same bounds as those that the platform
    publishes.

    :raises InvalidCatalogueError: the body is not in the format of this release.
    """
    try:
        fields = Fields.of("update", decode_json(_decompress(body)))
        changes = tuple(_decode_change(item) for item in fields.tables("changes"))
        era = StoreEra(fields.counter("era")) if "era" in fields.values else None
        number = Revision(fields.integer("number", 0))
        return CatalogueUpdate(fields.text("epoch"), number, changes, era)
    except FieldError as error:
        raise InvalidCatalogueError(str(error)) from error


def _decompress(body: bytes) -> bytes:
    if body.startswith(b"{"):
        return body
    decompressor = zlib.decompressobj()
    try:
        decoded = decompressor.decompress(body, MAX_UPDATE_BYTES)
    except zlib.error as error:
        raise InvalidCatalogueError(str(error)) from error
    if not decompressor.eof:
        raise InvalidCatalogueError("incomplete or too large")
    return decoded


def _encode_table(table: RouteTable) -> Any:
    return {
        "version": table.version,
        "routes": [_encode_route(route) for route in table.routes],
        "services": {service.id: service.connections for service in table.services.values()},
        "limits": asdict(table.limits),
        "cold": {
            service.id: [service.cold_rate, service.cold_time]
            for service in table.services.values()
            if service.cold_rate
        },
    }


def _encode_route(route: Route) -> Any:
    names = ("id", "host", "prefix", "attempts", "timeout", "objective", "rank")
    fields = {name: getattr(route, name) for name in names}
    return fields | {"kind": route.kind.value, "target": _encode_target(route.target)}


def _encode_target(target: Target) -> Any:
    match target:
        case OneService(service=service):
            return {"service": service}
        case Split(parts=parts):
            return {"split": [[part.service, part.weight] for part in parts]}
        case Shards(services=services, top=top, min_shard_ratio=min_shard_ratio):
            return {"shards": list(services), "top": top, "least": min_shard_ratio}


def _decode_change(fields: Fields) -> Change:
    match list(fields.values):
        case ["table"]:
            return PublishedConfiguration(_decode_table(fields.table("table")))
        case ["listed"]:
            return SearcherListed(_decode_entry(fields.table("listed")))
        case ["unlisted"]:
            return SearcherUnlisted(_decode_searcher(fields, "unlisted"))
        case ["evacuated"]:
            return DomainEvacuated(FailureDomainId(fields.text("evacuated")))
        case ["evacuation_ended"]:
            return EvacuationEnded(FailureDomainId(fields.text("evacuation_ended")))
        case ["unreadable"]:
            return _decode_unreadable(fields)
        case _:
            raise fields.error("*", "a known kind of change")


def _decode_unreadable(fields: Fields) -> UnreadableItem:
    match fields.items("unreadable"):
        case [str(key), str(detail), None]:
            return UnreadableItem(key, detail)
        case [str(key), str(detail), str(searcher)] if is_header_text(searcher):
            return UnreadableItem(key, detail, SearcherId(searcher))
        case _:
            raise fields.error("unreadable", "a key, a detail and a searcher or null")


def _decode_searcher(fields: Fields, name: str) -> SearcherId:
    if not is_header_text(fields.values.get(name)):
        raise fields.error(name, "the id of a searcher")
    return SearcherId(fields.text(name))


def _decode_entry(fields: Fields) -> SearcherEntry:
    address = parse_address(fields.values.get("address"))
    if address is None:
        raise fields.error("address", "an IPv4 address and a port")
    return SearcherEntry(
        id=_decode_searcher(fields, "id"),
        service=ServiceId(fields.text("service")),
        address=address,
        domain=FailureDomainId(fields.text("domain")),
        slots=fields.integer("slots", 1, MAX_SLOTS),
        phase=_decode_enum(fields, "phase", SearcherPhase),
        cold=Millis(fields.number("cold", maximum=MAX_COLD_TIME)),
        born=fields.counter("born"),
        sequence=fields.counter("sequence", default=0),
    )


def _decode_enum(fields: Fields, name: str, kind: type[Choice]) -> Choice:
    try:
        return kind(fields.text(name))
    except ValueError as error:
        raise fields.error(name, f"one of {[choice.value for choice in kind]}") from error


def _decode_table(fields: Fields) -> RouteTable:
    connections = fields.table("services")
    limits = fields.table("limits")
    return RouteTable(
        ConfigurationVersion(fields.counter("version")),
        tuple(_decode_route(route) for route in fields.tables("routes")),
        {
            ServiceId(name): ServiceEntry(
                ServiceId(name), connections.integer(name, 0), *_decode_cold(fields, name)
            )
            for name in connections.values
        },
        Limits(
            limits.integer("header_bytes", 0),
            limits.integer("body_bytes", 0),
            Millis(limits.number("header_timeout")),
            Millis(limits.number("idle_timeout")),
        ),
    )


def _decode_cold(fields: Fields, service: str) -> tuple[float, Millis]:
    """Return the bound for the cold searchers of a service; earlier releases do not state any."""
    if "cold" not in fields.values or service not in fields.table("cold").values:
        return 0.0, Millis(0.0)
    match fields.table("cold").items(service):
        case [rate, time]:
            values = Fields(f"{fields.path}.cold", {"rate": rate, "time": time})
            return values.number("rate"), Millis(values.number("time"))
        case _:
            raise fields.error("cold", "a rate and a time for each service")


def _decode_route(fields: Fields) -> Route:
    return Route(
        id=RouteId(fields.text("id")),
        host=fields.text("host"),
        prefix=fields.text("prefix"),
        kind=_decode_enum(fields, "kind", Idempotency),
        target=_decode_target(fields.table("target")),
        attempts=fields.integer("attempts", 1),
        timeout=Millis(fields.number("timeout")),
        objective=Millis(fields.number("objective")),
        rank=fields.integer("rank"),
    )


def _decode_target(fields: Fields) -> Target:
    if "service" in fields.values:
        return OneService(ServiceId(fields.text("service")))
    if "split" in fields.values:
        return Split(tuple(_decode_weight(fields, part) for part in fields.items("split")))
    services = tuple(ServiceId(name) for name in fields.text_list("shards"))
    if not 0 < len(services) <= MAX_SHARDS:
        raise fields.error("shards", f"from 1 to {MAX_SHARDS} services")
    return Shards(services, fields.integer("top", 0), fields.number("least", maximum=1.0))


def _decode_weight(fields: Fields, part: Any) -> WeightedService:
    match part:
        case [str(service), weight] if is_name(service):
            return WeightedService(
                ServiceId(service), Fields(fields.path, {"weight": weight}).number("weight")
            )
        case _:
            raise fields.error("split", "a list of services with their weights")
