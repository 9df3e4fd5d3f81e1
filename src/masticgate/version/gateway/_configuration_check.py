"""Checks a configuration of gateways for operators, and compares it with the one in force."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from ..._ids import ServiceId
from .._name_changes import describe_name_changes
from ._routes import OneService, Route, RouteTable, Shards, Split, Target


class FindingKind(Enum):
    """What a finding says about a configuration; a change alone is no fault."""

    ERROR = "error"
    NEVER_MATCHES = "never_matches"
    CONTRADICTION = "contradiction"
    VERSION = "version"
    CHANGE = "change"


@dataclass(frozen=True, slots=True)
class WholeTable:
    """A finding concerns the configuration as a whole."""


@dataclass(frozen=True, slots=True)
class RouteAt:
    """A finding concerns the route at this index."""

    index: int


@dataclass(frozen=True, slots=True)
class ServiceNamed:
    """A finding concerns the entry of this service."""

    service: ServiceId


class CallerLimit(Enum):
    """One of the limits for callers that make every request fail if they are 0."""

    HEADER_BYTES = "header_bytes"
    HEADER_TIMEOUT = "header_timeout"


@dataclass(frozen=True, slots=True)
class LimitNamed:
    """A finding concerns one of the limits for callers."""

    limit: CallerLimit


Subject = WholeTable | RouteAt | ServiceNamed | LimitNamed


@dataclass(frozen=True, slots=True)
class Finding:
    """One thing that an operator should know, in words, and the entry that it concerns."""

    kind: FindingKind
    message: str
    subject: Subject = WholeTable()


@dataclass(frozen=True, slots=True)
class LocatedFinding:
    """A finding at a position of a file; lines and columns are counted from 1.

    A change has no position, since it may concern an entry that the file no longer has.
    """

    kind: FindingKind
    message: str
    line: int | None = None
    column: int | None = None


@dataclass(frozen=True, slots=True)
class UnreadableVersion:
    """The version in force cannot be decoded; ``detail`` says why."""

    detail: str


def find_faults(table: RouteTable) -> list[Finding]:
    """Return the entries of ``table`` that have no effect and the limits that contradict."""
    return [
        *_find_shadowed_routes(table),
        *(finding for at in enumerate(table.routes) for finding in _check_route(table, *at)),
        *_find_unused_services(table),
        *_check_limits(table),
    ]


def find_changes(before: RouteTable, after: RouteTable) -> list[Finding]:
    """Return what ``after`` changes, and a fault if its version is not above that of ``before``."""
    findings = [
        Finding(FindingKind.CHANGE, message)
        for message in (*_route_changes(before, after), *_service_changes(before, after))
    ]
    if after.version <= before.version:
        message = f"version {after.version} is not higher than {before.version}, which is in force"
        findings.insert(0, Finding(FindingKind.VERSION, message))
    return findings


def services_of(target: Target) -> tuple[ServiceId, ...]:
    """Return the services that ``target`` names, in its order."""
    match target:
        case OneService(service=service):
            return (service,)
        case Split(parts=parts):
            return tuple(part.service for part in parts)
        case Shards(services=services):
            return services


def _find_shadowed_routes(table: RouteTable) -> Iterator[Finding]:
    first: dict[tuple[str, str], Route] = {}
    for index, route in enumerate(table.routes):
        earlier = first.setdefault((route.host.lower(), route.prefix), route)
        if earlier is not route:
            yield Finding(
                FindingKind.NEVER_MATCHES,
                f"route {route.id} never matches: route {earlier.id} before it has the same host "
                "and prefix",
                RouteAt(index),
            )


def _check_route(table: RouteTable, index: int, route: Route) -> Iterator[Finding]:
    place = RouteAt(index)
    for service in dict.fromkeys(services_of(route.target)):
        if service not in table.services:
            message = f"route {route.id} names service {service}, which is not listed"
            yield Finding(FindingKind.NEVER_MATCHES, message, place)
    for message in _idle_parts(route):
        yield Finding(FindingKind.NEVER_MATCHES, message, place)
    for message in _contradictions(route):
        yield Finding(FindingKind.CONTRADICTION, message, place)


def _idle_parts(route: Route) -> Iterator[str]:
    match route.target:
        case Split(parts=()):
            yield f"route {route.id} splits its requests over no service"
        case Split(parts=parts) if not any(part.weight for part in parts):
            # Gateways then send all requests to one of the services.
            yield f"route {route.id} gives all of its services the weight 0: nothing is split"
        case Split(parts=parts):
            for part in parts:
                if part.weight == 0:
                    yield f"route {route.id} gives service {part.service} the weight 0: no requests"
        case _:
            pass


def _contradictions(route: Route) -> Iterator[str]:
    if route.timeout == 0.0:
        yield f"route {route.id} has a timeout of 0 ms: no request can be answered"
    elif route.objective > route.timeout:
        yield (
            f"route {route.id} has a target latency of {route.objective:g} ms, "
            f"over its timeout of {route.timeout:g} ms"
        )
    if route.attempts < 1:
        yield f"route {route.id} allows {route.attempts} attempts: no request is sent"
    match route.target:
        # A service that is listed twice is one service, although it counts as two shards.
        case Shards(services=services) as shards if shards.min_answers > len(set(services)):
            yield (
                f"route {route.id} needs the answers of {shards.min_answers} shards, "
                f"but names {len(set(services))} different services"
            )
        case _:
            pass


def _find_unused_services(table: RouteTable) -> Iterator[Finding]:
    used = {service for route in table.routes for service in services_of(route.target)}
    for service in table.services:
        if service not in used:
            message = f"no route names service {service}"
            yield Finding(FindingKind.NEVER_MATCHES, message, ServiceNamed(service))


def _check_limits(table: RouteTable) -> Iterator[Finding]:
    if table.limits.header_bytes == 0:
        message = "the limit of a request's header is 0 bytes: every request is refused"
        yield Finding(FindingKind.CONTRADICTION, message, LimitNamed(CallerLimit.HEADER_BYTES))
    if table.limits.header_timeout == 0.0:
        message = "callers have 0 ms to send a request"
        yield Finding(FindingKind.CONTRADICTION, message, LimitNamed(CallerLimit.HEADER_TIMEOUT))


def _route_changes(before: RouteTable, after: RouteTable) -> Iterator[str]:
    old = {route.id: route for route in before.routes}
    new = {route.id: route for route in after.routes}
    yield from describe_name_changes("route", old.keys(), new.keys())
    for name in sorted(set(old) & set(new)):
        yield from _changes_of_route(old[name], new[name])


def _changes_of_route(old: Route, new: Route) -> Iterator[str]:
    name = new.id
    if (old.host, old.prefix) != (new.host, new.prefix):
        yield f"route {name} moves from {old.host}{old.prefix} to {new.host}{new.prefix}"
    if old.target != new.target:
        if services_of(old.target) != services_of(new.target):
            yield (f"route {name} moves from {_describe(old.target)} to {_describe(new.target)}")
        else:
            yield f"route {name} changes how it uses {_describe(new.target)}"
    if old.kind != new.kind:
        yield f"route {name} changes from {old.kind.value} to {new.kind.value}"
    changes = (
        ("timeout", f"{old.timeout:g} ms", f"{new.timeout:g} ms"),
        ("target latency", f"{old.objective:g} ms", f"{new.objective:g} ms"),
        ("rank", str(old.rank), str(new.rank)),
        ("number of attempts", str(old.attempts), str(new.attempts)),
    )
    for what, was, becomes in changes:
        if was != becomes:
            yield f"the {what} of route {name} changes from {was} to {becomes}"


def _describe(target: Target) -> str:
    services = ", ".join(services_of(target)) or "no service"
    match target:
        case OneService():
            return services
        case Split():
            return f"a split over {services}"
        case Shards():
            return f"the shards {services}"


def _service_changes(before: RouteTable, after: RouteTable) -> Iterator[str]:
    yield from describe_name_changes("service", before.services.keys(), after.services.keys())
    for name in sorted(set(before.services) & set(after.services)):
        if before.services[name] != after.services[name]:
            yield f"service {name} changes its connections or its cold start"
    if before.limits != after.limits:
        yield "the limits for callers change"
