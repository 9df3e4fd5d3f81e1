"""Tests of the lines fitted to measured costs, and of the figures computed from them."""

import pytest
from bench.process._rows import Factor, Row, Unit, format_measure, format_number
from bench.process._slope import Slope


class TestSlope:
    def test_line_and_fit_follow_from_the_measured_values(self):
        exact = Slope("cost", "us", "host", [1.0, 2.0, 4.0], [5.0, 7.0, 11.0])
        scattered = Slope("cost", "us", "host", [1.0, 2.0, 4.0], [5.0, 1.0, 11.0])
        assert exact.line == pytest.approx((2.0, 3.0))
        assert exact.fit == pytest.approx(1.0)
        assert scattered.fit < 0.9


class TestRow:
    def test_value_is_the_product_of_the_shown_factors(self):
        row = Row("CPU", (Factor(2000.0, "calls/s"), Factor(3.0, "µs")), Unit.CORE, scale=1e-6)
        assert row.formula == "2,000 calls/s × 3 µs"
        assert format_measure(row.value, row.unit) == "0.6% of a core"

    def test_numbers_have_three_significant_digits(self):
        assert [format_number(x) for x in (0.0, 0.001234, 12.345, 12345.0)] == [
            "0",
            "1.23e-03",
            "12.3",
            "12,300",
        ]
