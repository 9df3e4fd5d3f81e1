"""The searchers of all services: their listings, connections and choice."""

from dataclasses import dataclass
from itertools import count
from threading import Lock

from ..._clock import Clock
from ..._failures import NotRun, Reason, Step
from ..._ids import ConnectionNumber, Millis, SearcherId, ServiceId
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
from ...request.gateway import Answered, BodyFraming, Call, Declined, Lost, Repeat
from ...version.gateway import Route, RouteTable
from ._catalogue import PEER_SERVICE, SearcherEntry, SearcherPhase
from ._hedge_delays import HedgeDelays
from ._log import EventLog, LogEvent
from ._metrics import Metrics
from ._repeat_budgets import RepeatBudgets
from ._replica import Replica, ReplicaState
from ._settings import GatewaySettings
from ._shares import GatewayShares

RETRY_RESERVE = 1.0
DEFAULT_CONNECTIONS = 8
"""Connections to a searcher whose service the configuration does not name."""

CROSS_DOMAIN_COST = 0.8
"""Added to the cost of a searcher in another failure domain, for its round trip and bytes: more
than one answer that came late by chance adds to the cost of a near one."""

DEFAULT_IDLE_TIMEOUT = Millis(4_000.0)
"""How long a connection is kept idle where the searcher states no time."""

MAX_IDLE_TIMEOUT = Millis(10_000.0)
IDLE_TIMEOUT_MARGIN = Millis(1_000.0)
"""A connection is closed so long before the searcher would: two sweeps."""

STUCK_CALL_MARGIN = Millis(100.0)
RENEWAL_WINDOW = Millis(20_000.0)
"""A connection is renewed while its searcher was used within this time."""

LAST_RESORT_SHARE = 0.5
"""The part of the drain time for which a searcher that leaves is a last resort."""

MAX_DRAINED_SEARCHERS = 2_000
"""Searchers remembered as drained; days of ordinary releases."""


@dataclass(slots=True)
class DispatchedCall:
    """A call on its way through one connection."""

    call: Call
    searcher: SearcherId
    task: SearcherTask

    def cancel(self) -> None:
        """Cut the connection, so that the searcher drops the request."""
        self.task.cancel(self.call)


class Fleet:
    """All searchers that the platform lists; one lock guards the beliefs about them."""

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
        self.shares = GatewayShares(1, 1, False)
        self.peer_header_names = peer_header_names(header_names)
        self.budgets = RepeatBudgets(settings.repeats, self.shares, clock.now())
        self.hedge_delays = HedgeDelays()

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Take changed settings."""
        with self.lock:
            self.settings = settings
            self.budgets.bounds = settings.repeats
            self.budgets.apply_shares(self.shares)

    def now(self) -> Millis:
        """Return the gateway's clock."""
        return self.clock.now()

    def send(self, call: Call, tried: set[SearcherId]) -> DispatchedCall | NotRun:
        """Send ``call`` to the best searcher of its service that is not in ``tried``.

        Where all others are ejected, a request that failed at one is sent to one of them.
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
            if idle is None or idle.assign(call):
                break
            with self.lock:
                replica.in_flight -= 1
        if call.repeat:
            self.metrics.count("repeats")
        else:
            with self.lock:
                self.budgets.record_request(call.service, self.clock.now())
        return DispatchedCall(call, replica.entry.id, task)

    def hedge_delay(self, route: Route) -> Millis:
        """Return the age at which a send on ``route`` is repeated elsewhere."""
        with self.lock:
            return self.hedge_delays.delay(route)

    def allow_hedge(self, service: ServiceId) -> bool:
        """Take one repeat from the budget, leaving the reserve of retries."""
        with self.lock:
            return self.budgets.spend(service, self.clock.now(), RETRY_RESERVE)

    def allow_retry(self, service: ServiceId) -> bool:
        """Take one repeat from the budget after a send that failed."""
        with self.lock:
            return self.budgets.spend(service, self.clock.now())

    def handle_open(self, task: SearcherTask) -> None:
        """Take a connection that was opened ahead of its first call."""
        self.metrics.count("connections_opened")
        with self.lock:
            self._keep_idle(self.tasks[task], task)

    def handle_outcome(
        self, task: SearcherTask, call: Call, load: Load | None, *, reusable: bool
    ) -> None:
        """Take the outcome of a call; its connection is idle again, or ends."""
        now = self.clock.now()
        with self.lock:
            replica = self.tasks[task]
            replica.in_flight -= 1
            self._record_outcome(replica, call, now)
            if load is not None:
                replica.other_requests = max(0, load.running + load.waiting - replica.in_flight - 1)
                replica.load_reported_at = now
            if reusable:
                self._keep_idle(replica, task)

    def handle_close(self, task: SearcherTask, *, connected: bool) -> None:
        """Count out a connection."""
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
        """Log and count bytes that belong to no call of their connection."""
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
        """Take the services' connections and the services to keep warm from a configuration."""
        with self.lock:
            self.accepted_connections = {
                service.id: service.connections for service in table.services.values()
            }
            self.shard_services = table.shard_services()
            self.budgets.shard_services = self.shard_services
            for replica in self.replicas.values():
                replica.max_connections = self._max_connections(replica.entry.service)
            self.hedge_delays.retain_routes({route.id for route in table.routes})
        self.warm_up()

    def apply_shares(self, shares: GatewayShares) -> None:
        """Share connections and repeats with the gateways that there are now."""
        with self.lock:
            if shares == self.shares:
                return
            self.shares = shares
            for replica in self.replicas.values():
                replica.max_connections = self._max_connections(replica.entry.service)
            self.budgets.apply_shares(shares)
        self.warm_up()

    def warm_up(self) -> None:
        """Open a connection to each searcher of a searched shard that has none."""
        with self.lock:
            for service in self.shard_services if self.shares.keeps_warm else ():
                for replica in self.services.get(service, {}).values():
                    if replica.state is ReplicaState.ACTIVE and replica.connection_count == 0:
                        self._open_connection(replica)

    def apply_listing(self, entry: SearcherEntry) -> None:
        """Take a listing as it is now."""
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
        """Stop using a searcher whose listing is gone.

        It stays a last resort for ``last_resort``, by default for a part of the drain time.
        """
        with self.lock:
            replica = self.replicas.get(searcher)
            if replica is not None:
                self._start_leaving(replica, why, usable_time)

    def find_unlisted(self, listed: set[SearcherId]) -> set[SearcherId]:
        """Return the searchers that are in use but not ``listed``."""
        with self.lock:
            return {
                searcher
                for searcher, replica in self.replicas.items()
                if searcher not in listed and replica.state is not ReplicaState.GONE
            }

    def sweep(self) -> None:
        """Forget searchers that left, and warm up new ones."""
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
        if not usable and tried and call.repeat is not Repeat.HEDGE:
            usable = [replica for replica in untried if replica.state is ReplicaState.EJECTED]
        if not usable:
            return NotRun(Reason.NO_SEARCHER, Step.ROUTE, service, f"{len(known)} known")
        free = [replica for replica in usable if replica.has_capacity()]
        if not free:
            return NotRun(Reason.OVERLOAD, Step.CONNECT, service, "all connections are busy")
        return min(free, key=lambda replica: self._sort_key(replica, now))

    def _sort_key(self, replica: Replica, now: Millis) -> tuple[bool, float]:
        in_other_domain = replica.entry.domain != self.settings.domain
        cost = replica.cost(now) + (CROSS_DOMAIN_COST if in_other_domain else 0.0)
        return replica.state is ReplicaState.LEAVING, cost

    def _open_connection(self, replica: Replica, first: Call | None = None) -> SearcherTask | None:
        """Start the task of a new connection; return ``None`` where the process has no room."""
        entry = replica.entry
        header_names = (
            self.peer_header_names if entry.service == PEER_SERVICE else self.header_names
        )
        number = ConnectionNumber(next(self.connection_numbers))
        task = SearcherTask(entry.id, entry.address, self, header_names, self.clock, first, number)
        replica.connection_count += 1
        self.tasks[task] = replica
        refusal = self.starter.start(task.run)
        if refusal is None:
            return task
        self.tasks.pop(task).connection_count -= 1
        self.log.write(LogEvent.TASK_REFUSED, searcher=entry.id, detail=refusal.detail)
        return None

    def _keep_idle(self, replica: Replica, task: SearcherTask) -> None:
        """Keep an idle connection, or end it; the lock is held."""
        if replica.state is ReplicaState.GONE:
            task.close()
            return
        task.idle_since = self.clock.now()
        replica.idle.append(task)

    def _expire_idle(self, replica: Replica, now: Millis) -> None:
        """Close connections before their searcher would, and renew what is in use."""
        for task in list(replica.idle):
            idle_timeout = (
                DEFAULT_IDLE_TIMEOUT
                if task.keep_alive_timeout is None
                else min(MAX_IDLE_TIMEOUT, task.keep_alive_timeout)
            )
            if now - task.idle_since < idle_timeout - IDLE_TIMEOUT_MARGIN:
                continue
            in_use = now - replica.last_used_at < RENEWAL_WINDOW or self._is_kept_warm(
                replica.entry.service
            )
            if in_use and replica.state is ReplicaState.ACTIVE and replica.connection_count <= 2:
                self._open_connection(replica)
            replica.idle.remove(task)
            task.close()

    def _close_stuck(self, now: Millis) -> None:
        """Cut connections whose call should have ended; the lock is held."""
        for task in self.tasks:
            call = task.current_call
            if call is not None and call.started and now > call.deadline + STUCK_CALL_MARGIN:
                task.close()

    def _record_outcome(self, replica: Replica, call: Call, now: Millis) -> None:
        """Learn from one outcome; the lock is held."""
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

    def _max_connections(self, service: ServiceId) -> int:
        """Return how many connections to each searcher of a service this gateway may have."""
        accepted = self.accepted_connections.get(service)
        if accepted is None:
            return DEFAULT_CONNECTIONS
        return self.shares.max_connections(accepted, shard=service in self.shard_services)

    def _is_kept_warm(self, service: ServiceId) -> bool:
        return self.shares.keeps_warm and service in self.shard_services

    def _is_outdated(self, known: Replica | None, entry: SearcherEntry) -> bool:
        """Tell whether a listing is of an earlier start, or of one that has begun to leave."""
        if known is not None and entry.born < known.entry.born:
            return True
        if (
            entry.id in self.drained_start_times
            and entry.born <= self.drained_start_times[entry.id]
        ):
            return known is None
        return known is None and entry.phase is SearcherPhase.DRAINING

    def _is_replacement(self, known: SearcherEntry, entry: SearcherEntry) -> bool:
        """Tell whether a listing stands for another start, address or service."""
        same = (known.born, known.address, known.service)
        return same != (entry.born, entry.address, entry.service)

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
        previous_phase = replica.entry.phase
        replica.entry = entry
        if entry.phase is SearcherPhase.DRAINING:
            self._record_drained(entry)
            self._start_leaving(replica, "draining")
        elif previous_phase is SearcherPhase.READY:
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
        """Forget a searcher and end its connections; the lock is held."""
        for task in replica.idle:
            task.close()
        replica.idle.clear()
        replica.state = ReplicaState.GONE
        if self.replicas.get(replica.entry.id) is replica:
            del self.replicas[replica.entry.id]
        self.services.get(replica.entry.service, {}).pop(replica.entry.id, None)
