"""How often a starting gateway sends heartbeats.

Load scenario: all gateways start at once, and learn of each other only through the seeds.
"""

from ...._ids import Millis

STARTUP_TIME = Millis(5_000.0)
"""After this time, a gateway no longer counts as starting."""

UNREACHED_INTERVAL = Millis(100.0)
"""The interval between attempts to reach a seed that has not replied yet.

A host that does not listen refuses a connection at hardly any cost.
"""

UNNAMED_INTERVAL = Millis(250.0)
"""The interval between heartbeats to a seed that replies, while no gatherer is known.

A seed with 0.5 cores then has to reply to 330 heartbeats a second of 83 gateways.
"""

NAMED_INTERVAL = Millis(500.0)
"""The interval once gatherers are known, since the first names may be few."""


def starting_interval(age: Millis, *, has_replied: bool, knows_gatherers: bool) -> Millis | None:
    """Return the time to the next heartbeat of a gateway that started ``age`` ago.

    The result is ``None`` if the gateway no longer counts as starting. ``has_replied`` says whether
    the seed has replied to the latest heartbeat.
    """
    if age >= STARTUP_TIME:
        return None
    if not has_replied:
        return UNREACHED_INTERVAL
    return NAMED_INTERVAL if knows_gatherers else UNNAMED_INTERVAL
