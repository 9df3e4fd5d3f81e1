"""The task that keeps a gateway up to date with the catalogue that the platform publishes.

The catalogue is the configuration and the listings of the searchers. The task reads all of it, then
watches for changes, and reads all of it again when the source requires that.
"""

from collections.abc import Callable
from threading import Event

from ..._clock import MILLIS_PER_SECOND, Clock
from ..._ids import Millis, Revision, SearcherId, StoreEra
from ...version.gateway import (
    CatalogueSource,
    Change,
    Changes,
    Contents,
    DomainEvacuated,
    EvacuationEnded,
    HistoryGone,
    PublishedConfiguration,
    RouteTable,
    SearcherListed,
    SearcherUnlisted,
    Unavailable,
    UnreadableItem,
)
from .._backoff import Backoff
from ._catalogue_log import CatalogueLog
from ._fleet import Fleet
from ._holds import Holds
from ._listings import log_ignored
from ._log import EventLog, LogEvent
from ._metrics import Metrics
from .evacuation import EvacuationApplier
from .store_view import StoreView

WATCH_TIMEOUT = Millis(1_800.0)
"""How long one watch waits for changes.

An unresponsive source is noticed within this time plus the short margin that its client adds.
"""

BATCH_INTERVAL = Millis(400.0)
"""The pause after a watch that returned changes, so that the next one returns several at a time.

It is far below the 3 s within which a change has to be in force.
"""

EARLY_SHARE = 0.5
"""A watch without changes that took a smaller share of its wait is followed by the same pause.

Otherwise a source that answers at once again and again would keep the processor busy.
"""

INITIAL_RETRY_DELAY = Millis(100.0)
MAX_RETRY_DELAY = Millis(1_000.0)
MAX_RETRY_DELAY_UNREADY = Millis(300.0)
"""The upper bound on the retry delay while there is no configuration, or no listings.

It is shorter than ``MAX_RETRY_DELAY``, since such a gateway serves little or nothing and has to
notice soon that the platform is available again.
"""

CHECK_WAIT = Millis(50.0)
"""How long a watch waits that checks whether the source is available after it cut a watch."""

INITIAL_REREAD_DELAY = Millis(300.0)
MAX_REREAD_DELAY = Millis(3_000.0)
"""The longest time between two reads of everything while there is no readable configuration.

It is also the longest between two reads after neither of which a watch succeeded.
"""

RELIST_TIMEOUT = Millis(2_300.0)
"""How long a removed listing may take to return after the platform became available again.

Listings can expire while the platform is unavailable. A searcher whose listing is still missing
after this time is removed.
"""


MAX_LOGGED_ODDITIES = 100
"""The number of items without a usable key that are logged once and not at each read."""


class Follower:
    """Keeps the configuration and the fleet up to date; :meth:`run` is its task.

    While the platform is unavailable, the last known state stays in force. ``held_searchers`` maps
    each searcher whose listing was missing or removed within ``RELIST_TIMEOUT`` after the platform
    became available again to the time until which it stays in use. Further times in which the
    platform is unavailable extend it. ``configuration_unreadable`` says that the latest published
    configuration could not be decoded, and ``has_contents`` that the
    whole catalogue was read once. ``handle_contents`` is called when the whole catalogue was
    read and applied. ``platform_age`` returns the time since the platform itself last answered, if
    ``source`` may be a relay.
    """

    def __init__(
        self,
        source: CatalogueSource,
        fleet: Fleet,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
        handle_contents: Callable[[], None] = lambda: None,
        platform_age: Callable[[], Millis] | None = None,
    ) -> None:
        self.source = source
        self.fleet = fleet
        self.clock = clock
        self.log = log
        self.metrics = metrics
        self.handle_contents = handle_contents
        self.backoff = Backoff(INITIAL_RETRY_DELAY, MAX_RETRY_DELAY)
        self.reread_backoff = Backoff(INITIAL_REREAD_DELAY, MAX_REREAD_DELAY)
        self.table: RouteTable | None = None
        self.configuration_unreadable = False
        self.has_contents = False
        self.catalogue = CatalogueLog(platform_age or self.age)
        self.evacuations = EvacuationApplier(fleet, self.catalogue, log, metrics)
        self.view = StoreView()
        self.stopping = Event()
        self.unavailable_since: Millis | None = None
        self.last_contact_at = clock.now()
        self.recovered_at: Millis | None = None
        self.held_searchers = Holds[SearcherId]()
        self.logged_oddities: set[str] = set()

    def run(self) -> None:
        """Read the whole catalogue, then apply changes, until :meth:`stop` is called."""
        while not self.stopping.is_set():
            match self.source.read():
                case Contents() as contents:
                    self._record_contact()
                    self._apply_all(contents)
                    self.has_contents = True
                    self.handle_contents()
                    self.catalogue.begin_era(contents.era)
                    self._follow(contents.revision)
                case Unavailable(detail=detail):
                    self._handle_unavailable(detail)

    def apply_early(self, published: PublishedConfiguration) -> None:
        """Apply a configuration that the source read before the whole catalogue."""
        self._apply(published)

    def stop(self) -> None:
        """Stop the task after its present call to the source."""
        self.stopping.set()

    def age(self) -> Millis:
        """Return the time since the last successful read or watch, or since the start."""
        return Millis(self.clock.now() - self.last_contact_at)

    def _follow(self, after: Revision) -> None:
        """Apply changes after a revision until the whole catalogue has to be read again.

        That is the case if the source says so, if its revision is lower than ``after``, if the
        store has another era, whose revisions are others, and while there is no readable
        configuration. A source may cut a watch that waits, and is unavailable only if it also cuts
        the short one that follows.
        """
        reread_at = Millis(self.clock.now() + self.reread_backoff.next_delay())
        began, wait = self.clock.now(), WATCH_TIMEOUT
        watch_was_cut = False
        while not self.stopping.is_set():
            if not watch_was_cut:
                began, wait = self.clock.now(), self._watch_wait(reread_at)
            match self.source.watch(after, CHECK_WAIT if watch_was_cut else wait):
                case Unavailable(closed_by_source=True) if not watch_was_cut:
                    watch_was_cut = True
                    self.metrics.count("watches_cut")
                    continue
                case Changes(era=era) if self.view.is_other_era(era):
                    self._record_contact()
                    self._prepare_reread(after, f"the store has era {era}", reread_at)
                    return
                case Changes(changes=changes, revision=revision) if revision >= after:
                    self._record_contact()
                    after = revision
                    for change in changes:
                        self._apply(change)
                    self._end_holds()
                    if not self._lacks_configuration():
                        self.reread_backoff.reset()
                        reread_at = self.clock.now()
                    elif self.clock.now() >= reread_at:
                        self._prepare_reread(after, "no readable configuration", reread_at)
                        return
                    if changes or self.clock.now() - began < wait * EARLY_SHARE:
                        self.stopping.wait(BATCH_INTERVAL / MILLIS_PER_SECOND)
                case Changes(revision=revision):
                    self._prepare_reread(after, f"revision {revision} is lower", reread_at)
                    return
                case HistoryGone():
                    self._prepare_reread(after, "history gone", reread_at)
                    return
                case Unavailable(detail=detail):
                    self._handle_unavailable(detail)
            watch_was_cut = False

    def _prepare_reread(self, revision: Revision, why: str, reread_at: Millis) -> None:
        """Log that everything is read again, and wait until ``reread_at``."""
        self.log.write(LogEvent.PLATFORM_REREAD, revision=revision, why=why)
        self.stopping.wait(max(0.0, reread_at - self.clock.now()) / MILLIS_PER_SECOND)

    def _lacks_configuration(self) -> bool:
        """Return whether there is no configuration, or the latest one could not be decoded.

        No change of the catalogue may follow by which it would be seen again.
        """
        return self.table is None or self.configuration_unreadable

    def _watch_wait(self, reread_at: Millis) -> Millis:
        """Return how long the next watch may wait before something else is due."""
        due = [self.clock.now() + WATCH_TIMEOUT, *self.held_searchers.until.values()]
        due += self.evacuations.holds.until.values()
        if self._lacks_configuration():
            due.append(reread_at)
        return Millis(min(WATCH_TIMEOUT, max(CHECK_WAIT, min(due) - self.clock.now())))

    def _record_contact(self) -> None:
        self.last_contact_at = self.clock.now()
        self.backoff.reset()
        if self.unavailable_since is not None:
            outage = Millis(self.last_contact_at - self.unavailable_since)
            self.log.write(LogEvent.PLATFORM_BACK, after_ms=round(outage))
            self.unavailable_since = None
            self.recovered_at = self.last_contact_at
            self.evacuations.holds.extend(outage)
            self.held_searchers.extend(outage)

    def _handle_unavailable(self, detail: str) -> None:
        self.metrics.count("platform_failures")
        if self.unavailable_since is None:
            self.unavailable_since = self.clock.now()
            version = self.table.version if self.table is not None else 0
            self.log.write(
                LogEvent.PLATFORM_LOST, detail=detail, version=version, age_ms=round(self.age())
            )
        wait = self.backoff.next_delay()
        if self.table is None or not self.has_contents:
            wait = min(wait, MAX_RETRY_DELAY_UNREADY)
        self.stopping.wait(wait / MILLIS_PER_SECOND)

    def _apply_all(self, contents: Contents) -> None:
        holds_until = self._begin_era(contents.era)
        listed = set()
        for change in contents.changes:
            self._apply(change)
            if isinstance(change, SearcherListed):
                listed.add(change.entry.id)
        self.evacuations.apply_all(contents.changes, holds_until)
        for searcher in self.fleet.find_unlisted(listed):
            self._handle_unlisted(searcher, "not in the list")

    def _begin_era(self, era: StoreEra | None) -> Millis | None:
        """Record the store's era; after a restore, return the time until which losses are held.

        What is missing may have been written since the copy from which the store was restored.
        """
        begun = self.view.begin(era)
        if begun is None:
            return None
        self.log.write(LogEvent.STORE_ERA, before=begun.before, after=begun.after)
        self.metrics.set_gauge("store_era", begun.after)
        if begun.before is None:
            return None
        self.recovered_at = self.clock.now()
        return Millis(self.recovered_at + RELIST_TIMEOUT)

    def _apply(self, change: Change) -> None:
        match change:
            case PublishedConfiguration(table=table):
                self.configuration_unreadable = False
                self._apply_table(table)
            case SearcherListed(entry=entry) if not self.fleet.has_room(entry.id):
                self.metrics.count("unreadable_items")
                self.log.write(LogEvent.UNREADABLE, key=entry.id, detail="too many searchers")
            case SearcherListed(entry=entry) if self.view.is_restored_departure(entry):
                log_ignored(self.log, entry)
            case SearcherListed(entry=entry):
                # A read of everything would otherwise push all other changes out of the log, and
                # the gateways that watch this one would have to read everything as well.
                if not self.catalogue.lists(change):
                    self.catalogue.add(change)
                self.held_searchers.release(entry.id)
                self.view.record_listing(entry)
                self.fleet.apply_listing(entry)
            case SearcherUnlisted(searcher=searcher):
                self._handle_unlisted(searcher, "unlisted")
            case DomainEvacuated():
                self.evacuations.start(change)
            case EvacuationEnded():
                self.evacuations.end(change)
            case UnreadableItem(key="", detail=detail) if not self._is_new_oddity(detail):
                self.metrics.count("unreadable_items")
            case UnreadableItem(key=key, detail=detail, searcher=searcher):
                self.catalogue.add(change)
                self.metrics.count("unreadable_items")
                self.log.write(LogEvent.UNREADABLE, key=key, detail=detail)
                if searcher is not None:
                    self._remove_searcher(searcher, "unreadable")
                elif key:
                    self.configuration_unreadable = True

    def _is_new_oddity(self, detail: str) -> bool:
        """Return whether an item without a usable key was not logged before."""
        is_new = detail not in self.logged_oddities
        if is_new and len(self.logged_oddities) < MAX_LOGGED_ODDITIES:
            self.logged_oddities.add(detail)
        return is_new

    def _apply_table(self, table: RouteTable) -> None:
        current = self.table
        if current is not None and table.version <= current.version:
            if table.version < current.version:
                self.metrics.count("configurations_ignored")
                self.log.write(
                    LogEvent.CONFIGURATION_IGNORED, version=table.version, newer=current.version
                )
            return
        self.catalogue.add(PublishedConfiguration(table))
        self.table = table
        self.fleet.apply_table(table)
        self.log.write(
            LogEvent.CONFIGURATION,
            version=table.version,
            before=current.version if current is not None else 0,
            routes=len(table.routes),
            services=len(table.services),
        )

    def _handle_unlisted(self, searcher: SearcherId, why: str) -> None:
        """Stop using a searcher whose listing was removed.

        If the platform has just become available again, the listing may only have expired while it
        was unavailable. The searcher is then kept until ``RELIST_TIMEOUT`` has passed.
        """
        if searcher in self.held_searchers.until:
            return
        if self.recovered_at is not None:
            held_until = Millis(self.recovered_at + RELIST_TIMEOUT)
            if self.clock.now() < held_until:
                self.held_searchers.hold(searcher, held_until)
                self.log.write(LogEvent.SEARCHER_HELD, searcher=searcher, why=why)
                return
        self.catalogue.add(SearcherUnlisted(searcher))
        self._remove_searcher(searcher, why)

    def _remove_searcher(
        self, searcher: SearcherId, why: str, usable_time: Millis | None = None
    ) -> None:
        entry = self.fleet.remove_searcher(searcher, why, usable_time)
        if entry is not None:
            self.view.record_departure(entry)

    def _end_holds(self) -> None:
        """Remove the held searchers and evacuations that have not returned in time."""
        now = self.clock.now()
        for searcher in self.held_searchers.take_overdue(now):
            self.catalogue.add(SearcherUnlisted(searcher))
            self._remove_searcher(searcher, "not back in the list", Millis(0.0))
        self.evacuations.end_overdue(now)
