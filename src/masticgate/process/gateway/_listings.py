"""The searchers that the platform lists, and the gatherers, with the state of each."""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from ..._clock import Clock
from ..._ids import FailureDomainId, Millis, SearcherId, ServiceId
from ...version.gateway import PEER_SERVICE, SearcherEntry, SearcherPhase
from ._log import EventLog, LogEvent
from ._replica import Replica, ReplicaState
from .evacuation import EvacuatedDomains
from .searchers import ColdLimits

LAST_RESORT_SHARE = 0.5
"""The part of the ``drain`` setting for which a leaving searcher is used if there is no other."""

DEPARTURE_TTL = Millis(10_000.0)
"""How long a departure is remembered; another gateway may list its searcher for some seconds."""

MAX_DRAINED_SEARCHERS = 2_000
"""The number of drained searchers that are remembered.

At an ordinary rate of releases, it takes days until that many searchers have drained.
"""


@dataclass(frozen=True, slots=True)
class Period:
    """What holds until the time ``until`` for a searcher's start at the time ``born``."""

    born: int
    until: Millis


class Listings:
    """All known searchers; the fleet's lock guards them.

    ``drained_start_times`` maps each searcher that drained to its start time, so that a late
    listing of the same start does not put it back into use. ``max_connections`` returns the
    connection limit for each searcher of a service. ``pauses`` and ``departures``, the ends of
    the times in which leaving searchers are a last resort, outlast the listings of their searchers,
    which may be replaced.
    """

    def __init__(
        self,
        clock: Clock,
        log: EventLog,
        max_connections: Callable[[ServiceId], int],
        cold_limits: ColdLimits | None = None,
    ) -> None:
        self.clock = clock
        self.log = log
        self.max_connections = max_connections
        self.services: dict[ServiceId, dict[SearcherId, Replica]] = {}
        self.replicas: dict[SearcherId, Replica] = {}
        self.drained_start_times: dict[SearcherId, int] = {}
        self.pauses: dict[SearcherId, Period] = {}
        self.departures: dict[SearcherId, Period] = {}
        self.evacuated = EvacuatedDomains()
        self.cold_limits = cold_limits or ColdLimits(())

    def of_service(self, service: ServiceId) -> Collection[Replica]:
        """Return the searchers of a service."""
        return self.services.get(service, {}).values()

    def apply(self, entry: SearcherEntry, drain: Millis) -> None:
        """Apply the present listing of a searcher, unless it is outdated.

        ``drain`` is how long a leaving searcher may still be sent requests.
        """
        known = self.replicas.get(entry.id)
        if self._is_outdated(known, entry):
            log_ignored(self.log, entry)
            return
        if known is None or self._is_replacement(known.entry, entry):
            if known is not None:
                self.remove(known)
            known = self._add(entry)
        self._update(known, entry, drain)

    def record_departure(self, replica: Replica, why: str, drain: Millis) -> None:
        """Stop using a searcher that has said that it leaves; its listing may not say so.

        Only a later start of it is used again.
        """
        self._record_drained(replica.entry)
        self.start_leaving(replica, why, Millis(drain * LAST_RESORT_SHARE))

    def pause(self, replica: Replica, duration: Millis) -> None:
        """Send no requests to a searcher for ``duration`` from now on, as it has asked."""
        now = self.clock.now()
        replica.pause(Millis(now + duration))
        self.pauses = {id: pause for id, pause in self.pauses.items() if now < pause.until}
        self.pauses[replica.entry.id] = Period(replica.entry.born, replica.paused_until)
        self.log.write(
            LogEvent.SEARCHER_PAUSED,
            searcher=replica.entry.id,
            service=replica.entry.service,
            for_ms=round(duration),
        )

    def start_leaving(self, replica: Replica, why: str, usable_time: Millis) -> None:
        """Use a searcher for ``usable_time`` if there is no other, and then no longer.

        If the same start has left shortly before, and a late listing made it active again, the time
        counts from then.
        """
        if replica.state in (ReplicaState.LEAVING, ReplicaState.GONE):
            return
        now = self.clock.now()
        usable_until = Millis(now + usable_time)
        earlier = self.departures.get(replica.entry.id)
        if (
            earlier is not None
            and earlier.born == replica.entry.born
            and now < earlier.until + DEPARTURE_TTL
        ):
            usable_until = min(usable_until, earlier.until)
        self.departures[replica.entry.id] = Period(replica.entry.born, usable_until)
        replica.start_leaving(usable_until)
        _close_idle(replica)
        self.log.write(
            LogEvent.SEARCHER_LEAVING,
            searcher=replica.entry.id,
            service=replica.entry.service,
            why=why,
        )

    def remove(self, replica: Replica) -> None:
        """Remove a searcher and close its idle connections."""
        _close_idle(replica)
        replica.state = ReplicaState.GONE
        if self.replicas.get(replica.entry.id) is replica:
            del self.replicas[replica.entry.id]
        service = self.services.get(replica.entry.service, {})
        service.pop(replica.entry.id, None)
        if not service:
            self.services.pop(replica.entry.service, None)

    def evacuate(self, domain: FailureDomainId) -> set[ServiceId] | None:
        """Send nothing to the searchers of a domain; return their services.

        The result is ``None`` if the domain is evacuated already.
        """
        if not self.evacuated.start(domain):
            return None
        replicas = [replica for replica in self.replicas.values() if replica.is_evacuated()]
        for replica in replicas:
            _close_idle(replica)
        return {replica.entry.service for replica in replicas}

    def presume_cold(self, replica: Replica) -> None:
        """Treat a searcher that refuses connections as cold: its process has ended.

        The next one is cold, and serves before its listing or an answer of it says so.
        """
        bound = self.cold_limits.bounds.get(replica.entry.service)
        if bound is not None:
            replica.extend_cold(bound.duration, self.clock.now())

    def remove_gone(self, now: Millis) -> None:
        """Remove the searchers that have left and have no call in flight, and old departures."""
        self.departures = {
            searcher: departure
            for searcher, departure in self.departures.items()
            if now < departure.until + DEPARTURE_TTL
        }
        for replica in list(self.replicas.values()):
            if replica.state is ReplicaState.LEAVING and now >= replica.usable_until:
                replica.state = ReplicaState.GONE
            if replica.state is ReplicaState.GONE and replica.in_flight == 0:
                self.remove(replica)

    def find_unlisted(self, listed: set[SearcherId]) -> set[SearcherId]:
        """Return the searchers in use that are not in ``listed``, without gatherers."""
        return {
            searcher
            for searcher, replica in self.replicas.items()
            if searcher not in listed
            and replica.state is not ReplicaState.GONE
            and replica.entry.service != PEER_SERVICE
        }

    def domains(self, services: Iterable[ServiceId]) -> dict[ServiceId, frozenset[FailureDomainId]]:
        """Return the failure domains with listed searchers of each service."""
        return {
            service: frozenset(
                replica.entry.domain for replica in self.of_service(service) if replica.is_listed
            )
            for service in services
        }

    def _is_outdated(self, known: Replica | None, entry: SearcherEntry) -> bool:
        """Return whether a listing is older than what is known of its searcher.

        The listing of a known searcher is outdated if it belongs to an earlier start. That of an
        unknown searcher is outdated if it says that the searcher drains, or if the searcher has
        already drained since that start or a later one.
        """
        if known is not None:
            return entry.born < known.entry.born
        has_drained = entry.born <= self.drained_start_times.get(entry.id, -1)
        return has_drained or entry.phase is SearcherPhase.DRAINING

    def _is_replacement(self, known: SearcherEntry, entry: SearcherEntry) -> bool:
        """Return whether a listing has another start, address or service than the known one."""
        known_start = (known.born, known.address, known.service)
        return known_start != (entry.born, entry.address, entry.service)

    def _add(self, entry: SearcherEntry) -> Replica:
        limit, now = self.max_connections(entry.service), self.clock.now()
        replica = Replica(entry, limit, now, self.evacuated, self.cold_limits)
        pause = self.pauses.get(entry.id)
        if pause is not None and pause.born == entry.born:
            replica.pause(pause.until)
        self.replicas[entry.id] = replica
        self.services.setdefault(entry.service, {})[entry.id] = replica
        self.log.write(
            LogEvent.SEARCHER_LISTED,
            searcher=entry.id,
            service=entry.service,
            address=entry.address,
            born=entry.born,
        )
        return replica

    def _update(self, replica: Replica, entry: SearcherEntry, drain: Millis) -> None:
        """Apply a listing to its searcher.

        A searcher that was leaving or gone is active again, unless it has begun to drain since the
        start that the listing states.
        """
        if entry != replica.entry:
            # The remaining time counts from the writing of the listing, which is not read again.
            replica.extend_cold(entry.cold, self.clock.now())
        replica.entry = entry
        if replica.is_evacuated():
            _close_idle(replica)
        if entry.phase is SearcherPhase.DRAINING:
            self.record_departure(replica, "draining", drain)
        elif entry.born > self.drained_start_times.get(entry.id, -1):
            replica.restore()

    def _record_drained(self, entry: SearcherEntry) -> None:
        known = self.drained_start_times.pop(entry.id, entry.born)
        self.drained_start_times[entry.id] = max(known, entry.born)
        while len(self.drained_start_times) > MAX_DRAINED_SEARCHERS:
            del self.drained_start_times[next(iter(self.drained_start_times))]


def log_ignored(log: EventLog, entry: SearcherEntry) -> None:
    """Log that the listing of a searcher is not applied, since it is older than what is known."""
    log.write(
        LogEvent.SEARCHER_IGNORED, searcher=entry.id, born=entry.born, phase=entry.phase.value
    )


def _close_idle(replica: Replica) -> None:
    """Close the idle connections to a searcher."""
    for task in replica.idle:
        task.close()
    replica.idle.clear()
