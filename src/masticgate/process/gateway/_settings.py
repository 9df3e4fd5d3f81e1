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

    The gateway listens for callers on ``caller_address``, for readiness checks on
    ``readiness_address``, for readers of its metrics on ``metrics_address`` and for other gateways
    on ``peer_address``. ``seeds`` holds the peer addresses of a few gateways; some may be out of
    date. ``store_address`` is the address of the platform's store. ``grace`` is the time from the
    request to stop until the process is killed, and ``drain`` how long a leaving searcher may still
    be sent requests.
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

    @property
    def is_seed(self) -> bool:
        """Return whether this gateway is a seed.

        If there are many gateways, the seeds gather queries and relay the catalogue for the others.
        """
        return self.peer_address is not None and self.peer_address in self.seeds
