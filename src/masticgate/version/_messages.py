"""The messages that spread configurations and snapshot catalogues between hosts."""

from dataclasses import dataclass
from typing import NewType

from .._ids import Revision, SnapshotVersion

SectionId = NewType("SectionId", str)
"""A department's name, or nothing for the head of a text."""


@dataclass(frozen=True, slots=True)
class Versions:
    """What a host has: the revision in force and its newest snapshot, 0 for none."""

    revision: Revision
    catalogue: SnapshotVersion


@dataclass(frozen=True, slots=True)
class FetchVersions:
    """Asks for whatever is newer than ``have``."""

    current: Versions


@dataclass(frozen=True, slots=True)
class TextPush:
    """A whole accepted text, for a host whose revision the sender knows nothing of."""

    revision: Revision
    text: str


@dataclass(frozen=True, slots=True)
class Section:
    """One section of an accepted text."""

    id: SectionId
    text: str


@dataclass(frozen=True, slots=True)
class SectionsPush:
    """The sections in which ``revision`` differs from ``base``.

    ``digest`` is that of all sections at ``revision``; a receiver that comes to another one had
    another text at ``base`` and asks for the whole.
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
