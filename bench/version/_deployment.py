"""The two deployments at their real sizes."""

from dataclasses import dataclass

from tests.texts import example

SERVICE_MS = 30.0
"""Mean service time of a searcher: one machine carries 20 busy services at this."""


@dataclass(frozen=True)
class Deployment:
    """One customer's text and the wide search that loads it."""

    name: str
    hosts: int
    wide: str
    fan_out: int
    searchers: int
    slots: int

    @property
    def text(self) -> str:
        """The operators' text."""
        return example(self.name)

    @property
    def saturation(self) -> float:
        """Wide queries a second that the slots of one service can finish."""
        return self.searchers * self.slots * 1000 / SERVICE_MS


DEPLOYMENTS = {
    "kerala": Deployment("kerala", 7, "safety-desk", 20, 2, 2),
    "norte": Deployment("norte", 6, "balcao", 20, 2, 2),
}
