"""What came of one arrival."""

from dataclasses import dataclass

LOST = "lost"
"""The outcome of a request whose connection broke or stayed silent."""


@dataclass(frozen=True, slots=True)
class Result:
    """One arrival's outcome; times in milliseconds, latency from the intended send time."""

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
    """The reasons for which shards are missing, each once."""
