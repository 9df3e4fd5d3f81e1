"""The client of the platform's store, which holds the configuration and the listings."""

from dataclasses import dataclass
from typing import Any

from .._clock import Clock
from .._fields import MAX_COUNTER_DIGITS, FieldError, Fields, decode_json, is_name
from .._ids import Address, Millis, Revision, StoreEra
from ..connection.gateway import (
    GetTimeouts,
    HttpClient,
    HttpResponse,
    InvalidResponse,
    NoResponse,
    parse_number,
)
from ..process.gateway import (
    Change,
    Changes,
    Contents,
    HistoryGone,
    PublishedConfiguration,
    Unavailable,
    UnreadableItem,
)
from ..version.gateway import MAX_SEARCHERS
from ._items import decode_item
from ._names import ALL_KEYS_PREFIX, CONFIGURATION_KEY, STORE_ERA_HEADER

READ_TIMEOUT = Millis(1_000.0)
"""A read usually takes a few milliseconds, and a few hundred if the store is slow."""

WATCH_MARGIN = Millis(700.0)
"""The timeout of a watch is its wait plus this margin."""

MAX_PAGES = 1_000
"""The largest number of pages that are read; one has up to about 500 items."""

CONNECT_TIMEOUT = Millis(500.0)
HISTORY_GONE = 410
"""The status of the response to a watch if changes after its revision are no longer available."""


@dataclass(frozen=True, slots=True)
class Page:
    """The decoded body of a response, and the era that it states, if any."""

    values: dict[str, Any]
    era: StoreEra | None


class PlatformStore:
    """Reads and watches the store over one connection; only one task uses it.

    :meth:`change_address` may be called by any task.
    """

    def __init__(self, address: Address, clock: Clock) -> None:
        self.address = address
        self.clock = clock
        self.client = HttpClient(address, clock)

    def change_address(self, address: Address) -> None:
        """Read from another address from the next call on.

        The next watch reports that the history is gone, so that everything is read again there.
        """
        self.address = address

    def read_table(self) -> PublishedConfiguration | Unavailable:
        """Return the configuration without the listings."""
        item = self._get("/v1/kv-key", {"key": CONFIGURATION_KEY}, READ_TIMEOUT)
        if isinstance(item, int | Unavailable):
            return _unavailable(item)
        change = decode_item(item.values)
        return (
            change
            if isinstance(change, PublishedConfiguration)
            else Unavailable("no configuration")
        )

    def read(self) -> Contents | Unavailable:
        """Return the whole catalogue: the configuration and all listings, read page by page.

        The pages are not a consistent snapshot, since the store may change between two of them. The
        returned revision is that of the first page, so that a watch from it misses no change.
        Pages that do not advance, that have several eras, or that do not end within ``MAX_PAGES``,
        are not usable.
        """
        changes: list[Change] = []
        first: Page | None = None
        last_keys: set[str] = set()
        after = ""
        for _ in range(MAX_PAGES):
            query = {"prefix": ALL_KEYS_PREFIX} | ({"after": after} if after else {})
            page = self._get("/v1/kv-range", query, READ_TIMEOUT)
            if isinstance(page, int | Unavailable):
                return _unavailable(page)
            first = first or page
            if page.era != first.era:
                return Unavailable(f"pages of the eras {first.era} and {page.era}")
            items = page.values.get("items") or []
            changes += _decode_items(items)
            revision = Revision(first.values["currentRev"])
            if not page.values.get("hasMore") or not items:
                return Contents(tuple(changes), revision, first.era)
            last_key = _last_key(items)
            if last_key is None or last_key in last_keys:
                return Unavailable("a page without a key to continue from")
            if len(changes) > MAX_SEARCHERS:
                changes.append(UnreadableItem("", f"items after {last_key}: too many"))
                return Contents(tuple(changes), revision, first.era)
            last_keys.add(last_key)
            after = last_key
        return Unavailable(f"more than {MAX_PAGES} pages")

    def watch(self, after: Revision, wait: Millis) -> Changes | HistoryGone | Unavailable:
        """Wait at most ``wait`` for changes after the revision ``after``, and return them."""
        if self.client.address != self.address:
            return HistoryGone()
        query = {"prefix": ALL_KEYS_PREFIX, "after": after, "waitMs": int(wait)}
        page = self._get("/v1/kv-watch", query, Millis(wait + WATCH_MARGIN))
        if page == HISTORY_GONE:
            return HistoryGone()
        if isinstance(page, int | Unavailable):
            return _unavailable(page)
        changes = _decode_items(page.values.get("events") or [])
        return Changes(tuple(changes), Revision(page.values["currentRev"]), page.era)

    def _get(self, path: str, query: dict[str, Any], timeout: Millis) -> Page | int | Unavailable:
        """Return the response with its decoded body, the status if it is not 200, or a failure."""
        address = self.address
        if self.client.address != address:
            self.client.close()
            self.client = HttpClient(address, self.clock)
        timeouts = GetTimeouts(CONNECT_TIMEOUT, timeout)
        response = self.client.get(address, path, query, timeouts)
        if isinstance(response, NoResponse | InvalidResponse):
            self.client.close()
            closed = isinstance(response, NoResponse) and response.closed_by_server
            return Unavailable(response.detail, closed_by_source=closed)
        if response.status != 200:
            return response.status
        try:
            body = Fields.of("body", decode_json(response.body))
            body.counter("currentRev")
            for name in ("items", "events"):
                if body.values.get(name):
                    body.items(name)
        except FieldError as error:
            return Unavailable(str(error))
        return Page(dict(body.values), _decode_era(response))


def _decode_era(response: HttpResponse) -> StoreEra | None:
    """Return the era that a response states; one that is no number counts as none."""
    era = parse_number(response.headers.get(STORE_ERA_HEADER, b""), MAX_COUNTER_DIGITS)
    return None if era is None else StoreEra(era)


def _last_key(items: list[Any]) -> str | None:
    """Return the key of the last item that has a valid one."""
    keys = [item.get("key") for item in items if isinstance(item, dict)]
    return next((key for key in reversed(keys) if is_name(key)), None)


def _decode_items(items: list[Any]) -> list[Change]:
    return [change for item in items if (change := decode_item(item)) is not None]


def _unavailable(failure: int | Unavailable) -> Unavailable:
    return Unavailable(f"status {failure}") if isinstance(failure, int) else failure
