"""The gatherers that the seeds name, and how this gateway uses them as searchers."""

from dataclasses import dataclass, replace
from threading import Lock

from ..._ids import Address, Millis, SearcherId
from ...version.gateway import (
    PEER_SERVICE,
    Idempotency,
    OneService,
    Route,
    SearcherEntry,
    SearcherPhase,
)
from ._fleet import Fleet
from ._gatherers import Gatherer
from ._hedge_delays import peer_route_id
from ._log import EventLog, LogEvent

PEER_SLOTS = 64
"""The number of parts that a gatherer is assumed to run at the same time."""

PEER_ATTEMPTS = 3
"""The number of gatherers to which one part may be sent."""


@dataclass(frozen=True, slots=True)
class GatherHere:
    """This gateway gathers shards of its queries itself.

    ``is_gatherer`` says whether it was chosen for that, and then it gathers those in its domain;
    otherwise it knows of no gatherer, and gathers all.
    """

    is_gatherer: bool = False


@dataclass(frozen=True, slots=True)
class GatherAtPeers:
    """This gateway forwards all parts of its queries to gatherers."""


Gathering = GatherHere | GatherAtPeers


def peer_route(route: Route) -> Route:
    """Return the route by which parts of queries on ``route`` are forwarded to gatherers.

    It is not idempotent, so that a part is forwarded again only if it did not run.
    """
    return replace(
        route,
        id=peer_route_id(route.id),
        kind=Idempotency.NON_IDEMPOTENT,
        target=OneService(PEER_SERVICE),
        attempts=PEER_ATTEMPTS,
    )


class GathererNames:
    """The gatherers that the seeds name; :meth:`apply` puts them into use.

    ``by_seed`` maps each seed that responds to the gatherers that it names, and ``digests`` to the
    digest of their names. ``gatherers`` holds all of them; the last ones stay in use while no seed
    names any.
    """

    def __init__(self, fleet: Fleet, log: EventLog) -> None:
        self.fleet = fleet
        self.log = log
        self.lock = Lock()
        self.apply_lock = Lock()
        self.by_seed: dict[Address, frozenset[Gatherer]] = {}
        self.digests: dict[Address, str] = {}
        self.gatherers: frozenset[Gatherer] = frozenset()

    def record(self, seed: Address, gatherers: frozenset[Gatherer], digest: str = "") -> None:
        """Record the gatherers that a seed names."""
        with self.lock:
            self.by_seed[seed] = gatherers
            self.digests[seed] = digest

    def forget(self, seed: Address) -> None:
        """Forget what a seed named that does not respond."""
        with self.lock:
            self.by_seed.pop(seed, None)
            self.digests.pop(seed, None)

    def named_by(self, seed: Address) -> frozenset[Gatherer]:
        """Return the gatherers that a seed names."""
        with self.lock:
            return self.by_seed.get(seed, frozenset())

    def apply(self, own_address: Address | None) -> bool:
        """Send queries to the gatherers that the seeds name now, and no longer to others.

        Return whether they are others than before.
        """
        with self.apply_lock:
            with self.lock:
                named = frozenset[Gatherer]().union(*self.by_seed.values())
            if not named:
                return False
            for gatherer in self.gatherers - named:
                self.log.write(LogEvent.GATHERER_LOST, peer=gatherer.address)
                self.fleet.remove_searcher(_peer_id(gatherer.address), "not named by a seed")
            for gatherer in named - self.gatherers:
                self.log.write(LogEvent.GATHERER_FOUND, peer=gatherer.address)
            for gatherer in named:
                if gatherer.address != own_address:
                    self.fleet.apply_listing(_gatherer_entry(gatherer))
            changed = named != self.gatherers
            self.gatherers = named
            return changed


def _peer_id(address: Address) -> SearcherId:
    return SearcherId(f"{PEER_SERVICE}/{address}")


def _gatherer_entry(gatherer: Gatherer) -> SearcherEntry:
    """Return a listing for a gatherer, so that the fleet can treat it as a searcher."""
    return SearcherEntry(
        _peer_id(gatherer.address),
        PEER_SERVICE,
        gatherer.address,
        gatherer.domain,
        PEER_SLOTS,
        SearcherPhase.READY,
        Millis(0.0),
        0,
    )
