"""Rows of the forecast, each a figure shown as the product of its factors."""

from dataclasses import dataclass
from enum import Enum
from math import prod

KILO = 1e3
SHOWN_AS_ZERO = 1e-9
"""Figures smaller than this are written as 0."""


class State(Enum):
    """How far the mechanism that a figure depends on is built."""

    BUILT = "built"
    PARTLY = "partly built"
    """It works at today's size, but not up to the target."""

    DESIGNED = "only designed"


class Unit(Enum):
    """What a figure counts, and the symbol that is written after it."""

    CORE = "core"
    BYTES = "B"
    BYTES_A_SECOND = "B/s"
    COUNT = ""
    A_SECOND = "/s"
    SECONDS = "s"
    MILLIS = "ms"


@dataclass(frozen=True)
class Factor:
    """One factor of a product, and a label that says what it counts."""

    value: float
    label: str

    def text(self) -> str:
        """Return the factor as it is shown in a product."""
        return f"{format_number(self.value)} {self.label}".strip()


@dataclass(frozen=True)
class Row:
    """One line of a role's table.

    ``scale`` converts the product of the factors into ``unit``. ``mechanism`` says what causes
    the cost, and ``control`` whether it counts as control work.
    """

    label: str
    factors: tuple[Factor, ...]
    unit: Unit
    mechanism: str = ""
    state: State = State.BUILT
    scale: float = 1.0
    control: bool = False

    @property
    def value(self) -> float:
        """The product of the factors, in the unit of the row."""
        return prod(factor.value for factor in self.factors) * self.scale

    @property
    def formula(self) -> str:
        """The factors written as a product."""
        return " × ".join(factor.text() for factor in self.factors)


def format_number(value: float) -> str:
    """Return a figure with three significant digits."""
    if abs(value) < SHOWN_AS_ZERO:
        return "0"
    if 0.01 <= abs(value) < KILO:
        return f"{value:.3g}"
    return f"{float(f'{value:.3g}'):,.0f}" if abs(value) >= KILO else f"{value:.2e}"


def format_measure(value: float, unit: Unit) -> str:
    """Return a figure with its unit."""
    match unit:
        case Unit.CORE:
            return f"{value:.1%} of a core" if value < 1 else f"{value:.2f} cores"
        case Unit.BYTES | Unit.BYTES_A_SECOND:
            return _format_bytes(value) + ("/s" if unit is Unit.BYTES_A_SECOND else "")
        case Unit.COUNT:
            return f"{value:,.0f}" if value >= KILO else format_number(value)
        case Unit.A_SECOND:
            return format_number(value) + "/s"
        case _:
            return f"{format_number(value)} {unit.value}"


def _format_bytes(value: float) -> str:
    for size, name in ((1e9, "GB"), (1e6, "MB"), (1e3, "KB")):
        if value >= size:
            return f"{value / size:.3g} {name}"
    return f"{value:.3g} B"


def markdown_table(heads: list[str], rows: list[list[str]]) -> str:
    """Return a Markdown table."""
    lines = [heads, ["---"] * len(heads), *rows]
    return "\n".join("| " + " | ".join(cells) + " |" for cells in lines)


def role_table(rows: list[Row]) -> str:
    """Return the Markdown table of one role."""
    heads = ["quantity", "calculation", "at the target", "control work", "mechanism", "state"]
    cells = [
        [
            row.label,
            row.formula,
            format_measure(row.value, row.unit),
            "yes" if row.control else "",
            row.mechanism,
            row.state.value,
        ]
        for row in rows
    ]
    return markdown_table(heads, cells)
