"""Runs one search: admits it, pins a snapshot, sends the parts to owners, merges the replies.

An owner is the host that sends requests to the searchers of a service. Pinning a snapshot fixes
the version of the index that the whole answer comes from.
"""

from collections import defaultdict
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass
from queue import Empty

from .._clock import remaining_seconds
from .._failures import Failure, NotRun, Reason, Step, Unknown
from .._ids import HostId, Millis, QueryId, ServiceId, SnapshotVersion
from .._ranks import Rank
from ..version import Scope, Snapshot, expand_services
from ._merge import Answer, Merge
from ._messages import Ask, Cancel, Delivery, Hits, Reply, ServicePart, VersionGone
from ._runtime import Inbox, Runtime

ANSWER_RESERVE = Millis(4.0)
"""Time in milliseconds before the deadline, reserved for merging and returning the answer."""

SILENCE_CHECK_INTERVAL = Millis(40.0)
"""Interval in milliseconds at which a waiting search checks for silent owners."""

MIN_RESTART_TIME = Millis(25.0)
"""A search restarts only if at least this many milliseconds remain to its deadline."""

MAX_OWNERS_TRIED = 3
"""The maximum number of owners to which a search in one snapshot sends the part of a service."""

OWNER_FAILURES = frozenset(
    {
        Reason.OWNER_LOST,
        Reason.OWNER_SILENT,
        Reason.NO_OWNER,
        Reason.SHUTTING_DOWN,
        Reason.NO_CONFIGURATION,
        Reason.UNKNOWN_SERVICE,
    }
)
"""Failures of an owner after which the search tries another host; a search is idempotent.

An owner may lack a service that this host knows, if it has just started or receives an edit of
the configuration later.
"""


@dataclass(frozen=True, slots=True)
class Query:
    """A caller's search.

    ``deadline`` is a point on this host's monotonic clock. ``admission_number`` is the random
    number of the query, as in :class:`Ask`. ``limit`` is the greatest number of hits to return.
    """

    id: QueryId
    rank: Rank
    deadline: Millis
    admission_number: float
    services: tuple[ServiceId, ...]
    text: str
    limit: int


def run_search(query: Query, runtime: Runtime) -> Answer | NotRun:
    """Run ``query`` and return its answer, or a failure if it did not run.

    All hits of the answer come from one snapshot. If a searcher does not hold this snapshot, the
    whole search restarts on another one, as long as the deadline allows it and one is left. Of the
    answers from the snapshots that were tried, the one with the highest coverage is returned. The
    coverage is the share of the needed shards, by weight, that the answer includes.
    """
    configuration = runtime.configuration()
    if configuration is None:
        return NotRun(Reason.NO_CONFIGURATION, Step.PIN)
    scope = expand_services(configuration, query.services)
    if isinstance(scope, NotRun):
        return scope
    if runtime.clock.now() >= query.deadline - ANSWER_RESERVE:
        return NotRun(Reason.DEADLINE, Step.ADMISSION)
    refusal = runtime.admit(query.rank, query.admission_number, scope)
    if refusal is not None:
        return refusal
    return _search_snapshots(query, scope, runtime)


def _search_snapshots(query: Query, scope: Scope, runtime: Runtime) -> Answer | NotRun:
    needed = [service.id for service in scope.remaining]
    tried: frozenset[SnapshotVersion] = frozenset()
    best: Answer | None = None
    while True:
        snapshot = runtime.choose_snapshot(needed, tried)
        if snapshot is None:
            return best or NotRun(Reason.NO_SNAPSHOT, Step.PIN)
        tried |= {snapshot.version}
        snapshot_search = _SnapshotSearch(query, scope, snapshot, tried, runtime)
        finished = snapshot_search.run()
        answer = snapshot_search.merge.build_answer(query.id, query.rank, query.limit)
        if best is None or answer.coverage > best.coverage:
            best = answer
        if finished:
            return best


class _SnapshotSearch:
    """One run of a query over one snapshot.

    ``id`` identifies this run in messages to owners; each snapshot has a new one.
    ``tried_snapshots`` holds every snapshot that was tried for the query, this one included.
    ``tried_owners`` lists the owners that were tried for each service, in order, and ``unanswered``
    holds those that have not replied.
    """

    def __init__(
        self,
        query: Query,
        scope: Scope,
        snapshot: Snapshot,
        tried_snapshots: frozenset[SnapshotVersion],
        runtime: Runtime,
    ) -> None:
        self.query = query
        self.tried_snapshots = tried_snapshots
        self.id = QueryId(f"{query.id}.{len(tried_snapshots)}")
        self.runtime = runtime
        self.snapshot = snapshot
        self.merge = Merge(scope, snapshot)
        self.inbox: Inbox = runtime.open_inbox()
        self.tried_owners: dict[ServiceId, list[HostId]] = defaultdict(list)
        self.unanswered: set[tuple[ServiceId, HostId]] = set()
        self.restart_needed = False
        self.next_silence_check = Millis(runtime.clock.now() + SILENCE_CHECK_INTERVAL)

    def run(self) -> bool:
        """Send the parts to owners and collect replies until all have arrived or time is up.

        Return ``False`` if the search should restart on another snapshot.
        """
        collection_end = Millis(self.query.deadline - ANSWER_RESERVE)
        self._ask_next_owners(tuple(self.merge.pending))
        while self.merge.pending and not self.restart_needed:
            now = self.runtime.clock.now()
            if now >= collection_end:
                break
            if now >= self.next_silence_check:
                self._replace_silent_owners(now)
            wake_at = min(collection_end, self.next_silence_check)
            with suppress(Empty):
                self._handle_delivery(
                    self.inbox.get(timeout=remaining_seconds(wake_at, self.runtime.clock))
                )
        self._cancel_unanswered()
        self.runtime.discard_replies(self.id)
        return not self.restart_needed

    def _ask_next_owners(self, services: Iterable[ServiceId]) -> None:
        """Send the part of each service to its next owner that has not been tried yet."""
        by_owner: dict[HostId, list[ServiceId]] = defaultdict(list)
        for service in services:
            owner = self._next_owner(service)
            if owner is None:
                self.merge.add_failure(service, self._no_owner_failure(service))
            else:
                by_owner[owner].append(service)
        for owner, asked in by_owner.items():
            self._ask_owner(owner, asked)

    def _ask_owner(self, owner: HostId, services: list[ServiceId]) -> None:
        for service in services:
            self.tried_owners[service].append(owner)
            self.unanswered.add((service, owner))
        parts = tuple(ServicePart(s, tuple(self.snapshot.shards_of(s))) for s in services)
        query = self.query
        remaining = Millis(query.deadline - ANSWER_RESERVE - self.runtime.clock.now())
        ask = Ask(
            self.id,
            query.rank,
            remaining,
            query.admission_number,
            self.snapshot.version,
            query.text,
            parts,
        )
        if self.runtime.send(owner, ask, self.inbox) is not None:
            self.unanswered.difference_update((service, owner) for service in services)
            self._ask_next_owners(services)

    def _next_owner(self, service: ServiceId) -> HostId | None:
        tried = self.tried_owners[service]
        if len(tried) >= MAX_OWNERS_TRIED:
            return None
        return next((host for host in self.runtime.owners(service) if host not in tried), None)

    def _no_owner_failure(self, service: ServiceId) -> Failure:
        tried = self.tried_owners[service]
        if not tried:
            return NotRun(Reason.NO_OWNER, Step.ROUTE, peer=service)
        return Unknown(Reason.OWNER_LOST, Step.FORWARD, peer=tried[-1])

    def _handle_delivery(self, delivery: Delivery) -> None:
        if isinstance(delivery.message, Reply):
            self.unanswered.discard((delivery.message.service, delivery.source))
        match delivery.message:
            case Reply(service=service, result=Hits() as hits):
                self.merge.add_hits(service, hits)
            case Reply(service=service, result=VersionGone() as version_gone):
                self.runtime.record_version_gone(service, version_gone.snapshot, version_gone.held)
                if service in self.merge.pending and version_gone.snapshot == self.snapshot.version:
                    failure = NotRun(Reason.VERSION_GONE, Step.UPSTREAM, peer=service)
                    self.merge.add_failure(service, failure)
                    self.restart_needed = self._can_restart()
            case Reply(service=service, result=NotRun() | Unknown() as failure):
                self._handle_failure(service, failure, delivery.source)

    def _can_restart(self) -> bool:
        """Return whether another snapshot exists and enough time remains to search it."""
        if self.runtime.clock.now() > self.query.deadline - MIN_RESTART_TIME:
            return False
        needed = [service.id for service in self.merge.scope.remaining]
        return self.runtime.choose_snapshot(needed, self.tried_snapshots) is not None

    def _handle_failure(self, service: ServiceId, failure: Failure, source: HostId) -> None:
        """Try another owner after a failure of the owner ``source``, or record the failure.

        A failure of an owner that has been replaced is ignored.
        """
        if service not in self.merge.pending or self.tried_owners[service][-1] != source:
            return
        if failure.reason in OWNER_FAILURES and self._next_owner(service) is not None:
            self._ask_next_owners((service,))
        else:
            self.merge.add_failure(service, failure)

    def _replace_silent_owners(self, now: Millis) -> None:
        """Resend the parts of silent owners to other owners, if the budget allows it.

        Also probe the latest owner of each pending service, so that a lost one becomes silent.
        """
        self.next_silence_check = Millis(now + SILENCE_CHECK_INTERVAL)
        for owner in {self.tried_owners[service][-1] for service in self.merge.pending}:
            self.runtime.probe(owner)
        silent = [
            service
            for service in self.merge.pending
            if self.runtime.is_silent(self.tried_owners[service][-1]) and self._next_owner(service)
        ]
        if silent and self.runtime.allow_resends(len(silent)):
            self._ask_next_owners(silent)

    def _cancel_unanswered(self) -> None:
        """Cancel every part without a reply, also at silent owners that were replaced.

        Each service that is still pending is recorded as failed.
        """
        for host in {host for _, host in self.unanswered}:
            self.runtime.send(host, Cancel(self.id), None)
        for service in tuple(self.merge.pending):
            owner = self.tried_owners[service][-1]
            silent = self.runtime.is_silent(owner)
            reason = Reason.OWNER_SILENT if silent else Reason.DEADLINE
            self.merge.add_failure(service, Unknown(reason, Step.FORWARD, peer=owner))
