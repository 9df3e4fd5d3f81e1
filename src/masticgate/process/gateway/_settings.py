"""The settings of a gateway process, independent of the file that holds them."""

from dataclasses import dataclass

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
class GatewaySettings:
    """The addresses, the failure domain and the time limits of one gateway.

    ``callers``, ``readiness``, ``metrics`` and ``peers`` are the addresses to listen on, the last
    one for other gateways. ``seeds`` are the ``peers`` addresses of a few gateways; some may be out
    of date. ``catalogue`` is the address of the platform's store. ``grace`` is the time from the
    request to stop until the process is killed, and ``drain`` how long a leaving searcher may still
    be sent requests.
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
        """Return whether this gateway gathers queries and reads the platform for others."""
        return self.peers is not None and self.peers in self.seeds
