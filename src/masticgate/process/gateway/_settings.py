"""The settings of a gateway process, independent of the file that holds them."""

from dataclasses import dataclass, replace

from ..._ids import Address, FailureDomainId, HostId, Millis


@dataclass(frozen=True, slots=True)
class RepeatBounds:
    """The bound on the hedges and retries of all gateways together, for each service.

    In each ``window``, at most ``ratio`` of the requests plus ``slack`` may be repeated.
    """

    ratio: float
    slack: float
    window: Millis


@dataclass(frozen=True, slots=True)
class ColdMargin:
    """What a cold searcher tolerates in any second beyond the rate that its service states.

    It gets at most ``over`` times that rate plus ``slack`` requests from all gateways together.
    """

    over: float = 1.5
    slack: float = 5.0


GATHERED_BYTES = 200_000.0
"""The bytes that a gatherer of 90 shards sends and receives for one query."""

GATHERING_CPU_S = 0.025
"""The processor time that a gatherer of 90 shards needs for one query, in seconds."""

BYTES_PER_MEGABIT = 125_000.0


DEFAULT_MEMORY_BYTES = 200_000_000
DEFAULT_DESCRIPTORS = 4_096


@dataclass(frozen=True, slots=True)
class HostCapacity:
    """The processor, in cores, and the network link, in Mbit/s, of a gateway's host.

    ``memory`` is the number of bytes beyond which the process is killed, which includes the bytes
    that its connections have received and it has not yet read. ``descriptors`` is the number of
    descriptors that it may have open.
    """

    cores: float
    link: float
    memory: int = DEFAULT_MEMORY_BYTES
    descriptors: int = DEFAULT_DESCRIPTORS

    @property
    def gathering_rate(self) -> float:
        """Return the number of large queries a second that the host can gather."""
        return min(self.cores / GATHERING_CPU_S, self.link * BYTES_PER_MEGABIT / GATHERED_BYTES)


FIXED_SETTINGS = (
    "host",
    "caller_address",
    "readiness_address",
    "metrics_address",
    "peer_address",
)
"""The settings of which a change waits for the next start of the process."""


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """The addresses, the failure domain and the time limits of one gateway.

    The gateway listens for callers on ``caller_address``, for readiness checks on
    ``readiness_address``, for readers of its metrics on ``metrics_address`` and for other gateways
    on ``peer_address``. ``seeds`` holds the peer addresses of a few gateways; some may be out of
    date. ``store_address`` is the address of the platform's store. ``grace`` is the time from the
    request to stop until the process is killed, and ``drain`` how long a leaving searcher may still
    be sent requests. ``capacity`` is that of the gateway's host.
    """

    host: HostId
    domain: FailureDomainId
    caller_address: Address
    readiness_address: Address
    metrics_address: Address | None
    peer_address: Address | None
    seeds: tuple[Address, ...]
    store_address: Address
    grace: Millis
    drain: Millis
    repeats: RepeatBounds
    capacity: HostCapacity
    cold: ColdMargin = ColdMargin()

    def find_fixed_changes(self, changed: "GatewaySettings") -> list[str]:
        """Return the names of ``FIXED_SETTINGS`` that differ in ``changed``."""
        return [name for name in FIXED_SETTINGS if getattr(self, name) != getattr(changed, name)]

    def apply(self, changed: "GatewaySettings") -> "GatewaySettings":
        """Return ``changed`` with the present values of ``FIXED_SETTINGS``."""
        return replace(changed, **{name: getattr(self, name) for name in FIXED_SETTINGS})

    @property
    def is_seed(self) -> bool:
        """Return whether this gateway is a seed.

        The seeds name the gatherers and, if there are many gateways, relay the catalogue.
        """
        return self.peer_address is not None and self.peer_address in self.seeds
