"""Checks a configuration of gateways for ``masticgate check``."""

import json
from collections.abc import Callable
from enum import IntEnum
from importlib import import_module
from pathlib import Path
from typing import NoReturn, cast

import click

from ..version import SyntaxProblem, parse_document
from ..version.gateway._configuration_check import (
    FindingKind,
    LocatedFinding,
    UnreadableVersion,
)

Check = Callable[[bytes, bytes | None], list[LocatedFinding] | UnreadableVersion]


class CheckStatus(IntEnum):
    """The exit statuses of the check of a configuration of gateways."""

    CLEAN = 0
    FINDINGS = 1
    UNREADABLE = 2


def is_gateway_configuration(data: bytes) -> bool:
    """Return whether ``data`` is a configuration of gateways and not an operators' text.

    In a file that is not JSON, the key of the routes decides, which no operators' text has.
    """
    document = parse_document(data.decode(errors="replace"))
    if isinstance(document, SyntaxProblem):
        return b'"routes"' in data
    value = document.value
    return (
        isinstance(value, dict)
        and {"routes", "services"} <= value.keys()
        and isinstance(value.get("version"), int | float)
    )


def report_configuration(path: Path, data: bytes, against: Path | None, as_json: bool) -> NoReturn:
    """Print the findings about the configuration ``data``, which was read from ``path``.

    :raises SystemExit: always, with a ``CheckStatus``.
    """
    match _load_check()(data, read_file(against) if against is not None else None):
        case UnreadableVersion(detail=detail):
            click.echo(f"{against}: {detail}", err=True)
            raise SystemExit(CheckStatus.UNREADABLE)
        case findings:
            _print_findings(path, findings, as_json)
    faults = any(finding.kind is not FindingKind.CHANGE for finding in findings)
    raise SystemExit(CheckStatus.FINDINGS if faults else CheckStatus.CLEAN)


def read_file(path: Path) -> bytes:
    """Return the content of the file at ``path``.

    :raises SystemExit: it cannot be read.
    """
    try:
        return path.read_bytes()
    except OSError as error:
        click.echo(f"{path}: {error.strerror}", err=True)
        raise SystemExit(CheckStatus.UNREADABLE) from error


def _load_check() -> Check:
    # The adapter of the platform is loaded by name, since this package does not depend on it.
    module = import_module("..platform._check", __package__)
    return cast(Check, module.check_configuration)


def _print_findings(path: Path, findings: list[LocatedFinding], as_json: bool) -> None:
    if as_json:
        rows = [
            {"kind": f.kind.value, "message": f.message, "line": f.line, "column": f.column}
            for f in findings
        ]
        click.echo(json.dumps(rows, indent=2))
        return
    for finding in findings:
        place = f"{path}:{finding.line}:{finding.column}" if finding.line else str(path)
        click.echo(f"{place}: {finding.kind.value}: {finding.message}")
    if not findings:
        click.echo(f"{path}: nothing found")
