"""What a starting gateway has reached.

Load scenario: all hosts lose power and start at once, and their callers return at once too.
"""

from enum import Enum

from ...._ids import Millis


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
