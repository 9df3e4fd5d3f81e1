"""The queue of a service and its dispatch to searchers, under any order of events."""

from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from masticgate import Millis, Rank
from masticgate.process import BookingWork, LoadReport
from masticgate.process._retry import FREE_RETRY_REASONS
from masticgate.request import Ran
from tests.process.fake_connections import (
    DRAINING,
    HITS,
    LOST,
    SEARCHERS,
    SHARE,
    SHARES,
    SHED,
    FakeConnections,
)


class PoolMachine(RuleBasedStateMachine):
    """Offers, ends, cancels and stops work in any order."""

    def __init__(self):
        super().__init__()
        self.connections = FakeConnections()
        self.booked = set()
        self.sent = Counter()
        self.spent_tokens = 0
        self.refused = set()

    def count_attempts(self, attempts):
        for attempt in attempts:
            entry = attempt.entry
            self.sent[entry.work.query] += 1
            free = entry.failure is not None and entry.failure.reason in FREE_RETRY_REASONS
            if self.sent[entry.work.query] > 1 and (attempt.hedge or not free):
                self.spent_tokens += 1

    @rule(rank=st.sampled_from(list(Rank)), remaining=st.sampled_from([30.0, 200.0, 2000.0]))
    def search(self, rank, remaining):
        query, refusal = self.connections.search(rank, remaining)
        self.count_attempts(self.connections.start_assigned())
        if refusal is not None:
            self.refused.add(query)

    @rule()
    def book(self):
        query, refusal = self.connections.book("t")
        self.count_attempts(self.connections.start_assigned())
        if refusal is None:
            self.booked.add(query)
        else:
            self.refused.add(query)

    @rule(name=st.sampled_from("ab"))
    def add_idle(self, name):
        busy = sum(s.searcher == name for s in self.connections.attempts)
        idle = sum(s.health.searcher.id == name for s in self.connections.idle_connections)
        if busy + idle < SHARE and not self.connections.pool.stopping:
            self.count_attempts(self.connections.add_idle(name))

    @precondition(lambda self: self.connections.attempts)
    @rule(data=st.data(), result=st.sampled_from([HITS, DRAINING, SHED, LOST]))
    def finish(self, data, result):
        attempt = data.draw(st.sampled_from(self.connections.attempts))
        if isinstance(attempt.entry.work, BookingWork) and result is HITS:
            result = Ran("{}")
        self.count_attempts(self.connections.finish(attempt, result))

    @rule(duration=st.sampled_from([5.0, 60.0, 600.0]))
    def advance(self, duration):
        self.connections.clock.advance(Millis(duration))
        self.count_attempts(self.connections.dispatch_and_start())

    def start_assigned(self):
        self.count_attempts(self.connections.start_assigned())

    @precondition(lambda self: self.connections.results)
    @rule(data=st.data())
    def cancel(self, data):
        self.connections.pool.cancel(data.draw(st.sampled_from(sorted(self.connections.results))))
        self.start_assigned()

    @rule(name=st.sampled_from("ab"), draining=st.booleans(), incarnation=st.sampled_from("12"))
    def record_load(self, name, draining, incarnation):
        self.connections.pool.record_load(SEARCHERS[name], LoadReport(0, draining, incarnation))
        self.start_assigned()

    @precondition(lambda self: not self.connections.idle_connections)
    @rule()
    def stop_and_change(self):
        self.connections.pool.stop()
        assert not len(self.connections.pool.pending)
        self.connections.pool.apply_configuration(SHARES, {})

    @invariant()
    def delivers_at_most_once(self):
        assert all(len(results) <= 1 for results in self.connections.results.values())
        assert not any(self.connections.results[query] for query in self.refused)

    @invariant()
    def counts_what_is_in_flight(self):
        for name, health in self.connections.pool.health.items():
            assert health.in_flight == sum(s.searcher == name for s in self.connections.attempts)
            assert 0 <= health.in_flight <= health.connections

    @invariant()
    def sends_a_booking_at_most_once(self):
        assert all(self.sent[query] <= 1 for query in self.booked)

    @invariant()
    def keeps_to_the_budget(self):
        assert self.connections.pool.budget.tokens >= 0.0
        assert self.spent_tokens <= 1 + 0.05 * len(self.sent)

    @invariant()
    def loses_no_work(self):
        pool = self.connections.pool
        for query, entry in pool.entries.items():
            in_flight = any(s.entry is entry for s in self.connections.attempts)
            pending = any(e is entry for e in pool.pending.entries())
            assert in_flight != pending, query


class TestAnyOrder(PoolMachine.TestCase):
    settings = settings(derandomize=True, max_examples=60, stateful_step_count=40, deadline=None)
