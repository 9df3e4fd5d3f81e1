"""The messages that spread versions as Cap'n Proto structs."""

from typing import Any

from .._ids import (
    Revision,
    SnapshotVersion,
)
from ..version import (
    Section,
    SectionId,
    SectionsPush,
    Versions,
)
from ._struct_list import write_list


def write_versions(target: Any, versions: Versions) -> None:
    """Write what a host has."""
    target.revision = versions.revision
    target.catalogue = versions.catalogue


def read_versions(source: Any) -> Versions:
    """Read what a host has."""
    return Versions(Revision(source.revision), SnapshotVersion(source.catalogue))


def write_sections(target: Any, push: SectionsPush) -> None:
    """Write the changed sections of a text."""
    target.base = push.base
    target.revision = push.revision
    target.digest = push.digest
    target.removed = list(push.removed)
    write_list(target.init("changed", len(push.changed)), push.changed, _write_section)


def _write_section(target: Any, section: Section) -> None:
    target.id = section.id
    target.text = section.text


def read_sections(source: Any) -> SectionsPush:
    """Read the changed sections of a text."""
    return SectionsPush(
        Revision(source.base),
        Revision(source.revision),
        source.digest,
        tuple(Section(SectionId(item.id), item.text) for item in source.changed),
        tuple(map(SectionId, source.removed)),
    )
