"""Searches under combinations of faults.

The coverage of each answer is computed again from its hits. The hits of a whole (complete) answer
are compared with those that a direct search of each searcher finds.
"""

import itertools
import json
import random
from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from masticgate import Millis, NotRun, QueryId, Rank, Reason, ServiceId, ShardId, Step, Unknown
from masticgate.request import Answer, Ask, Hit, Hits, Query, Reply, VersionGone, run_search
from masticgate.version import Snapshot, SnapshotCatalogue
from tests.request.scripted_runtime import ScriptedRuntime
from tests.texts import SMALL

SERVICES = (ServiceId("desk/1"), ServiceId("ledger/1"))
FAULTS = (
    "late",
    "slow",
    "duplicate",
    "lost",
    "other version gone",
    "hits of other version",
    "failure",
    "owner lost",
)
"""Faults of one service; a slow reply still arrives within ``TIMEOUT_MS``, a late one does not."""

TIMEOUT_MS = 230.0


class ReferenceSearchers:
    """The searchers of all services: the snapshots that they hold, and a log of their answers."""

    def __init__(self):
        self.held = {service: set() for service in SERVICES}
        self.log = []

    def search(self, query, snapshot, service, shards, text):
        """Return the hits of one service, or ``None`` if it does not hold the snapshot."""
        if snapshot not in self.held[service]:
            return None
        self.log.append((query, snapshot, service, tuple(shards)))
        return self.hits(snapshot, shards, text)

    def hits(self, snapshot, shards, text):
        drawn = [random.Random(f"{snapshot}{shard}{text}").random() for shard in shards]
        found = zip(shards, drawn, strict=True)
        return tuple(Hit(f"{s}@{snapshot}", score, s, str(snapshot)) for s, score in found)


class SearchMachine(RuleBasedStateMachine):
    """Sets faults, several of which may apply at once, and searches under them."""

    def __init__(self):
        super().__init__()
        self.searchers = ReferenceSearchers()
        self.runtime = ScriptedRuntime(SMALL, self.respond)
        self.faults = {service: [] for service in SERVICES}
        self.query_numbers = itertools.count()

    @initialize()
    def publish_first(self):
        self.publish_snapshot(2, 2)

    @rule(desk=st.integers(1, 3), ledger=st.integers(0, 3))
    def publish_snapshot(self, desk, ledger):
        version = self.runtime.catalogue.newest + 1
        counts = dict(zip(SERVICES, (desk, ledger), strict=True))
        shards = {
            service: {ShardId(f"{service}/v{version}s{n}"): 1.0 + n for n in range(count)}
            for service, count in counts.items()
            if count
        }
        kept = (Snapshot(version, shards), *self.runtime.catalogue.snapshots[:2])
        self.runtime.catalogue = SnapshotCatalogue(kept)
        for held in self.searchers.held.values():
            held.add(version)

    @rule(service=st.sampled_from(SERVICES), data=st.data())
    def drop_version(self, service, data):
        versions = [s.version for s in self.runtime.catalogue.snapshots]
        self.searchers.held[service].discard(data.draw(st.sampled_from(versions)))

    @rule(
        service=st.sampled_from(SERVICES), fault=st.sampled_from(FAULTS), keep_latest=st.booleans()
    )
    def set_faults(self, service, fault, keep_latest):
        """Set one fault of a service; with ``keep_latest``, keep its latest one as well."""
        self.faults[service] = [*self.faults[service][-1:], fault] if keep_latest else [fault]

    @rule(host=st.sampled_from(["h0", "h1", "h2"]), kind=st.sampled_from(["unreachable", "silent"]))
    def lose_owner(self, host, kind):
        getattr(self.runtime, kind).add(host)

    @rule()
    def recover(self):
        self.runtime.unreachable.clear()
        self.runtime.silent.clear()
        self.runtime.gone.clear()
        self.faults = {service: [] for service in SERVICES}

    @rule(rank=st.sampled_from(list(Rank)))
    def search(self, rank):
        query_id = QueryId(f"q{next(self.query_numbers)}")
        deadline = Millis(self.runtime.clock.now() + TIMEOUT_MS)
        query = Query(query_id, rank, deadline, 0.5, (SERVICES[0],), "lamp", 50)
        result = run_search(query, self.runtime)
        assert self.runtime.clock.now() <= deadline
        assert {m.query for _, m in self.runtime.sent} <= self.runtime.discarded_queries
        if isinstance(result, Answer):
            self.check_answer(result, query_id)
        else:
            assert isinstance(result, NotRun)

    def respond(self, host, message, deliver):
        if isinstance(message, Ask) and host not in self.runtime.silent:
            for part in message.parts:
                self.answer_part(message, part, deliver)

    def answer_part(self, ask, part, deliver):
        faults = self.faults[part.service]
        delay = 300.0 if "late" in faults else 100.0 if "slow" in faults else 10.0
        if "owner lost" in faults:
            lost = Unknown(Reason.OWNER_LOST, Step.FORWARD)
            deliver(5.0, Reply(ask.query, part.service, lost))
        if "failure" in faults:
            lost = Unknown(Reason.SEARCHER_LOST, Step.UPSTREAM)
            deliver(delay, Reply(ask.query, part.service, lost))
        if "hits of other version" in faults:
            shards = part.shards
            wrong = Hits(ask.snapshot + 1, shards, self.searchers.hits(999, shards, ask.text))
            deliver(delay / 2, Reply(ask.query, part.service, wrong))
        if "other version gone" in faults:
            deliver(delay / 2, Reply(ask.query, part.service, VersionGone(ask.snapshot - 1, ())))
        if "lost" in faults:
            return
        found = self.searchers.search(ask.query, ask.snapshot, part.service, part.shards, ask.text)
        result = VersionGone(ask.snapshot, tuple(self.searchers.held[part.service]))
        if found is not None:
            result = Hits(ask.snapshot, part.shards, found)
        for copy in range(2 if "duplicate" in faults else 1):
            deliver(delay + 3 * copy, Reply(ask.query, part.service, result))

    def check_answer(self, answer, query_id):
        (snapshot,) = (s for s in self.runtime.catalogue.snapshots if s.version == answer.snapshot)
        weights = {s: w for service in SERVICES for s, w in snapshot.shards_of(service).items()}
        hits_per_shard = Counter(hit.shard for hit in answer.hits)
        assert set(hits_per_shard) <= set(weights)
        assert set(hits_per_shard.values()) <= {1}
        assert {hit.document for hit in answer.hits} <= {str(answer.snapshot)}
        self.check_coverage(answer, snapshot, weights, hits_per_shard)
        logged = {
            shard
            for query, version, _, shards in self.searchers.log
            for shard in shards
            if query.startswith(f"{query_id}.") and version == answer.snapshot
        }
        assert set(hits_per_shard) <= logged
        if answer.whole:
            assert answer.hits == self.search_naively(snapshot)

    def check_coverage(self, answer, snapshot, weights, hits_per_shard):
        services_with_shards = sum(bool(snapshot.shards_of(service)) for service in SERVICES)
        share = services_with_shards / len(SERVICES)
        expected = share * sum(weights[shard] for shard in hits_per_shard) / sum(weights.values())
        assert abs(answer.coverage - expected) < 1e-9
        assert {m.shard for m in answer.missing if m.shard} == set(weights) - set(hits_per_shard)
        assert answer.whole == (expected == 1.0)

    def search_naively(self, snapshot):
        """Return the sorted hits of all services, found by searching each one directly."""
        found = []
        for service in SERVICES:
            found += self.searchers.hits(snapshot.version, snapshot.shards_of(service), "lamp")
        return tuple(sorted(found, key=lambda hit: (hit.score, hit.id), reverse=True))


SearchMachine.TestCase.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=25, deadline=None
)


class TestSearchUnderFaults(SearchMachine.TestCase):
    """Runs the rules of the state machine in generated sequences."""


class TestSearch:
    def search(self, machine):
        query = Query(QueryId("q"), Rank.URGENT, Millis(230.0), 0.5, SERVICES[:1], "lamp", 50)
        return run_search(query, machine.runtime)

    def machine(self):
        machine = SearchMachine()
        machine.publish_first()
        return machine

    def test_answers_without_service_that_lacks_the_only_snapshot(self):
        machine = self.machine()
        machine.searchers.held[SERVICES[1]].clear()
        machine.faults[SERVICES[0]] = ["slow"]
        answer = self.search(machine)
        assert answer.coverage == 0.5
        assert {m.failure.reason for m in answer.missing} == {Reason.VERSION_GONE}

    def test_ignores_version_gone_for_other_snapshot(self):
        machine = self.machine()
        machine.faults[SERVICES[1]] = ["other version gone", "duplicate"]
        assert self.search(machine).whole

    def test_restarts_on_older_snapshot_if_newest_is_gone(self):
        machine = self.machine()
        machine.publish_snapshot(3, 1)
        machine.searchers.held[SERVICES[1]].discard(2)
        answer = self.search(machine)
        assert answer.whole and answer.snapshot == 1

    def test_replaces_silent_owner_while_other_replies_arrive(self):
        machine = self.machine()
        silent = machine.runtime.hosts[0]

        def respond(host, message, deliver):
            if host == silent and isinstance(message, Ask):
                for delay in range(5, 200, 5):
                    unusable = Hits(99, (), ())
                    deliver(delay, Reply(message.query, SERVICES[0], unusable))
            else:
                machine.respond(host, message, deliver)

        machine.runtime.respond = respond
        machine.runtime.silent.add(silent)
        assert self.search(machine).whole

    def test_reports_service_without_shards_as_missing(self):
        machine = self.machine()
        machine.publish_snapshot(2, 0)
        answer = self.search(machine)
        assert (answer.whole, answer.coverage) == (False, 0.5)
        assert json.dumps([m.service for m in answer.missing]) == '["ledger/1"]'
