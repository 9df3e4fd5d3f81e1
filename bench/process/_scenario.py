"""The scenarios of the bench: loads as shares of the saturation, with faults and changes.

The saturation is the rate of wide searches that the searchers of a deployment can finish. A wide
search fans out to many services.
"""

from dataclasses import dataclass, field
from typing import Any

from ._events import Depart, Event, KillHost, LoseSearcher, PauseHost, PlatformDown, Repartition

MIX = {"urgent": 0.2, "standard": 0.5, "bulk": 0.3}
"""The share of each rank, which is the priority of a search, in an ordinary load."""

STRAGGLERS = {"straggler_share": 0.02, "straggler_ms": 180.0}
"""Settings of searchers that delay 2 % of the searches by 180 ms."""

BULK_FLOOD = {"urgent": 0.3, "standard": 0.2, "bulk": 6.0}
URGENT_FLOOD = {"urgent": 6.0, "standard": 0.2, "bulk": 0.2}
"""The rates of both floods, as shares of the saturation."""

SATURATED = "saturated"


@dataclass(frozen=True)
class Scenario:
    """A load and what happens to the fleet during it.

    ``rates`` maps each rank to its rate of searches, as a share of the saturation. ``behaviour``
    holds fields of ``Behaviour`` for every searcher. ``flooded`` names the rank whose load exceeds
    the saturation, if any, and ``event`` happens soon after the warm-up.
    """

    name: str
    rates: dict[str, float]
    behaviour: dict[str, Any] = field(default_factory=dict)
    flooded: str = ""
    event: Event | None = None

    @property
    def departs(self) -> bool:
        """Whether a department leaves; the searches then go to a service that depends on it."""
        return isinstance(self.event, Depart)


def mixed(share: float) -> dict[str, float]:
    """Return the rates of an ordinary load at ``share`` of the saturation."""
    return {rank: part * share for rank, part in MIX.items()}


ALL_SCENARIOS = (
    Scenario("calm-50", mixed(0.5)),
    Scenario("calm-80", mixed(0.8)),
    Scenario(SATURATED, mixed(1.0)),
    Scenario("stragglers", mixed(0.5), behaviour=STRAGGLERS),
    Scenario("searcher-lost", mixed(0.4), event=LoseSearcher()),
    Scenario("repartition", mixed(0.5), event=Repartition()),
    Scenario("flood-bulk", BULK_FLOOD, flooded="bulk"),
    Scenario("flood-urgent", URGENT_FLOOD, flooded="urgent"),
    Scenario("host-paused", mixed(0.5), event=PauseHost()),
    Scenario("host-killed", mixed(0.5), event=KillHost()),
    Scenario("platform-down", mixed(0.5), event=PlatformDown()),
    Scenario("departure", mixed(0.3), event=Depart()),
    Scenario("flood-and-kill", BULK_FLOOD, flooded="bulk", event=KillHost()),
)
SCENARIOS = {scenario.name: scenario for scenario in ALL_SCENARIOS}
QUICK = ("calm-50", "calm-80", SATURATED, "stragglers", "flood-bulk", "host-killed")
"""The scenarios that the bench runs with ``--quick``."""
