"""Merging of the timelines of several hosts into one, in causal order."""

from collections.abc import Iterable
from typing import Any

from .._ids import HostId
from ._timeline import Event


def merge_events(events: Iterable[Event]) -> list[Event]:
    """Return ``events`` in one order that agrees with each host's own order and with causality.

    An event follows all events that its host knew of from messages when the event happened. Among
    the events that may come next, the one with the earliest wall clock comes first. If each host's
    next event waits for another one, the earliest of them comes first.
    """
    unmerged: dict[HostId, list[Event]] = {}
    for event in sorted(events, key=lambda e: e.sequence, reverse=True):
        unmerged.setdefault(event.host, []).append(event)
    merged: list[Event] = []
    while unmerged:
        next_events = [events[-1] for events in unmerged.values()]
        ready = [event for event in next_events if not _has_pending_cause(event, unmerged)]
        event = min(ready or next_events, key=lambda e: (e.wall, e.host))
        merged.append(event)
        unmerged[event.host].pop()
        if not unmerged[event.host]:
            del unmerged[event.host]
    return merged


def _has_pending_cause(event: Event, unmerged: dict[HostId, list[Event]]) -> bool:
    """Return whether an event that precedes ``event`` by causality isn't merged yet.

    ``unmerged`` holds the events of each host that are not merged yet, the next one last.
    """
    return any(
        host != event.host and host in unmerged and unmerged[host][-1].sequence <= sequence
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
