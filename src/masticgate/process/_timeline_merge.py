"""Merging of the time lines of several hosts into one, in causal order."""

from collections.abc import Iterable
from typing import Any

from .._ids import HostId
from ._timeline import Event


def merge_events(events: Iterable[Event]) -> list[Event]:
    """Return ``events`` in one order that agrees with each host's own order and with causality.

    An event follows all events that its host knew of from messages when the event happened. Among
    the events that may come next, the one with the earliest wall clock comes first.
    """
    lines: dict[HostId, list[Event]] = {}
    for event in sorted(events, key=lambda e: e.sequence, reverse=True):
        lines.setdefault(event.host, []).append(event)
    merged: list[Event] = []
    while lines:
        heads = [line[-1] for line in lines.values()]
        free = [event for event in heads if not _has_pending_cause(event, lines)]
        event = min(free or heads, key=lambda e: (e.wall, e.host))
        merged.append(event)
        lines[event.host].pop()
        if not lines[event.host]:
            del lines[event.host]
    return merged


def _has_pending_cause(event: Event, lines: dict[HostId, list[Event]]) -> bool:
    """Return whether an event that precedes ``event`` by causality isn't merged yet.

    ``lines`` holds the events of each host that are not merged yet, the next one last.
    """
    return any(
        host != event.host and host in lines and lines[host][-1].sequence <= sequence
        for host, sequence in event.seen.items()
    )


def event_fields(event: Event) -> dict[str, Any]:
    """Return the fields of ``event`` as JSON values."""
    return {
        "host": event.host,
        "sequence": event.sequence,
        "wall": event.wall,
        "kind": event.kind.value,
        "subject": event.subject,
        "detail": event.detail,
        "seen": dict(event.seen),
    }
