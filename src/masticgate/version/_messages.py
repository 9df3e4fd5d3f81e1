"""Messages that distribute configurations and snapshot catalogues between hosts.

An accepted text is divided into sections, one for each department and a head for the rest.
"""

from dataclasses import dataclass
from typing import NewType

from .._ids import Revision, SnapshotVersion

SectionId = NewType("SectionId", str)
"""The name of the department of a section, or an empty string for the head of a text."""


@dataclass(frozen=True, slots=True)
class Versions:
    """The versions that a host has, 0 for none.

    ``revision`` is that of the accepted configuration, and ``catalogue`` the newest snapshot in the
    snapshot catalogue.
    """

    revision: Revision
    catalogue: SnapshotVersion


@dataclass(frozen=True, slots=True)
class FetchVersions:
    """Asks a host for the versions that are newer than ``current``.

    ``current`` holds the sender's own versions, or the revision 0 to request the whole text.
    """

    current: Versions


@dataclass(frozen=True, slots=True)
class TextPush:
    """A whole accepted text, for a host at a revision whose sections the sender does not know."""

    revision: Revision
    text: str


@dataclass(frozen=True, slots=True)
class Section:
    """One section of an accepted text."""

    id: SectionId
    text: str


@dataclass(frozen=True, slots=True)
class SectionsPush:
    """The sections that differ between the revisions ``base`` and ``revision``.

    ``digest`` is the digest of all sections at ``revision``. A receiver that computes a different
    digest had a different text at ``base``, and asks for the whole text.
    """

    base: Revision
    revision: Revision
    digest: int
    changed: tuple[Section, ...]
    removed: tuple[SectionId, ...]


@dataclass(frozen=True, slots=True)
class CataloguePush:
    """A snapshot catalogue as the platform published it."""

    text: str
