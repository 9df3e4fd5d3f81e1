"""Whether a seed reads the platform's store itself, or follows another seed's relay.

Load scenario: the store does not answer some of the gateways for 9 s, a seed among them, while it
answers the others. The seed would gather by listings that are as old.
"""

from math import inf

from ...._ids import Millis

LOST_AGE = Millis(2_000.0)
"""A seed leaves the store if a call fails and the last answer is older than this.

A watch of a silent store fails after 2.5 s. A store that fails at once for all seeds is left only
when their relays are about to end, since these need an answer that is at most 2.6 s old.
"""

PROBE_INTERVAL = Millis(3_000.0)
"""How often a seed that follows a relay asks the store for the configuration, with one call."""

MAX_GATHERING_AGE = Millis(4_000.0)
"""A gateway gathers no queries by a catalogue that is older, if others have a newer one.

A silent store is noticed 2.9 s after its last answer, and a relay is then read within a second, so
that a gateway that finds one stays a gatherer.
"""


class StoreContact:
    """What one gateway knows of its own contact with the store; only one task changes it.

    ``answered_at`` is the time of the last answer, if any, and ``has_failed`` says whether a call
    has failed since. ``was_cut`` says that a watch was closed since, which a store that serves
    other calls may do once.
    """

    def __init__(self) -> None:
        self.answered_at: Millis | None = None
        self.has_failed = False
        self.was_cut = False
        self.probe_at = Millis(0.0)

    def record_answer(self, now: Millis) -> None:
        """Record an answer of the store."""
        self.answered_at = now
        self.has_failed = self.was_cut = False

    def record_failure(self, *, closed_by_source: bool) -> None:
        """Record a call without an answer; ``closed_by_source`` says that its end was closed."""
        self.has_failed = self.has_failed or self.was_cut or not closed_by_source
        self.was_cut = True

    def record_relay(self, now: Millis) -> None:
        """Record that a relay is followed from now on."""
        self.probe_at = Millis(now + PROBE_INTERVAL)

    def age(self, now: Millis) -> Millis:
        """Return the time since the last answer; it is infinite if there was none."""
        return Millis(inf if self.answered_at is None else now - self.answered_at)

    def is_lost(self, now: Millis) -> bool:
        """Return whether another seed's relay is preferred to the store."""
        return self.has_failed and self.age(now) >= LOST_AGE

    def take_probe(self, now: Millis) -> bool:
        """Return whether to ask the store now, while a relay is followed."""
        if now < self.probe_at:
            return False
        self.probe_at = Millis(now + PROBE_INTERVAL)
        return True


def is_outdated(age: Millis, *, others_relay: bool) -> bool:
    """Return whether a gateway with a catalogue of this age leaves queries to other gatherers.

    ``others_relay`` says whether a seed states that it has contact with the store. Without one, the
    last known state stays in force everywhere.
    """
    return others_relay and age > MAX_GATHERING_AGE
