"""The result of one arrival."""

from dataclasses import dataclass

LOST = "lost"
"""The outcome of a request without a valid response, as when its connection failed or timed out."""


@dataclass(frozen=True, slots=True)
class Result:
    """The outcome of one arrival, with times in milliseconds.

    ``at`` is the intended time in seconds after the start. ``lag_ms`` is how much later the search
    was sent, and ``latency_ms`` counts from the intended time.
    """

    at: float
    rank: str
    lag_ms: float
    latency_ms: float
    status: int
    outcome: str
    coverage: float
    whole: bool
    reason: str
    missing: tuple[str, ...]
    """The reasons why shards are missing, each once."""
