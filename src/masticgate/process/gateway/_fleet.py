"""The searchers of all services: their listings, their connections and the choice among them.

The module also enforces the budgets for repeats. A repeat is a hedge, which is sent while an
earlier attempt has no response yet, or a retry, which is sent after an attempt failed.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from itertools import count
from threading import Lock

from ..._clock import Clock
from ..._failures import NotRun, Reason, Step
from ..._ids import ConnectionNumber, FailureDomainId, Millis, RouteId, SearcherId, ServiceId
from ...connection.gateway import (
    HeaderNames,
    Load,
    ProtocolViolation,
    SearcherTask,
    SkippedResponse,
    TaskStarter,
    TrailingBytes,
    UnrequestedBytes,
    peer_header_names,
)
from ...request.gateway import (
    Answered,
    BodyFraming,
    Call,
    Declined,
    InFlightCall,
    Lost,
    Repeat,
)
from ...version.gateway import PEER_SERVICE, Route, RouteTable, SearcherEntry, SearcherPhase
from ._hedge_delays import HedgeDelays
from ._log import EventLog, LogEvent
from ._metrics import Metrics
from ._rendezvous import rendezvous_weight
from ._repeat_budgets import RepeatBudgets
from ._replica import Replica, ReplicaState
from ._settings import GatewaySettings
from ._shares import GatewayShares

RETRY_RESERVE = 1.0
"""The number of repeats in each budget that hedges may not spend, so that retries can."""

DEFAULT_CONNECTIONS = 8
"""The connection limit for a searcher whose service the configuration does not name."""

CROSS_DOMAIN_COST = 0.8
"""Added to the cost of a searcher in another failure domain, for its round trip and traffic.

It exceeds the cost that one late answer adds, so that a single late answer of a searcher in the
gateway's own domain does not move requests to another domain.
"""

DEFAULT_IDLE_TIMEOUT = Millis(4_000.0)
"""The idle timeout of a connection whose searcher does not state one."""

MAX_IDLE_TIMEOUT = Millis(10_000.0)
"""The upper bound on the idle timeout that a searcher states."""

IDLE_TIMEOUT_MARGIN = Millis(1_000.0)
"""An idle connection is closed this long before the searcher would close it.

The margin covers two intervals between calls of :meth:`Fleet.maintain`.
"""

STUCK_CALL_MARGIN = Millis(100.0)
"""A connection is closed once its call is past its deadline by more than this."""

WARM_SEARCHERS = 1
"""The number of searchers of each shard to which a gatherer keeps a connection open."""

MAX_SHARD_CONNECTIONS = 4
"""The connections of one gateway to each searcher of a shard, whatever its share.

A searcher runs about two requests at once, and a gatherer has hundreds of searchers; requests that
wait for a slow searcher must not take a task each.
"""

MAX_GATHERER_FAILURE_RATE = 0.15
"""A gatherer with a higher failure rate is the last choice; one failure counts for about 1 s."""

RENEWAL_WINDOW = Millis(20_000.0)
"""An expired idle connection is replaced if its searcher was sent a request within this time."""

SHARD_RENEWAL_WINDOW = Millis(6_000.0)
"""The same for the searchers of shards, of which a gatherer has hundreds and uses some to hedge."""

LAST_RESORT_SHARE = 0.5
"""The part of the ``drain`` setting for which a leaving searcher is used if there is no other."""

MAX_DRAINED_SEARCHERS = 2_000
"""The number of drained searchers that are remembered.

At an ordinary rate of releases, it takes days until that many searchers have drained.
"""


def peer_route_id(route: RouteId) -> RouteId:
    """Return the id of the route by which parts of queries on ``route`` go to gatherers."""
    return RouteId(f"{PEER_SERVICE}/{route}")


@dataclass(slots=True)
class DispatchedCall:
    """A call that was assigned to a connection and has no outcome yet."""

    call: Call
    searcher: SearcherId
    task: SearcherTask

    def cancel(self) -> None:
        """Cancel the call, so that the searcher drops the request or never receives it.

        The connection is closed if the call was started; otherwise the call is not sent.
        """
        self.task.cancel(self.call)

    def withdraw(self) -> bool:
        """Cancel the call unless sending it has begun; return whether it was cancelled."""
        return self.task.withdraw(self.call)


class Fleet:
    """All searchers that the platform lists, and the gatherers; one lock guards their state.

    A gatherer is a gateway that sends queries over many shards to the searchers for this gateway,
    which treats it as a searcher. The fleet chooses a searcher for each call, and opens, reuses and
    closes the connections. The tasks of the connections call the ``handle_`` methods and
    :meth:`record_violation`.

    ``accepted_connections`` maps each service to the number of connections that one of its
    searchers accepts from all gateways together. ``drained_start_times`` maps each searcher that
    drained to its start time, so that a late listing of the same start does not put it back into
    use.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        header_names: HeaderNames,
        clock: Clock,
        starter: TaskStarter,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self.settings = settings
        self.header_names = header_names
        self.clock = clock
        self.starter = starter
        self.log = log
        self.metrics = metrics
        self.lock = Lock()
        self.services: dict[ServiceId, dict[SearcherId, Replica]] = {}
        self.replicas: dict[SearcherId, Replica] = {}
        self.tasks: dict[SearcherTask, Replica] = {}
        self.connection_numbers = count(1)
        self.drained_start_times: dict[SearcherId, int] = {}
        self.accepted_connections: dict[ServiceId, int] = {}
        self.shard_services: set[ServiceId] = set()
        self.shard_domains: dict[ServiceId, frozenset[FailureDomainId]] = {}
        self.shares = GatewayShares(1, (), settings.domain, False)
        self.peer_header_names = peer_header_names(header_names)
        self.budgets = RepeatBudgets(settings.repeats, self.shares, clock.now())
        self.hedge_delays = HedgeDelays()

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply changed settings, also to existing budgets for repeats."""
        with self.lock:
            self.settings = settings
            self.budgets.bounds = settings.repeats
            self._apply_shares(self.shares)

    def now(self) -> Millis:
        """Return the present time on the gateway's monotonic clock."""
        return self.clock.now()

    def send(self, call: Call, tried: set[SearcherId]) -> DispatchedCall | NotRun:
        """Send ``call`` to the best searcher of its service that is not in ``tried``.

        An ejected searcher that is not due for a probe is sent the call only if no other searcher
        is usable, and the call is a retry or the query of a shard. Return why the call was not
        sent if there is no searcher for it, all connections are busy, or no task can be started.
        """
        while True:
            with self.lock:
                replica = self._choose_replica(call, tried)
                if isinstance(replica, NotRun):
                    return replica
                idle = replica.idle.pop() if replica.idle else None
                task = idle or self._open_connection(replica, call)
                if task is None:
                    return NotRun(Reason.OVERLOAD, Step.CONNECT, call.service, "no task can start")
                replica.in_flight += 1
                replica.last_used_at = self.clock.now()
            if idle is None or idle.dispatch(call):
                break
            with self.lock:
                replica.in_flight -= 1
        if call.repeat:
            self.metrics.count("repeats")
        else:
            with self.lock:
                self.budgets.record_request(call.service, self.clock.now())
        return DispatchedCall(call, replica.entry.id, task)

    def has_searcher(self, service: ServiceId, tried: set[SearcherId]) -> bool:
        """Return whether a searcher of ``service`` that is not in ``tried`` could accept a call."""
        now = self.clock.now()
        with self.lock:
            return any(
                replica.is_usable(now) and replica.has_capacity()
                for replica in self.services.get(service, {}).values()
                if replica.entry.id not in tried
            )

    def record_overdue(self, call: InFlightCall) -> None:
        """Prefer other searchers while the one of ``call`` has not answered it."""
        with self.lock:
            replica = self.replicas.get(call.searcher)
            if replica is not None and not call.call.overdue and call.call.outcome is None:
                call.call.overdue = True
                replica.overdue += 1

    def hedge_delay(self, route: Route) -> Millis:
        """Return the age at which a request on ``route`` is hedged."""
        with self.lock:
            return self.hedge_delays.delay(route)

    def allow_hedge(self, service: ServiceId) -> bool:
        """Spend one repeat from the budget of ``service``, unless only the reserve is left.

        Return whether the hedge is allowed. The reserve is kept for retries.
        """
        with self.lock:
            return self.budgets.spend(service, self.clock.now(), RETRY_RESERVE)

    def allow_retry(self, service: ServiceId, *, possibly_ran: bool = True) -> bool:
        """Spend one repeat from the budget of ``service`` after an attempt that failed.

        Return whether the retry is allowed. A query that its gatherer refused has reached no
        searcher, so that another gatherer may have it at no cost.
        """
        if service == PEER_SERVICE and not possibly_ran:
            return True
        with self.lock:
            return self.budgets.spend(service, self.clock.now())

    def handle_open(self, task: SearcherTask) -> None:
        """Keep a connection that was opened without a call as idle, for later calls."""
        self.metrics.count("connections_opened")
        with self.lock:
            self._keep_idle(self.tasks[task], task)

    def handle_outcome(
        self, task: SearcherTask, call: Call, load: Load | None, *, reusable: bool
    ) -> None:
        """Record the outcome of a call, and the load that the searcher reported with it.

        The connection becomes idle if it is ``reusable``; otherwise it is about to close.
        """
        now = self.clock.now()
        with self.lock:
            replica = self.tasks[task]
            replica.in_flight -= 1
            replica.overdue -= call.overdue
            self._record_outcome(replica, call, now)
            if load is not None:
                replica.other_requests = max(0, load.running + load.waiting - replica.in_flight - 1)
                replica.load_reported_at = now
            if reusable:
                self._keep_idle(replica, task)

    def handle_close(self, task: SearcherTask, *, connected: bool) -> None:
        """Remove a closed connection from its searcher.

        A connection that was opened without a call and never connected counts as a failure of the
        searcher. The outcomes of calls are recorded by :meth:`handle_outcome`.
        """
        with self.lock:
            replica = self.tasks.pop(task)
            replica.connection_count -= 1
            if task in replica.idle:
                replica.idle.remove(task)
            if connected or task.opened_for_call:
                return
            self.metrics.count("connections_failed")
            if replica.record_failure(self.clock.now()):
                self._log_ejection(replica, "", "connect")

    def record_violation(self, task: SearcherTask, violation: ProtocolViolation) -> None:
        """Log and count bytes that do not belong to the response to a call."""
        fields: dict[str, object] = {"searcher": task.searcher, "connection": task.number}
        match violation:
            case SkippedResponse(response_id=response_id, expected_id=expected):
                self.metrics.count("answer_skipped")
                event = LogEvent.ANSWER_SKIPPED
                fields |= {"answered": response_id, "request": expected}
            case UnrequestedBytes(count=number):
                self.metrics.count("bytes_unrequested")
                event = LogEvent.BYTES_UNREQUESTED
                fields |= {"bytes": number}
            case TrailingBytes(request=request):
                self.metrics.count("bytes_trailing")
                event = LogEvent.BYTES_TRAILING
                fields |= {"request": request}
        self.log.write(event, **fields)

    def apply_table(self, table: RouteTable) -> None:
        """Apply a configuration: the connection limits, and the services searched as shards."""
        with self.lock:
            self.accepted_connections = {
                service.id: service.connections for service in table.services.values()
            }
            self.shard_services = table.shard_services()
            self._apply_shares(self.shares)
            routes = {route.id for route in table.routes}
            self.hedge_delays.retain_routes(routes | {peer_route_id(route) for route in routes})
        self.warm_up()

    def apply_shares(self, shares: GatewayShares) -> None:
        """Adapt the connection limits and budgets to the present number of gateways."""
        with self.lock:
            if shares == self.shares and self._find_shard_domains() == self.shard_domains:
                return
            self._apply_shares(shares)
        self.warm_up()

    def warm_up(self) -> None:
        """Open a connection to each searcher that is kept warm and has none.

        Do nothing if the shares of this gateway say that it does not keep connections warm.
        """
        with self.lock:
            for service in self.shard_services if self.shares.keeps_warm else ():
                for replica in self._warm_replicas(service):
                    if replica.connection_count == 0:
                        self._open_connection(replica)

    def apply_listing(self, entry: SearcherEntry) -> None:
        """Apply the present listing of a searcher, unless it is outdated."""
        now = self.clock.now()
        with self.lock:
            known = self.replicas.get(entry.id)
            if self._is_outdated(known, entry):
                self.log.write(
                    LogEvent.SEARCHER_IGNORED,
                    searcher=entry.id,
                    born=entry.born,
                    phase=entry.phase.value,
                )
                return
            if known is None or self._is_replacement(known.entry, entry):
                if known is not None:
                    self._remove(known)
                known = self._add(entry, now)
            self._update(known, entry, now)

    def remove_searcher(
        self, searcher: SearcherId, why: str, usable_time: Millis | None = None
    ) -> None:
        """Stop using a searcher; ``why`` is written to the log.

        It is still used for ``usable_time`` if there is no other; the default is
        ``LAST_RESORT_SHARE`` of the ``drain`` setting.
        """
        with self.lock:
            replica = self.replicas.get(searcher)
            if replica is not None:
                self._start_leaving(replica, why, usable_time)

    def find_unlisted(self, listed: set[SearcherId]) -> set[SearcherId]:
        """Return the searchers that this gateway uses although they are not in ``listed``.

        Gatherers are left out, since the platform does not list them.
        """
        with self.lock:
            return {
                searcher
                for searcher, replica in self.replicas.items()
                if searcher not in listed
                and replica.state is not ReplicaState.GONE
                and replica.entry.service != PEER_SERVICE
            }

    def searcher_domains(self, services: Sequence[ServiceId]) -> list[set[FailureDomainId]]:
        """Return the failure domains with usable searchers of each service."""
        now = self.clock.now()
        with self.lock:
            return [
                {
                    replica.entry.domain
                    for replica in self.services.get(service, {}).values()
                    if replica.is_listed and replica.is_usable(now)
                }
                for service in services
            ]

    def domains_of_shards(self) -> set[FailureDomainId]:
        """Return the failure domains that have listed searchers of shards."""
        with self.lock:
            return set[FailureDomainId]().union(*self._find_shard_domains().values())

    def searcher_count(self, service: ServiceId) -> int:
        """Return the number of searchers of a service that are listed or about to leave."""
        with self.lock:
            return len(self.services.get(service, {}))

    def maintain(self) -> None:
        """Do the regular maintenance of searchers and connections.

        Remove searchers that left, close expired idle connections and connections with an overdue
        call, and open connections to searchers that need one.
        """
        now = self.clock.now()
        with self.lock:
            for replica in list(self.replicas.values()):
                leaving = replica.state is ReplicaState.LEAVING
                if leaving and now >= replica.usable_until:
                    replica.state = ReplicaState.GONE
                if replica.state is ReplicaState.GONE and replica.in_flight == 0:
                    self._remove(replica)
                self._expire_idle(replica, now)
            self._close_stuck(now)
        self.warm_up()

    def _choose_replica(self, call: Call, tried: set[SearcherId]) -> Replica | NotRun:
        now = self.clock.now()
        service = call.service
        known = self.services.get(service, {})
        untried = [replica for replica in known.values() if replica.entry.id not in tried]
        usable = [replica for replica in untried if replica.is_usable(now)]
        if not usable and self._may_use_ejected(call, tried):
            usable = [replica for replica in untried if replica.state is ReplicaState.EJECTED]
        if not usable:
            return NotRun(Reason.NO_SEARCHER, Step.ROUTE, service, f"{len(known)} searchers known")
        free = [replica for replica in usable if replica.has_capacity()]
        if not free:
            return NotRun(Reason.OVERLOAD, Step.CONNECT, service, "all connections are busy")
        if service == PEER_SERVICE:
            return min(free, key=lambda replica: self._gatherer_sort_key(replica, call, now))
        return min(free, key=lambda replica: self._sort_key(replica, now))

    def _may_use_ejected(self, call: Call, tried: set[SearcherId]) -> bool:
        """Return whether a call may go to an ejected searcher for lack of any other.

        A retry may, and the query of a shard: while answers of many searchers are lost, all of a
        shard can be ejected at once, although most of their answers arrive.
        """
        if call.repeat is Repeat.HEDGE:
            return False
        return bool(tried) or call.service in self.shard_services

    def _gatherer_sort_key(
        self, replica: Replica, call: Call, now: Millis
    ) -> tuple[bool, bool, bool, int]:
        """Return the key of a gatherer; the lowest one is chosen.

        The parts of all gateways are spread evenly over the gatherers of their domains that have
        not just failed.
        """
        failed = replica.current_failure_rate(now) > MAX_GATHERER_FAILURE_RATE
        leaving = replica.state is ReplicaState.LEAVING
        part = call.request.part
        elsewhere = part is not None and part.domain != replica.entry.domain
        return leaving, failed, elsewhere, rendezvous_weight(call.request.id, replica.entry.id)

    def _sort_key(self, replica: Replica, now: Millis) -> tuple[bool, float]:
        in_other_domain = replica.entry.domain != self.settings.domain
        cost = replica.cost(now) + (CROSS_DOMAIN_COST if in_other_domain else 0.0)
        return replica.state is ReplicaState.LEAVING, cost

    def _open_connection(
        self, replica: Replica, initial_call: Call | None = None
    ) -> SearcherTask | None:
        """Start the task of a new connection; return ``None`` if no task can be started.

        The lock is held.
        """
        entry = replica.entry
        header_names = (
            self.peer_header_names if entry.service == PEER_SERVICE else self.header_names
        )
        number = ConnectionNumber(next(self.connection_numbers))
        task = SearcherTask(
            entry.id, entry.address, self, header_names, self.clock, initial_call, number
        )
        replica.connection_count += 1
        self.tasks[task] = replica
        refusal = self.starter.start(task.run)
        if refusal is None:
            return task
        self.tasks.pop(task).connection_count -= 1
        self.log.write(LogEvent.TASK_REFUSED, searcher=entry.id, detail=refusal.detail)
        return None

    def _keep_idle(self, replica: Replica, task: SearcherTask) -> None:
        """Keep an idle connection, or close it if its searcher is gone; the lock is held."""
        if replica.state is ReplicaState.GONE:
            task.close()
            return
        task.idle_since = self.clock.now()
        replica.idle.append(task)

    def _expire_idle(self, replica: Replica, now: Millis) -> None:
        """Close idle connections before their searcher does; the lock is held.

        Replace one if the searcher is active, has at most two connections, and was used recently or
        is kept warm.
        """
        for task in list(replica.idle):
            idle_timeout = (
                DEFAULT_IDLE_TIMEOUT
                if task.keep_alive_timeout is None
                else min(MAX_IDLE_TIMEOUT, task.keep_alive_timeout)
            )
            if now - task.idle_since < idle_timeout - IDLE_TIMEOUT_MARGIN:
                continue
            if (
                self._is_in_use(replica, now)
                and replica.state is ReplicaState.ACTIVE
                and replica.connection_count <= 2
            ):
                self._open_connection(replica)
            replica.idle.remove(task)
            task.close()

    def _is_in_use(self, replica: Replica, now: Millis) -> bool:
        """Return whether an expired idle connection of a searcher is worth replacing.

        One to a gatherer is not: each of hundreds of gateways would keep one open to each gatherer.
        """
        service = replica.entry.service
        if service == PEER_SERVICE:
            return False
        if service in self.shard_services:
            window = SHARD_RENEWAL_WINDOW if self.shares.keeps_warm else Millis(0.0)
        else:
            window = RENEWAL_WINDOW
        return now - replica.last_used_at < window or self._is_kept_warm(replica)

    def _close_stuck(self, now: Millis) -> None:
        """Close connections whose call is past its deadline; the lock is held."""
        for task in self.tasks:
            call = task.current_call
            if call is not None and call.started and now > call.deadline + STUCK_CALL_MARGIN:
                task.close()

    def _record_outcome(self, replica: Replica, call: Call, now: Millis) -> None:
        """Update a searcher's statistics and state from the outcome of one call.

        The lock is held.
        """
        match call.outcome:
            case Answered(status=status, latency=latency, receive_info=receive_info) if (
                status < 500
            ):
                if receive_info.framing is BodyFraming.CLOSE:
                    self.metrics.count("answers_ended_by_close")
                first_attempt = not call.repeat
                ratio = self.hedge_delays.record(
                    call.route.id, latency, now, first_attempt=first_attempt
                )
                if replica.record_success(ratio, now):
                    self.log.write(LogEvent.SEARCHER_BACK, searcher=replica.entry.id)
            case Declined(reason=Reason.NO_SEARCHER):
                self._start_leaving(replica, "another searcher has its address", Millis(0.0))
            case Declined():
                replica.raise_failure_rate(now)
            case Lost() if call.cancelled:
                return
            case Answered() | Lost():
                self._record_failure(replica, call, now)

    def _record_failure(self, replica: Replica, call: Call, now: Millis) -> None:
        self.metrics.count("searcher_failures")
        detail = call.outcome.detail if isinstance(call.outcome, Lost) else "error status"
        if replica.record_failure(now):
            self._log_ejection(replica, call.request.id, detail)

    def _log_ejection(self, replica: Replica, request: str, detail: str) -> None:
        self.log.write(
            LogEvent.SEARCHER_EJECTED,
            searcher=replica.entry.id,
            service=replica.entry.service,
            request=request,
            failures=replica.consecutive_failures,
            detail=detail,
            next_ejection_ms=round(replica.next_ejection_time),
        )

    def _apply_shares(self, shares: GatewayShares) -> None:
        """Adapt the connection limits and budgets to ``shares``; the lock is held."""
        self.shares = shares
        self.shard_domains = self._find_shard_domains()
        for replica in self.replicas.values():
            replica.max_connections = self._max_connections(replica.entry.service)
        self.budgets.apply_shares(shares, self.shard_domains)

    def _find_shard_domains(self) -> dict[ServiceId, frozenset[FailureDomainId]]:
        """Return the failure domains with listed searchers of each shard; the lock is held."""
        return {
            service: frozenset(
                replica.entry.domain
                for replica in self.services.get(service, {}).values()
                if replica.is_listed
            )
            for service in self.shard_services
        }

    def _max_connections(self, service: ServiceId) -> int:
        """Return this gateway's connection limit for each searcher of a service."""
        accepted = self.accepted_connections.get(service)
        if accepted is None:
            return DEFAULT_CONNECTIONS
        share = self.shares.max_connections(accepted, self.shard_domains.get(service))
        return min(share, MAX_SHARD_CONNECTIONS) if service in self.shard_services else share

    def _warm_replicas(self, service: ServiceId) -> list[Replica]:
        """Return the searchers of a shard to which this gateway keeps a connection open.

        They are the ones for first attempts, in this gateway's domain if there is one.
        """
        active = [
            replica
            for replica in self.services.get(service, {}).values()
            if replica.state is ReplicaState.ACTIVE
        ]
        own_domain = self.settings.domain
        active.sort(
            key=lambda r: (
                r.entry.domain != own_domain,
                rendezvous_weight(self.settings.host, r.entry.id),
            )
        )
        return active[:WARM_SEARCHERS]

    def _is_kept_warm(self, replica: Replica) -> bool:
        service = replica.entry.service
        if not self.shares.keeps_warm or service not in self.shard_services:
            return False
        return replica in self._warm_replicas(service)

    def _is_outdated(self, known: Replica | None, entry: SearcherEntry) -> bool:
        """Return whether a listing is older than what is known of its searcher.

        The listing of a known searcher is outdated if it belongs to an earlier start. That of an
        unknown searcher is outdated if it says that the searcher drains, or if the searcher has
        already drained since that start or a later one.
        """
        if known is not None and entry.born < known.entry.born:
            return True
        if (
            entry.id in self.drained_start_times
            and entry.born <= self.drained_start_times[entry.id]
        ):
            return known is None
        return known is None and entry.phase is SearcherPhase.DRAINING

    def _is_replacement(self, known: SearcherEntry, entry: SearcherEntry) -> bool:
        """Return whether a listing has another start, address or service than the known one."""
        known_start = (known.born, known.address, known.service)
        return known_start != (entry.born, entry.address, entry.service)

    def _add(self, entry: SearcherEntry, now: Millis) -> Replica:
        replica = Replica(entry, self._max_connections(entry.service), now)
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

    def _update(self, replica: Replica, entry: SearcherEntry, now: Millis) -> None:
        """Apply a listing to its searcher; the lock is held.

        A searcher that was leaving or gone is active again, unless it has begun to drain since the
        start that the listing states.
        """
        replica.entry = entry
        if entry.phase is SearcherPhase.DRAINING:
            self._record_drained(entry)
            self._start_leaving(replica, "draining")
        elif entry.born > self.drained_start_times.get(entry.id, -1):
            replica.restore()

    def _record_drained(self, entry: SearcherEntry) -> None:
        self.drained_start_times[entry.id] = entry.born
        while len(self.drained_start_times) > MAX_DRAINED_SEARCHERS:
            del self.drained_start_times[next(iter(self.drained_start_times))]

    def _start_leaving(self, replica: Replica, why: str, usable_time: Millis | None = None) -> None:
        if replica.state in (ReplicaState.LEAVING, ReplicaState.GONE):
            return
        now = self.clock.now()
        fallback_time = (
            self.settings.drain * LAST_RESORT_SHARE if usable_time is None else usable_time
        )
        replica.start_leaving(Millis(now + fallback_time))
        self.log.write(
            LogEvent.SEARCHER_LEAVING,
            searcher=replica.entry.id,
            service=replica.entry.service,
            why=why,
        )

    def _remove(self, replica: Replica) -> None:
        """Remove a searcher and close its idle connections; the lock is held."""
        for task in replica.idle:
            task.close()
        replica.idle.clear()
        replica.state = ReplicaState.GONE
        if self.replicas.get(replica.entry.id) is replica:
            del self.replicas[replica.entry.id]
        self.services.get(replica.entry.service, {}).pop(replica.entry.id, None)
