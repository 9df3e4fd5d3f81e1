"""The capacity page contains the tables that the bench computes."""

from bench.process._capacity_page import PAGE, TABLE, fill, tables
from bench.process._target import Slopes


class TestCapacityPage:
    def test_contains_the_tables_computed_from_the_measured_slopes(self):
        page = PAGE.read_text(encoding="utf-8")
        assert fill(page, tables(Slopes())) == page

    def test_contains_every_table_once(self):
        names = [match["name"] for match in TABLE.finditer(PAGE.read_text(encoding="utf-8"))]
        assert sorted(names) == sorted(tables(Slopes()))
