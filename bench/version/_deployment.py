"""The two deployments at their real sizes: their texts and the searches that load them."""

from dataclasses import dataclass

from tests.texts import example

SERVICE_MS = 30.0
"""The mean service time of a searcher, at which one machine can run 20 busy services."""

SPREAD_SHARE = 0.2
"""The share of the service time that varies.

Without it, stragglers would be the only slow responses.
"""

SEARCHER_BEHAVIOUR = {"service_ms": SERVICE_MS, "spread_share": SPREAD_SHARE}


@dataclass(frozen=True)
class Deployment:
    """A deployment and the wide search that loads it.

    The wide search goes to ``wide_service``, which depends on ``fan_out`` services whose ids begin
    with its own. Each of them has ``searchers`` searchers with ``slots`` slots, which is the number
    of requests that a searcher runs at once.
    """

    name: str
    hosts: int
    wide_service: str
    fan_out: int
    searchers: int
    slots: int
    history_service: str
    """A service that depends on the services of the wide search and on the leaving department."""

    leaving_department: str
    booking_service: str
    """A service that takes bookings."""

    @property
    def text(self) -> str:
        """The configuration text that the operators wrote."""
        return example(self.name)

    @property
    def edited_text(self) -> str:
        """The configuration text after an operator has marked a department as leaving."""
        return mark_leaving(self.text, self.leaving_department)

    @property
    def saturation(self) -> float:
        """The number of wide searches per second that the slots of one service can finish."""
        return self.searchers * self.slots * 1000 / SERVICE_MS


def mark_leaving(text: str, department: str) -> str:
    """Return ``text`` with ``department`` marked as leaving.

    :raises ValueError: the text has no such department, or it is marked already.
    """
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
