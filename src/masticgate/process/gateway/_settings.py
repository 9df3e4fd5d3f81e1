"""The settings of a gateway process."""

from dataclasses import dataclass

from ..._ids import Address, FailureDomainId, HostId, Millis


@dataclass(frozen=True, slots=True)
class RepeatBounds:
    """What all gateways together may send beyond the first send of each request, a service.

    In each ``window``, at most ``ratio`` of the requests plus ``slack``.
    """

    ratio: float
    slack: float
    window: Millis


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Where one gateway listens and what bounds it.

    ``grace`` is the time from the request to stop until the process is killed; ``drain`` is how
    long a searcher that leaves may still be sent requests. ``seeds`` are the ``peers`` addresses
    of a few gateways, which may be stale.
    """

    host: HostId
    domain: FailureDomainId
    callers: Address
    readiness: Address
    metrics: Address | None
    peers: Address | None
    seeds: tuple[Address, ...]
    catalogue: Address
    grace: Millis
    drain: Millis
    repeats: RepeatBounds

    @property
    def is_seed(self) -> bool:
        """Tell whether this gateway gathers queries and reads the platform for others."""
        return self.peers is not None and self.peers in self.seeds
