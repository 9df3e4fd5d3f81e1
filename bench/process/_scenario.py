"""The scenarios: loads as shares of saturation, and what happens meanwhile."""

from dataclasses import dataclass, field
from typing import Any

MIX = {"urgent": 0.2, "standard": 0.5, "bulk": 0.3}
"""Shares of the ranks in an ordinary load."""


@dataclass(frozen=True)
class Scenario:
    """One load; ``rates`` are shares of the saturation, ``knobs`` those of every searcher."""

    name: str
    rates: dict[str, float]
    knobs: dict[str, Any] = field(default_factory=dict)
    flooded: str = ""


def mixed(share: float) -> dict[str, float]:
    """Return the ordinary mix of ranks at ``share`` of the saturation."""
    return {rank: part * share for rank, part in MIX.items()}


SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario("calm-50", mixed(0.5)),
        Scenario("calm-80", mixed(0.8)),
        Scenario("saturated", mixed(1.0)),
        Scenario("stragglers", mixed(0.5), knobs={"straggler_share": 0.02, "straggler_ms": 100.0}),
        Scenario("flood-bulk", {"urgent": 0.3, "standard": 0.2, "bulk": 6.0}, flooded="bulk"),
        Scenario("flood-urgent", {"urgent": 6.0, "standard": 0.2, "bulk": 0.2}, flooded="urgent"),
    )
}
