"""The searchers of all services, as requests and connections use them.

The module also enforces the budgets for repeats. A repeat is a hedge, which is sent while an
earlier attempt has no response yet, or a retry, which is sent after an attempt failed.
"""

from collections.abc import Sequence

from ..._clock import Clock
from ..._failures import NotRun, Reason, Step
from ..._ids import FailureDomainId, Millis, SearcherId, ServiceId
from ...connection.gateway import (
    UNLIMITED_MEMORY,
    ColdReported,
    HeaderNames,
    Leaving,
    Load,
    MemoryBudget,
    OthersLeaving,
    PauseRequested,
    ProtocolViolation,
    SearcherNotice,
    SearcherTask,
    TaskStarter,
)
from ...request.gateway import Call, Decision, InFlightCall, Refuse, Request, Urgency
from ...version.gateway import (
    PEER_SERVICE,
    Route,
    RouteTable,
)
from ._choice import choose_replica, may_hedge_at_once
from ._connection_limits import max_connections
from ._connections import Connections
from ._dispatched_call import DispatchedCall
from ._hedge_delays import HedgeDelays, peer_route_id
from ._known_searchers import KnownSearchers
from ._log import EventLog
from ._metrics import Metrics
from ._outcomes import Outcomes
from ._repeat_budgets import RepeatBudgets
from ._settings import GatewaySettings
from ._shares import GatewayShares
from ._violations import record_violation
from ._warm_connections import WarmConnections
from .admission import Gate


class Fleet(KnownSearchers):
    """All searchers that the platform lists, and the gatherers; one lock guards their state.

    A gatherer is a gateway that sends parts of queries to the searchers of some shards for this
    gateway, which treats it as a searcher. The fleet chooses a searcher for each call, and opens,
    reuses and closes the connections. The tasks of the connections call the ``handle_`` methods and
    :meth:`record_violation`.

    ``accepted_connections`` maps each service to the number of connections that one of its
    searchers accepts from all gateways together. ``tasks`` are those of ``connections``.
    ``outcomes`` updates searchers by the outcomes of calls.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        header_names: HeaderNames,
        clock: Clock,
        starter: TaskStarter,
        log: EventLog,
        metrics: Metrics,
        memory: MemoryBudget = UNLIMITED_MEMORY,
    ) -> None:
        super().__init__(settings, clock, log, metrics, self._max_connections)
        self.connections = Connections(header_names, self, clock, starter, log, memory)
        self.tasks = self.connections.tasks
        self.accepted_connections: dict[ServiceId, int] = {}
        self.shard_domains: dict[ServiceId, frozenset[FailureDomainId]] = {}
        self.shares = GatewayShares(1, (), settings.domain, False)
        self.budgets = RepeatBudgets(settings.repeats, self.shares, clock.now())
        self.hedge_delays = HedgeDelays()
        self.outcomes = Outcomes(self.hedge_delays, self.listings, log, metrics)
        self.gate = Gate(self.listings.of_service, self.hedge_delays, clock, metrics)

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply changed settings, also to existing budgets for repeats."""
        with self.lock:
            self.settings = settings
            self.budgets.bounds = settings.repeats
            self._apply_cold_bounds()
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
            now = self.clock.now()
            with self.lock:
                if not self.gate.may_send(call):
                    return NotRun(Reason.OVERLOAD, Step.QUEUE, call.service, "others wait for room")
                known = self.listings.of_service(call.service)
                replica = choose_replica(
                    call,
                    known,
                    tried,
                    self.settings.domain,
                    now,
                    is_shard=call.service in self.shard_services,
                    needs_room=self.gate.limits(call),
                )
                if isinstance(replica, NotRun):
                    self._count_cold_refusal(call.service)
                    return replica
                idle = replica.idle.pop() if replica.idle else None
                task = idle or self.connections.open(replica, call)
                if task is None:
                    return NotRun(Reason.OVERLOAD, Step.CONNECT, call.service, "no task can start")
                replica.in_flight += 1
                replica.last_used_at = call.sent_at = now
                call.likely_late = may_hedge_at_once(call, replica, known, tried, now) and (
                    self.budgets.allows_early_hedge(call.service, now)
                )
                replica.speed.record_call(now)
                replica.cold.record_sent(now)
            if idle is None or idle.dispatch(call):
                break
            with self.lock:
                replica.in_flight -= 1
                replica.cold.withdraw()
        if call.repeat:
            self.metrics.count("repeats")
        else:
            with self.lock:
                self.budgets.record_request(call.service, self.clock.now())
        return DispatchedCall(call, replica.entry.id, task)

    def admit(self, call: Call) -> Decision:
        """Decide about a call for which :meth:`send` found no searcher with room."""
        with self.lock:
            return self.gate.admit(call)

    def leave(self, call: Call) -> None:
        """Stop waiting for room for ``call``."""
        with self.lock:
            self.gate.leave(call)

    def admit_query(
        self, request: Request, route: Route, services: Sequence[ServiceId], needed: int
    ) -> Refuse | None:
        """Refuse a query if fewer than ``needed`` of ``services`` can serve it in time."""
        with self.lock:
            return self.gate.admit_query(request, route, services, needed)

    def is_full(self, service: ServiceId) -> bool:
        """Return whether no searcher of ``service`` has room that nobody waits for."""
        with self.lock:
            return not self.gate.has_room(service, self.listings.of_service(service))

    def busy_retry_after(self, route: Route, service: ServiceId, deadline: Millis) -> Millis | None:
        """Return when searchers that declined a request have room again, if that is known."""
        with self.lock:
            return self.gate.retry_after(route, service, deadline)

    def has_searcher(self, service: ServiceId, tried: set[SearcherId]) -> bool:
        """Return whether a searcher of ``service`` that is not in ``tried`` could accept a call."""
        now = self.clock.now()
        with self.lock:
            others = [r for r in self.listings.of_service(service) if r.entry.id not in tried]
            return any(r.is_usable(now) and r.has_capacity() for r in others) and (
                self.gate.has_room(service, others)
            )

    def record_overdue(self, call: InFlightCall) -> None:
        """Prefer other searchers while the one of ``call`` has not answered it."""
        with self.lock:
            replica = self.replicas.get(call.searcher)
            if replica is not None and call.call.outcome is None:
                self.outcomes.record_overdue(replica, call.call, self.clock.now())

    def hedge_delay(self, route: Route) -> Millis:
        """Return the age at which a request on ``route`` is hedged."""
        with self.lock:
            return self.hedge_delays.delay(route)

    def second_answer_time(self, route: Route) -> Millis | None:
        """Return the time in which most hedges on ``route`` are answered, if it is known."""
        with self.lock:
            return self.hedge_delays.second_answer_time(route.id)

    def allow_hedge(self, service: ServiceId, urgency: Urgency = Urgency.DECISIVE) -> bool:
        """Spend one repeat for a hedge, if ``urgency`` allows it; return whether it is allowed."""
        with self.lock:
            allowed = self.budgets.spend_hedge(service, self.clock.now(), urgency)
        if allowed:
            self.metrics.count("hedges_allowed")
        else:
            self.metrics.count("hedges_denied")
        return allowed

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
            self.connections.keep_idle(self.tasks[task], task)

    def handle_outcome(
        self, task: SearcherTask, call: Call, load: Load | None, *, reusable: bool
    ) -> None:
        """Record the outcome of a call, and the load that the searcher reported with it.

        The connection becomes idle if it is ``reusable``; otherwise it is about to close.
        """
        now = self.clock.now()
        if task.answered_early:
            self.metrics.count("early_answers")
        with self.lock:
            replica = self.tasks[task]
            replica.in_flight -= 1
            replica.overdue -= call.overdue
            self.outcomes.record(replica, call, load, now)
            if reusable:
                self.connections.keep_idle(replica, task)
            self.gate.record_outcome(call)

    def handle_close(self, task: SearcherTask, *, connected: bool) -> None:
        """Remove a closed connection from its searcher.

        A connection that was opened without a call and never connected counts as a failure of the
        searcher. The outcomes of calls are recorded by :meth:`handle_outcome`.
        """
        with self.lock:
            replica = self.connections.remove(task)
            if connected or task.opened_for_call:
                return
            self.metrics.count("connections_failed")
            self.listings.presume_cold(replica)
            if replica.record_failure(self.clock.now()):
                self.outcomes.log_ejection(replica, "", "connect")

    def handle_notice(self, task: SearcherTask, notice: SearcherNotice) -> None:
        """Stop using a searcher that leaves or wants a pause, as its answer says."""
        with self.lock:
            replica = self.tasks[task]
            match notice:
                case Leaving():
                    self._record_departure(replica, "its answer says so")
                case PauseRequested(duration=duration):
                    self.metrics.count("pauses_requested")
                    self.listings.pause(replica, duration)
                    self.unserved.update([replica.entry.service], self.clock.now())
                case ColdReported(remaining=remaining):
                    replica.set_cold(Millis(self.clock.now() + remaining))
                case OthersLeaving(searchers=searchers):
                    for searcher in searchers:
                        known = self.replicas.get(searcher)
                        if known is not None:
                            self._record_departure(known, f"{replica.entry.id} says so")

    def record_violation(self, task: SearcherTask, violation: ProtocolViolation) -> None:
        """Log and count bytes that do not belong to the response to a call."""
        record_violation(task, violation, self.log, self.metrics)

    def apply_table(self, table: RouteTable) -> None:
        """Apply a configuration: the connection limits, and the services searched as shards."""
        with self.lock:
            self.accepted_connections = {
                service.id: service.connections for service in table.services.values()
            }
            self.shard_services = table.shard_services()
            self.services_with_cold_bound = {
                service.id: service for service in table.services.values() if service.cold_rate
            }
            self._apply_cold_bounds()
            self.gate.apply_table(table)
            self.budgets.drop_empty(self.clock.now())
            self._apply_shares(self.shares)
            routes = {route.id for route in table.routes}
            self.hedge_delays.retain_routes(routes | {peer_route_id(route) for route in routes})
        self.warm_up()

    def apply_shares(self, shares: GatewayShares) -> None:
        """Adapt the connection limits and budgets to the present number of gateways."""
        with self.lock:
            if (
                shares == self.shares
                and self.listings.domains(self.shard_services) == self.shard_domains
            ):
                return
            self._apply_shares(shares)
        self.warm_up()

    def warm_up(self) -> None:
        """Open a connection to each searcher that is kept warm and has none.

        Do nothing if the shares of this gateway say that it does not keep connections warm.
        """
        with self.lock:
            for replica in self._warm_connections().find_missing(self.clock.now()):
                self.connections.open(replica)

    def maintain(self) -> None:
        """Do the regular maintenance of searchers and connections.

        Remove searchers that left, close expired idle connections and connections with an overdue
        call, and open connections to searchers that need one.
        """
        now = self.clock.now()
        with self.lock:
            self.listings.remove_gone(now)
            is_in_use = self._warm_connections().is_in_use
            for replica in self.replicas.values():
                self.connections.expire_idle(replica, now, is_in_use)
            self.connections.close_stuck(now)
            self.outcomes.set_gauges(self.replicas.values(), now)
            if self.cold_limits.bounds:
                cold = sum(replica.cold.is_cold(now) for replica in self.replicas.values())
                self.metrics.set_gauge("searchers_cold", cold)
            self.unserved.services.clear()
            if self.shares.keeps_warm:
                self.unserved.update(self.shard_services, now)
        self.warm_up()

    def _warm_connections(self) -> WarmConnections:
        shards = self.shard_services - self.connections.unkept_services
        return WarmConnections(self.listings, self.settings, shards, self.shares.keeps_warm)

    def _apply_shares(self, shares: GatewayShares) -> None:
        """Adapt the connection limits and budgets to ``shares``; the lock is held."""
        self.shares = shares
        self.shard_domains = self.listings.domains(self.shard_services)
        for replica in self.replicas.values():
            replica.max_connections = self._max_connections(replica.entry.service)
        unkept = {
            service
            for service, accepted in self.accepted_connections.items()
            if not shares.keeps_connections(accepted, self.shard_domains.get(service))
        }
        self.connections.apply_unkept(unkept, self.replicas.values())
        self.budgets.apply_shares(shares, self.shard_domains)

    def _max_connections(self, service: ServiceId) -> int:
        accepted = self.accepted_connections.get(service)
        is_shard, domains = service in self.shard_services, self.shard_domains.get(service)
        return max_connections(accepted, domains, self.shares, is_shard=is_shard)
