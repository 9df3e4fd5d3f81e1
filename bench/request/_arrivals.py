"""Arrivals of an open-loop load: drawn before the run, so slow answers do not delay them."""

import random
from dataclasses import dataclass

RANKS = ("urgent", "standard", "bulk")


@dataclass(frozen=True, slots=True)
class Arrival:
    """A search that a caller is to send ``at`` seconds after the start."""

    at: float
    rank: str


def draw_arrivals(rates: dict[str, float], seconds: float, seed: str) -> list[Arrival]:
    """Return Poisson arrivals of each rank at its rate per second, in order of time.

    The same seed gives the same arrivals.
    """
    arrivals: list[Arrival] = []
    for rank, rate in rates.items():
        source = random.Random(f"{seed}/{rank}")
        at = source.expovariate(rate) if rate > 0 else seconds
        while at < seconds:
            arrivals.append(Arrival(at, rank))
            at += source.expovariate(rate)
    return sorted(arrivals, key=lambda arrival: arrival.at)
