"""The bench's arrivals and figures."""

from bench.process._figures import rank_figures
from bench.request import LOST, Result, draw_arrivals

DEADLINE_MS = 230.0


def result(latency_ms, outcome="ran", whole=True, missing=()):
    coverage = 1.0 if whole else 0.5
    return Result(0.0, "urgent", 0.0, latency_ms, 200, outcome, coverage, whole, "", missing)


class TestArrivals:
    def test_are_the_same_for_the_same_seed_and_come_at_the_rate(self):
        drawn = draw_arrivals({"urgent": 100.0, "bulk": 0.0}, 20.0, "1")
        assert drawn == draw_arrivals({"urgent": 100.0, "bulk": 0.0}, 20.0, "1")
        assert 1800 < len(drawn) < 2200 and {a.rank for a in drawn} == {"urgent"}


class TestFigures:
    def test_count_late_refused_and_lost_answers_as_not_whole(self):
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

    def test_count_an_answer_as_whole_where_only_a_left_department_is_missing(self):
        results = [result(10.0, whole=False, missing=("department_left",))]
        assert rank_figures("urgent", results, 1.0, DEADLINE_MS).whole == 1.0
