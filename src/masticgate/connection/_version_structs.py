"""Functions that convert messages about configurations to and from Cap'n Proto structs.

Each ``target`` and ``source`` is a struct of ``peer.capnp``. Hosts send each other these messages
to distribute new versions of the configuration text and of the catalogue.
"""

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
    """Write the versions that a host has."""
    target.revision = versions.revision
    target.catalogue = versions.catalogue


def read_versions(source: Any) -> Versions:
    """Read the versions that a host has."""
    return Versions(Revision(source.revision), SnapshotVersion(source.catalogue))


def write_sections(target: Any, push: SectionsPush) -> None:
    """Write the sections of a configuration text that differ from an earlier revision."""
    target.base = push.base
    target.revision = push.revision
    target.digest = push.digest
    target.removed = list(push.removed)
    write_list(target.init("changed", len(push.changed)), push.changed, _write_section)


def _write_section(target: Any, section: Section) -> None:
    target.id = section.id
    target.text = section.text


def read_sections(source: Any) -> SectionsPush:
    """Read the sections of a configuration text that differ from an earlier revision."""
    return SectionsPush(
        Revision(source.base),
        Revision(source.revision),
        source.digest,
        tuple(Section(SectionId(item.id), item.text) for item in source.changed),
        tuple(map(SectionId, source.removed)),
    )
