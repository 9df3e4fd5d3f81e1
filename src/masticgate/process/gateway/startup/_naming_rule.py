"""When a starting seed names gatherers, and when it may replace those that are in use.

Load scenarios: all hosts lose power and start within 0.3 s of each other; a seed restarts alone in
a running system.
"""

from enum import Enum

from ...._ids import Millis

NO_TABLE_WAIT = Millis(100.0)
"""How long a seed without a configuration waits before it looks again whether it can name."""

NAMING_LIMIT = Millis(1_500.0)
"""A seed names gatherers after this time whatever it knows, such as when it hears of nobody."""

GROWTH_TIME = Millis(250.0)
"""The time over which the growth of the gateways that a seed hears of is measured.

A starting gateway that cannot reach a seed tries again every 100 ms, so that the seed hears at
least two attempts of each within this time.
"""

MAX_GROWTH = 1.2
"""A seed knows enough gateways once their number grows by no more than this factor.

It is over 1, so that gateways that start one after another within seconds do not hold up the names.
"""

SETTLE_TIME = Millis(1_000.0)
"""Once a seed has heard of no further gateway for this time, all of them have started."""

MIN_HEARD_SHARE = 0.9
"""The share of the gateways that others report of which a seed has to hear before it names any.

The rest may have ended lately; others count them for some seconds.
"""

MIN_ABLE_SHARE = 0.75
"""The share of these gateways that has to be able to gather.

With fewer, most of the gatherers would be replaced as soon as the others have their configuration.
"""


class NamingPhase(Enum):
    """What a seed does with what it knows of the gateways.

    While ``HEARING``, it names no gatherers. While ``GROWING``, it names more as it hears of more
    gateways, and keeps those in use, so that their connections are not opened in vain. Once
    ``SETTLED``, it names the gateways that can gather most.
    """

    HEARING = "hearing"
    GROWING = "growing"
    SETTLED = "settled"


class NamingRule:
    """The phase of one seed since its start; a lock of its user guards it.

    ``heard`` is the most gateways of which the seed has heard, itself included, and ``grew_at`` the
    time of the last one. ``growth`` holds the times of the latest ones with their numbers, back to
    the last number before ``GROWTH_TIME``. ``reported`` is the largest number of gateways that
    others have reported. It tells a seed that starts alone in a running system from one that starts
    with all others.
    """

    def __init__(self, started_at: Millis) -> None:
        self.started_at = started_at
        self.heard = 1
        self.grew_at = started_at
        self.growth = [(started_at, 1)]
        self.reported = 0
        self.phase = NamingPhase.HEARING

    def record_report(self, members: int) -> None:
        """Record the number of gateways that another gateway knows of."""
        self.reported = max(self.reported, members)

    def record_heard(self, heard: int, now: Millis) -> None:
        """Record the number of gateways of which the seed has heard, itself included."""
        if heard > self.heard:
            self.heard = heard
            self.grew_at = now
            while len(self.growth) > 1 and self.growth[1][0] <= now - GROWTH_TIME:
                del self.growth[0]
            self.growth.append((now, heard))

    def update(self, able: int, now: Millis, *, knows_shards: bool) -> NamingPhase:
        """Return the phase at ``now``; ``able`` is the number of gateways that can gather.

        ``knows_shards`` says whether the seed knows the failure domains of the shards.
        """
        if self.phase is NamingPhase.HEARING:
            enough = knows_shards and self._knows_enough(able, now)
            if enough or now - self.started_at >= NAMING_LIMIT:
                self.phase = NamingPhase.GROWING
        if self.phase is NamingPhase.GROWING and now - self.grew_at >= SETTLE_TIME:
            self.phase = NamingPhase.SETTLED
        return self.phase

    def time_to_change(self, now: Millis, *, has_table: bool = True) -> Millis | None:
        """Return after which time the phase may change without another heartbeat, if ever.

        Without a configuration, nothing can be named, so that there is no hurry.
        """
        match self.phase:
            case NamingPhase.HEARING:
                due = self.started_at + NAMING_LIMIT
                if now < self._slow_growth_at():
                    due = min(due, self._slow_growth_at())
            case NamingPhase.GROWING:
                due = self.grew_at + SETTLE_TIME
            case NamingPhase.SETTLED:
                return None
        return Millis(max(0.0 if has_table else NO_TABLE_WAIT, due - now))

    def _knows_enough(self, able: int, now: Millis) -> bool:
        return (
            self.heard > 1
            and self.heard >= self.reported * MIN_HEARD_SHARE
            and able >= self.heard * MIN_ABLE_SHARE
            and now >= self._slow_growth_at()
        )

    def _slow_growth_at(self) -> Millis:
        """Return when the growth is at most ``MAX_GROWTH``, if no further gateway is heard."""
        near = next(time for time, heard in self.growth if heard * MAX_GROWTH >= self.heard)
        return Millis(near + GROWTH_TIME)
