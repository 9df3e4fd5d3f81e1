"""A fleet under random faults, up to two at a time, checked against the searchers' own logs."""

import math
import os
import random
import time
from collections import defaultdict
from dataclasses import dataclass, field
from threading import Event, Thread

import pytest

from tests.process.faults import inject, plan_step, remove
from tests.standins.fleet import Fleet
from tests.texts import SMALL

SECONDS = float(os.environ.get("MASTICGATE_SOAK_SECONDS", "60"))
SEED = int(os.environ.get("MASTICGATE_SOAK_SEED", "1"))
HOSTS = 4
WORKERS = 4
SCOPE = ("desk/1", "ledger/1")
"""The services that a search in ``desk/1`` needs."""


@dataclass
class Records:
    """The outcomes that callers received, and the searches that the searchers logged.

    ``outcomes`` maps each ticket to the outcomes of its requests. ``searched`` holds the query, the
    snapshot and the shard of each search that a searcher ran.
    """

    answers: list = field(default_factory=list)
    refusals: int = 0
    outcomes: dict = field(default_factory=lambda: defaultdict(list))
    searched: set = field(default_factory=set)

    def collect(self, fleet):
        """Add what the searchers have logged so far."""
        for searcher in fleet.searcher_reports().values():
            for entry in searcher["search_log"]:
                query, _, _ = entry["query"].rpartition(".")
                self.searched |= {(query, entry["snapshot"], shard) for shard in entry["shards"]}


def run_caller(fleet, records, source, stopping):
    """Send searches and bookings, one after the other, until ``stopping`` is set."""
    while not stopping.is_set():
        try:
            if source.random() < 0.7:
                search(fleet, records, source)
            else:
                book(fleet, records, source)
        except (OSError, KeyError, TypeError):
            stopping.wait(0.05)  # The host is down, or cannot mint tickets at present.


def search(fleet, records, source):
    """Search through a random host, and record the answer or the refusal."""
    reply = fleet.search(source.randrange(HOSTS), ["desk/1"], remaining_ms=400.0)
    if reply.body["outcome"] == "ran":
        records.answers.append(reply.body)
    else:
        records.refusals += 1


def book(fleet, records, source):
    """Send one to three booking requests with the same ticket, through random hosts.

    The ticket identifies the booking, which must run at most once whichever host gets the request.
    """
    ticket = fleet.mint(source.randrange(HOSTS))
    outcomes = records.outcomes[ticket]
    for _ in range(source.randint(1, 3)):
        try:
            reply = fleet.book(source.randrange(HOSTS), ticket, "orders", remaining_ms=400.0)
            outcomes.append(reply.body["outcome"])
        except OSError:
            outcomes.append("lost")


def check_answer(fleet, records, answer):
    """Check that an answer's hits, missing shards and coverage agree with the searchers' logs."""
    version = answer["snapshot"]
    (snapshot,) = (s for s in fleet.snapshots if s["version"] == version)
    weights = {k: w for name in SCOPE for k, w in snapshot["shards"][name].items()}
    hits = [hit["shard"] for hit in answer["hits"]]
    assert len(hits) == len(set(hits))
    assert {hit["document"]["snapshot"] for hit in answer["hits"]} <= {version}
    assert {(answer["query"], version, shard) for shard in hits} <= records.searched
    assert {missing["shard"] for missing in answer["missing"]} == set(weights) - set(hits)
    expected = sum(weights[shard] for shard in hits) / sum(weights.values())
    assert math.isclose(answer["coverage"], expected, abs_tol=2e-6)


def check_bookings(fleet, records):
    """Check that each booking ran at most once, and that the outcomes agree with the logs."""
    runs = defaultdict(int)
    for searcher in fleet.searcher_reports().values():
        for booking in searcher["bookings"]:
            runs[booking["ticket"]] += 1
    assert max(runs.values(), default=0) <= 1
    for ticket, outcomes in records.outcomes.items():
        if "ran" in outcomes:
            assert runs[ticket] == 1, outcomes
        if set(outcomes) == {"not_run"}:
            assert runs[ticket] == 0, outcomes


def run_faults(fleet, records, seed, seconds):
    """Inject and remove the faults that ``seed`` gives, for ``seconds``."""
    source = random.Random(seed)
    stop = time.monotonic() + seconds
    while time.monotonic() < stop:
        step = plan_step(source, HOSTS)
        for fault in step.faults:
            inject(fleet, fault)
        time.sleep(step.fault_seconds)
        for fault in reversed(step.faults):
            remove(fleet, fault)
        time.sleep(step.recovery_seconds)
        records.collect(fleet)


def soak(seed, seconds):
    """Run a fleet under faults and requests, then check every answer and booking."""
    records, stopping = Records(), Event()
    with Fleet(SMALL, hosts=HOSTS, behaviour={"service_ms": 5.0}) as fleet:
        sources = [random.Random(f"{seed}-{number}") for number in range(WORKERS)]
        arguments = [(fleet, records, source, stopping) for source in sources]
        callers = [Thread(target=run_caller, args=each) for each in arguments]
        for caller in callers:
            caller.start()
        try:
            run_faults(fleet, records, seed, seconds)
        finally:
            stopping.set()
            for caller in callers:
                caller.join()
        time.sleep(1.0)  # Let the bookings that still run at the searchers finish.
        records.collect(fleet)
        for answer in records.answers:
            check_answer(fleet, records, answer)
        check_bookings(fleet, records)
    whole = sum(answer["whole"] for answer in records.answers)
    ran = sum("ran" in outcomes for outcomes in records.outcomes.values())
    print(
        f"seed {seed}: {len(records.answers)} answers, {whole} whole, {records.refusals} refused;"
        f" {len(records.outcomes)} tickets, {ran} ran"
    )
    assert whole and ran


class TestSchedule:
    def test_is_the_same_for_the_same_seed(self):
        plans = [
            [plan_step(source, HOSTS) for _ in range(50)]
            for source in (random.Random(7), random.Random(7))
        ]
        assert plans[0] == plans[1]
        assert {len(step.faults) for step in plans[0]} == {1, 2}


class TestSoak:
    @pytest.mark.soak
    @pytest.mark.timeout(SECONDS + 120)
    def test_answers_and_bookings_are_correct_under_random_faults(self):
        print(f"seed {SEED}, {SECONDS:.0f} s")
        soak(SEED, SECONDS)
