"""Tests of the arrivals that the bench draws and the figures that it computes from results."""

from bench.process._figures import rank_figures
from bench.request import LOST, Result, draw_arrivals

DEADLINE_MS = 230.0


def result(latency_ms, outcome="ran", whole=True, missing=()):
    coverage = 1.0 if whole else 0.5
    return Result(0.0, "urgent", 0.0, latency_ms, 200, outcome, coverage, whole, "", missing)


class TestArrivals:
    def test_same_seed_gives_the_same_arrivals_at_the_given_rate(self):
        drawn = draw_arrivals({"urgent": 100.0, "bulk": 0.0}, 20.0, "1")
        assert drawn == draw_arrivals({"urgent": 100.0, "bulk": 0.0}, 20.0, "1")
        assert 1800 < len(drawn) < 2200 and {a.rank for a in drawn} == {"urgent"}


class TestFigures:
    def test_late_partial_refused_and_lost_answers_are_not_whole(self):
        results = [
            result(10.0),
            result(300.0),
            result(20.0, whole=False, missing=("deadline",)),
            result(1.0, "not_run", whole=False),
            result(1000.0, LOST, whole=False),
        ]
        figures = rank_figures("urgent", results, 1.0, DEADLINE_MS)
        assert (figures.whole, figures.refused, figures.lost, figures.late) == (0.2, 0.2, 0.2, 0.2)
        assert abs(figures.capped_p99 - DEADLINE_MS) < 1

    def test_answer_that_lacks_only_a_department_that_left_is_whole(self):
        results = [result(10.0, whole=False, missing=("department_left",))]
        assert rank_figures("urgent", results, 1.0, DEADLINE_MS).whole == 1.0
