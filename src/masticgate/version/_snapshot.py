"""Index snapshots and the shard map that the denominator of a coverage comes from."""

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
    """One index version: each service's shards and their weights."""

    version: SnapshotVersion
    shards: Mapping[ServiceId, Mapping[ShardId, float]]

    def shards_of(self, service: ServiceId) -> Mapping[ShardId, float]:
        """Return the weights of the shards of ``service``, empty where it has none."""
        return self.shards.get(service, {})

    def holds(self, services: Iterable[ServiceId]) -> bool:
        """Tell whether every one of ``services`` has shards in this snapshot."""
        return all(self.shards.get(service) for service in services)


@dataclass(frozen=True, slots=True)
class SnapshotCatalogue:
    """The published snapshots, newest first."""

    snapshots: tuple[Snapshot, ...] = field(default=())

    @property
    def newest(self) -> SnapshotVersion:
        """The newest published version, 0 where there is none."""
        return self.snapshots[0].version if self.snapshots else SnapshotVersion(0)

    def choose_snapshot(
        self,
        services: Iterable[ServiceId],
        unavailable: Mapping[ServiceId, frozenset[SnapshotVersion]],
        tried: frozenset[SnapshotVersion],
    ) -> Snapshot | None:
        """Return the newest untried snapshot that no needed service is known to lack.

        Where each one is lacking somewhere, return the newest untried one.
        """
        needed = tuple(services)
        untried = [snapshot for snapshot in self.snapshots if snapshot.version not in tried]
        for snapshot in untried:
            if not any(snapshot.version in unavailable.get(service, ()) for service in needed):
                return snapshot
        return untried[0] if untried else None


def read_catalogue(text: str) -> SnapshotCatalogue | None:
    """Parse the platform's snapshot document; return ``None`` where it is not one.

    A weight that is not positive, or a key or a version given twice, would make a reported
    coverage wrong.
    """
    document = parse_document(text)
    if isinstance(document, SyntaxProblem):
        return None
    try:
        checked = _CatalogueText.model_validate(document.value)
    except ValidationError:
        return None
    if len({item.version for item in checked.versions}) < len(checked.versions):
        return None
    snapshots = [
        Snapshot(
            SnapshotVersion(item.version),
            {
                ServiceId(service): {ShardId(shard): weight for shard, weight in shards.items()}
                for service, shards in item.shards.items()
            },
        )
        for item in checked.versions
    ]
    return SnapshotCatalogue(tuple(sorted(snapshots, key=lambda s: s.version, reverse=True)))
