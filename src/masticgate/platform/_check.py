"""Checks the file of a configuration before it is published, with the gateways' own decoder."""

import re
from json import JSONDecodeError
from typing import Any

from .._fields import FieldError, Fields, decode_json
from ..version import Document, Position, SyntaxProblem, parse_document
from ..version.gateway import RouteTable
from ..version.gateway._configuration_check import (
    CallerLimit,
    Finding,
    FindingKind,
    LimitNamed,
    LocatedFinding,
    RouteAt,
    ServiceNamed,
    Subject,
    UnreadableVersion,
    WholeTable,
    find_changes,
    find_faults,
)
from ._configuration import decode_configuration, decode_route, decode_service

ENTRY_DECODERS = {"routes": decode_route, "services": decode_service}
LIMIT_FIELDS = {
    CallerLimit.HEADER_BYTES: "maxHeaderBytes",
    CallerLimit.HEADER_TIMEOUT: "headerTimeoutMs",
}
PATH_STEP = re.compile(r"\.(\w+)|\[(\d+)\]")

Path = tuple[str | int, ...]


def check_configuration(
    data: bytes, in_force: bytes | None
) -> list[LocatedFinding] | UnreadableVersion:
    """Return the findings about the file ``data``, compared with the file ``in_force`` if given."""
    before = None
    if in_force is not None:
        try:
            before = decode_configuration(decode_json(in_force))
        except FieldError as error:
            return UnreadableVersion(str(error))
    try:
        value = decode_json(data)
    except FieldError as error:
        return [_locate_syntax_error(error)]
    document = parse_document(data.decode())
    if isinstance(document, SyntaxProblem):
        # Gateways accept a key that occurs twice, and use its last value.
        return [_error_at(document.message, document.position)]
    errors = _find_errors(value)
    if errors:
        return [_error_at(str(e), document.locate(_path_of(str(e)))) for e in errors]
    return _check_table(decode_configuration(value), before, document)


def _check_table(
    table: RouteTable, before: RouteTable | None, document: Document
) -> list[LocatedFinding]:
    findings = find_faults(table)
    if before is not None:
        findings += find_changes(before, table)
    return [_locate(finding, document) for finding in findings]


def _find_errors(value: Any) -> list[FieldError]:
    """Return what the decoder refuses: one error for each entry, and one for the rest."""
    errors = []
    rest = dict(value) if isinstance(value, dict) else value
    for name, decode in ENTRY_DECODERS.items():
        entries = rest.get(name) if isinstance(rest, dict) else None
        if not isinstance(entries, list):
            continue
        for index, entry in enumerate(entries):
            try:
                decode(Fields.of(f"config.{name}[{index}]", entry))
            except FieldError as error:
                errors.append(error)
        rest[name] = []
    try:
        decode_configuration(rest)
    except FieldError as error:
        errors.append(error)
    return errors


def _path_of(message: str) -> Path:
    """Return the path of the value that the message of a ``FieldError`` names."""
    steps = PATH_STEP.findall(message.partition(":")[0])
    return tuple(name or int(index) for name, index in steps)


def _locate(finding: Finding, document: Document) -> LocatedFinding:
    if finding.kind is FindingKind.CHANGE:
        return LocatedFinding(finding.kind, finding.message)
    path = ("version",) if finding.kind is FindingKind.VERSION else None
    position = document.locate(path or _path_to(finding.subject, document.value))
    return LocatedFinding(finding.kind, finding.message, position.line, position.column)


def _path_to(subject: Subject, value: Any) -> Path:
    match subject:
        case WholeTable():
            return ()
        case RouteAt(index=index):
            return ("routes", index)
        case ServiceNamed(service=service):
            names = [entry["name"] for entry in value["services"]]
            return ("services", names.index(service))
        case LimitNamed(limit=limit):
            return ("limits", LIMIT_FIELDS[limit])


def _locate_syntax_error(error: FieldError) -> LocatedFinding:
    match error.__cause__:
        case JSONDecodeError(lineno=line, colno=column):
            return _error_at(str(error), Position(line, column))
        case _:
            return LocatedFinding(FindingKind.ERROR, str(error))


def _error_at(message: str, position: Position) -> LocatedFinding:
    return LocatedFinding(FindingKind.ERROR, message, position.line, position.column)
