"""The messages that spread configurations and snapshot catalogues between hosts."""

from dataclasses import dataclass

from .._ids import Revision, SnapshotVersion


@dataclass(frozen=True, slots=True)
class Versions:
    """What a host has: the revision in force and its newest snapshot, 0 for none."""

    revision: Revision
    catalogue: SnapshotVersion


@dataclass(frozen=True, slots=True)
class FetchVersions:
    """Asks for whatever is newer than ``have``."""

    have: Versions


@dataclass(frozen=True, slots=True)
class TextPush:
    """An accepted text."""

    revision: Revision
    text: str


@dataclass(frozen=True, slots=True)
class CataloguePush:
    """A snapshot catalogue as the platform published it."""

    text: str
