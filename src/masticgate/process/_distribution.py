"""Distribution of versions: from the platform and from peers to this host, and on to peers.

The versions of a host are the revision of its configuration text and the newest snapshot of its
snapshot catalogue. Each host validates the texts and catalogues that it receives, and sends on only
what it has accepted, so a refused text spreads no further.
"""

from collections.abc import Callable, Container
from threading import Lock

from .._clock import Clock
from .._failures import Unknown
from .._ids import Address, FailureDomainId, HostId, Millis, Revision, SnapshotVersion
from ..connection import ListedHost, Message, PlatformReader, Value
from ..version import (
    CataloguePush,
    FetchVersions,
    SectionsPush,
    TextPush,
    Versions,
    should_watch,
)
from ._host_list import HostList
from ._links import Links
from ._members import Members
from ._messages import Heartbeat, Hello
from ._settings import Settings
from ._startup import STARTUP_TIMEOUT, Startup
from ._timeline import EventKind, Timeline
from ._versions import OfferResult, VersionStore
from ._watch import HostListWatch, KeyWatch
from ._watch_role import WatchRole

SendReply = Callable[[Message], bool]
"""Sends a message on the connection over which a peer's message arrived."""

FETCH_TIMEOUT = Millis(1000.0)
"""How long to wait for versions from one peer before a peer is asked for the same ones again."""


class Distribution:
    """Obtains newer versions from the platform and from peers, and announces them to peers.

    Each host reads the platform once when it starts. After that only the hosts with the watch role
    read it, and the others get the versions from peers.
    """

    def __init__(
        self,
        settings: Settings,
        versions: VersionStore,
        members: Members,
        links: Links,
        timeline: Timeline,
        clock: Clock,
    ) -> None:
        self.settings = settings
        self.own_host = HostId(settings.host)
        self.domain = FailureDomainId(settings.failure_domain)
        self.versions = versions
        self.members = members
        self.links = links
        self.timeline = timeline
        self.clock = clock
        self.role = WatchRole(timeline)
        self.host_list = HostList(members.get)
        seeds = {
            HostId(seed.host): FailureDomainId(seed.failure_domain)
            for seed in settings.other_seeds()
        }
        self.startup = Startup(seeds, versions, clock)
        self.readers: list[PlatformReader] = []
        self.lock = Lock()
        self.fetching = Versions(Revision(0), SnapshotVersion(0))
        self.fetch_deadline = Millis(0.0)

    def start(self, start_task: Callable[[Callable[[], None]], None]) -> None:
        """Start the tasks that read the platform.

        The first one obtains the versions to start with and puts them in force.
        """
        platform = self.settings.platform
        start_task(self._run_startup)
        for key, on_value in (
            (platform.text_key, self._handle_text_value),
            (platform.snapshots_key, self._handle_catalogue_value),
        ):
            reader = self._open_reader()
            watch = KeyWatch(key, reader, self.timeline, on_value, self.role, self.clock)
            start_task(watch.run)
        hosts = HostListWatch(self._open_reader(), self._handle_hosts, self.role)
        start_task(hosts.run)

    def stop(self) -> None:
        """Abort every read in progress, and let every waiting task return."""
        self.role.stop()
        self._abort_reads()

    def update_role(self) -> None:
        """Decide again whether this host watches the platform; a starting host does not."""
        if self.versions.starting:
            return
        usable = set(self.members.list_usable())
        members = [m.host for m in self.members.list_members() if m.failure_domain == self.domain]
        in_domain = [host for host in members if host in usable]
        watching = should_watch(self.own_host, self.domain, in_domain, _ReachableHosts(self.links))
        if self.role.update(watching) and not watching:
            self._abort_reads()

    def compare_versions(self, peer: Hello, peer_versions: Versions, send_reply: SendReply) -> None:
        """Fetch what ``peer`` has newer, unless a fetch of versions at least as new is in progress.

        While this host starts, the versions of ``peer`` are recorded too.
        """
        if self.versions.starting:
            self.startup.record_peer(peer.host, peer.failure_domain, peer_versions)
        if self._should_fetch(peer_versions):
            send_reply(FetchVersions(self.versions.versions()))

    def answer_fetch(self, peer_versions: Versions, send_reply: SendReply) -> None:
        """Send a peer that has ``peer_versions`` what is newer here.

        This is the text, or its sections that changed, and the catalogue.
        """
        push = self.versions.build_push(peer_versions.revision)
        if push is not None:
            send_reply(push)
        if self.versions.catalogue.newest > peer_versions.catalogue:
            send_reply(CataloguePush(self.versions.catalogue_text))

    def handle_push(
        self, push: TextPush | SectionsPush | CataloguePush, send_reply: SendReply
    ) -> None:
        """Offer the store what a peer sent.

        A push of sections holds the changes since the text of a base revision. If this host is at
        another revision, fetch the changes since its own; if it is at the base revision, but the
        changes don't yield the peer's text, fetch the whole text.
        """
        match push:
            case TextPush(revision=revision, text=text):
                self._handle_offer_result(self.versions.offer_text(text, revision))
            case CataloguePush(text=text):
                self._handle_offer_result(self.versions.offer_catalogue(text))
            case SectionsPush():
                self._handle_sections(push, send_reply)

    def announce(self) -> None:
        """Send this host's versions over every open link at once, ahead of the next heartbeat."""
        self.links.broadcast(Heartbeat(self.timeline.sequence, self.versions.versions(), ()))

    def _handle_sections(self, push: SectionsPush, send_reply: SendReply) -> None:
        match self.versions.offer_sections(push):
            case OfferResult.IN_FORCE:
                self._handle_offer_result(True)
            case OfferResult.OTHER_BASE:
                send_reply(FetchVersions(self.versions.versions()))
            case OfferResult.OTHER_TEXT:
                send_reply(FetchVersions(Versions(Revision(0), self.versions.catalogue.newest)))
            case OfferResult.NOT_NEWER | OfferResult.REFUSED:
                self._handle_offer_result(False)

    def _handle_offer_result(self, accepted: bool) -> None:
        self.startup.notify_change()
        if accepted:
            self.announce()

    def _should_fetch(self, peer_versions: Versions) -> bool:
        """Return whether to fetch ``peer_versions``; if so, record that they are being fetched.

        A revision that this host refused is no reason to fetch.
        """
        processed = self.versions.has_processed(peer_versions.revision)
        if processed and peer_versions.catalogue <= self.versions.catalogue.newest:
            return False
        with self.lock:
            now = self.clock.now()
            if now < self.fetch_deadline and not _is_newer(peer_versions, self.fetching):
                return False
            self.fetching = peer_versions
            self.fetch_deadline = Millis(now + FETCH_TIMEOUT)
            return True

    def _run_startup(self) -> None:
        deadline = Millis(self.clock.now() + STARTUP_TIMEOUT)
        self.startup.record_platform_read(self._read_platform())
        state = self.startup.wait(deadline)
        self.versions.activate()
        self.timeline.add(EventKind.SERVING, self.own_host, self.startup.describe(state))
        self.update_role()

    def _read_platform(self) -> bool:
        """Read the text, then the catalogue and the host list, once each.

        Return whether the text was read; without it the other two are not read.
        """
        platform = self.settings.platform
        reader = self._open_reader()
        try:
            text = reader.read(platform.text_key)
            if not isinstance(text, Value):
                return False
            self._handle_text_value(text)
            catalogue = reader.read(platform.snapshots_key)
            if isinstance(catalogue, Value):
                self._handle_catalogue_value(catalogue)
            hosts = reader.list_hosts()
            if not isinstance(hosts, Unknown):
                self._handle_hosts(hosts)
            return True
        finally:
            self.readers.remove(reader)
            reader.close()

    def _abort_reads(self) -> None:
        for reader in list(self.readers):
            reader.abort()

    def _open_reader(self) -> PlatformReader:
        platform = self.settings.platform
        reader = PlatformReader(Address(platform.configuration), Address(platform.hosts))
        self.readers.append(reader)
        return reader

    def _handle_text_value(self, value: Value) -> None:
        self._handle_offer_result(self.versions.offer_text(value.text, value.revision))

    def _handle_catalogue_value(self, value: Value) -> None:
        self._handle_offer_result(self.versions.offer_catalogue(value.text))

    def _handle_hosts(self, hosts: tuple[ListedHost, ...]) -> None:
        self.members.merge(self.host_list.to_members(hosts, self.clock.now()))
        self.update_role()


class _ReachableHosts(Container[HostId]):
    """The hosts not known to be unreachable: all but those to which the link has closed."""

    def __init__(self, links: Links) -> None:
        self.links = links

    def __contains__(self, host: object) -> bool:
        return isinstance(host, str) and not self.links.is_closed(HostId(host))


def _is_newer(versions: Versions, other: Versions) -> bool:
    return versions.revision > other.revision or versions.catalogue > other.catalogue
