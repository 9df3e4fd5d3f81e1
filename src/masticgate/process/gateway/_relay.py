"""Relays the platform's catalogue between gateways, so that only a few read from the platform.

The catalogue is the configuration and the listings of the searchers. A relay keeps the catalogue
and its latest changes, and serves them to the other gateways over HTTP.
"""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from threading import Condition, Lock
from time import monotonic

from ..._clock import MILLIS_PER_SECOND, Clock
from ..._ids import Address, Millis, Revision
from ...connection.gateway import (
    CatalogueUpdate,
    GetTimeouts,
    HttpClient,
    HttpResponse,
    InvalidCatalogueError,
    decode_changes,
    encode_change,
    encode_update,
    parse_number,
)
from ...request.gateway import LocalPage, Request
from ...version.gateway import (
    Change,
    Changes,
    Contents,
    HistoryGone,
    PlatformSource,
    PublishedConfiguration,
    SearcherListed,
    SearcherUnlisted,
    Unavailable,
    UnreadableItem,
)
from ._log import EventLog, LogEvent
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

RELAY_RETRY_INTERVAL = Millis(3_000.0)
"""How long a gateway watches the platform itself before it switches to a relay again."""

READ_TIMEOUT = Millis(1_000.0)
WATCH_MARGIN = Millis(500.0)
"""The timeout of a watch is its wait plus this margin."""

CONNECT_TIMEOUT = Millis(300.0)
START_ATTEMPTS = 2
"""The number of times that a starting gateway waits for a relay before it reads the platform."""

RELAY_WAIT_S = 0.4
"""How long a starting gateway waits in each attempt to learn which seeds relay."""

RELAY_POLL_INTERVAL_S = 0.1
MANY_SERVICES = 100
"""With fewer services, a starting gateway does not wait for a relay.

A read of the catalogue from the platform then takes only a few calls.
"""

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
    start. ``age`` returns the time since the last successful read or watch. ``table_change`` is the
    latest change of the configuration. It is the only one with a value, since each configuration
    replaces the one before and is large. ``encoded`` is the text that reads of the whole catalogue
    share until it changes; ``encoding_lock`` is held while one is made, which takes many times the
    memory of the text itself. ``encoded_changes`` is the text that was made last for a watch, since
    most watches wait for the same change.
    """

    def __init__(self, age: Callable[[], Millis]) -> None:
        self.age = age
        self.changed = Condition()
        self.epoch = f"{random.getrandbits(48):x}"
        self.number = 0
        self.state: dict[str, object] = {}
        self.changes: deque[LoggedChange] = deque(maxlen=MAX_CHANGES)
        self.table_change = LoggedChange(0, None)
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
                case SearcherUnlisted(searcher=searcher) | UnreadableItem(searcher=searcher):
                    self.state.pop(f"searcher {searcher}", None)
            self.changes.append(logged)
            self.changed.notify_all()

    def lists(self, listing: SearcherListed) -> bool:
        """Return whether the catalogue has this listing already, so that it is no change."""
        with self.changed:
            return bool(self.state.get(f"searcher {listing.entry.id}") == encode_change(listing))

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
            if not compressed:
                return LocalPage(200, encode_update(self.epoch, number, values))
            if self.encoded is None or self.encoded.number != number:
                body = encode_update(self.epoch, number, values, compressed=True)
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
        body = encode_update(self.epoch, self.number, values)
        self.encoded_changes = EncodedChanges(after, self.number, body)
        return body


class RelayedSource:
    """Reads the catalogue from a relay while there is one, and from the platform otherwise.

    ``relays`` returns the addresses of the gateways that relay now, the preferred one first.
    ``wait`` blocks for the given number of seconds.
    """

    def __init__(
        self,
        platform: PlatformSource,
        relays: Callable[[], list[Address]],
        clock: Clock,
        log: EventLog,
        wait: Callable[[float], object],
    ) -> None:
        self.platform = platform
        self.relays = relays
        self.clock = clock
        self.log = log
        self.wait = wait
        self.client: HttpClient | None = None
        self.epoch = ""
        self.startup_wait_over = False
        self.relay_retry_at = Millis(0.0)

    def read(self) -> Contents | Unavailable:
        """Return the whole catalogue from the first relay that responds, or from the platform."""
        self._wait_for_relays()
        for address in self.relays():
            self._close_client()
            self.client = HttpClient(address, self.clock)
            reply = self._get({"compressed": 1}, READ_TIMEOUT)
            if isinstance(reply, CatalogueUpdate):
                self.log.write(LogEvent.SOURCE, relay=address)
                return Contents(reply.changes, reply.number)
        if self.client is not None:
            self.log.write(LogEvent.SOURCE, relay=None)
        self._close_client()
        self.relay_retry_at = Millis(self.clock.now() + RELAY_RETRY_INTERVAL)
        return self.platform.read()

    def watch(self, after: Revision, wait: Millis) -> Changes | HistoryGone | Unavailable:
        """Wait at most ``wait`` for changes after the revision ``after``, and return them.

        Return :class:`HistoryGone`, so that the caller reads the whole catalogue again, if the
        present relay fails, no longer relays or no longer has the changes, or if the platform is
        the present source and a relay may be used again.
        """
        if self.client is None:
            if self.relays() and self.clock.now() >= self.relay_retry_at:
                return HistoryGone()
            return self.platform.watch(after, wait)
        if self.client.address not in self.relays():
            return HistoryGone()
        query = {"after": after, "epoch": self.epoch, "wait": int(wait)}
        reply = self._get(query, Millis(wait + WATCH_MARGIN))
        if isinstance(reply, CatalogueUpdate):
            return Changes(reply.changes, reply.number)
        return HistoryGone()

    def _wait_for_relays(self) -> None:
        """Wait for a relay after the start if a read from the platform may take many calls.

        That depends on the number of services, which the configuration states.
        """
        attempts = 0 if self.startup_wait_over else START_ATTEMPTS
        self.startup_wait_over = True
        for _ in range(attempts):
            published = self.platform.read_table()
            if (
                isinstance(published, PublishedConfiguration)
                and len(published.table.services) < MANY_SERVICES
            ):
                return
            deadline = monotonic() + RELAY_WAIT_S
            while not self.relays() and monotonic() < deadline:
                self.wait(RELAY_POLL_INTERVAL_S)
            if self.relays():
                return

    def _close_client(self) -> None:
        if self.client is not None:
            self.client.close()
        self.client = None

    def _get(self, query: dict[str, object], timeout: Millis) -> CatalogueUpdate | Unavailable:
        """Return the update that the relay sent, or why it sent none."""
        assert self.client is not None
        timeouts = GetTimeouts(CONNECT_TIMEOUT, timeout)
        response = self.client.get(CATALOGUE_HOST, "/", query, timeouts)
        if not isinstance(response, HttpResponse):
            return Unavailable(response.detail)
        if response.status != 200:
            return Unavailable(f"status {response.status}")
        try:
            update = decode_changes(response.body)
        except InvalidCatalogueError as error:
            return Unavailable(f"unreadable: {error}")
        self.epoch = update.epoch
        return update
