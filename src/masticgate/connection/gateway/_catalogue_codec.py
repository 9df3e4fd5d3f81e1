"""The JSON format in which a gateway relays the catalogue to other gateways.

The platform publishes the catalogue: the configuration with its routes, and a listing for each
searcher, which is a server that runs requests of one service.
"""

import json
from dataclasses import asdict, dataclass
from typing import Any

from ..._ids import (
    Address,
    ConfigurationVersion,
    FailureDomainId,
    Millis,
    Revision,
    RouteId,
    SearcherId,
    ServiceId,
)
from ...process.gateway._catalogue import (
    Change,
    PublishedConfiguration,
    SearcherEntry,
    SearcherListed,
    SearcherPhase,
    SearcherUnlisted,
    UnreadableItem,
)
from ...version.gateway import (
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
        case UnreadableItem(key=key, detail=detail, searcher=searcher):
            return {"unreadable": [key, detail, searcher]}


@dataclass(frozen=True, slots=True)
class CatalogueUpdate:
    """The changes that another gateway relays in one response.

    ``number`` is the number of the last change, counted from the start of that gateway, and
    ``epoch`` identifies this start.
    """

    epoch: str
    number: Revision
    changes: tuple[Change, ...]


def decode_changes(body: bytes) -> CatalogueUpdate:
    """Return the catalogue update in the body of another gateway's response.

    :raises InvalidCatalogueError: the body is not in the format of this release.
    """
    try:
        value = json.loads(body)
        changes = tuple(_decode_change(item) for item in value["changes"])
        return CatalogueUpdate(str(value["epoch"]), Revision(int(value["number"])), changes)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise InvalidCatalogueError(str(error)) from error


def _encode_table(table: RouteTable) -> Any:
    return {
        "version": table.version,
        "routes": [_encode_route(route) for route in table.routes],
        "services": {service.id: service.connections for service in table.services.values()},
        "limits": asdict(table.limits),
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


def _decode_change(item: dict[str, Any]) -> Change:
    match item:
        case {"table": table}:
            return PublishedConfiguration(_decode_table(table))
        case {"listed": entry}:
            return SearcherListed(_decode_entry(entry))
        case {"unlisted": searcher}:
            return SearcherUnlisted(SearcherId(searcher))
        case {"unreadable": [key, detail, searcher]}:
            return UnreadableItem(key, detail, None if searcher is None else SearcherId(searcher))
        case _:
            raise ValueError("unknown kind of change")


def _decode_entry(entry: dict[str, Any]) -> SearcherEntry:
    return SearcherEntry(
        id=SearcherId(entry["id"]),
        service=ServiceId(entry["service"]),
        address=Address(entry["address"]),
        domain=FailureDomainId(entry["domain"]),
        slots=int(entry["slots"]),
        phase=SearcherPhase(entry["phase"]),
        cold=Millis(entry["cold"]),
        born=int(entry["born"]),
    )


def _decode_table(table: dict[str, Any]) -> RouteTable:
    services = {
        ServiceId(name): ServiceEntry(ServiceId(name), int(connections))
        for name, connections in table["services"].items()
    }
    limits = table["limits"]
    return RouteTable(
        ConfigurationVersion(table["version"]),
        tuple(_decode_route(route) for route in table["routes"]),
        services,
        Limits(
            int(limits["header_bytes"]),
            int(limits["body_bytes"]),
            Millis(limits["header_timeout"]),
            Millis(limits["idle_timeout"]),
        ),
    )


def _decode_route(route: dict[str, Any]) -> Route:
    return Route(
        id=RouteId(route["id"]),
        host=route["host"],
        prefix=route["prefix"],
        kind=Idempotency(route["kind"]),
        target=_decode_target(route["target"]),
        attempts=int(route["attempts"]),
        timeout=Millis(route["timeout"]),
        objective=Millis(route["objective"]),
        rank=int(route["rank"]),
    )


def _decode_target(target: dict[str, Any]) -> Target:
    match target:
        case {"service": service}:
            return OneService(ServiceId(service))
        case {"split": parts}:
            return Split(tuple(WeightedService(ServiceId(n), float(w)) for n, w in parts))
        case {"shards": services, "top": top, "least": min_shard_ratio}:
            return Shards(
                tuple(ServiceId(name) for name in services), int(top), float(min_shard_ratio)
            )
        case _:
            raise ValueError("unknown kind of target")
