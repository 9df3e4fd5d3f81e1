"""Which searcher of a service is given work."""

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
    def test_hardly_heeds_a_searcher_that_lies_about_its_load(self):
        shares = []
        for lie in (0, 1000):
            fleet = FakeConnections()
            fleet.add_all_idle()
            fleet.pool.record_load(SEARCHERS["a"], LoadReport(lie, False))
            given = Counter()
            for _ in range(60):
                fleet.search()
                fleet.search()
                given.update(attempt.searcher for attempt in fleet.collect())
                fleet.clock.advance(Millis(20.0))
                for attempt in list(fleet.attempts):
                    fleet.finish(attempt, HITS)
                    fleet.add_idle(attempt.searcher)
            shares.append(given["a"] / sum(given.values()))
        assert max(shares) - min(shares) <= 0.1

    def test_ejects_a_failing_searcher_and_takes_it_back_after_one_probe(self):
        fleet = FakeConnections()
        fleet.add_all_idle()
        health = fleet.pool.health["a"]
        while health.state is not SearcherState.EJECTED:
            self.run(fleet, {"a": LOST, "b": HITS})
        assert all(attempt.searcher == "b" for attempt in self.run(fleet, {"b": HITS}))
        fleet.clock.advance(Millis(600.0))
        for _ in range(4):
            fleet.search()
        (probe,) = [attempt for attempt in fleet.collect() if attempt.searcher == "a"]
        fleet.finish(probe, HITS)
        assert health.state is SearcherState.WARMING
        assert health.max_in_flight(fleet.clock.now()) == 1

    def test_never_ejects_more_than_half_of_a_service(self):
        fleet = FakeConnections()
        fleet.add_all_idle()
        for _ in range(20):
            self.run(fleet, {"a": LOST, "b": LOST})
        states = [health.state for health in fleet.pool.health.values()]
        assert states.count(SearcherState.EJECTED) == 1

    def test_keeps_a_drained_incarnation_out_and_takes_back_the_next(self):
        fleet = FakeConnections()
        fleet.add_all_idle()
        health = fleet.pool.health["a"]
        fleet.pool.record_load(SEARCHERS["a"], LoadReport(0, False, "1"))
        while health.state is not SearcherState.DRAINING:
            self.run(fleet, {"a": DRAINING, "b": HITS})
        fleet.pool.record_load(SEARCHERS["a"], LoadReport(0, False, "1"))
        assert health.state is SearcherState.DRAINING
        fleet.pool.record_load(SEARCHERS["a"], LoadReport(0, False, "2"))
        assert health.state is SearcherState.WARMING

    def test_takes_back_a_restarted_searcher_that_states_no_incarnation(self):
        fleet = FakeConnections()
        health = fleet.pool.health["a"]
        health.drain()
        fleet.pool.record_load(SEARCHERS["a"], LoadReport(0, False))
        assert health.state is SearcherState.DRAINING
        fleet.pool.record_load(SEARCHERS["a"], None)
        fleet.pool.record_load(SEARCHERS["a"], LoadReport(0, False))
        assert health.state is SearcherState.WARMING

    def test_gives_less_to_a_searcher_that_sheds_but_does_not_eject_it(self):
        fleet = FakeConnections()
        fleet.add_all_idle()
        health = fleet.pool.health["a"]
        for _ in range(20):
            self.run(fleet, {"a": HITS, "b": HITS})
        while health.eligible_at <= fleet.clock.now():
            self.run(fleet, {"a": SHED, "b": HITS})
        assert health.max_in_flight(fleet.clock.now()) == 0
        fleet.clock.advance(Millis(600.0))
        assert health.max_in_flight(fleet.clock.now()) == 1
        assert health.state is not SearcherState.EJECTED

    @staticmethod
    def run(fleet, results):
        """Run four searches at once, each ending as its searcher does."""
        for _ in range(4):
            fleet.search()
        ran = []
        fleet.collect()
        fleet.clock.advance(Millis(5.0))
        while fleet.attempts:
            attempt = fleet.attempts[0]
            ran.append(attempt)
            fleet.finish(attempt, results[attempt.searcher])
            fleet.add_idle(attempt.searcher)
        return ran
