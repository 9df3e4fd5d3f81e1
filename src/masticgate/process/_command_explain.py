"""``masticgate explain``: shows what happened to one request, from the logs of all gateways."""

import json
import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click

from ._exit_codes import ExitCode

HOST_EVENTS = frozenset(
    {
        "started",
        "stopping",
        "stopped",
        "paused",
        "ready",
        "configuration",
        "platform_lost",
        "platform_back",
        "platform_reread",
        "gathering",
        "gatherer_lost",
        "gatherer_found",
    }
)
"""The events that may affect every request of their host."""

HEADER_FIELDS = frozenset({"wall_ms", "host", "event", "request"})
"""The fields that are left out of the rest of a printed line, after its time, host and event."""

TOKEN = re.compile(r"[\w~.:/-]+")
"""Matches one word of a field's value, such as the name of a searcher or a service."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a gateway's log; ``wall`` is its wall-clock time in milliseconds."""

    wall: float
    host: str
    event: str
    fields: dict[str, Any]

    @property
    def tokens(self) -> set[str]:
        """The words in the values of all fields, among them names of searchers and services."""
        values = (value for value in self.fields.values() if value is not None)
        return set(TOKEN.findall(" ".join(map(str, values))))


def read_lines(paths: Iterable[Path]) -> Iterator[LogLine]:
    """Yield the log lines of all files, and skip everything that is not a gateway's log line."""
    for path in paths:
        for text in path.read_text(encoding="utf-8", errors="replace").splitlines():
            start = text.find("{")
            try:
                fields = json.loads(text[start:]) if start >= 0 else None
            except (ValueError, RecursionError):
                continue
            if isinstance(fields, dict) and {"wall_ms", "host", "event"} <= fields.keys():
                yield LogLine(float(fields["wall_ms"]), fields["host"], fields["event"], fields)


def select_lines(lines: list[LogLine], request: str, before_ms: float) -> list[LogLine]:
    """Return the lines of ``request``, and those of state changes that may have affected it.

    A state change may have affected the request if it concerns the whole host, or a searcher or a
    service that the request's lines name. Lines of either kind are returned only if they are from
    the ``before_ms`` milliseconds up to their host's last line about the request. They are sorted
    by wall-clock time, as their host gave it.
    """
    request_lines = [line for line in lines if line.fields.get("request") == request]
    last_times = {line.host: line.wall for line in request_lines}
    named_tokens = {token for line in request_lines for token in line.tokens} - {request}
    selected = []
    for line in lines:
        last_time = last_times.get(line.host)
        if last_time is None or not last_time - before_ms <= line.wall <= last_time:
            continue
        subject = {str(line.fields.get(key)) for key in ("searcher", "service")}
        if line in request_lines or line.event in HOST_EVENTS or subject & named_tokens:
            selected.append(line)
    return sorted(selected, key=lambda line: (line.wall, line.host))


@click.command()
@click.option(
    "--before",
    default=10.0,
    show_default=True,
    help="Show lines from this many seconds before the request's last line.",
)
@click.argument("request")
@click.argument("logs", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path))
def explain(before: float, request: str, logs: tuple[Path, ...]) -> None:
    """Show what happened to the request with id REQUEST, from the LOGS of all gateways."""
    selected = select_lines(list(read_lines(logs)), request, before * 1000.0)
    if not any(line.fields.get("request") == request for line in selected):
        click.echo(
            f"no line of request {request}; only a sample of complete, timely answers is logged",
            err=True,
        )
        raise SystemExit(ExitCode.UNKNOWN)
    for line in selected:
        mark = "*" if line.fields.get("request") == request else " "
        rest = " ".join(f"{k}={v}" for k, v in line.fields.items() if k not in HEADER_FIELDS)
        click.echo(f"{mark} {line.wall:.0f} {line.host} {line.event} {rest}")
