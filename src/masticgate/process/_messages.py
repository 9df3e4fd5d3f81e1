"""The messages that hosts exchange for as long as their processes live."""

from dataclasses import dataclass
from enum import IntEnum

from .._ids import Address, FailureDomainId, HostId, Incarnation, ServiceId
from .._ranks import Rank
from ..version import Versions


class MemberState(IntEnum):
    """What is believed of a host; the values are part of the protocol."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


@dataclass(frozen=True, slots=True)
class Member:
    """One belief about one host, as it spreads from host to host.

    The host raises ``counter`` to refute that it is suspect or dead. The incarnation is 0 where
    only the platform's host list named the host.
    """

    host: HostId
    address: Address
    failure_domain: FailureDomainId
    incarnation: Incarnation
    state: MemberState
    counter: int = 0


@dataclass(frozen=True, slots=True)
class Hello:
    """Opens a peer connection, in both directions.

    ``oldest_protocol`` and ``newest_protocol`` are the protocol versions that the sender speaks.
    """

    host: HostId
    address: Address
    failure_domain: FailureDomainId
    incarnation: Incarnation
    oldest_protocol: int
    newest_protocol: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Says that the sender lives; carries changed beliefs and what versions it has.

    ``events`` is the number of the latest event on the sender's time line. ``digest`` sums up the
    hosts that the sender believes usable, where it carries one.
    """

    events: int
    versions: Versions
    members: tuple[Member, ...]
    digest: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """Answers a heartbeat; carries the beliefs that the sender of the heartbeat lacks."""

    events: int
    versions: Versions
    members: tuple[Member, ...]
    digest: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class RefusedCount:
    """How many sub-queries of one service and rank an entry host refused lately."""

    service: ServiceId
    rank: Rank
    count: int


@dataclass(frozen=True, slots=True)
class Demand:
    """Tells an owner what its pressure made an entry host refuse."""

    refused: tuple[RefusedCount, ...]


@dataclass(frozen=True, slots=True)
class ServicePressure:
    """The share of each rank's queries that a service can take, from 0 to 1, urgent first."""

    service: ServiceId
    admitted: tuple[float, float, float]


@dataclass(frozen=True, slots=True)
class Pressure:
    """Tells an entry host what the sender's services can take."""

    services: tuple[ServicePressure, ...]
