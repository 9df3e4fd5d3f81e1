"""Merges the replies of one search and counts the coverage that they truly have."""

from collections.abc import Iterable
from dataclasses import dataclass
from heapq import nlargest

from .._failures import Failure, NotRun, Reason, Step
from .._ids import QueryId, ServiceId, ShardId, SnapshotVersion
from .._ranks import Rank
from ..version import Scope, Snapshot
from ._messages import Hit, Hits


@dataclass(frozen=True, slots=True)
class MissingShard:
    """A shard that the answer does not cover, and why."""

    service: ServiceId
    shard: ShardId
    failure: Failure


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to one search, all of it from ``snapshot``.

    ``coverage`` is the weight of the merged shards over the weight of all needed shards of the
    snapshot's own shard map, from 0 to 1. A needed service that the shard map lacks is missing:
    it counts as much as the average of the others.
    """

    query: QueryId
    rank: Rank
    snapshot: SnapshotVersion
    coverage: float
    hits: tuple[Hit, ...]
    missing: tuple[MissingShard, ...]

    @property
    def whole(self) -> bool:
        """Tell whether no needed shard is missing."""
        return not self.missing


class Merge:
    """Collects the replies of one attempt at one snapshot; each shard counts once."""

    def __init__(self, scope: Scope, snapshot: Snapshot) -> None:
        self.scope = scope
        self.snapshot = snapshot
        self.merged: dict[ServiceId, frozenset[ShardId]] = {}
        self.failures: dict[ServiceId, Failure] = {}
        self.hits: list[Hit] = []
        self.pending = {s.id for s in scope.remaining if snapshot.shards_of(s.id)}

    def add_hits(self, service: ServiceId, hits: Hits) -> bool:
        """Merge ``hits``; return ``False`` where they are late, duplicate or of another version."""
        if service not in self.pending or hits.snapshot != self.snapshot.version:
            return False
        snapshot_shards = self.snapshot.shards_of(service)
        covered = frozenset(shard for shard in hits.shards if shard in snapshot_shards)
        self.pending.discard(service)
        self.merged[service] = covered
        self.hits.extend(hit for hit in hits.hits if hit.shard in covered)
        return True

    def add_failure(self, service: ServiceId, failure: Failure) -> None:
        """Give up on ``service``."""
        if service in self.pending:
            self.pending.discard(service)
            self.failures[service] = failure

    def fail_pending(self, failure: Failure) -> None:
        """Give up on every service still waited for."""
        for service in tuple(self.pending):
            self.add_failure(service, failure)

    def build_answer(self, query: QueryId, rank: Rank, limit: int) -> Answer:
        """Return the answer with its ``limit`` best hits and its true coverage."""
        missing = tuple(self._list_missing())
        coverage = 1.0 if not missing else self._coverage()
        hits = tuple(nlargest(limit, self.hits, key=lambda hit: (hit.score, hit.id)))
        return Answer(query, rank, self.snapshot.version, coverage, hits, missing)

    def _coverage(self) -> float:
        merged = needed_weight = 0.0
        services_with_shards = 0
        for service in self.scope.needed:
            shards = self.snapshot.shards_of(service.id)
            covered = self.merged.get(service.id, frozenset())
            needed_weight += sum(shards.values())
            merged += sum(shards[shard] for shard in covered)
            services_with_shards += bool(shards)
        services_without_shards = len(self._find_services_without_shards())
        return _ratio(merged, needed_weight) * _ratio(
            services_with_shards, services_with_shards + services_without_shards
        )

    def _list_missing(self) -> Iterable[MissingShard]:
        for service in self.scope.needed:
            covered = self.merged.get(service.id, frozenset())
            for shard in self.snapshot.shards_of(service.id):
                if shard not in covered:
                    yield MissingShard(service.id, shard, self._failure_of(service.id))
        for name in self._find_services_without_shards():
            detail = f"snapshot {self.snapshot.version} has no shards of it"
            yield MissingShard(
                name, ShardId(""), NotRun(Reason.NO_SNAPSHOT, Step.PIN, name, detail)
            )

    def _find_services_without_shards(self) -> list[ServiceId]:
        """Return the services to search that the shard map lacks; one for bookings needs none."""
        return [
            service.id
            for service in self.scope.needed
            if not service.bookings and not self.snapshot.shards_of(service.id)
        ]

    def _failure_of(self, service: ServiceId) -> Failure:
        if service in self.scope.leaving:
            return NotRun(Reason.DEPARTMENT_LEFT, Step.ROUTE, peer=service)
        default = NotRun(
            Reason.SEARCHER_ERROR, Step.MERGE, peer=service, detail="shard not covered"
        )
        return self.failures.get(service, default)


def _ratio(part: float, whole: float) -> float:
    return max(0.0, part / whole) if whole > 0 else 0.0
