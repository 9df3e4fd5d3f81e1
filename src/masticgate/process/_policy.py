"""The policies of an entry host as data; code that varies by policy matches on them."""

from dataclasses import dataclass

from .._ids import Millis


@dataclass(frozen=True, slots=True)
class OwnerRouting:
    """One owner host a service holds the one queue and the searchers' connections."""


@dataclass(frozen=True, slots=True)
class LocalRouting:
    """Each host sends to the searchers on its own."""


Routing = OwnerRouting | LocalRouting


@dataclass(frozen=True, slots=True)
class ArrivalOrder:
    """First come, first served."""


@dataclass(frozen=True, slots=True)
class RankOrder:
    """Urgent first, with a floor for each lower rank.

    Once the oldest waiting work of a rank is older than ``shared_order_after``, that rank is
    served by the number drawn once a query, so that all owners finish the same queries.
    """

    shared_order_after: Millis = Millis(150.0)


Order = ArrivalOrder | RankOrder


@dataclass(frozen=True, slots=True)
class NoHedge:
    """A straggler is waited for."""


@dataclass(frozen=True, slots=True)
class Hedge:
    """A straggler is asked again elsewhere, within a share of the work sent."""

    budget: float = 0.048
    minimum_delay: Millis = Millis(15.0)


Hedging = NoHedge | Hedge


@dataclass(frozen=True, slots=True)
class AdmitAll:
    """Every query fans out, whatever the load."""


@dataclass(frozen=True, slots=True)
class AdmitByCapacity:
    """A query is refused whole, before its fan-out, where a service could not finish it."""


Admission = AdmitAll | AdmitByCapacity


@dataclass(frozen=True, slots=True)
class Policy:
    """How a host routes, orders, hedges and admits."""

    routing: Routing
    order: Order
    hedging: Hedging
    admission: Admission


OWNER_POLICY = Policy(OwnerRouting(), RankOrder(), Hedge(), AdmitByCapacity())
NAIVE_POLICY = Policy(LocalRouting(), ArrivalOrder(), NoHedge(), AdmitAll())
