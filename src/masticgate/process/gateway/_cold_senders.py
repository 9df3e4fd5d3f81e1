"""The gateways by whose number each seed divides what cold searchers may be sent."""

from ..._clock import Clock
from ..._ids import Address, HostId
from ._fleet import Fleet
from ._gatherers import Gatherer
from ._membership import Membership
from .searchers import SETTLING_TIME, SenderKind


class ColdSenders:
    """The positions of gateways among those that send requests to cold searchers.

    A seed assigns the positions from its ``membership``, which the lock of :class:`Peers` guards.
    ``started_at`` is the time at which this gateway started. The senders that each seed counts are
    recorded in ``fleet``.
    """

    def __init__(self, membership: Membership, fleet: Fleet, clock: Clock) -> None:
        self.membership = membership
        self.fleet = fleet
        self.clock = clock
        self.started_at = clock.now()

    def record(
        self,
        seed: Address,
        own_address: Address | None,
        named: frozenset[Gatherer],
        position: tuple[int, int] | None,
    ) -> None:
        """Record the gateways by whose number a seed divides what cold searchers may be sent."""
        own = str(own_address)
        gatherers = {str(gatherer.address) for gatherer in named}
        own_gatherer = own if own in gatherers else None
        self.fleet.record_senders(seed, SenderKind.GATHERERS, own_gatherer, gatherers)
        if position is not None:
            senders = [str(number) for number in range(position[1])]
            self.fleet.record_senders(seed, SenderKind.ALL, str(position[0]), senders)

    def own_position(self) -> tuple[int, int] | None:
        """Return the position of this seed among the gateways that it counts."""
        return (0, self.membership.position_count()) if self._is_settled() else None

    def position_of(self, host: HostId) -> tuple[int, int] | None:
        """Return the position of another gateway among those that this seed counts."""
        position = self.membership.positions.get(host)
        if position is None or not self._is_settled():
            return None
        return position, self.membership.position_count()

    def _is_settled(self) -> bool:
        """Return whether this seed can have heard from every gateway since its start."""
        return self.clock.now() - self.started_at >= SETTLING_TIME
