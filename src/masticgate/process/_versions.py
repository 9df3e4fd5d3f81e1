"""The versions in force on this host: they only rise."""

from collections.abc import Callable, Sequence
from threading import Lock

from .._ids import Revision, ServiceId, SnapshotVersion
from ..version import (
    Accepted,
    Configuration,
    Refused,
    Snapshot,
    SnapshotCatalogue,
    Versions,
    accept_text,
    read_catalogue,
)
from ._timeline import EventKind, TimeLine

MAX_HELD_VERSIONS = 64


class VersionStore:
    """Holds the configuration and the snapshot catalogue in force."""

    def __init__(
        self, timeline: TimeLine, on_configuration: Callable[[Configuration], None]
    ) -> None:
        self.timeline = timeline
        self.on_configuration = on_configuration
        self.lock = Lock()
        self.configuration: Configuration | None = None
        self.refused = Revision(0)
        self.problems: tuple[str, ...] = ()
        self.catalogue = SnapshotCatalogue()
        self.catalogue_text = ""
        self.gone: dict[ServiceId, frozenset[SnapshotVersion]] = {}

    def versions(self) -> Versions:
        """Return what this host has."""
        configuration = self.configuration
        revision = configuration.revision if configuration else Revision(0)
        return Versions(revision, self.catalogue.newest)

    def offer_text(self, text: str, revision: Revision) -> bool:
        """Put ``text`` in force if it is newer and acceptable; tell whether it now is."""
        with self.lock:
            known = max(self.versions().revision, self.refused)
            if revision <= known:
                return False
            match accept_text(text, revision):
                case Accepted(configuration=configuration):
                    self._put_in_force(configuration)
                case Refused(problems=problems):
                    self.refused = revision
                    self.problems = tuple(map(str, problems))
                    self.timeline.add(
                        EventKind.TEXT_REFUSED, f"revision {revision}", self.problems[0]
                    )
                    return False
        self.on_configuration(configuration)
        return True

    def offer_catalogue(self, text: str) -> bool:
        """Take over a newer snapshot catalogue; tell whether it was newer."""
        catalogue = read_catalogue(text)
        with self.lock:
            if catalogue is None or catalogue.newest <= self.catalogue.newest:
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

    def note_gone(
        self, service: ServiceId, snapshot: SnapshotVersion, held: Sequence[SnapshotVersion]
    ) -> None:
        """Remember which published snapshots ``service`` lacks."""
        with self.lock:
            published = {s.version for s in self.catalogue.snapshots}
            lacking = (published - set(held)) | {snapshot}
            self.gone = {**self.gone, service: frozenset(lacking & published)}

    def _put_in_force(self, configuration: Configuration) -> None:
        before = self.configuration.leaving if self.configuration else frozenset()
        self.configuration = configuration
        self.problems = ()
        self.timeline.add(EventKind.TEXT_ACCEPTED, f"revision {configuration.revision}")
        for department in sorted(configuration.leaving - before):
            self.timeline.add(EventKind.DEPARTMENT_LEAVING, department)
