"""Merges the replies to one search into an answer, and computes the coverage of the answer."""

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
    """A shard that an answer does not cover, and the failure that caused it.

    ``shard`` is empty if the snapshot has no shards of ``service`` at all.
    """

    service: ServiceId
    shard: ShardId
    failure: Failure


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to one search; all hits come from ``snapshot``, one version of the index.

    ``coverage`` is the weight of the merged shards divided by the weight of all needed shards,
    from 0 to 1. The needed shards and their weights are those of the snapshot's shard map. A
    needed service that runs no bookings and has no shards in this map counts as missing, with the
    average weight of the needed services that have shards.
    """

    query: QueryId
    rank: Rank
    snapshot: SnapshotVersion
    coverage: float
    hits: tuple[Hit, ...]
    missing: tuple[MissingShard, ...]

    @property
    def whole(self) -> bool:
        """Return whether no needed shard is missing."""
        return not self.missing


class Merge:
    """Collects the results of one search in one snapshot, and merges each shard at most once.

    ``pending`` holds the services to search that have neither replied nor failed yet.
    """

    def __init__(self, scope: Scope, snapshot: Snapshot) -> None:
        self.scope = scope
        self.snapshot = snapshot
        self.merged: dict[ServiceId, frozenset[ShardId]] = {}
        self.failures: dict[ServiceId, Failure] = {}
        self.hits: list[Hit] = []
        self.pending = {s.id for s in scope.remaining if snapshot.shards_of(s.id)}

    def add_hits(self, service: ServiceId, hits: Hits) -> bool:
        """Merge the ``hits`` of ``service``; return ``False`` if they are ignored.

        Late and duplicate hits are ignored, as their service is no longer pending, and so are hits
        from another version of the index. Shards that the snapshot lacks are left out.
        """
        if service not in self.pending or hits.snapshot != self.snapshot.version:
            return False
        snapshot_shards = self.snapshot.shards_of(service)
        covered = frozenset(shard for shard in hits.shards if shard in snapshot_shards)
        self.pending.discard(service)
        self.merged[service] = covered
        self.hits.extend(hit for hit in hits.hits if hit.shard in covered)
        return True

    def add_failure(self, service: ServiceId, failure: Failure) -> None:
        """Record ``failure`` as the result of ``service``, if it is still pending."""
        if service in self.pending:
            self.pending.discard(service)
            self.failures[service] = failure

    def fail_pending(self, failure: Failure) -> None:
        """Record ``failure`` as the result of every service that is still pending."""
        for service in tuple(self.pending):
            self.add_failure(service, failure)

    def build_answer(self, query: QueryId, rank: Rank, limit: int) -> Answer:
        """Return the answer with the ``limit`` best hits and the coverage of the merged shards."""
        missing = tuple(self._list_missing())
        coverage = 1.0 if not missing else self._coverage()
        hits = tuple(nlargest(limit, self.hits, key=lambda hit: (hit.score, hit.id)))
        return Answer(query, rank, self.snapshot.version, coverage, hits, missing)

    def _coverage(self) -> float:
        merged_weight = needed_weight = 0.0
        services_with_shards = 0
        for service in self.scope.needed:
            shards = self.snapshot.shards_of(service.id)
            covered = self.merged.get(service.id, frozenset())
            needed_weight += sum(shards.values())
            merged_weight += sum(shards[shard] for shard in covered)
            services_with_shards += bool(shards)
        services_without_shards = len(self._find_services_without_shards())
        return _ratio(merged_weight, needed_weight) * _ratio(
            services_with_shards, services_with_shards + services_without_shards
        )

    def _list_missing(self) -> Iterable[MissingShard]:
        for service in self.scope.needed:
            covered = self.merged.get(service.id, frozenset())
            for shard in self.snapshot.shards_of(service.id):
                if shard not in covered:
                    yield MissingShard(service.id, shard, self._failure_of(service.id))
        for name in self._find_services_without_shards():
            detail = f"snapshot {self.snapshot.version} has no shards of this service"
            yield MissingShard(
                name, ShardId(""), NotRun(Reason.NO_SNAPSHOT, Step.PIN, name, detail)
            )

    def _find_services_without_shards(self) -> list[ServiceId]:
        """Return the needed services that should have shards in the snapshot but have none.

        A service that runs bookings needs no shards.
        """
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
