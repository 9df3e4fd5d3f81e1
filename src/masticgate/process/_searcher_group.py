"""The searchers of one service: the connections to each, which gets work, which is ejected.

The owner of a service is the host that queues its work and holds the connections to its
searchers. A searcher is ejected, which means it gets no work for a while, after failures in a row
or when it is much slower than the fastest one.
"""

from collections.abc import Callable, Collection, Iterable, Iterator

from .._failures import NotRun, Reason, Unknown
from .._ids import Millis, SearcherId, ServiceId
from ..request import Hits, Ran, VersionGone
from ..version import Searcher
from ._searcher_health import LoadReport, SearcherHealth, SearcherState
from ._work import AttemptState, Result, SearcherAttempt

HEALTH_FAILURES = frozenset(
    {Reason.SEARCHER_LOST, Reason.SEARCHER_ERROR, Reason.SEARCHER_REFUSED, Reason.WRONG_VERSION}
)
"""The reasons for a failed attempt that count against the searcher."""

StateListener = Callable[[ServiceId, SearcherId, SearcherState], None]
"""Called with a service, a searcher of it and the state that the searcher changed to."""


class SearcherGroup:
    """The searchers of a service, which are replicas of one another.

    ``health`` holds the searchers in use. A searcher that was removed or moved to another address
    is kept in ``retired`` until its last connection has closed. Callers hold the lock of the
    service pool.
    """

    def __init__(self, service: ServiceId, listener: StateListener) -> None:
        self.service = service
        self.listener = listener
        self.health: dict[SearcherId, SearcherHealth] = {}
        self.retired: list[SearcherHealth] = []

    # Connections to the searchers.

    def apply_shares(self, shares: Iterable[tuple[Searcher, int]]) -> list[Searcher]:
        """Apply the searchers in use and the number of connections that each may have.

        Return the searchers to connect to, each once for every connection to open. A searcher is
        recognised by its address.
        """
        known = [*self.health.values(), *self.retired]
        self.health = {}
        missing: list[Searcher] = []
        for searcher, connections in shares:
            health = next((h for h in known if h.searcher.address == searcher.address), None)
            if health is None:
                health = SearcherHealth(searcher)
            else:
                known.remove(health)
            missing.extend([searcher] * health.resize(searcher, connections))
            self.health[searcher.id] = health
        for health in known:
            health.resize(health.searcher, 0)
        self.retired = [health for health in known if health.open_connections]
        return missing

    def find(self, searcher: Searcher) -> SearcherHealth:
        """Return the state of a searcher to which a connection is open."""
        known = (*self.health.values(), *self.retired)
        return next(h for h in known if h.searcher.address == searcher.address)

    def remove_closed(self) -> None:
        """Remove the retired searchers whose last connection has closed."""
        self.retired = [health for health in self.retired if health.open_connections]

    def open_connections(self) -> int:
        """Return the number of connections that are open, opening or closing."""
        return sum(health.open_connections for health in (*self.health.values(), *self.retired))

    # Choice of the searcher that gets the next work.

    def all_draining(self) -> bool:
        """Return whether no searcher takes new work: all are draining, or there are none."""
        return all(h.state is SearcherState.DRAINING for h in self.health.values())

    def usable_slots(self, now: Millis) -> int:
        """Return how many requests the searchers can run at once now.

        A searcher counts with its slots, or with the requests that it may have in flight if these
        are fewer, as during its warm-up.
        """
        return sum(min(h.searcher.slots, h.max_in_flight(now)) for h in self.health.values())

    def choose(
        self,
        candidates: Iterable[SearcherHealth],
        now: Millis,
        excluded: Collection[SearcherHealth] = (),
    ) -> SearcherHealth | None:
        """Return the candidate with the lowest cost, ``None`` if none may take more work."""
        eligible = [
            h for h in candidates if h not in excluded and h.in_flight < h.max_in_flight(now)
        ]
        return min(eligible, key=lambda health: health.cost(now), default=None)

    def list_ejected(self) -> list[SearcherHealth]:
        """Return the ejected searchers, which get at most one request, as a probe."""
        return [h for h in self.health.values() if h.state is SearcherState.EJECTED]

    def next_eligible(self, now: Millis) -> Millis | None:
        """Return when the next searcher may get work again, after a refusal or an ejection.

        Return ``None`` if no searcher waits after either.
        """
        return min((h.eligible_at for h in self._usable() if h.eligible_at > now), default=None)

    # Updates of a searcher's state.

    def record_result(self, attempt: SearcherAttempt, result: Result, now: Millis) -> None:
        """Update the state of the searcher from the result of ``attempt``."""
        health = attempt.health
        health.in_flight -= 1
        before = self._states()
        if attempt.incarnation:
            health.incarnation = attempt.incarnation
        match result:
            case Hits() | Ran() | VersionGone():
                health.record_success(Millis(now - attempt.sent_at), now)
                self._eject_slow(now)
            case NotRun(reason=Reason.SEARCHER_DRAINING):
                health.drain()
            case NotRun(reason=Reason.SEARCHER_SHED):
                health.record_refusal(now)
            case NotRun(reason=reason) | Unknown(reason=reason):
                if _is_failure(attempt, reason) and health.record_failure():
                    self._eject(health, now)
        self._notify(before)

    def record_load(self, searcher: Searcher, report: LoadReport | None) -> None:
        """Record a searcher's report of its load, ``None`` if it sent no valid one.

        A missing report matters only for a draining searcher, which may be restarting.
        """
        health = self.find(searcher)
        before = self._states()
        if report is not None:
            health.record_report(report)
        elif health.state is SearcherState.DRAINING:
            health.record_failure()
        self._notify(before)

    def _usable(self) -> Iterator[SearcherHealth]:
        return (h for h in self.health.values() if h.state is not SearcherState.DRAINING)

    def _eject_slow(self, now: Millis) -> None:
        active = [h for h in self.health.values() if h.state is SearcherState.ACTIVE]
        fastest = min((h.latency for h in active if h.samples), default=Millis(0.0))
        for health in active:
            if health.is_slow(fastest):
                self._eject(health, now)

    def _eject(self, health: SearcherHealth, now: Millis) -> None:
        """Eject ``health``, unless over half of the searchers would then be ejected or draining."""
        unavailable = (SearcherState.EJECTED, SearcherState.DRAINING)
        out = sum(h.state in unavailable for h in self.health.values() if h is not health)
        if (out + 1) * 2 <= len(self.health):
            health.eject(now)

    def _states(self) -> list[tuple[SearcherHealth, SearcherState]]:
        return [(health, health.state) for health in self.health.values()]

    def _notify(self, before: Iterable[tuple[SearcherHealth, SearcherState]]) -> None:
        for health, state in before:
            if health.state is not state:
                self.listener(self.service, health.searcher.id, health.state)


def _is_failure(attempt: SearcherAttempt, reason: Reason) -> bool:
    """Return whether a failed attempt counts against its searcher.

    An attempt that was superseded by its hedge counts too. Neither that nor ``SEARCHER_LOST``
    counts if the searcher has answered since the attempt was sent, as it is then alive.
    """
    answered_since = attempt.health.last_success_at >= attempt.sent_at
    match attempt.state:
        case AttemptState.WANTED if reason is Reason.SEARCHER_LOST:
            return not answered_since
        case AttemptState.WANTED:
            return reason in HEALTH_FAILURES
        case AttemptState.SUPERSEDED:
            return not attempt.hedge and not answered_since
        case AttemptState.CANCELLED:
            return False
