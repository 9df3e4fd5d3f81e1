"""Index snapshots with their shard maps, and the catalogue of published snapshots.

The shard map gives the weight of every shard. The coverage of an answer is the weight of the shards
that it includes, divided by the weight of all shards that the search needs.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Annotated

from pydantic import Field, ValidationError

from .._ids import ServiceId, ShardId, SnapshotVersion
from ._jsonc import SyntaxProblem, parse_document
from ._schema import Name, StrictModel

MAX_WEIGHT = 1e9

_Weight = Annotated[float, Field(gt=0.0, le=MAX_WEIGHT, allow_inf_nan=False)]


class _SnapshotText(StrictModel):
    version: int = Field(ge=1)
    shards: dict[Name, dict[Name, _Weight]]


class _CatalogueText(StrictModel):
    versions: list[_SnapshotText] = Field(min_length=1, max_length=16)


@dataclass(frozen=True, slots=True)
class Snapshot:
    """One version of the index: the shards of each service and their weights."""

    version: SnapshotVersion
    shards: Mapping[ServiceId, Mapping[ShardId, float]]

    def shards_of(self, service: ServiceId) -> Mapping[ShardId, float]:
        """Return the weights of the shards of ``service``, or an empty mapping if it has none."""
        return self.shards.get(service, {})

    def holds(self, services: Iterable[ServiceId]) -> bool:
        """Return whether each of ``services`` has shards in this snapshot."""
        return all(self.shards.get(service) for service in services)


@dataclass(frozen=True, slots=True)
class SnapshotCatalogue:
    """The published snapshots, newest first."""

    snapshots: tuple[Snapshot, ...] = field(default=())

    @property
    def newest(self) -> SnapshotVersion:
        """The newest published version, or 0 if there is none."""
        return self.snapshots[0].version if self.snapshots else SnapshotVersion(0)

    def choose_snapshot(
        self,
        services: Iterable[ServiceId],
        unavailable: Mapping[ServiceId, frozenset[SnapshotVersion]],
        tried: frozenset[SnapshotVersion],
    ) -> Snapshot | None:
        """Return the newest snapshot not in ``tried`` that none of ``services`` is known to lack.

        ``unavailable`` maps services to the versions that their searchers are known not to hold.
        If every untried snapshot is unavailable at one of ``services``, return the newest untried
        one. Return ``None`` if all were tried.
        """
        needed = tuple(services)
        untried = [snapshot for snapshot in self.snapshots if snapshot.version not in tried]
        for snapshot in untried:
            if not any(snapshot.version in unavailable.get(service, ()) for service in needed):
                return snapshot
        return untried[0] if untried else None


def read_catalogue(text: str) -> SnapshotCatalogue | None:
    """Parse the snapshot catalogue that the platform publishes; return ``None`` if it is invalid.

    Weights must be positive, and no key or version may occur twice. Otherwise the reported
    coverage of answers would be wrong.
    """
    document = parse_document(text)
    if isinstance(document, SyntaxProblem):
        return None
    try:
        validated = _CatalogueText.model_validate(document.value)
    except ValidationError:
        return None
    if len({item.version for item in validated.versions}) < len(validated.versions):
        return None
    snapshots = [
        Snapshot(
            SnapshotVersion(item.version),
            {
                ServiceId(service): {ShardId(shard): weight for shard, weight in shards.items()}
                for service, shards in item.shards.items()
            },
        )
        for item in validated.versions
    ]
    return SnapshotCatalogue(tuple(sorted(snapshots, key=lambda s: s.version, reverse=True)))
