"""The search under mixed faults, against a recount and a naive search over the same searchers."""

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
    "wrong version",
    "other version",
    "failure",
    "owner lost",
)
DEADLINE = 230.0


class NaiveSearchers:
    """The searchers' side: what each holds, and a log of what each answered."""

    def __init__(self):
        self.held = {service: set() for service in SERVICES}
        self.log = []

    def search(self, query, snapshot, service, shards, text):
        """Answer as the stand-in does; ``None`` where the snapshot is not held."""
        if snapshot not in self.held[service]:
            return None
        self.log.append((query, snapshot, service, tuple(shards)))
        return self.hits(snapshot, shards, text)

    def hits(self, snapshot, shards, text):
        drawn = [random.Random(f"{snapshot}{shard}{text}").random() for shard in shards]
        found = zip(shards, drawn, strict=True)
        return tuple(Hit(f"{s}@{snapshot}", score, s, str(snapshot)) for s, score in found)


class SearchMachine(RuleBasedStateMachine):
    """Rules set faults, of which several may be at work, and search through them."""

    def __init__(self):
        super().__init__()
        self.searchers = NaiveSearchers()
        self.runtime = ScriptedRuntime(SMALL, self.react)
        self.faults = {service: [] for service in SERVICES}
        self.numbers = itertools.count()

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

    @rule(service=st.sampled_from(SERVICES), fault=st.sampled_from(FAULTS), other=st.booleans())
    def set_faults(self, service, fault, other):
        """Seed one fault, beside the last one where ``other`` is set."""
        self.faults[service] = [*self.faults[service][-1:], fault] if other else [fault]

    @rule(host=st.sampled_from(["h0", "h1", "h2"]), kind=st.sampled_from(["closed", "silent"]))
    def lose_owner(self, host, kind):
        getattr(self.runtime, kind).add(host)

    @rule()
    def recover(self):
        self.runtime.closed.clear()
        self.runtime.silent.clear()
        self.runtime.gone.clear()
        self.faults = {service: [] for service in SERVICES}

    @rule(rank=st.sampled_from(list(Rank)))
    def search(self, rank):
        name = QueryId(f"q{next(self.numbers)}")
        end = Millis(self.runtime.clock.now() + DEADLINE)
        query = Query(name, rank, end, 0.5, (SERVICES[0],), "lamp", 50)
        result = run_search(query, self.runtime)
        assert self.runtime.clock.now() <= end
        assert {m.query for _, m in self.runtime.sent} <= self.runtime.forgotten
        if isinstance(result, Answer):
            self.check_answer(result, name)
        else:
            assert isinstance(result, NotRun)

    def react(self, host, message, deliver):
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
        if "other version" in faults:
            shards = part.shards
            wrong = Hits(ask.snapshot + 1, shards, self.searchers.hits(999, shards, ask.text))
            deliver(delay / 2, Reply(ask.query, part.service, wrong))
        if "wrong version" in faults:
            deliver(delay / 2, Reply(ask.query, part.service, VersionGone(ask.snapshot - 1, ())))
        if "lost" in faults:
            return
        found = self.searchers.search(ask.query, ask.snapshot, part.service, part.shards, ask.text)
        result = VersionGone(ask.snapshot, tuple(self.searchers.held[part.service]))
        if found is not None:
            result = Hits(ask.snapshot, part.shards, found)
        for copy in range(2 if "duplicate" in faults else 1):
            deliver(delay + 3 * copy, Reply(ask.query, part.service, result))

    def check_answer(self, answer, name):
        (snapshot,) = (s for s in self.runtime.catalogue.snapshots if s.version == answer.snapshot)
        weights = {s: w for service in SERVICES for s, w in snapshot.shards_of(service).items()}
        counted = Counter(hit.shard for hit in answer.hits)
        assert set(counted) <= set(weights)
        assert set(counted.values()) <= {1}
        assert {hit.document for hit in answer.hits} <= {str(answer.snapshot)}
        self.check_coverage(answer, snapshot, weights, counted)
        logged = {
            shard
            for query, version, _, shards in self.searchers.log
            for shard in shards
            if query.startswith(f"{name}.") and version == answer.snapshot
        }
        assert set(counted) <= logged
        if answer.whole:
            assert answer.hits == self.search_naively(snapshot)

    def check_coverage(self, answer, snapshot, weights, counted):
        mapped = sum(bool(snapshot.shards_of(service)) for service in SERVICES)
        share = mapped / len(SERVICES)
        true = share * sum(weights[shard] for shard in counted) / sum(weights.values())
        assert abs(answer.coverage - true) < 1e-9
        assert {m.shard for m in answer.missing if m.shard} == set(weights) - set(counted)
        assert answer.whole == (true == 1.0)

    def search_naively(self, snapshot):
        """Ask every searcher directly, one after the other, and sort what they say."""
        found = []
        for service in SERVICES:
            found += self.searchers.hits(snapshot.version, snapshot.shards_of(service), "lamp")
        return tuple(sorted(found, key=lambda hit: (hit.score, hit.id), reverse=True))


SearchMachine.TestCase.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=25, deadline=None
)


class TestSearchUnderFaults(SearchMachine.TestCase):
    """Runs the machine."""


class TestSearch:
    def search(self, machine):
        query = Query(QueryId("q"), Rank.URGENT, Millis(230.0), 0.5, SERVICES[:1], "lamp", 50)
        return run_search(query, machine.runtime)

    def machine(self):
        machine = SearchMachine()
        machine.publish_first()
        return machine

    def test_keeps_the_other_services_where_the_only_snapshot_is_gone_from_one(self):
        machine = self.machine()
        machine.searchers.held[SERVICES[1]].clear()
        machine.faults[SERVICES[0]] = ["slow"]
        answer = self.search(machine)
        assert answer.coverage == 0.5
        assert {m.failure.reason for m in answer.missing} == {Reason.VERSION_GONE}

    def test_goes_on_where_a_version_it_did_not_ask_for_is_gone(self):
        machine = self.machine()
        machine.faults[SERVICES[1]] = ["wrong version", "duplicate"]
        assert self.search(machine).whole

    def test_restarts_whole_on_an_older_snapshot(self):
        machine = self.machine()
        machine.publish_snapshot(3, 1)
        machine.searchers.held[SERVICES[1]].discard(2)
        answer = self.search(machine)
        assert answer.whole and answer.snapshot == 1

    def test_leaves_a_silent_owner_though_other_replies_keep_coming(self):
        machine = self.machine()
        silent = machine.runtime.hosts[0]

        def react(host, message, deliver):
            if host == silent and isinstance(message, Ask):
                for delay in range(5, 200, 5):
                    strange = Hits(99, (), ())
                    deliver(delay, Reply(message.query, SERVICES[0], strange))
            else:
                machine.react(host, message, deliver)

        machine.runtime.react = react
        machine.runtime.silent.add(silent)
        assert self.search(machine).whole

    def test_a_service_that_the_shard_map_lacks_is_missing(self):
        machine = self.machine()
        machine.publish_snapshot(2, 0)
        answer = self.search(machine)
        assert (answer.whole, answer.coverage) == (False, 0.5)
        assert json.dumps([m.service for m in answer.missing]) == '["ledger/1"]'
