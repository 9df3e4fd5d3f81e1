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
class Missing:
    """A shard that the answer does not cover, and why."""

    service: ServiceId
    shard: ShardId
    failure: Failure


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to one search, all of it from ``snapshot``.

    ``coverage`` is the weight of the merged shards over the weight of all needed shards of the
    snapshot's own shard map, from 0 to 1.
    """

    query: QueryId
    rank: Rank
    snapshot: SnapshotVersion
    coverage: float
    hits: tuple[Hit, ...]
    missing: tuple[Missing, ...]

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
        self.waiting = {s.id for s in scope.remaining if snapshot.shards_of(s.id)}

    def add_hits(self, service: ServiceId, hits: Hits) -> bool:
        """Merge ``hits``; return ``False`` where they are late, doubled or of another version."""
        if service not in self.waiting or hits.snapshot != self.snapshot.version:
            return False
        known = self.snapshot.shards_of(service)
        covered = frozenset(shard for shard in hits.shards if shard in known)
        self.waiting.discard(service)
        self.merged[service] = covered
        self.hits.extend(hit for hit in hits.hits if hit.shard in covered)
        return True

    def add_failure(self, service: ServiceId, failure: Failure) -> None:
        """Give up on ``service``."""
        if service in self.waiting:
            self.waiting.discard(service)
            self.failures[service] = failure

    def close(self, failure: Failure) -> None:
        """Give up on every service still waited for."""
        for service in tuple(self.waiting):
            self.add_failure(service, failure)

    def answer(self, query: QueryId, rank: Rank, limit: int) -> Answer:
        """Return the answer with its ``limit`` best hits and its true coverage."""
        missing = tuple(self._missing())
        needed = [self.snapshot.shards_of(service.id) for service in self.scope.needed]
        total = sum(sum(shards.values()) for shards in needed)
        lost = sum(self.snapshot.shards_of(item.service)[item.shard] for item in missing)
        coverage = 1.0 if not missing else _fraction(total - lost, total)
        hits = tuple(nlargest(limit, self.hits, key=lambda hit: (hit.score, hit.id)))
        return Answer(query, rank, self.snapshot.version, coverage, hits, missing)

    def _missing(self) -> Iterable[Missing]:
        for service in self.scope.needed:
            covered = self.merged.get(service.id, frozenset())
            for shard in self.snapshot.shards_of(service.id):
                if shard not in covered:
                    yield Missing(service.id, shard, self._failure_of(service.id))

    def _failure_of(self, service: ServiceId) -> Failure:
        if service in self.scope.left:
            return NotRun(Reason.DEPARTMENT_LEFT, Step.ROUTE, peer=service)
        default = NotRun(
            Reason.SEARCHER_ERROR, Step.MERGE, peer=service, detail="shard not covered"
        )
        return self.failures.get(service, default)


def _fraction(part: float, whole: float) -> float:
    return max(0.0, part / whole) if whole > 0 else 0.0
