"""The searchers of all services, as requests and connections use them.

The module also enforces the budgets for repeats. A repeat is a hedge, which is sent while an
earlier attempt has no response yet, or a retry, which is sent after an attempt failed.
"""

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from threading import Lock

from ..._clock import Clock
from ..._failures import NotRun, Reason, Step
from ..._ids import FailureDomainId, Millis, RouteId, SearcherId, ServiceId
from ...connection.gateway import (
    UNLIMITED_MEMORY,
    HeaderNames,
    Leaving,
    Load,
    MemoryBudget,
    OthersLeaving,
    OversizedResponse,
    PauseRequested,
    ProtocolViolation,
    SearcherNotice,
    SearcherTask,
    SkippedResponse,
    TaskStarter,
    TrailingBytes,
    UnrequestedBytes,
)
from ...request.gateway import (
    Answered,
    BodyFraming,
    Call,
    Decision,
    Declined,
    InFlightCall,
    Lost,
    Refuse,
    Request,
)
from ...version.gateway import MAX_SEARCHERS, PEER_SERVICE, Route, RouteTable, SearcherEntry
from ._choice import choose_replica
from ._connections import Connections
from ._hedge_delays import HedgeDelays
from ._listings import LAST_RESORT_SHARE, Listings
from ._log import EventLog, LogEvent
from ._metrics import Metrics
from ._rendezvous import rendezvous_weight
from ._repeat_budgets import RepeatBudgets
from ._replica import Replica, ReplicaState
from ._settings import GatewaySettings
from ._shares import GatewayShares
from .admission import Gate

RETRY_RESERVE = 1.0
"""The number of repeats in each budget that hedges may not spend, so that retries can."""

NO_SEARCHER_WAIT = Millis(300.0)
"""The time after which a service whose searchers all leave may have another one."""

MAX_RETURN_SPREAD = 1.2
"""Refused callers are told to return after up to this many times the shortest wait."""

DEFAULT_CONNECTIONS = 8
"""The connection limit for a searcher whose service the configuration does not name."""

WARM_SEARCHERS = 1
"""The number of searchers of each shard to which a gatherer keeps a connection open."""

MAX_SHARD_CONNECTIONS = 4
"""The connections of one gateway to each searcher of a shard, whatever its share.

A searcher runs about two requests at once, and a gatherer has hundreds of searchers; requests that
wait for a slow searcher must not take a task each.
"""

RENEWAL_WINDOW = Millis(20_000.0)
"""An expired idle connection is replaced if its searcher was sent a request within this time."""

SHARD_RENEWAL_WINDOW = Millis(6_000.0)
"""The same for the searchers of shards, of which a gatherer has hundreds and uses some to hedge."""


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

    A gatherer is a gateway that sends parts of queries to the searchers of some shards for this
    gateway, which treats it as a searcher. The fleet chooses a searcher for each call, and opens,
    reuses and closes the connections. The tasks of the connections call the ``handle_`` methods and
    :meth:`record_violation`.

    ``accepted_connections`` maps each service to the number of connections that one of its
    searchers accepts from all gateways together. ``services`` and ``replicas`` are those of
    ``listings``, and ``tasks`` those of ``connections``. ``unserved`` holds the
    shards that had no searcher to send to when it was last updated.
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
        self.settings = settings
        self.clock = clock
        self.log = log
        self.metrics = metrics
        self.lock = Lock()
        self.listings = Listings(clock, log, self._max_connections)
        self.services = self.listings.services
        self.replicas = self.listings.replicas
        self.connections = Connections(header_names, self, clock, starter, log, memory)
        self.tasks = self.connections.tasks
        self.accepted_connections: dict[ServiceId, int] = {}
        self.shard_services: set[ServiceId] = set()
        self.shard_domains: dict[ServiceId, frozenset[FailureDomainId]] = {}
        self.shares = GatewayShares(1, (), settings.domain, False)
        self.budgets = RepeatBudgets(settings.repeats, self.shares, clock.now())
        self.hedge_delays = HedgeDelays()
        self.gate = Gate(self.listings.of_service, self.hedge_delays, clock, metrics)
        self.unserved: set[ServiceId] = set()
        self.random = random.Random()

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
                if not self.gate.may_send(call):
                    return NotRun(Reason.OVERLOAD, Step.QUEUE, call.service, "others wait for room")
                replica = choose_replica(
                    call,
                    self.listings.of_service(call.service),
                    tried,
                    self.settings.domain,
                    self.clock.now(),
                    is_shard=call.service in self.shard_services,
                    needs_room=self.gate.limits(call),
                )
                if isinstance(replica, NotRun):
                    return replica
                idle = replica.idle.pop() if replica.idle else None
                task = idle or self.connections.open(replica, call)
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

    def unservable(self, services: Sequence[ServiceId]) -> list[ServiceId]:
        """Return those of ``services`` that have no searcher to send to.

        All of their searchers leave or want a pause, or there is none.
        """
        if not self.unserved:
            return []
        now = self.clock.now()
        with self.lock:
            return [s for s in services if s in self.unserved and self._abstain(s, now)]

    def retry_after(self, service: ServiceId) -> Millis | None:
        """Return when a searcher of ``service`` may accept a request again, in milliseconds.

        The result is ``None`` unless all of them leave or want a pause, or there is none. It is
        spread, so that refused callers do not return together.
        """
        now = self.clock.now()
        with self.lock:
            if not self._abstain(service, now):
                return None
            pauses = [
                replica.paused_until - now
                for replica in self.listings.of_service(service)
                if replica.is_listed
            ]
        wait = min(pauses, default=NO_SEARCHER_WAIT)
        return Millis(wait * self.random.uniform(1.0, MAX_RETURN_SPREAD))

    def _abstain(self, service: ServiceId, now: Millis) -> bool:
        """Return whether no searcher of a service may be sent a request; the lock is held."""
        return all(replica.abstains(now) for replica in self.listings.of_service(service))

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
            self.connections.keep_idle(self.tasks[task], task)

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
                self.connections.keep_idle(replica, task)
            self.gate.record_outcome(call)

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
                    self._update_unserved([replica.entry.service])
                case OthersLeaving(searchers=searchers):
                    for searcher in searchers:
                        known = self.replicas.get(searcher)
                        if known is not None:
                            self._record_departure(known, f"{replica.entry.id} says so")

    def _record_departure(self, replica: Replica, why: str) -> None:
        self.listings.record_departure(replica, why, self.settings.drain)
        self._update_unserved([replica.entry.service])

    def _update_unserved(self, services: Iterable[ServiceId]) -> None:
        """Add those of ``services`` to ``unserved`` that have no searcher to send to."""
        now = self.clock.now()
        self.unserved.update(service for service in services if self._abstain(service, now))

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
            case OversizedResponse(count=number, detail=detail):
                self.metrics.count("answer_oversized")
                event = LogEvent.ANSWER_OVERSIZED
                fields |= {"bytes": number, "detail": detail}
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
            for service in self.shard_services if self.shares.keeps_warm else ():
                for replica in self._warm_replicas(service):
                    if replica.connection_count == 0:
                        self.connections.open(replica)

    def has_room(self, searcher: SearcherId) -> bool:
        """Return whether a listing of ``searcher`` can be applied.

        That is the case if the searcher is known, or the number of searchers is below its bound.
        """
        with self.lock:
            return searcher in self.replicas or len(self.replicas) < MAX_SEARCHERS

    def apply_listing(self, entry: SearcherEntry) -> None:
        """Apply the present listing of a searcher, unless it is outdated."""
        with self.lock:
            self.listings.apply(entry, self.settings.drain)

    def remove_searcher(
        self, searcher: SearcherId, why: str, usable_time: Millis | None = None
    ) -> None:
        """Stop using a searcher; ``why`` is written to the log.

        It is still used for ``usable_time`` if there is no other; the default is
        ``LAST_RESORT_SHARE`` of the ``drain`` setting.
        """
        if usable_time is None:
            usable_time = Millis(self.settings.drain * LAST_RESORT_SHARE)
        with self.lock:
            replica = self.replicas.get(searcher)
            if replica is not None:
                self.listings.start_leaving(replica, why, usable_time)

    def find_unlisted(self, listed: set[SearcherId]) -> set[SearcherId]:
        """Return the searchers that this gateway uses although they are not in ``listed``.

        Gatherers are left out, since the platform does not list them.
        """
        with self.lock:
            return self.listings.find_unlisted(listed)

    def searcher_domains(self, services: Sequence[ServiceId]) -> list[set[FailureDomainId]]:
        """Return the failure domains with usable searchers of each service."""
        now = self.clock.now()
        with self.lock:
            return [
                {
                    replica.entry.domain
                    for replica in self.listings.of_service(service)
                    if replica.is_listed and replica.is_usable(now)
                }
                for service in services
            ]

    def domains_of_shards(self) -> set[FailureDomainId]:
        """Return the failure domains that have listed searchers of shards."""
        with self.lock:
            return set[FailureDomainId]().union(
                *self.listings.domains(self.shard_services).values()
            )

    def searcher_count(self, service: ServiceId) -> int:
        """Return the number of searchers of a service that are listed or about to leave."""
        with self.lock:
            return len(self.listings.of_service(service))

    def maintain(self) -> None:
        """Do the regular maintenance of searchers and connections.

        Remove searchers that left, close expired idle connections and connections with an overdue
        call, and open connections to searchers that need one.
        """
        now = self.clock.now()
        with self.lock:
            self.listings.remove_gone(now)
            for replica in self.replicas.values():
                self.connections.expire_idle(replica, now, self._is_in_use)
            self.connections.close_stuck(now)
            self.unserved.clear()
            if self.shares.keeps_warm:
                self._update_unserved(self.shard_services)
        self.warm_up()

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
                why = "another searcher has its address"
                self.listings.start_leaving(replica, why, Millis(0.0))
            case Answered(status=503) | Declined() if replica.is_paused(now):
                return
            case Declined():
                replica.raise_failure_rate(now)
            case Lost(lacked_memory=lacked_memory) if call.cancelled or lacked_memory:
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
        self.shard_domains = self.listings.domains(self.shard_services)
        for replica in self.replicas.values():
            replica.max_connections = self._max_connections(replica.entry.service)
        self.budgets.apply_shares(shares, self.shard_domains)

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
        now = self.clock.now()
        active = [
            replica
            for replica in self.listings.of_service(service)
            if replica.state is ReplicaState.ACTIVE and not replica.is_paused(now)
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
