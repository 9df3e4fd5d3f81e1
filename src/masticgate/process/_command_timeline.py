"""``masticgate timeline``: merges the events of all hosts into one timeline."""

import json
from datetime import UTC, datetime
from html import escape
from pathlib import Path

import click
from pydantic import BaseModel, ConfigDict, ValidationError

from .._clock import MILLIS_PER_SECOND
from .._ids import Address, HostId, Millis
from ..connection import CallerClient, CallerReply, HttpFailure
from ._exit_codes import ExitCode
from ._timeline import Event, EventKind
from ._timeline_merge import event_fields, merge_events


class _EventFields(BaseModel):
    model_config = ConfigDict(extra="ignore")
    host: str
    sequence: int
    wall: float
    kind: EventKind
    subject: str
    detail: str
    seen: dict[str, int]


@click.command()
@click.argument("hosts", nargs=-1, required=True, metavar="HOST...")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object per line.")
@click.option(
    "--html", type=click.Path(path_type=Path), help="Also write an HTML page to this file."
)
def timeline(hosts: tuple[str, ...], as_json: bool, html: Path | None) -> None:
    """Merge the events of the entry HOSTs (address:port) into one timeline.

    An event comes after all events of other hosts that its host knew of, even if clocks differ.
    Exit status 6: a host did not send its events; those of the others are still shown.
    """
    events: list[Event] = []
    unreachable = False
    for host in hosts:
        client = CallerClient(Address(host))
        reply = client.events()
        client.close()
        match reply:
            case CallerReply(body={"events": list(items)}):
                events.extend(_read_event(item) for item in items if _is_event(item))
            case CallerReply():
                unreachable = True
                click.echo(f"{host}: its answer holds no timeline", err=True)
            case HttpFailure(message=message):
                unreachable = True
                click.echo(f"{host}: no answer: {message}", err=True)
    merged = merge_events(events)
    for event in merged:
        click.echo(json.dumps(event_fields(event)) if as_json else _describe(event))
    if html is not None:
        html.write_text(render_html(merged), encoding="utf-8")
    raise SystemExit(ExitCode.UNREACHABLE if unreachable else ExitCode.DONE)


def _is_event(item: object) -> bool:
    try:
        _EventFields.model_validate(item)
    except ValidationError:
        return False
    return True


def _read_event(item: object) -> Event:
    fields = _EventFields.model_validate(item)
    seen = {HostId(host): sequence for host, sequence in fields.seen.items()}
    return Event(
        HostId(fields.host),
        fields.sequence,
        Millis(fields.wall),
        fields.kind,
        fields.subject,
        fields.detail,
        seen,
    )


def _clock_time(event: Event) -> str:
    moment = datetime.fromtimestamp(event.wall / MILLIS_PER_SECOND, UTC)
    return moment.strftime("%H:%M:%S.%f")[:-3]


def _describe(event: Event) -> str:
    line = f"{_clock_time(event)}  {event.host:<8} {event.kind.value:<20} {event.subject}"
    return f"{line}  {event.detail}" if event.detail else line


def render_html(events: list[Event]) -> str:
    """Return an HTML page with a column for each host and a row for each event."""
    hosts = sorted({event.host for event in events})
    head = "".join(f"<th>{escape(host)}</th>" for host in hosts)
    rows = "\n".join(_render_row(event, hosts) for event in events)
    return f"""<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>masticgate timeline</title>
<style>
body {{ font: 13px sans-serif; }}
table {{ border-collapse: collapse; }}
th, td {{ border-left: 1px solid #ccc; padding: 2px 8px; text-align: left; vertical-align: top; }}
th {{ position: sticky; top: 0; background: #eee; }}
.kind {{ font-weight: bold; }}
</style></head><body>
<table><thead><tr><th>time (UTC)</th>{head}</tr></thead>
<tbody>
{rows}
</tbody></table></body></html>
"""


def _render_row(event: Event, hosts: list[HostId]) -> str:
    text = f'<span class="kind">{escape(event.kind.value)}</span> {escape(event.subject)}'
    detail = f"<br>{escape(event.detail)}" if event.detail else ""
    cells = "".join(
        f"<td>{text}{detail}</td>" if host == event.host else "<td></td>" for host in hosts
    )
    return f"<tr><td>{_clock_time(event)}</td>{cells}</tr>"
