"""Divides an accepted text into sections, so that hosts exchange only what an edit changed.

There is one section for each department, with its services, and a head for the rest. The text of a
section is canonical JSON, in which departments and services omit fields with their default value.
The same configuration therefore results in the same sections on every host, whatever the comments
and the order in the operators' text.
"""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from functools import cached_property
from typing import Any, NewType

import xxhash

from .._ids import DepartmentId, Revision
from .._ranks import Rank
from ._configuration import Configuration, Department, Searcher, Service
from ._messages import Section, SectionId, SectionsPush
from ._schema import SUPPORTED_FORMAT

HEAD_SECTION = SectionId("")
"""The id of the section for values that belong to no department; no department has this name."""

Digest = NewType("Digest", int)
"""A 64-bit xxh3 digest."""


@dataclass(frozen=True)
class Sections:
    """The sections of one accepted text; empty before the first text is accepted."""

    texts: Mapping[SectionId, str]

    @cached_property
    def digests(self) -> Mapping[SectionId, Digest]:
        """The digest of each section."""
        return {id: _digest(text) for id, text in self.texts.items()}

    @cached_property
    def digest(self) -> Digest:
        """The digest of all sections together."""
        return _digest("\n".join(f"{id} {self.digests[id]}" for id in sorted(self.digests)))

    def changes_since(
        self, base: Revision, base_digests: Mapping[SectionId, Digest], revision: Revision
    ) -> SectionsPush:
        """Return the changes from the revision ``base`` to ``revision``.

        ``base_digests`` holds the digests of the sections at ``base``, and ``revision`` is the
        revision of these sections.
        """
        changed = [id for id, digest in self.digests.items() if base_digests.get(id) != digest]
        return SectionsPush(
            base,
            revision,
            self.digest,
            tuple(Section(id, self.texts[id]) for id in sorted(changed)),
            tuple(sorted(set(base_digests) - set(self.digests))),
        )

    def apply(self, push: SectionsPush) -> "Sections | None":
        """Return the sections after the changes in ``push``.

        Return ``None`` if their digest differs from the sender's.
        """
        changed = {section.id: section.text for section in push.changed}
        kept = {id: text for id, text in self.texts.items() if id not in push.removed}
        result = Sections({**kept, **changed})
        return result if result.digest == push.digest else None

    def to_text(self) -> str | None:
        """Return a text with the contents of all sections, or ``None`` if a section is invalid."""
        try:
            parts = {id: json.loads(text) for id, text in self.texts.items()}
            whole = dict(parts.pop(HEAD_SECTION))
            whole["departments"] = {id: part["department"] for id, part in parts.items()}
            whole["services"] = _merge_services(part["services"] for part in parts.values())
        except (AttributeError, KeyError, RecursionError, TypeError, ValueError):
            return None
        return _canonical(whole)


NO_SECTIONS = Sections({})


def split_sections(configuration: Configuration) -> Sections:
    """Return ``configuration`` divided into sections."""
    services: dict[DepartmentId, dict[str, Any]] = {id: {} for id in configuration.departments}
    for service in configuration.services.values():
        services[service.department][service.id] = _service_fields(service)
    texts = {HEAD_SECTION: _canonical(_head_fields(configuration))}
    for department in configuration.departments.values():
        fields = {
            "department": _department_fields(department),
            "services": services[department.id],
        }
        texts[SectionId(department.id)] = _canonical(fields)
    return Sections(texts)


def _merge_services(parts: Iterable[Mapping[str, Any]]) -> dict[str, Any]:
    return {name: service for part in parts for name, service in part.items()}


def _head_fields(configuration: Configuration) -> dict[str, Any]:
    floors = {rank.label: configuration.floors[rank] for rank in (Rank.STANDARD, Rank.BULK)}
    return {
        "format": SUPPORTED_FORMAT,
        "deployment": configuration.deployment,
        "floors": floors,
    }


def _department_fields(department: Department) -> dict[str, Any]:
    fields = {"leaving": department.leaving, "leaves_on": department.leaves_on}
    return {name: value for name, value in fields.items() if value}


def _service_fields(service: Service) -> dict[str, Any]:
    fields = {
        "department": service.department,
        "depends_on": service.depends_on,
        "searchers": [_searcher_fields(searcher) for searcher in service.searchers],
        "bookings": service.bookings,
    }
    return {name: value for name, value in fields.items() if value}


def _searcher_fields(searcher: Searcher) -> dict[str, Any]:
    return {
        "id": searcher.id,
        "address": searcher.address,
        "failure_domain": searcher.failure_domain,
        "slots": searcher.slots,
        "connections": searcher.connections,
    }


def _canonical(value: Any) -> str:
    return json.dumps(value, sort_keys=True, separators=(",", ":"))


def _digest(text: str) -> Digest:
    return Digest(xxhash.xxh3_64_intdigest(text.encode("utf-8", errors="replace")))
