"""The versions in force on this host: they only rise."""

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
from ._timeline import EventKind, TimeLine

MAX_OUTLINES = 64
"""How many earlier revisions' digests are kept, to send others only what changed since."""

MAX_REFUSALS = 64


class Offered(Enum):
    """What became of a text that was offered."""

    IN_FORCE = "in_force"
    NOT_NEWER = "not_newer"
    REFUSED = "refused"
    OTHER_BASE = "other_base"
    """The changes are against a revision that this host does not have."""

    OTHER_TEXT = "other_text"
    """This host had another text at that revision."""


class VersionStore:
    """Holds the configuration and the snapshot catalogue in force.

    With ``starting`` set, nothing is in force until :meth:`open`.
    """

    def __init__(
        self,
        timeline: TimeLine,
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
        self.outlines: dict[Revision, Mapping[SectionId, Digest]] = {}
        self.refused = Revision(0)
        self.refusals: frozenset[Revision] = frozenset()
        self.problems: tuple[str, ...] = ()
        self.catalogue = SnapshotCatalogue()
        self.catalogue_text = ""
        self.gone: dict[ServiceId, frozenset[SnapshotVersion]] = {}

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force."""
        return None if self.starting else self.accepted

    def versions(self) -> Versions:
        """Return what this host has, in force or about to be."""
        accepted = self.accepted
        revision = accepted.revision if accepted else Revision(0)
        return Versions(revision, self.catalogue.newest)

    def has_judged(self, revision: Revision) -> bool:
        """Tell whether ``revision`` can change nothing here: it is refused, or not newer."""
        return revision <= self.versions().revision or revision in self.refusals

    def open(self) -> None:
        """Put what a starting host has accepted in force."""
        self.starting = False
        self._notify()

    def offer_text(self, text: str, revision: Revision) -> bool:
        """Put ``text`` in force if it is newer and acceptable; tell whether it now is."""
        with self.lock:
            offered = self._judge(text, revision)
        if offered is Offered.IN_FORCE:
            self._notify()
        return offered is Offered.IN_FORCE

    def offer_sections(self, push: SectionsPush) -> Offered:
        """Put the text that ``push`` makes of this host's own in force, if it is acceptable."""
        with self.lock:
            offered = self._judge_sections(push)
        if offered is Offered.IN_FORCE:
            self._notify()
        return offered

    def newer_than(self, have: Revision) -> SectionsPush | TextPush | None:
        """Return what turns the text at ``have`` into the one here, ``None`` if it is no older."""
        with self.lock:
            revision = self.versions().revision
            if revision <= have:
                return None
            known = self.outlines.get(have)
            if known is not None:
                return self.sections.changes_since(have, known, revision)
            return TextPush(revision, self.sections.join() or "")

    def offer_catalogue(self, text: str) -> bool:
        """Take over a newer snapshot catalogue; tell whether it was newer."""
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
            self.gone = {service: versions & published for service, versions in self.gone.items()}
            self.timeline.add(EventKind.CATALOGUE_CHANGED, f"snapshot {catalogue.newest}")
        return True

    def pin(
        self, services: Sequence[ServiceId], tried: frozenset[SnapshotVersion]
    ) -> Snapshot | None:
        """Return the snapshot to search, none of ``tried``."""
        return self.catalogue.pin(services, self.gone, tried)

    def record_version_gone(
        self, service: ServiceId, snapshot: SnapshotVersion, held: Sequence[SnapshotVersion]
    ) -> None:
        """Remember which published snapshots ``service`` lacks."""
        with self.lock:
            published = {s.version for s in self.catalogue.snapshots}
            lacking = (published - set(held)) | {snapshot}
            self.gone = {**self.gone, service: frozenset(lacking & published)}

    def _judge_sections(self, push: SectionsPush) -> Offered:
        if self.has_judged(push.revision):
            return Offered.NOT_NEWER
        if push.base != self.versions().revision:
            return Offered.OTHER_BASE
        sections = self.sections.apply(push)
        text = sections.join() if sections else None
        if text is None:
            return Offered.OTHER_TEXT
        return self._judge(text, push.revision)

    def _judge(self, text: str, revision: Revision) -> Offered:
        if self.has_judged(revision):
            return Offered.NOT_NEWER
        match accept_text(text, revision):
            case Accepted(configuration=configuration):
                self._put_in_force(configuration)
                return Offered.IN_FORCE
            case Refused(problems=problems):
                self._refuse(revision, tuple(map(str, problems)))
                return Offered.REFUSED

    def _refuse(self, revision: Revision, problems: tuple[str, ...]) -> None:
        self.refusals = frozenset(sorted({*self.refusals, revision})[-MAX_REFUSALS:])
        if revision > self.refused:
            self.refused = revision
            self.problems = problems
        self.timeline.add(EventKind.TEXT_REFUSED, f"revision {revision}", problems[0])

    def _put_in_force(self, configuration: Configuration) -> None:
        before = self.accepted.leaving if self.accepted else frozenset()
        self.sections = split_sections(configuration)
        self._keep_outline(configuration.revision, self.sections)
        self.accepted = configuration
        if configuration.revision > self.refused:
            self.problems = ()
        self.timeline.add(EventKind.TEXT_ACCEPTED, f"revision {configuration.revision}")
        for department in sorted(configuration.leaving - before):
            self.timeline.add(EventKind.DEPARTMENT_LEAVING, department)

    def _keep_outline(self, revision: Revision, sections: Sections) -> None:
        self.outlines[revision] = sections.digests
        if len(self.outlines) > MAX_OUTLINES:
            del self.outlines[min(self.outlines)]

    def _notify(self) -> None:
        """Tell of the configuration in force; the last call always tells of the latest."""
        with self.notify_lock:
            configuration = self.configuration
            if configuration is not None:
                self.on_configuration(configuration)
