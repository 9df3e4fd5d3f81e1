"""The two deployments at their real sizes."""

from dataclasses import dataclass

from tests.texts import example

SERVICE_MS = 30.0
"""Mean service time of a searcher: one machine carries 20 busy services at this."""

SPREAD_SHARE = 0.2
"""The part of the service time that varies; without it, stragglers are the only tail."""

SEARCHER_KNOBS = {"service_ms": SERVICE_MS, "spread_share": SPREAD_SHARE}


@dataclass(frozen=True)
class Deployment:
    """One customer's text and the wide search that loads it."""

    name: str
    hosts: int
    wide_service: str
    fan_out: int
    searchers: int
    slots: int
    history_service: str
    """A service that depends on the wide group and on the department that leaves."""

    leaving_department: str
    booking_service: str
    """A service that takes bookings."""

    @property
    def text(self) -> str:
        """The operators' text."""
        return example(self.name)

    @property
    def text_without(self) -> str:
        """The text after an operator marked one department as leaving."""
        return mark_leaving(self.text, self.leaving_department)

    @property
    def saturation(self) -> float:
        """Wide queries a second that the slots of one service can finish."""
        return self.searchers * self.slots * 1000 / SERVICE_MS


def mark_leaving(text: str, department: str) -> str:
    """Edit an operators' text as a person would when ``department`` leaves."""
    before = f'"{department}": {{"leaving": false}}'
    if before not in text:
        raise ValueError(f"the text has no department {department}")
    return text.replace(before, f'"{department}": {{"leaving": true}}')


DEPLOYMENTS = {
    "kerala": Deployment(
        "kerala", 7, "safety-desk", 20, 2, 2, "unit-history", "parts-ledger", "work-orders"
    ),
    "norte": Deployment("norte", 6, "balcao", 20, 2, 2, "kit-history", "reparos", "arquivo"),
}
