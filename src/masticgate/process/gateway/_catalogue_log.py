"""The published catalogue and its latest changes, as a relay serves them to other gateways.

The catalogue is the configuration and the listings of the searchers.
"""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from threading import Condition, Lock
from time import monotonic
from typing import Any

from ..._clock import MILLIS_PER_SECOND
from ..._ids import Millis, StoreEra
from ...connection.gateway import encode_change, encode_update, parse_number
from ...request.gateway import LocalPage, Request
from ...version.gateway import (
    Change,
    DomainEvacuated,
    EvacuationEnded,
    PublishedConfiguration,
    SearcherListed,
    SearcherUnlisted,
    UnreadableItem,
)
from ._query import parse_query

CATALOGUE_HOST = "catalogue.gateway"
"""The Host header by which a relay recognizes a read or a watch of the catalogue."""

MAX_CHANGES = 2_000
"""The number of changes that a relay keeps.

A gateway that is further behind has to read the whole catalogue.
"""

MAX_WATCH_WAIT = Millis(5_000.0)
"""The upper bound on the wait that a watch may request."""

MAX_PLATFORM_AGE = Millis(2_600.0)
"""A relay serves nothing once its last successful read or watch is older than this."""

HTTP_GONE = 410


@dataclass(slots=True)
class LoggedChange:
    """One change as a JSON value, or ``None`` if a later change has replaced it."""

    number: int
    value: object | None


@dataclass(frozen=True, slots=True)
class EncodedContents:
    """The compressed text of the whole catalogue as of one change."""

    number: int
    body: bytes


@dataclass(frozen=True, slots=True)
class EncodedChanges:
    """The text of the changes after ``after``, up to and including ``number``."""

    after: int
    number: int
    body: bytes


class CatalogueLog:
    """The published catalogue and its latest changes, as JSON values for other gateways.

    ``number`` counts the changes since the start of this gateway, and ``epoch`` identifies that
    start. ``age`` returns the time since the platform itself last answered a read or watch of this
    gateway. ``table_change`` is the latest change of the configuration. It is the only one with a
    value, since each configuration replaces the one before and is large. ``encoded`` is the text
    that reads of the whole catalogue share until it changes; ``encoding_lock`` is held while one is
    made, which takes many times the memory of the text itself. ``encoded_changes`` is the text that
    was made last for a watch, since most watches wait for the same change.
    """

    def __init__(self, age: Callable[[], Millis]) -> None:
        self.age = age
        self.changed = Condition()
        self.epoch = f"{random.getrandbits(48):x}"
        self.number = 0
        self.state: dict[str, object] = {}
        self.changes: deque[LoggedChange] = deque(maxlen=MAX_CHANGES)
        self.table_change = LoggedChange(0, None)
        self.era: StoreEra | None = None
        self.encoding_lock = Lock()
        self.encoded: EncodedContents | None = None
        self.encoded_changes: EncodedChanges | None = None

    def add(self, change: Change) -> None:
        """Apply one published change, and wake the watches that wait for it."""
        value = encode_change(change)
        with self.changed:
            self.number += 1
            logged = LoggedChange(self.number, value)
            match change:
                case PublishedConfiguration():
                    self.state["table"] = value
                    self.table_change.value = None
                    self.table_change = logged
                case SearcherListed(entry=entry):
                    self.state[f"searcher {entry.id}"] = value
                case DomainEvacuated(domain=domain):
                    self.state[f"evacuated {domain}"] = value
                case EvacuationEnded(domain=domain):
                    self.state.pop(f"evacuated {domain}", None)
                case SearcherUnlisted(searcher=searcher) | UnreadableItem(searcher=searcher):
                    self.state.pop(f"searcher {searcher}", None)
            self.changes.append(logged)
            self.changed.notify_all()

    def begin_era(self, era: StoreEra | None) -> None:
        """Pass on the era of the store, to which all changes so far belong.

        The gateways that watch this one then read everything again.
        """
        with self.changed:
            if era is None or era == self.era:
                return
            self.era = era
            self.number += 1
            self.changes.append(LoggedChange(self.number, None))
            self.changed.notify_all()

    def lists(self, listing: SearcherListed) -> bool:
        """Return whether the catalogue has this listing already, so that it is no change."""
        with self.changed:
            known = self.state.get(f"searcher {listing.entry.id}")
            era = self.era
        if era is not None:
            # After a restore, the sequence tells whether a listing is older than a departure.
            return bool(known == encode_change(listing))
        return known is not None and _without_sequence(known) == _without_sequence(
            encode_change(listing)
        )

    def handle_request(self, request: Request) -> LocalPage:
        """Return the reply to a read or a watch.

        A watch blocks until there is a change or its wait is over.
        """
        query = parse_query(request.target)
        after = parse_number(query.get("after", [""])[0].encode())
        if self.age() > MAX_PLATFORM_AGE:
            return LocalPage(503, b"the platform is unavailable")
        compressed = query.get("compressed", ["0"])[0] == "1"
        if after is None:
            return self._reply_with_contents(compressed=compressed)
        wait = parse_number(query.get("wait", ["0"])[0].encode())
        if query.get("epoch", [""])[0] != self.epoch or wait is None:
            return LocalPage(HTTP_GONE, b"this gateway has restarted")
        return self._reply_with_changes(after, min(MAX_WATCH_WAIT, Millis(float(wait))))

    def _reply_with_contents(self, *, compressed: bool) -> LocalPage:
        with self.encoding_lock:
            with self.changed:
                if "table" not in self.state:
                    return LocalPage(503, b"no configuration")
                number, values = self.number, list(self.state.values())
                era = self.era
            if not compressed:
                return LocalPage(200, encode_update(self.epoch, number, values, era=era))
            if self.encoded is None or self.encoded.number != number:
                body = encode_update(self.epoch, number, values, compressed=True, era=era)
                self.encoded = EncodedContents(number, body)
            return LocalPage(200, self.encoded.body)

    def _reply_with_changes(self, after: int, wait: Millis) -> LocalPage:
        deadline = monotonic() + wait / MILLIS_PER_SECOND
        with self.changed:
            while self.number <= after and (remaining := deadline - monotonic()) > 0:
                self.changed.wait(remaining)
            if self.age() > MAX_PLATFORM_AGE:
                return LocalPage(503, b"the platform is unavailable")
            if self.changes and after + 1 < self.changes[0].number:
                return LocalPage(HTTP_GONE, b"the changes are no longer available")
            return LocalPage(200, self._encode_changes(after))

    def _encode_changes(self, after: int) -> bytes:
        known = self.encoded_changes
        if known is not None and (known.after, known.number) == (after, self.number):
            return known.body
        values = [
            change.value
            for change in self.changes
            if change.number > after and change.value is not None
        ]
        body = encode_update(self.epoch, self.number, values, era=self.era)
        self.encoded_changes = EncodedChanges(after, self.number, body)
        return body


def _without_sequence(value: Any) -> Any:
    """Return an encoded listing without its sequence, unless it says that its searcher is cold.

    The time for which a searcher is cold counts from each listing on, also if it is the same again.
    """
    listed = value["listed"]
    return listed if listed["cold"] else listed | {"sequence": 0}
