"""The gateways that a seed knows from their heartbeats."""

from dataclasses import dataclass
from itertools import count

from ..._ids import HostId, Millis
from ._gatherers import Member

HEARTBEAT_INTERVAL = Millis(500.0)
"""The interval between the heartbeats of a gatherer, and of every gateway while there are few."""

HEARTBEAT_MILLIS_PER_MEMBER = 10.0
"""The interval of the other gateways grows with their number.

A seed receives at most 100 of their heartbeats in a second, up to 500 gateways.
"""

MAX_HEARTBEAT_INTERVAL = Millis(5_000.0)

MISSED_INTERVALS = 2.6
"""A gateway can no longer gather after this many of its intervals without a heartbeat."""

MIN_MEMBER_TTL = Millis(5_000.0)
"""A gateway counts as running for at least this long after its last heartbeat."""

MAX_HEARTBEATS = 10_000
"""The number of gateways whose heartbeats a seed keeps; the target is 3,300."""

MAX_NAME_LENGTH = 253
"""The length of a host's name, and of its failure domain's, in a heartbeat that a seed keeps."""


def heartbeat_interval(members: int, *, is_gatherer: bool) -> Millis:
    """Return the interval between the heartbeats of one of ``members`` gateways."""
    if is_gatherer:
        return HEARTBEAT_INTERVAL
    interval = members * HEARTBEAT_MILLIS_PER_MEMBER
    return Millis(min(MAX_HEARTBEAT_INTERVAL, max(HEARTBEAT_INTERVAL, interval)))


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The latest heartbeat of one gateway; the next one is due after ``interval``.

    ``member`` is ``None`` if the gateway cannot gather queries now: it is not ready, or its release
    does not state an address. ``known_members`` is the number of gateways that it knows of, or 0.
    """

    member: Member | None
    interval: Millis
    received_at: Millis
    known_members: int = 0

    def age_limit(self, minimum: Millis = Millis(0.0)) -> Millis:
        """Return the age at which this heartbeat is too old, but not less than ``minimum``."""
        return max(minimum, Millis(self.interval * MISSED_INTERVALS))


class Membership:
    """The latest heartbeat of each gateway; the lock of :class:`Peers` guards it.

    ``positions`` numbers them from 1; 0 is this gateway. No two have the same number, and it stays
    that of a gateway until the gateway no longer counts.
    """

    def __init__(self) -> None:
        self.heartbeats: dict[HostId, Heartbeat] = {}
        self.positions: dict[HostId, int] = {}

    def record(self, host: HostId, heartbeat: Heartbeat) -> bool:
        """Record a heartbeat; return ``False`` if it exceeds a bound on their number or names."""
        domain = "" if heartbeat.member is None else heartbeat.member.domain
        is_too_many = host not in self.heartbeats and len(self.heartbeats) >= MAX_HEARTBEATS
        if is_too_many or max(len(host), len(domain)) > MAX_NAME_LENGTH:
            return False
        self.heartbeats[host] = heartbeat
        if host not in self.positions:
            taken = set(self.positions.values())
            self.positions[host] = next(n for n in count(1) if n not in taken)
        return True

    def position_count(self) -> int:
        """Return the number of positions of gateways, this one's included."""
        return 1 + max(self.positions.values(), default=0)

    def count(self, now: Millis) -> int:
        """Return the number of running gateways, this one included, and drop the others."""
        self.heartbeats = {
            host: heartbeat
            for host, heartbeat in self.heartbeats.items()
            if now - heartbeat.received_at <= heartbeat.age_limit(MIN_MEMBER_TTL)
        }
        self.positions = {
            host: position for host, position in self.positions.items() if host in self.heartbeats
        }
        return 1 + len(self.heartbeats)

    def candidates(self, now: Millis) -> list[Member]:
        """Return the other gateways that can gather queries now."""
        return [
            heartbeat.member
            for heartbeat in self.heartbeats.values()
            if heartbeat.member is not None and now - heartbeat.received_at <= heartbeat.age_limit()
        ]
