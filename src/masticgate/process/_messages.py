"""Messages between hosts that belong to no single request: membership, versions, pressure."""

from dataclasses import dataclass
from enum import IntEnum

from .._ids import Address, FailureDomainId, HostId, Incarnation, ServiceId
from .._ranks import Rank
from ..version import Versions


class MemberState(IntEnum):
    """The state of a host as other hosts know it; the values are part of the protocol."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


@dataclass(frozen=True, slots=True)
class Member:
    """An entry of the membership table: what one host knows of another, or of itself.

    Hosts send each other these entries as membership updates.

    The incarnation identifies one run of the host's process; it is 0 if the host is known only
    from the platform's host list or the settings. The host raises ``counter`` to refute that it
    is suspect or dead.
    """

    host: HostId
    address: Address
    failure_domain: FailureDomainId
    incarnation: Incarnation
    state: MemberState
    counter: int = 0


@dataclass(frozen=True, slots=True)
class Hello:
    """The first message on a connection between hosts, sent in both directions.

    ``oldest_protocol`` and ``newest_protocol`` bound the protocol versions that the sender speaks.
    """

    host: HostId
    address: Address
    failure_domain: FailureDomainId
    incarnation: Incarnation
    oldest_protocol: int
    newest_protocol: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Shows that the sender is alive; carries membership updates and the sender's versions.

    ``events`` is the sequence number of the latest event on the sender's timeline. ``versions``
    names the revision of the configuration and the snapshot catalogue that the sender has.
    ``digest`` is a digest of the hosts that the sender knows as usable; it is empty if the
    heartbeat carries none.
    """

    events: int
    versions: Versions
    members: tuple[Member, ...]
    digest: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """Answers a heartbeat; carries the membership updates that the heartbeat's sender may lack.

    The fields mean the same as those of :class:`Heartbeat`.
    """

    events: int
    versions: Versions
    members: tuple[Member, ...]
    digest: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class RefusedCount:
    """The number of refused queries of one rank that need one service, since the last report."""

    service: ServiceId
    rank: Rank
    count: int


@dataclass(frozen=True, slots=True)
class Demand:
    """Reports to an owner the refused queries that need its services.

    An entry host refuses queries because of the pressure that owners report.
    """

    refused: tuple[RefusedCount, ...]


@dataclass(frozen=True, slots=True)
class ServicePressure:
    """The pressure of one service: the share of each rank's queries that it can take.

    ``admitted`` holds the shares, from 0 to 1, in the order urgent, standard and bulk.
    """

    service: ServiceId
    admitted: tuple[float, float, float]


@dataclass(frozen=True, slots=True)
class Pressure:
    """Reports to an entry host the pressure of the sender's services.

    Services that can take all queries are left out.
    """

    services: tuple[ServicePressure, ...]
