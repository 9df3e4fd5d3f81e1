"""The choice of the searcher that gets the next work of a service.

The searchers of a service are replicas of one another.
"""

from collections import Counter

from masticgate import Millis
from masticgate.process import LoadReport
from masticgate.process._searcher_health import SearcherState
from tests.process.fake_connections import (
    DRAINING,
    HITS,
    LOST,
    SEARCHERS,
    SHED,
    FakeConnections,
)


class TestSearcherChoice:
    def test_wrong_reported_load_changes_share_of_work_by_at_most_a_tenth(self):
        shares = []
        for reported_load in (0, 1000):
            connections = FakeConnections()
            connections.add_all_idle()
            connections.pool.record_load(SEARCHERS["a"], LoadReport(reported_load, False))
            assigned = Counter()
            for _ in range(60):
                connections.search()
                connections.search()
                assigned.update(attempt.searcher for attempt in connections.start_assigned())
                connections.clock.advance(Millis(20.0))
                for attempt in list(connections.attempts):
                    connections.finish(attempt, HITS)
                    connections.add_idle(attempt.searcher)
            shares.append(assigned["a"] / sum(assigned.values()))
        assert max(shares) - min(shares) <= 0.1

    def test_ejects_failing_searcher_and_uses_it_again_after_one_probe(self):
        connections = FakeConnections()
        connections.add_all_idle()
        health = connections.pool.health["a"]
        while health.state is not SearcherState.EJECTED:
            self.run(connections, {"a": LOST, "b": HITS})
        assert all(attempt.searcher == "b" for attempt in self.run(connections, {"b": HITS}))
        connections.clock.advance(Millis(600.0))
        for _ in range(4):
            connections.search()
        (probe,) = [attempt for attempt in connections.start_assigned() if attempt.searcher == "a"]
        connections.finish(probe, HITS)
        assert health.state is SearcherState.WARMING
        assert health.max_in_flight(connections.clock.now()) == 1

    def test_never_ejects_more_than_half_of_the_searchers(self):
        connections = FakeConnections()
        connections.add_all_idle()
        for _ in range(20):
            self.run(connections, {"a": LOST, "b": LOST})
        states = [health.state for health in connections.pool.health.values()]
        assert states.count(SearcherState.EJECTED) == 1

    def test_uses_draining_searcher_again_only_as_new_incarnation(self):
        connections = FakeConnections()
        connections.add_all_idle()
        health = connections.pool.health["a"]
        connections.pool.record_load(SEARCHERS["a"], LoadReport(0, False, "1"))
        while health.state is not SearcherState.DRAINING:
            self.run(connections, {"a": DRAINING, "b": HITS})
        connections.pool.record_load(SEARCHERS["a"], LoadReport(0, False, "1"))
        assert health.state is SearcherState.DRAINING
        connections.pool.record_load(SEARCHERS["a"], LoadReport(0, False, "2"))
        assert health.state is SearcherState.WARMING

    def test_uses_draining_searcher_without_incarnation_again_after_a_failed_load_check(self):
        connections = FakeConnections()
        health = connections.pool.health["a"]
        health.drain()
        connections.pool.record_load(SEARCHERS["a"], LoadReport(0, False))
        assert health.state is SearcherState.DRAINING
        connections.pool.record_load(SEARCHERS["a"], None)
        connections.pool.record_load(SEARCHERS["a"], LoadReport(0, False))
        assert health.state is SearcherState.WARMING

    def test_sends_less_to_searcher_that_sheds_load_but_does_not_eject_it(self):
        connections = FakeConnections()
        connections.add_all_idle()
        health = connections.pool.health["a"]
        for _ in range(20):
            self.run(connections, {"a": HITS, "b": HITS})
        while health.eligible_at <= connections.clock.now():
            self.run(connections, {"a": SHED, "b": HITS})
        assert health.max_in_flight(connections.clock.now()) == 0
        connections.clock.advance(Millis(600.0))
        assert health.max_in_flight(connections.clock.now()) == 1
        assert health.state is not SearcherState.EJECTED

    @staticmethod
    def run(connections, results):
        """Run four searches at once, each with the result given for its searcher.

        Return all their attempts.
        """
        for _ in range(4):
            connections.search()
        ran = []
        connections.start_assigned()
        connections.clock.advance(Millis(5.0))
        while connections.attempts:
            attempt = connections.attempts[0]
            ran.append(attempt)
            connections.finish(attempt, results[attempt.searcher])
            connections.add_idle(attempt.searcher)
        return ran
