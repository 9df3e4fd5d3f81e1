"""Estimates how slow one searcher is, by a factor on the usual latency of each route.

Load scenarios: searchers that differ in speed, that turn slow for seconds, and that pause. A
gateway sends one or two calls a second to a searcher of a shard, so that the evidence is sparse.
One late answer does not tell a pause from a slow searcher. Since the answer ends the pause, the
next call does, and that call is a probe. A searcher whose probe is late is avoided, and then probed
at growing intervals.
"""

from dataclasses import dataclass
from enum import Enum

from ...._ids import Millis

BASE_WEIGHT = 0.15
"""The weight of the latest answer in the smoothed factor."""

SLOW_BASE = 1.3
"""A searcher with a higher smoothed factor may be slow, and not only have been late once."""

SLOW_BASE_WEIGHT = 0.4
"""The weight of an answer of such a searcher that is slower still."""

MAX_BASE_RATIO = 4.0
"""The bound on the ratio of one answer in the smoothed factor."""

BASE_HALF_LIFE = Millis(4_000.0)
"""The time in which the excess of the smoothed factor over 1 halves without new evidence."""

LATE_RATIO = 3.5
"""An answer that takes this many times the usual latency is late.

Noise by a factor of 2.5, beside the ordinary variation of the work, is not a sign of a pause or of
a slow searcher.
"""

LATE_OVERDUE_RATIO = 2.0
"""The same for a call without an answer, whose age is only a lower bound on its latency."""

MIN_LATE_FACTOR = 4.0
"""The least factor that is expected of a late searcher.

It exceeds the cost of another failure domain and of a call in progress there.
"""

MAX_FACTOR = 12.0
"""The upper bound on the factor, whatever the latency."""

MAX_PAUSE = Millis(250.0)
"""The duration of the longest pause that is not a sign of a slow searcher."""

USUAL_SPREAD = 2.0
"""Apart from a pause, an answer takes at most this many times the usual latency."""

FIRST_PROBE_INTERVAL = Millis(500.0)
"""The time from the first late probe to the next probe; it doubles with each further late one."""

MAX_PROBE_INTERVAL = Millis(2_000.0)
"""The longest interval between probes, so that a recovery is noticed within two seconds."""

EVIDENCE_TTL = Millis(10_000.0)
"""The time after which the lateness of a searcher that gets no calls is forgotten."""

REPORT_TTL = Millis(1_500.0)
"""The age at which the report of another gatherer no longer counts.

Gatherers send their reports at least each second while they probe the searcher.
"""

REPORT_MARGIN = Millis(100.0)
"""A report counts only if it is newer than the gateway's own evidence by more than this.

Its age does not include the time that the message spent on the network.
"""

SLOWDOWN_TTL = Millis(300.0)
"""How long the slowdown that a searcher states counts; it changes many times a second."""


class SpeedState(Enum):
    """What the latest evidence says of a searcher.

    A ``DOUBTFUL`` searcher was late once, and a ``SLOW`` one repeatedly, or for longer than a pause
    takes, or by the report of another gatherer.
    """

    USUAL = "usual"
    DOUBTFUL = "doubtful"
    SLOW = "slow"


@dataclass(frozen=True, slots=True)
class AnswerTime:
    """The time that an answer took.

    ``ratio`` is ``latency`` relative to the usual one of the route. ``queue`` is the number of
    requests at the searcher for each of its slots, which explains a part of the latency.
    """

    ratio: float
    latency: Millis
    sent_at: Millis
    queue: float = 0.0


@dataclass(frozen=True, slots=True)
class Overdue:
    """A call has no answer yet, after ``ratio`` times the usual latency of its route."""

    ratio: float
    sent_at: Millis


@dataclass(frozen=True, slots=True)
class Report:
    """Another gatherer found the searcher slow by ``factor`` at ``noticed_at``."""

    factor: float
    noticed_at: Millis


Evidence = AnswerTime | Overdue | Report


class Speed:
    """The estimate for one searcher; the lock of ``Fleet`` guards it.

    ``base`` is the smoothed ratio of the answers that were not late, and ``late_factor`` that of
    the latest late one. ``late_at`` is the time of the latest evidence of lateness, and
    ``answered_at`` that of the latest answer of any kind. No probe is due before ``probe_at``.
    ``is_reported`` says that the latest evidence of lateness is a report, which is not passed on.
    """

    def __init__(self) -> None:
        self.base = 1.0
        self.base_at = Millis(0.0)
        self.state = SpeedState.USUAL
        self.late_factor = 1.0
        self.late_at = Millis(0.0)
        self.answered_at = Millis(0.0)
        self.probe_at = Millis(0.0)
        self.probe_interval = FIRST_PROBE_INTERVAL
        self.is_reported = False
        self.slowdown = 1.0
        self.slowdown_at = Millis(0.0)

    def factor(self, now: Millis, *, may_probe: bool = True) -> float:
        """Return the expected latency of the next call, as a factor on the usual one.

        If the call ``may_probe``, a searcher that is due for that counts as if it had never been
        late.
        """
        factor = self._current_base(now)
        if self.is_doubtful(now) and not (may_probe and self.is_probe_due(now)):
            factor = max(factor, self.late_factor)
        if now - self.slowdown_at < SLOWDOWN_TTL:
            factor = max(factor, self.slowdown)
        return factor

    def is_doubtful(self, now: Millis) -> bool:
        """Return whether the next call may well be late, even if it is due as a probe."""
        return self.state is not SpeedState.USUAL and now - self.late_at < EVIDENCE_TTL

    def is_slow(self, now: Millis) -> bool:
        """Return whether the evidence says that the searcher is slow, and did not only pause."""
        return self.state is SpeedState.SLOW and self.is_doubtful(now)

    def is_probe_due(self, now: Millis) -> bool:
        """Return whether the next call may be sent there to find out whether it is still late."""
        return self.is_doubtful(now) and now >= self.probe_at

    def record_call(self, now: Millis) -> None:
        """Record that a call is sent; a probe delays the next one."""
        if self.is_probe_due(now):
            self.probe_at = Millis(now + self.probe_interval)

    def record_slowdown(self, slowdown: float, now: Millis) -> None:
        """Record the current time that work takes, as a factor, which the searcher stated."""
        self.slowdown, self.slowdown_at = min(slowdown, MAX_FACTOR), now

    def record(self, evidence: Evidence, now: Millis) -> None:
        """Update the estimate by one piece of evidence."""
        match evidence:
            case AnswerTime(ratio=ratio, latency=latency, sent_at=sent_at, queue=queue):
                self.answered_at = now
                if ratio < LATE_RATIO * max(1.0, queue):
                    self._record_ordinary(ratio, now)
                    return
                usual = latency / ratio
                exceeds_pause = latency > MAX_PAUSE + USUAL_SPREAD * max(1.0, queue) * usual
                self._record_late(ratio, sent_at, now, exceeds_pause=exceeds_pause)
                if self.state is SpeedState.DOUBTFUL:
                    self.probe_at = now
            case Overdue(ratio=ratio, sent_at=sent_at):
                if ratio >= LATE_OVERDUE_RATIO and not self.is_slow(now):
                    self._record_late(ratio, sent_at, now)
            case Report(factor=factor, noticed_at=noticed_at):
                self._record_report(factor, noticed_at, now)

    def _record_ordinary(self, ratio: float, now: Millis) -> None:
        self.state = SpeedState.USUAL
        base = self._current_base(now)
        weight = SLOW_BASE_WEIGHT if ratio > base > SLOW_BASE else BASE_WEIGHT
        self.base, self.base_at = base + weight * (min(ratio, MAX_BASE_RATIO) - base), now

    def _record_late(
        self, ratio: float, sent_at: Millis, now: Millis, *, exceeds_pause: bool = False
    ) -> None:
        """Record a late call; one that was sent before the last late one is the same pause."""
        was_slow = self.is_slow(now)
        is_new = sent_at >= self.late_at
        if exceeds_pause or (is_new and self.is_doubtful(now)):
            self.state = SpeedState.SLOW
        elif not was_slow:
            self.state = SpeedState.DOUBTFUL
        self.late_factor = min(MAX_FACTOR, max(MIN_LATE_FACTOR, ratio))
        self.is_reported = False
        if self.state is SpeedState.DOUBTFUL:
            self.probe_interval, self.probe_at = FIRST_PROBE_INTERVAL, Millis(now + MAX_PAUSE)
        elif not was_slow:
            self.probe_interval = FIRST_PROBE_INTERVAL
            self.probe_at = Millis(now + self.probe_interval)
        elif is_new:
            self.probe_interval = min(MAX_PROBE_INTERVAL, Millis(2 * self.probe_interval))
            self.probe_at = Millis(now + self.probe_interval)
        self.late_at = now

    def _record_report(self, factor: float, noticed_at: Millis, now: Millis) -> None:
        """Avoid the searcher until the report is too old, if it is newer than own evidence."""
        latest = self.answered_at if self.is_reported else max(self.answered_at, self.late_at)
        if now - noticed_at >= REPORT_TTL or noticed_at <= latest + REPORT_MARGIN:
            return
        if not self.is_slow(now):
            self.probe_interval = FIRST_PROBE_INTERVAL
        self.state, self.is_reported = SpeedState.SLOW, True
        self.late_factor = min(MAX_FACTOR, max(MIN_LATE_FACTOR, factor))
        self.late_at = max(self.late_at, noticed_at)
        self.probe_at = max(self.probe_at, Millis(noticed_at + REPORT_TTL))

    def _current_base(self, now: Millis) -> float:
        """Return the smoothed ratio; what exceeds 1 decays by the time since the last answer."""
        if self.base <= 1.0:
            return self.base
        return float(1.0 + (self.base - 1.0) * 0.5 ** ((now - self.base_at) / BASE_HALF_LIFE))
