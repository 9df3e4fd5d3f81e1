"""Relays the platform's catalogue between gateways, so that only a few read from the platform.

The catalogue is the configuration and the listings of the searchers. A relay keeps the catalogue
and its latest changes in a ``CatalogueLog``, and serves them to the other gateways over HTTP.
"""

from collections.abc import Callable
from math import inf
from time import monotonic

from ..._clock import Clock
from ..._ids import Address, Millis, Revision, StoreEra
from ...connection.gateway import (
    CatalogueUpdate,
    GetTimeouts,
    HttpClient,
    HttpResponse,
    InvalidCatalogueError,
    decode_changes,
)
from ...version.gateway import (
    Changes,
    Contents,
    HistoryGone,
    PlatformSource,
    PublishedConfiguration,
    Unavailable,
)
from ._catalogue_log import CATALOGUE_HOST
from ._log import EventLog, LogEvent
from .startup import StoreContact

RELAY_RETRY_INTERVAL = Millis(3_000.0)
"""How long a gateway watches the platform itself before it switches to a relay again."""

READ_TIMEOUT = Millis(1_000.0)
WATCH_MARGIN = Millis(500.0)
"""The timeout of a watch is its wait plus this margin."""

SEED_WATCH_WAIT = Millis(1_000.0)
"""The longest wait of a watch by a seed at another seed's relay.

A call to a silent store takes 1 s between two watches. The catalogue is then at most 2.4 s old,
with the pause of 0.4 s after changes.
"""

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


class RelayedSource:
    """Reads the catalogue from a relay while there is one, and from the platform otherwise.

    A seed reads it from the platform, and from another seed's relay while the platform does not
    answer. ``relays`` returns the addresses of the gateways that relay now, the preferred one
    first. ``wait`` blocks for the given number of seconds. ``client`` is set while a relay is
    followed. ``handle_table`` is called with the configuration if it is read before the listings.
    ``era`` is the latest era of the store that was seen; a relay with a lower one has not yet seen
    a restore of the store, and is not read.
    """

    def __init__(
        self,
        platform: PlatformSource,
        relays: Callable[[], list[Address]],
        clock: Clock,
        log: EventLog,
        wait: Callable[[float], object],
        is_seed: Callable[[], bool] = lambda: False,
        handle_table: Callable[[PublishedConfiguration], None] = lambda published: None,
    ) -> None:
        self.platform = platform
        self.relays = relays
        self.clock = clock
        self.log = log
        self.wait = wait
        self.is_seed = is_seed
        self.handle_table = handle_table
        self.contact = StoreContact()
        self.client: HttpClient | None = None
        self.epoch = ""
        self.era: StoreEra | None = None
        self.startup_wait_over = False
        self.relay_retry_at = Millis(0.0)

    def platform_age(self) -> Millis:
        """Return the time since the platform itself last answered; any task may call this.

        It is infinite while a relay is followed. Two gateways that followed each other would
        otherwise keep an outdated catalogue alive.
        """
        return Millis(inf) if self.client is not None else self.contact.age(self.clock.now())

    def read(self) -> Contents | Unavailable:
        """Return the whole catalogue from the first relay that responds, or from the platform.

        A seed asks the platform first unless it is lost.
        """
        failure: Unavailable | None = None
        if not self.is_seed():
            self._wait_for_relays()
        elif not self.contact.is_lost(self.clock.now()):
            contents = self._read_platform()
            if not (isinstance(contents, Unavailable) and self.contact.is_lost(self.clock.now())):
                return contents
            failure = contents
        return self._read_relay() or failure or self._read_platform()

    def _read_relay(self) -> Contents | None:
        for address in self.relays():
            self._close_client()
            self.client = HttpClient(address, self.clock)
            reply = self._get({"compressed": 1}, READ_TIMEOUT)
            if isinstance(reply, CatalogueUpdate) and not self._is_of_earlier_era(reply):
                self.log.write(LogEvent.SOURCE, relay=address)
                self.contact.record_relay(self.clock.now())
                self.era = reply.era
                return Contents(reply.changes, reply.number, reply.era)
        return None

    def _read_platform(self) -> Contents | Unavailable:
        if self.client is not None:
            self.log.write(LogEvent.SOURCE, relay=None)
        self._close_client()
        self.relay_retry_at = Millis(self.clock.now() + RELAY_RETRY_INTERVAL)
        contents = self.platform.read()
        self._record(contents)
        if isinstance(contents, Contents) and contents.era is not None:
            self.era = contents.era
        return contents

    def _note_era(
        self, answer: Changes | HistoryGone | Unavailable
    ) -> Changes | HistoryGone | Unavailable:
        """Remember the highest era seen in a watch, so that no relay with a lower one is read."""
        if isinstance(answer, Changes) and answer.era is not None:
            self.era = answer.era if self.era is None else max(self.era, answer.era)
        return answer

    def _is_of_earlier_era(self, update: CatalogueUpdate) -> bool:
        """Return whether a relay has not seen the latest era; one of an earlier release has not."""
        return self.era is not None and (update.era is None or update.era < self.era)

    def _record(self, answer: object) -> None:
        """Record whether the platform answered."""
        if isinstance(answer, Unavailable):
            self.contact.record_failure(closed_by_source=answer.closed_by_source)
        else:
            self.contact.record_answer(self.clock.now())

    def watch(self, after: Revision, wait: Millis) -> Changes | HistoryGone | Unavailable:
        """Wait at most ``wait`` for changes after the revision ``after``, and return them.

        Return :class:`HistoryGone`, so that the caller reads the whole catalogue again, if the
        present relay fails, no longer relays or no longer has the changes, or if the platform is
        the present source and a relay may be used again. A seed leaves a relay as soon as the
        platform answers, for which it asks now and then.
        """
        now = self.clock.now()
        if self.client is None:
            may_leave = self.contact.is_lost(now) if self.is_seed() else now >= self.relay_retry_at
            if may_leave and self.relays():
                return HistoryGone()
            changes = self.platform.watch(after, wait)
            self._record(changes)
            return self._note_era(changes)
        if self.client.address not in self.relays():
            return HistoryGone()
        if self.is_seed():
            wait = min(wait, SEED_WATCH_WAIT)
            if self.contact.take_probe(now):
                self._record(self.platform.read_table())
                if not self.contact.is_lost(self.clock.now()):
                    return HistoryGone()
        query = {"after": after, "epoch": self.epoch, "wait": int(wait)}
        reply = self._get(query, Millis(wait + WATCH_MARGIN))
        if isinstance(reply, CatalogueUpdate):
            return self._note_era(Changes(reply.changes, reply.number, reply.era))
        return HistoryGone()

    def _wait_for_relays(self) -> None:
        """Wait for a relay after the start if a read from the platform may take many calls.

        That depends on the number of services, which the configuration states. It is in force while
        this waits.
        """
        attempts = 0 if self.startup_wait_over else START_ATTEMPTS
        self.startup_wait_over = True
        published: PublishedConfiguration | Unavailable | None = None
        for _ in range(attempts):
            if not isinstance(published, PublishedConfiguration):
                published = self.platform.read_table()
                if isinstance(published, PublishedConfiguration):
                    self.handle_table(published)
                    if len(published.table.services) < MANY_SERVICES:
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
