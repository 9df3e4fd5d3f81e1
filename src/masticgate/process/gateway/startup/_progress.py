"""What a starting gateway has reached, and when it will serve what it refuses until then.

Load scenario: all hosts lose power and start at once, and their callers return at once too.
"""

from enum import Enum

from ...._ids import Millis
from ._pace import STARTUP_TIME


class StartupStep(Enum):
    """The steps of the start of a gateway, as named in gauges.

    With the ``CONFIGURATION``, it forwards queries over shards to gatherers that it knows. It needs
    the ``LISTINGS`` to send requests to searchers itself. With the ``GATHERERS``, its queries are
    gathered by those that keep connections to the shards.
    """

    CONFIGURATION = "configuration"
    LISTINGS = "listings"
    GATHERERS = "gatherers"
    FIRST_ANSWER = "first_answer"


USUAL_TIMES = {
    StartupStep.CONFIGURATION: Millis(250.0),
    StartupStep.LISTINGS: Millis(250.0),
    StartupStep.GATHERERS: Millis(650.0),
}
"""When a gateway usually reaches a step after its start.

The first two were measured as one step after a power loss of deployment A, the median of 83
gateways. The third is the median in simulated time, with 83 gateways that start within 0.3 s.
"""

MIN_RETRY_AFTER = Millis(50.0)
MAX_RETRY_AFTER = Millis(1_000.0)
"""The longest wait that a refused caller is told, so that it notices soon that the step is over."""

OVERDUE_SHARE = 0.5
"""A step that is overdue is expected after this share of the time for which it is overdue.

A store or seed that is silent is asked the less often the longer it is.
"""

RETRY_SPREAD = 0.5
"""The wait is longer by up to this share, so that refused callers do not return together."""


def spread_wait(wait: Millis, spread: float) -> Millis:
    """Return the wait of one of several callers; ``spread`` is a random number from 0 to 1."""
    return Millis(wait * (1.0 + RETRY_SPREAD * spread))


class StartupTimes:
    """When a gateway reached each step; several tasks record steps, each of which counts once."""

    def __init__(self, started_at: Millis) -> None:
        self.started_at = started_at
        self.reached: dict[StartupStep, Millis] = {}

    def record(self, step: StartupStep, now: Millis) -> Millis | None:
        """Record a step; return its time after the start if it is reached for the first time."""
        if step in self.reached:
            return None
        self.reached[step] = Millis(now - self.started_at)
        return self.reached[step]

    def retry_after(self, step: StartupStep, now: Millis, spread: float) -> Millis:
        """Return after which time to try a request again that needs ``step``.

        ``spread`` is a random number from 0 to 1.
        """
        remaining = USUAL_TIMES[step] - (now - self.started_at)
        wait = remaining if remaining > 0.0 else -remaining * OVERDUE_SHARE
        wait = min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, wait))
        return spread_wait(Millis(wait), spread)

    def is_starting(self, now: Millis) -> bool:
        """Return whether the gateway still counts as starting."""
        return now - self.started_at < STARTUP_TIME
