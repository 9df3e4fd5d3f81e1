"""The searchers of all services: choice, connections, budgets of repeats."""

from concurrent.futures import Executor
from dataclasses import dataclass
from threading import Lock

from ..._clock import Clock
from ..._failures import NotRun, Reason, Step
from ..._ids import Millis, RouteId, SearcherId, ServiceId
from ...connection.gateway import Closing, Dialect, SearcherTask, peer_dialect
from ...connection.gateway._searcher_task import Idleness, Load
from ...request.gateway import Answered, Call, Declined, Lost
from ...version.gateway import Route, RouteTable
from .._hedge_budget import HedgeBudget
from .._latency_window import LatencyWindow
from .._policy import Hedge
from ._catalogue import PEERS, SearcherEntry, SearcherPhase
from ._log import EventLog, LogEvent
from ._metrics import Metrics
from ._replica import Replica, ReplicaState
from ._settings import GatewaySettings

LEAST_SHARERS = 8
"""Gateways that are taken to share budgets at least, since some may not be known yet."""

RATIO_MARGIN = 0.85
"""The part of the allowed ratio of repeats that is spent, since windows slide."""

SLACK_MARGIN = 0.8
PEER_SHARE = 0.1
"""The part of the repeats that goes to queries whose gatherer was lost on the way."""

RETRY_RESERVE = 1.0
DEFAULT_CONNECTIONS = 8
"""Connections to a searcher whose service the configuration does not name."""

FOREIGN_DOMAIN_COST = 0.25
"""Added to the cost of a searcher in another failure domain, for its round trip and bytes."""

HEDGE_PERCENTILE = 90.0
HEDGE_MARGIN = 1.2
HEDGE_FIRST_SHARE = 0.25
"""The hedge delay over the route's objective while no latencies are known."""

HEDGE_LONGEST_SHARE = 0.5
USUAL_PERCENTILE = 50.0
WARM_FOR = Millis(20_000.0)
"""A connection is renewed while its searcher was used within this time."""

LEAVING_SHARE = 0.5
"""The part of the drain time for which a searcher that leaves is a last resort."""

MOST_DRAINED = 2_000
"""Searchers remembered as drained; days of ordinary releases."""


@dataclass(frozen=True, slots=True)
class Shares:
    """How many gateways there are, how many gather queries, and whether this one does."""

    gateways: int
    gatherers: int
    warm: bool


@dataclass(slots=True)
class FleetSending:
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
        dialect: Dialect,
        clock: Clock,
        executor: Executor,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self.settings = settings
        self.dialect = dialect
        self.clock = clock
        self.executor = executor
        self.log = log
        self.metrics = metrics
        self.lock = Lock()
        self.services: dict[ServiceId, dict[SearcherId, Replica]] = {}
        self.replicas: dict[SearcherId, Replica] = {}
        self.tasks: dict[SearcherTask, Replica] = {}
        self.drained: dict[SearcherId, int] = {}
        self.accepted: dict[ServiceId, int] = {}
        self.shards: set[ServiceId] = set()
        self.shares = Shares(1, 1, False)
        self.peer_dialect = peer_dialect(dialect)
        self.budgets: dict[ServiceId, HedgeBudget] = {}
        self.windows: dict[RouteId, LatencyWindow] = {}
        repeats = settings.repeats
        self.ratio = repeats.ratio * RATIO_MARGIN
        self.slack = repeats.slack * SLACK_MARGIN

    def now(self) -> Millis:
        """Return the gateway's clock."""
        return self.clock.now()

    def send(self, call: Call, tried: set[SearcherId]) -> FleetSending | NotRun:
        """Send ``call`` to the best searcher of its service that is not in ``tried``."""
        with self.lock:
            replica = self._choose(call.service, tried)
            if isinstance(replica, NotRun):
                return replica
            task = replica.idle.pop() if replica.idle else self._open(replica)
            if task is None:
                return NotRun(Reason.OVERLOAD, Step.CONNECT, call.service, "no task can start")
            replica.in_flight += 1
            replica.used_at = self.clock.now()
            if not call.repeat:
                self._budget(call.service).earn()
            task.work.put(call)
        if call.repeat:
            self.metrics.count("repeats")
        return FleetSending(call, replica.entry.id, task)

    def hedge_delay(self, route: Route) -> Millis:
        """Return the age at which a send on ``route`` is repeated elsewhere."""
        with self.lock:
            window = self.windows.get(route.id)
            usual = window.percentile(HEDGE_PERCENTILE) if window is not None else None
        if usual is None:
            return Millis(route.objective * HEDGE_FIRST_SHARE)
        return Millis(min(usual * HEDGE_MARGIN, route.objective * HEDGE_LONGEST_SHARE))

    def allow_hedge(self, service: ServiceId) -> bool:
        """Take one repeat from the budget, leaving the reserve of retries."""
        with self.lock:
            return self._budget(service).spend_on_hedge()

    def allow_retry(self, service: ServiceId) -> bool:
        """Take one repeat from the budget after a send that failed."""
        with self.lock:
            return self._budget(service).spend_on_retry()

    def finish(self, task: SearcherTask, call: Call, load: Load | None) -> None:
        """Take the outcome of a call; its connection is idle again, or ends."""
        now = self.clock.now()
        with self.lock:
            replica = self.tasks[task]
            replica.in_flight -= 1
            self._judge(replica, call, now)
            if load is not None:
                replica.waiting = max(0, load.running + load.waiting - replica.in_flight - 1)
                replica.reported_at = now
            self._keep(replica, task)

    def idle_expired(self, task: SearcherTask) -> Idleness:
        """Decide about a connection that was idle for long."""
        with self.lock:
            replica = self.tasks[task]
            if task not in replica.idle:
                return Idleness.BUSY
            replica.idle.remove(task)
            recent = self.clock.now() - replica.used_at < WARM_FOR
            wanted = self._is_warm(replica.entry.service) and replica.tasks == 1
            if replica.state is ReplicaState.ACTIVE and (recent or wanted) and replica.tasks <= 2:
                return Idleness.RENEW
            return Idleness.CLOSE

    def renewed(self, task: SearcherTask, connected: bool) -> None:
        """Take back a connection that was opened anew."""
        self.metrics.count("connections_opened" if connected else "connections_failed")
        with self.lock:
            replica = self.tasks[task]
            if connected:
                self._keep(replica, task)
                return
            task.work.put(Closing())
            if replica.fail(self.clock.now()):
                self._log_ejection(replica, "", "connect")

    def ended(self, task: SearcherTask) -> None:
        """Count out a connection."""
        with self.lock:
            self.tasks.pop(task).tasks -= 1

    def apply_table(self, table: RouteTable) -> None:
        """Take the services' connections and the services to keep warm from a configuration."""
        with self.lock:
            self.accepted = {service.id: service.connections for service in table.services.values()}
            self.shards = table.shard_services()
            for replica in self.replicas.values():
                replica.connections = self._connections(replica.entry.service)
            routes = {route.id for route in table.routes}
            self.windows = {key: kept for key, kept in self.windows.items() if key in routes}
        self.warm_up()

    def share(self, shares: Shares) -> None:
        """Share connections and repeats with the gateways that there are now."""
        with self.lock:
            if shares == self.shares:
                return
            self.shares = shares
            for replica in self.replicas.values():
                replica.connections = self._connections(replica.entry.service)
            for service, budget in self.budgets.items():
                budget.resize(self._hedging(service))
        self.warm_up()

    def warm_up(self) -> None:
        """Open a connection to each searcher of a searched shard that has none."""
        with self.lock:
            for service in self.shards if self.shares.warm else ():
                for replica in self.services.get(service, {}).values():
                    if replica.state is ReplicaState.ACTIVE and replica.tasks == 0:
                        self._open(replica, warm=True)

    def list_searcher(self, entry: SearcherEntry) -> None:
        """Take a listing as it is now."""
        now = self.clock.now()
        with self.lock:
            known = self.replicas.get(entry.id)
            if self._is_past(known, entry):
                self.log.write(
                    LogEvent.SEARCHER_IGNORED,
                    searcher=entry.id,
                    born=entry.born,
                    phase=entry.phase.value,
                )
                return
            if known is None or self._is_other(known.entry, entry):
                if known is not None:
                    self._drop(known)
                known = self._add(entry, now)
            self._update(known, entry, now)

    def unlist_searcher(self, searcher: SearcherId, why: str) -> None:
        """Stop using a searcher whose listing is gone."""
        with self.lock:
            replica = self.replicas.get(searcher)
            if replica is not None:
                self._leave(replica, why)

    def unlisted(self, listed: set[SearcherId]) -> set[SearcherId]:
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
                    self._drop(replica)
        self.warm_up()

    def _choose(self, service: ServiceId, tried: set[SearcherId]) -> Replica | NotRun:
        now = self.clock.now()
        known = self.services.get(service, {})
        usable = [r for r in known.values() if r.entry.id not in tried and r.is_usable(now)]
        if not usable:
            return NotRun(Reason.NO_SEARCHER, Step.ROUTE, service, f"{len(known)} known")
        free = [replica for replica in usable if replica.has_room()]
        if not free:
            return NotRun(Reason.OVERLOAD, Step.CONNECT, service, "all connections are busy")
        return min(free, key=lambda replica: self._order(replica, now))

    def _order(self, replica: Replica, now: Millis) -> tuple[bool, float]:
        foreign = replica.entry.domain != self.settings.domain
        cost = replica.cost(now) + (FOREIGN_DOMAIN_COST if foreign else 0.0)
        return replica.state is ReplicaState.LEAVING, cost

    def _open(self, replica: Replica, *, warm: bool = False) -> SearcherTask | None:
        """Start the task of a new connection; return ``None`` where the process has no room."""
        entry = replica.entry
        dialect = self.peer_dialect if entry.service == PEERS else self.dialect
        task = SearcherTask(entry.id, entry.address, self, dialect, self.clock)
        replica.tasks += 1
        self.tasks[task] = replica
        try:
            self.executor.submit(self._run_warm if warm else self._run, task)
        except RuntimeError as error:
            self.tasks.pop(task).tasks -= 1
            self.log.write(LogEvent.TASK_REFUSED, searcher=entry.id, detail=str(error))
            return None
        return task

    def _run(self, task: SearcherTask) -> None:
        self.metrics.count("connections_opened")
        task.run()

    def _run_warm(self, task: SearcherTask) -> None:
        task.renew()
        task.run()

    def _keep(self, replica: Replica, task: SearcherTask) -> None:
        """Keep an idle connection, or let it end; the lock is held."""
        if replica.state is ReplicaState.GONE:
            task.work.put(Closing())
        else:
            replica.idle.append(task)

    def _judge(self, replica: Replica, call: Call, now: Millis) -> None:
        """Learn from one outcome; the lock is held."""
        match call.outcome:
            case Answered(status=status, latency=latency) if status < 500:
                ratio = self._note_latency(call, latency, now)
                if replica.succeed(ratio, now):
                    self.log.write(LogEvent.SEARCHER_BACK, searcher=replica.entry.id)
            case Declined(reason=Reason.NO_SEARCHER):
                self._leave(replica, "another searcher has its address", Millis(0.0))
            case Declined():
                replica.note_trouble(now)
            case Lost() if call.cancelled:
                return
            case Answered() | Lost():
                self._count_failure(replica, call, now)

    def _count_failure(self, replica: Replica, call: Call, now: Millis) -> None:
        self.metrics.count("searcher_failures")
        detail = call.outcome.detail if isinstance(call.outcome, Lost) else "error status"
        if replica.fail(now):
            self._log_ejection(replica, call.request.id, detail)

    def _log_ejection(self, replica: Replica, request: str, detail: str) -> None:
        self.log.write(
            LogEvent.SEARCHER_EJECTED,
            searcher=replica.entry.id,
            service=replica.entry.service,
            request=request,
            failures=replica.failures,
            detail=detail,
            next_ejection_ms=round(replica.ejection),
        )

    def _note_latency(self, call: Call, latency: Millis, now: Millis) -> float:
        """Record a latency; return it over the usual latency of its route."""
        window = self.windows.setdefault(call.route.id, LatencyWindow())
        usual = window.percentile(USUAL_PERCENTILE)
        if not call.repeat:
            window.add(now, latency)
        return latency / usual if usual else 1.0

    def _budget(self, service: ServiceId) -> HedgeBudget:
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = HedgeBudget(self._hedging(service))
        return budget

    def _hedging(self, service: ServiceId) -> Hedge:
        """Return this gateway's part of what all may repeat of one service."""
        if service == PEERS:
            return Hedge(budget=self.ratio * PEER_SHARE, reserve=RETRY_RESERVE, burst=0.0)
        sharers = self.shares.gatherers if service in self.shards else self.shares.gateways
        burst = self.slack / max(LEAST_SHARERS, sharers) - RETRY_RESERVE
        return Hedge(budget=self.ratio, reserve=RETRY_RESERVE, burst=max(0.0, burst))

    def _connections(self, service: ServiceId) -> int:
        """Return how many connections to each searcher of a service this gateway may have."""
        accepted = self.accepted.get(service)
        if accepted is None:
            return DEFAULT_CONNECTIONS
        sharers = self.shares.gatherers if service in self.shards else self.shares.gateways
        return max(1, accepted // max(LEAST_SHARERS, sharers))

    def _is_warm(self, service: ServiceId) -> bool:
        return self.shares.warm and service in self.shards

    def _is_past(self, known: Replica | None, entry: SearcherEntry) -> bool:
        """Tell whether a listing is of an earlier start, or of one that has begun to leave."""
        if known is not None and entry.born < known.entry.born:
            return True
        if entry.id in self.drained and entry.born <= self.drained[entry.id]:
            return known is None
        return known is None and entry.phase is SearcherPhase.DRAINING

    def _is_other(self, known: SearcherEntry, entry: SearcherEntry) -> bool:
        """Tell whether a listing stands for another start, address or service."""
        same = (known.born, known.address, known.service)
        return same != (entry.born, entry.address, entry.service)

    def _add(self, entry: SearcherEntry, now: Millis) -> Replica:
        replica = Replica(entry, self._connections(entry.service), now)
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
        was = replica.entry.phase
        replica.entry = entry
        match entry.phase:
            case SearcherPhase.DRAINING:
                self._remember_drained(entry)
                self._leave(replica, "draining")
            case SearcherPhase.READY if was is SearcherPhase.READY:
                replica.return_to_list()
            case SearcherPhase.READY:
                replica.entry = entry

    def _remember_drained(self, entry: SearcherEntry) -> None:
        self.drained[entry.id] = entry.born
        while len(self.drained) > MOST_DRAINED:
            del self.drained[next(iter(self.drained))]

    def _leave(self, replica: Replica, why: str, usable: Millis | None = None) -> None:
        if replica.state in (ReplicaState.LEAVING, ReplicaState.GONE):
            return
        now = self.clock.now()
        longest = self.settings.drain * LEAVING_SHARE if usable is None else usable
        replica.leave(Millis(now + longest))
        self.log.write(
            LogEvent.SEARCHER_LEAVING,
            searcher=replica.entry.id,
            service=replica.entry.service,
            why=why,
        )

    def _drop(self, replica: Replica) -> None:
        """Forget a searcher and end its connections; the lock is held."""
        for task in replica.idle:
            task.work.put(Closing())
        replica.idle.clear()
        replica.state = ReplicaState.GONE
        if self.replicas.get(replica.entry.id) is replica:
            del self.replicas[replica.entry.id]
        self.services.get(replica.entry.service, {}).pop(replica.entry.id, None)
