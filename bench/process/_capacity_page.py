"""The tables of ``docs/CAPACITY.md``, and the code that inserts them into the page."""

import re

from tests.standins.fleet import ROOT

from ._forecast import (
    break_table,
    budget_table,
    change_table,
    check_table,
    derived_table,
    failure_table,
    latency_table,
)
from ._roles import all_rows
from ._rows import Unit, format_measure, format_number, markdown_table, role_table
from ._target import Slopes

PAGE = ROOT / "docs" / "CAPACITY.md"
TABLE = re.compile(r"<!-- table: (?P<name>[a-z -]+) -->\n.*?<!-- end -->", re.DOTALL)
"""Matches one table of the page and the comments that mark its start and its end."""


def tables(slopes: Slopes) -> dict[str, str]:
    """Return every table as Markdown, by its name in the page."""
    roles = {f"role {name}": role_table(rows) for name, rows in all_rows(slopes).items()}
    return roles | {
        "derived": derived_table(),
        "slopes": slope_table(slopes),
        "today": today_table(slopes),
        "budget": budget_table(slopes),
        "breaks": break_table(slopes),
        "change": change_table(slopes),
        "latency": latency_table(slopes),
        "check": check_table(slopes),
        "failures": failure_table(slopes),
    }


def fill(page: str, contents: dict[str, str]) -> str:
    """Return ``page`` with each table replaced by the one with the same name in ``contents``.

    :raises KeyError: ``contents`` has no table of a name that the page uses.
    """

    def place(match: re.Match[str]) -> str:
        name = match["name"]
        return f"<!-- table: {name} -->\n\n{contents[name]}\n\n<!-- end -->"

    return TABLE.sub(place, page)


def slope_table(slopes: Slopes) -> str:
    """Return the table of the measured costs, each with the line fitted to it and its r²."""
    rows = []
    for line in slopes.figures["slopes"].values():
        unit = {"us": "µs", "bytes": "B"}[line["unit"]]
        points = ", ".join(
            f"{format_number(size)}: {format_number(value)}"
            for size, value in zip(line["sizes"], line["values"], strict=True)
        )
        slope = f"{format_number(line['slope'])} {unit} per {line['per']}"
        rows.append(
            [line["name"], points, slope, format_number(line["start"]), f"{line['r2']:.3f}"]
        )
    return markdown_table(["cost", "size: measured value", "slope", "at size 0", "r²"], rows)


def today_table(slopes: Slopes) -> str:
    """Return the table of what a host of each measured fleet used on average."""
    rows = []
    for name, use in slopes.figures["fleets"].items():
        rows.append(
            [
                name,
                str(use["hosts"]),
                format_measure(use["control_cpu"], Unit.CORE),
                format_measure(use["all_cpu"], Unit.CORE),
                format_measure(use["control_sent"], Unit.BYTES_A_SECOND),
                format_measure(use["work_sent"], Unit.BYTES_A_SECOND),
                format_measure(use["resident"], Unit.BYTES),
                format_number(use["threads"]),
            ]
        )
    heads = [
        "fleet",
        "hosts",
        "CPU, control work",
        "CPU, whole process",
        "sent, control work",
        "sent, requests",
        "resident memory",
        "threads",
    ]
    return markdown_table(heads, rows)
