"""The policies by which a host routes, orders, hedges and admits work.

They are data classes, and the code whose behaviour varies by policy matches on them.
"""

from dataclasses import dataclass

from .._ids import Millis


@dataclass(frozen=True, slots=True)
class OwnerRouting:
    """The owner of a service, one host, queues all its work and connects to its searchers."""


@dataclass(frozen=True, slots=True)
class LocalRouting:
    """Each host queues and sends the work of its own requests, as if it owned every service."""


Routing = OwnerRouting | LocalRouting


@dataclass(frozen=True, slots=True)
class ArrivalOrder:
    """Work is served in the order in which it arrived."""


@dataclass(frozen=True, slots=True)
class RankOrder:
    """Work is served by its rank, urgent first, with a floor for each lower rank.

    The floor of a rank is the share of the served work that it gets in any case. Within a rank,
    work is served by arrival. Once its oldest queued work is older than ``shared_order_after``,
    the rank is served by admission number instead. That number is drawn once per query, so that
    the owners of all its services finish the same queries under overload.
    """

    shared_order_after: Millis = Millis(150.0)


Order = ArrivalOrder | RankOrder


@dataclass(frozen=True, slots=True)
class NoHedge:
    """A slow attempt is waited for, and a failed one is not retried."""


@dataclass(frozen=True, slots=True)
class Hedge:
    """A slow attempt is hedged: another searcher is asked too, and the first answer is used.

    A hedge spends one token, and so do most retries. ``budget`` is how many tokens each first
    attempt earns, and ``minimum_delay`` the least age at which an attempt is hedged.
    """

    budget: float = 0.048
    minimum_delay: Millis = Millis(15.0)


Hedging = NoHedge | Hedge


@dataclass(frozen=True, slots=True)
class AdmitAll:
    """Every query is sent to its services, whatever their load."""


@dataclass(frozen=True, slots=True)
class AdmitByCapacity:
    """A query is refused as a whole, before its fan-out, if a service could not finish it."""


Admission = AdmitAll | AdmitByCapacity


@dataclass(frozen=True, slots=True)
class Policy:
    """One choice for each kind of policy."""

    routing: Routing
    order: Order
    hedging: Hedging
    admission: Admission


OWNER_POLICY = Policy(OwnerRouting(), RankOrder(), Hedge(), AdmitByCapacity())
"""The policy of an ordinary host."""

NAIVE_POLICY = Policy(LocalRouting(), ArrivalOrder(), NoHedge(), AdmitAll())
"""A simple baseline to compare the ordinary policy with."""
