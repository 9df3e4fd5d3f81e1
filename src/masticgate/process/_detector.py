"""Failure detection: a monitored host that stays silent is declared suspect, then dead."""

from collections.abc import Callable, Iterable

from .._clock import Clock
from .._ids import HostId, Millis
from ._members import Members
from ._messages import Member, MemberState
from ._timeline import EventKind, Timeline

SUSPECT_INTERVALS = 3
"""A monitored host is declared suspect after this many heartbeat intervals of silence."""

DEAD_INTERVALS = 4
"""A suspect host that stays silent is declared dead after this many further intervals."""

PAUSE_INTERVALS = 2.5
"""A gap of more than this many intervals between two checks shows that this process was paused."""

MAX_TIMEOUT_FACTOR = 16
"""The largest factor by which the timeout for a host is lengthened.

Each time this host suspects another, it doubles the timeout for it, so that a slow host that
refutes the suspicion is not suspected again and again. The timeout is reset when a check finds the
host silent for at most one interval.
"""


class FailureDetector:
    """Declares silent neighbours suspect or dead; called only by the heartbeat task.

    The neighbours of a host are the other hosts that it monitors. ``last_received_at`` returns
    when a host last sent something, or ``None`` if there is no link to it.

    The silence of a host is counted from the latest of three times: when it last sent something,
    ``monitored_since`` (when it became a neighbour, or was last found without a link) and
    ``resumed_at`` (when this process started, or last resumed after a pause). A suspect host that
    is alive refutes the suspicion by a membership update.
    """

    def __init__(
        self,
        members: Members,
        last_received_at: Callable[[HostId], Millis | None],
        clock: Clock,
        timeline: Timeline,
    ) -> None:
        self.members = members
        self.last_received_at = last_received_at
        self.clock = clock
        self.timeline = timeline
        self.checked_at = clock.now()
        self.resumed_at = clock.now()
        self.monitored_since: dict[HostId, Millis] = {}
        self.timeout_factors: dict[HostId, int] = {}

    def check(self, neighbours: Iterable[Member], interval: Millis) -> None:
        """Declare silent neighbours suspect or dead; after a pause, count silence from now.

        This process receives nothing while it is paused, so the silence of others during a pause
        says nothing about them.
        """
        now = self.clock.now()
        gap = Millis(now - self.checked_at)
        if gap > PAUSE_INTERVALS * interval:
            self.timeline.add(EventKind.PAUSED, self.members.own_member.host, f"{gap:.0f} ms")
            self.resumed_at = now
        self.checked_at = now
        monitored = list(neighbours)
        self.monitored_since = {m.host: self.monitored_since.get(m.host, now) for m in monitored}
        for member in monitored:
            self._check_one(member, now, interval)

    def _check_one(self, member: Member, now: Millis, interval: Millis) -> None:
        received_at = self.last_received_at(member.host)
        if received_at is None:
            self.monitored_since[member.host] = now
            return
        silence = now - max(received_at, self.monitored_since[member.host], self.resumed_at)
        if silence <= interval:
            self.timeout_factors.pop(member.host, None)
        match member.state:
            case MemberState.ALIVE:
                self._check_alive(member, silence, interval)
            case MemberState.SUSPECT if silence > SUSPECT_INTERVALS * interval:
                self._check_suspect(member, now, interval)

    def _check_alive(self, member: Member, silence: float, interval: Millis) -> None:
        factor = self.timeout_factors.get(member.host, 1)
        if silence > SUSPECT_INTERVALS * interval * factor:
            self.timeout_factors[member.host] = min(MAX_TIMEOUT_FACTOR, factor * 2)
            self.members.declare(member, MemberState.SUSPECT)

    def _check_suspect(self, member: Member, now: Millis, interval: Millis) -> None:
        since = max(self.members.changed_at.get(member.host, now), self.resumed_at)
        if now - since > DEAD_INTERVALS * interval:
            self.members.declare(member, MemberState.DEAD)
