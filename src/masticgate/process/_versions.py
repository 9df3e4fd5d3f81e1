"""The store of the configuration and snapshot catalogue in force, replaced only by newer ones."""

from collections.abc import Callable, Mapping, Sequence
from enum import Enum
from threading import Lock

from .._ids import Revision, ServiceId, SnapshotVersion
from ..version import (
    NO_SECTIONS,
    Accepted,
    Configuration,
    Digest,
    Refused,
    SectionId,
    Sections,
    SectionsPush,
    Snapshot,
    SnapshotCatalogue,
    TextPush,
    Versions,
    accept_text,
    read_catalogue,
    split_sections,
)
from ._timeline import EventKind, Timeline

MAX_DIGEST_REVISIONS = 64
"""The most revisions whose section digests are kept; the lowest are dropped first.

A peer at one of these revisions is sent only the sections that changed since; others are sent the
whole text.
"""

MAX_REFUSED_REVISIONS = 64
"""The most refused revisions that are kept, so that they are not fetched again.

The lowest are dropped first.
"""


class OfferResult(Enum):
    """What the store did with a configuration text that was offered to it."""

    IN_FORCE = "in_force"
    """The text was accepted; it is in force unless this host is still starting."""

    NOT_NEWER = "not_newer"
    """The text is no newer than the accepted one, or was refused before."""

    REFUSED = "refused"
    """The text is invalid."""

    OTHER_BASE = "other_base"
    """The changes are relative to a revision other than the one that this host has accepted."""

    OTHER_TEXT = "other_text"
    """The changes don't turn this host's text into the sender's, or a section is invalid."""


class VersionStore:
    """Holds the configuration and the snapshot catalogue in force.

    The configuration is parsed from a text that operators publish, each time under a higher
    revision. With ``starting`` set, a text may be accepted, but is not in force until
    :meth:`activate`. The text is split into sections, so that peers are sent only those that
    changed. ``on_configuration`` is called with each configuration that comes into force.

    ``problems`` lists why the highest refused revision was refused; it is empty once a higher
    revision is accepted. ``unavailable`` maps a service to the published snapshots that its
    searchers are known to lack.
    """

    def __init__(
        self,
        timeline: Timeline,
        on_configuration: Callable[[Configuration], None],
        starting: bool = False,
    ) -> None:
        self.timeline = timeline
        self.on_configuration = on_configuration
        self.starting = starting
        self.lock = Lock()
        self.notify_lock = Lock()
        self.accepted: Configuration | None = None
        self.sections = NO_SECTIONS
        self.digests_by_revision: dict[Revision, Mapping[SectionId, Digest]] = {}
        self.highest_refused = Revision(0)
        self.refused_revisions: frozenset[Revision] = frozenset()
        self.problems: tuple[str, ...] = ()
        self.catalogue = SnapshotCatalogue()
        self.catalogue_text = ""
        self.unavailable: dict[ServiceId, frozenset[SnapshotVersion]] = {}

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force, ``None`` if there is none."""
        return None if self.starting else self.accepted

    def versions(self) -> Versions:
        """Return the accepted revision and the newest snapshot, 0 for none.

        The revision is not in force yet while this host starts.
        """
        accepted = self.accepted
        revision = accepted.revision if accepted else Revision(0)
        return Versions(revision, self.catalogue.newest)

    def has_processed(self, revision: Revision) -> bool:
        """Return whether ``revision`` was refused, or is no newer than the accepted one."""
        return revision <= self.versions().revision or revision in self.refused_revisions

    def activate(self) -> None:
        """Put the configuration that was accepted during startup in force."""
        self.starting = False
        self._notify_configuration()

    def offer_text(self, text: str, revision: Revision) -> bool:
        """Accept ``text`` if it is newer and valid; return whether it was accepted."""
        with self.lock:
            result = self._apply_text(text, revision)
        if result is OfferResult.IN_FORCE:
            self._notify_configuration()
        return result is OfferResult.IN_FORCE

    def offer_sections(self, push: SectionsPush) -> OfferResult:
        """Apply the changes in ``push`` to this host's text; accept the result if it is valid."""
        with self.lock:
            result = self._apply_sections(push)
        if result is OfferResult.IN_FORCE:
            self._notify_configuration()
        return result

    def build_push(self, peer_revision: Revision) -> SectionsPush | TextPush | None:
        """Return the push that brings a peer at ``peer_revision`` to the revision of this host.

        Return ``None`` if the peer's revision is not older.
        """
        with self.lock:
            revision = self.versions().revision
            if revision <= peer_revision:
                return None
            peer_digests = self.digests_by_revision.get(peer_revision)
            if peer_digests is not None:
                return self.sections.changes_since(peer_revision, peer_digests, revision)
            return TextPush(revision, self.sections.to_text() or "")

    def offer_catalogue(self, text: str) -> bool:
        """Apply ``text`` if it is a newer snapshot catalogue; return whether it was applied."""
        catalogue = read_catalogue(text)
        if catalogue is None:
            self.timeline.add(EventKind.CATALOGUE_REFUSED, "snapshots")
            return False
        with self.lock:
            if catalogue.newest <= self.catalogue.newest:
                return False
            self.catalogue = catalogue
            self.catalogue_text = text
            published = {snapshot.version for snapshot in catalogue.snapshots}
            self.unavailable = {
                service: versions & published for service, versions in self.unavailable.items()
            }
            self.timeline.add(EventKind.CATALOGUE_CHANGED, f"snapshot {catalogue.newest}")
        return True

    def choose_snapshot(
        self, services: Sequence[ServiceId], tried: frozenset[SnapshotVersion]
    ) -> Snapshot | None:
        """Return the snapshot in which to search ``services``, ``None`` if all were tried.

        It is the newest one not in ``tried`` that none of ``services`` is known to lack, or else
        the newest one not in ``tried``.
        """
        return self.catalogue.choose_snapshot(services, self.unavailable, tried)

    def record_version_gone(
        self, service: ServiceId, snapshot: SnapshotVersion, held: Sequence[SnapshotVersion]
    ) -> None:
        """Record that ``service`` lacks ``snapshot`` and all published ones not in ``held``."""
        with self.lock:
            published = {s.version for s in self.catalogue.snapshots}
            lacking = (published - set(held)) | {snapshot}
            self.unavailable = {**self.unavailable, service: frozenset(lacking & published)}

    def _apply_sections(self, push: SectionsPush) -> OfferResult:
        if self.has_processed(push.revision):
            return OfferResult.NOT_NEWER
        if push.base != self.versions().revision:
            return OfferResult.OTHER_BASE
        sections = self.sections.apply(push)
        text = sections.to_text() if sections else None
        if text is None:
            return OfferResult.OTHER_TEXT
        return self._apply_text(text, push.revision)

    def _apply_text(self, text: str, revision: Revision) -> OfferResult:
        if self.has_processed(revision):
            return OfferResult.NOT_NEWER
        match accept_text(text, revision):
            case Accepted(configuration=configuration):
                self._apply_configuration(configuration)
                return OfferResult.IN_FORCE
            case Refused(problems=problems):
                self._refuse(revision, tuple(map(str, problems)))
                return OfferResult.REFUSED

    def _refuse(self, revision: Revision, problems: tuple[str, ...]) -> None:
        self.refused_revisions = frozenset(
            sorted({*self.refused_revisions, revision})[-MAX_REFUSED_REVISIONS:]
        )
        if revision > self.highest_refused:
            self.highest_refused = revision
            self.problems = problems
        self.timeline.add(EventKind.TEXT_REFUSED, f"revision {revision}", problems[0])

    def _apply_configuration(self, configuration: Configuration) -> None:
        before = self.accepted.leaving if self.accepted else frozenset()
        self.sections = split_sections(configuration)
        self._store_digests(configuration.revision, self.sections)
        self.accepted = configuration
        if configuration.revision > self.highest_refused:
            self.problems = ()
        self.timeline.add(EventKind.TEXT_ACCEPTED, f"revision {configuration.revision}")
        for department in sorted(configuration.leaving - before):
            self.timeline.add(EventKind.DEPARTMENT_LEAVING, department)

    def _store_digests(self, revision: Revision, sections: Sections) -> None:
        self.digests_by_revision[revision] = sections.digests
        if len(self.digests_by_revision) > MAX_DIGEST_REVISIONS:
            del self.digests_by_revision[min(self.digests_by_revision)]

    def _notify_configuration(self) -> None:
        """Call ``on_configuration`` with the configuration in force, if there is one.

        The lock makes concurrent calls follow one another, so the last one passes the latest
        configuration.
        """
        with self.notify_lock:
            configuration = self.configuration
            if configuration is not None:
                self.on_configuration(configuration)
