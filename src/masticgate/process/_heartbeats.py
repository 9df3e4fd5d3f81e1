"""The task that sends heartbeats to peers, monitors the neighbours and probes dead hosts.

The neighbours of a host are the other hosts that it monitors; their number is bounded.
"""

from collections.abc import Callable
from threading import Event

from .._clock import MILLIS_PER_SECOND
from .._ids import HostId, Millis
from ._detector import FailureDetector
from ._links import Links
from ._member_rules import choose_neighbours, is_usable
from ._members import Members
from ._messages import Heartbeat, Member, MemberState
from ._timeline import Timeline
from ._versions import VersionStore

SHORT_INTERVAL = Millis(500.0)
LONG_INTERVAL = Millis(1000.0)
MAX_SHORT_INTERVAL_HOSTS = 16
"""With at most this many usable hosts, heartbeats are sent at the short interval."""

ROUNDS_PER_KEEPALIVE = 2
"""A host that is linked but not a neighbour is sent a heartbeat once in this many rounds.

The reply keeps the link open, which is closed if no message arrives over it for a while.
"""

ROUNDS_PER_DIGEST = 4
"""A digest of the usable hosts is sent once in this many rounds, to one neighbour after another."""

ROUNDS_PER_PROBE = 4
"""One dead host is probed once in this many rounds; the dead hosts take turns."""


class Heartbeats:
    """Sends the heartbeats, and maintains the links to the neighbours and the membership table.

    ``on_heartbeat`` is called after each round of heartbeats.
    """

    def __init__(
        self,
        members: Members,
        links: Links,
        versions: VersionStore,
        detector: FailureDetector,
        seeds: list[Member],
        timeline: Timeline,
        on_heartbeat: Callable[[], None],
    ) -> None:
        self.members = members
        self.links = links
        self.versions = versions
        self.detector = detector
        self.seeds = seeds
        self.timeline = timeline
        self.on_heartbeat = on_heartbeat
        self.sequence = 0
        self.usable_hosts: list[HostId] = []
        self.neighbours: list[HostId] = []

    def run(self, stopping: Event) -> None:
        """Send heartbeats until the process stops."""
        while not stopping.wait(self.interval() / MILLIS_PER_SECOND):
            self.beat()
            self.on_heartbeat()

    def interval(self) -> Millis:
        """Return the time between two rounds of heartbeats."""
        small = len(self.members.list_usable()) <= MAX_SHORT_INTERVAL_HOSTS
        return SHORT_INTERVAL if small else LONG_INTERVAL

    def beat(self) -> None:
        """Run one round: check the neighbours, and send the heartbeats that are due.

        Also open links to the neighbours and to a dead host that is to be probed, close idle links
        and remove expired members.
        """
        self.sequence += 1
        self.detector.check(self._monitored_members(), self.interval())
        for member in self._monitored_members():
            self.links.ensure(member.host, member.address)
        send_to_all = self.sequence % ROUNDS_PER_KEEPALIVE == 0
        for host in self.links.open_hosts():
            if send_to_all or host in self.neighbours:
                self._send(host, with_digest=host == self._digest_peer())
        if self.sequence % ROUNDS_PER_PROBE == 0:
            self._probe_dead()
        self.links.close_idle(self.neighbours)
        self.members.remove_expired()

    def announce(self) -> None:
        """Send a heartbeat over every open link at once, without waiting for the next interval."""
        for host in self.links.open_hosts():
            self._send(host, with_digest=False)

    def _monitored_members(self) -> list[Member]:
        """Return the usable neighbours; choose the neighbours again if the usable hosts changed."""
        usable_hosts = self.members.list_usable()
        if usable_hosts is not self.usable_hosts:
            others = [m for host in usable_hosts if (m := self.members.get(host)) is not None]
            own_member = self.members.own_member
            chosen = choose_neighbours(own_member, [m for m in others if m.host != own_member.host])
            self.usable_hosts = usable_hosts
            self.neighbours = [member.host for member in chosen]
        monitored = [self.members.get(host) for host in self.neighbours]
        return [member for member in monitored if member is not None and is_usable(member)]

    def _digest_peer(self) -> HostId | None:
        """Return the neighbour that is sent a digest in this round, ``None`` if none is due."""
        turn, rest = divmod(self.sequence, ROUNDS_PER_DIGEST)
        if rest or not self.neighbours:
            return None
        return self.neighbours[turn % len(self.neighbours)]

    def _send(self, host: HostId, *, with_digest: bool) -> None:
        updates = self.members.next_updates()
        member = self.members.get(host)
        if member is not None and member.state is not MemberState.ALIVE and member not in updates:
            # Tells the host its state, so that it can refute that it is suspect or dead.
            updates = (*updates, member)
        digest = tuple(self.members.digest) if with_digest else ()
        heartbeat = Heartbeat(self.timeline.sequence, self.versions.versions(), updates, digest)
        self.links.send(host, heartbeat)

    def _probe_dead(self) -> None:
        """Open a link to one dead host, in case it was only cut off by a network partition.

        Seeds that are not in the membership table count as dead.
        """
        dead = [m for m in self.members.list_members() if m.state is MemberState.DEAD]
        dead_hosts = {member.host for member in dead}
        dead += [
            s
            for s in self.seeds
            if s.host not in dead_hosts and not self._is_presumed_alive(s.host)
        ]
        if dead:
            member = dead[self.sequence // ROUNDS_PER_PROBE % len(dead)]
            self.links.ensure(member.host, member.address)

    def _is_presumed_alive(self, host: HostId) -> bool:
        member = self.members.get(host)
        return member is not None and member.state is not MemberState.DEAD
