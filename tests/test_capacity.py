"""The page of the size to come holds what the script works out."""

from bench.process._capacity_page import PAGE, TABLE, fill, tables
from bench.process._target import Slopes


class TestCapacityPage:
    def test_holds_the_tables_that_follow_from_the_measured_slopes(self):
        page = PAGE.read_text(encoding="utf-8")
        assert fill(page, tables(Slopes())) == page

    def test_shows_every_table_once(self):
        names = [match["name"] for match in TABLE.finditer(PAGE.read_text(encoding="utf-8"))]
        assert sorted(names) == sorted(tables(Slopes()))
