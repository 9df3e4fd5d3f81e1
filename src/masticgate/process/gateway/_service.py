"""Serves the requests of callers, and of other gateways, by their routes."""

import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from threading import Lock

from ..._failures import NotRun, Reason, Step, describe_failure
from ..._ids import ConfigurationVersion, FailureDomainId, Millis, RouteId, ServiceId
from ...connection.gateway import parse_missing_positions
from ...request.gateway import (
    Abandoned,
    Failed,
    GatherPlan,
    Inbox,
    Merged,
    PartSender,
    RecordMerger,
    Refused,
    Relayed,
    Reply,
    Request,
    run_forward,
    run_gather,
)
from ...version.gateway import (
    PEER_SERVICE,
    Idempotency,
    OneService,
    Route,
    RouteTable,
    Shards,
    Split,
)
from ._catalogue_log import CATALOGUE_HOST, CatalogueLog
from ._fleet import Fleet
from ._heartbeat_codec import HEARTBEAT_HOST
from ._log import EventLog, LogEvent
from ._metrics import Metrics
from ._naming import GatherAtPeers, GatherHere, peer_route
from ._network_times import NetworkTimes
from ._peers import Peers
from ._permits import NoPermits, OwnGatherings
from ._planner import plan_parts, plan_whole
from .startup import StartupStep

STOPPING_RETRY_AFTER = Millis(50.0)
"""The time after which a caller refused by a stopping gateway should try another one."""

LOG_SAMPLE_INTERVAL = 16
"""One in this many ordinary requests is logged.

A request is ordinary if its reply is whole, was ready within the route's objective, which is the
latency that it should not exceed, and consists of regular answers. An answer is regular if it
stated where it ends and no other answers were skipped before it on its connection.
"""


class WeightedRoundRobin:
    """Distributes the requests of a route among services by smooth weighted round robin.

    ``credits`` maps each route, with its configuration version, to the credits of its services.
    Each request adds to every credit the weight of the service. The service with the highest credit
    is chosen, and the sum of the weights is subtracted from its credit. The credits start at random
    values, so that not every gateway starts with the same service. Those of earlier versions are
    dropped.
    """

    def __init__(self) -> None:
        self.lock = Lock()
        self.random = random.Random()
        self.credits: dict[tuple[ConfigurationVersion, RouteId], dict[ServiceId, float]] = {}

    def next(self, version: ConfigurationVersion, route: RouteId, split: Split) -> ServiceId:
        """Return the service for the next request of ``route``; any task may call this."""
        with self.lock:
            return self._next(version, route, split)

    def _next(self, version: ConfigurationVersion, route: RouteId, split: Split) -> ServiceId:
        key = (version, route)
        credit = self.credits.get(key)
        if credit is None:
            self.credits = {
                kept: known
                for kept, known in self.credits.items()
                if kept[0] >= version and kept[1] != route
            }
            credit = {
                part.service: part.weight * self.random.uniform(-0.5, 0.5) for part in split.parts
            }
            self.credits[key] = credit
        for part in split.parts:
            credit[part.service] += part.weight
        chosen = max(credit, key=lambda service: credit[service])
        credit[chosen] -= sum(part.weight for part in split.parts)
        return chosen


@dataclass(frozen=True, slots=True)
class GatewayView:
    """The state by which a request is served.

    ``age`` is the time since the last successful read or watch of the platform's catalogue.
    ``finish_at`` is the time at which a stopping gateway ends the requests in progress.
    """

    table: RouteTable | None
    age: Millis
    finish_at: Millis | None = None


class GatewayService:
    """Finds the route of each request, runs the request by it, and records the result."""

    def __init__(
        self,
        fleet: Fleet,
        view: Callable[[], GatewayView],
        log: EventLog,
        metrics: Metrics,
        peers: Peers,
        catalogue: CatalogueLog,
    ) -> None:
        self.fleet = fleet
        self.view = view
        self.log = log
        self.metrics = metrics
        self.peers = peers
        self.catalogue = catalogue
        self.round_robin = WeightedRoundRobin()
        self.network_times = NetworkTimes()
        self.ordinary_reply_count = 0
        self.own_gatherings = OwnGatherings(metrics)
        self.merger = RecordMerger()

    def handle(self, request: Request, inbox: Inbox) -> Reply:
        """Return the reply to one request of a caller."""
        view = self.view()
        route = self._find_route(request, view.table)
        if isinstance(route, Route) and not self._can_finish(request, route, view.finish_at):
            route = Refused(503, NotRun(Reason.SHUTTING_DOWN, Step.ADMISSION), STOPPING_RETRY_AFTER)
        if isinstance(route, Refused):
            reply: Reply = route
        else:
            assert view.table is not None
            self.network_times.apply_table(view.table)
            request = replace(request, network_time=self.network_times.estimate(route.id, request))
            reply = self._run(request, view.table, route, inbox)
        self._record_result(request, view, route, reply)
        return reply

    def handle_peer(self, request: Request, inbox: Inbox) -> Reply:
        """Return the reply to a request of another gateway.

        The request is a heartbeat, a read or watch of the catalogue, or a part of a query to
        gather by the route that it states.
        """
        if request.host == HEARTBEAT_HOST:
            return self.peers.handle_heartbeat(request)
        if request.host == CATALOGUE_HOST:
            return self.catalogue.handle_request(request)
        part = request.part
        if part is None or not isinstance(part.route.target, Shards) or not self.peers.is_ready():
            return Refused(503, NotRun(Reason.NO_CONFIGURATION, Step.FORWARD, detail="not ready"))
        reply = self._run_gather(request, part.route, part.route.target, inbox)
        self._record_result(request, self.view(), part.route, reply)
        return reply

    def _find_route(self, request: Request, table: RouteTable | None) -> Route | Refused:
        if not request.id:
            failure = NotRun(Reason.BAD_REQUEST, Step.READ, detail="the request id is missing")
            return Refused(400, failure)
        if table is None:
            return self.peers.startup.refuse(StartupStep.CONFIGURATION)
        route = table.find_route(request.host, request.path)
        if route is None:
            failure = NotRun(Reason.UNKNOWN_SERVICE, Step.ROUTE, detail=f"version {table.version}")
            return Refused(404, failure)
        return route

    def _can_finish(self, request: Request, route: Route, finish_at: Millis | None) -> bool:
        """Return whether a request can be finished before a stopping gateway ends.

        One that is not idempotent must not be interrupted, so that all its time counts; for another
        one, the objective does.
        """
        if finish_at is None:
            return True
        match route.kind:
            case Idempotency.NON_IDEMPOTENT:
                return request.deadline(route) <= finish_at
            case Idempotency.IDEMPOTENT:
                return request.arrived_at + route.objective <= finish_at

    def _run(self, request: Request, table: RouteTable, route: Route, inbox: Inbox) -> Reply:
        has_listings = self.peers.startup.has_reached(StartupStep.LISTINGS)
        match route.target:
            case Shards() as shards if not has_listings:
                return self._gather_without_listings(request, route, shards, inbox)
            case _ if not has_listings:
                return self.peers.startup.refuse(StartupStep.LISTINGS)
            case Shards() as shards:
                return self._gather(request, route, shards, inbox)
            case Split() as split:
                service = self.round_robin.next(table.version, route.id, split)
                return run_forward(request, route, service, self.fleet, inbox)
            case OneService(service=service):
                return run_forward(request, route, service, self.fleet, inbox)

    def _gather(self, request: Request, route: Route, shards: Shards, inbox: Inbox) -> Reply:
        """Gather the query here or, as planned, parts of it at other gatherers."""
        match self.peers.gathering:
            case GatherHere(is_gatherer=is_gatherer) if not is_gatherer:
                return self._gather_without_gatherers(request, route, shards, inbox)
            case GatherHere():
                own_domain: FailureDomainId | None = self.fleet.settings.domain
            case GatherAtPeers():
                own_domain = None
        here, parts = plan_parts(
            route,
            self.fleet.searcher_domains(shards.services),
            self.fleet.searcher_domains((PEER_SERVICE,))[0],
            own_domain,
            len(shards.services) - shards.min_answers,
            request.id,
        )
        plan = GatherPlan(here, parts, self._part_sender(request, route), self.own_gatherings)
        return self._run_gather(request, route, shards, inbox, plan)

    def _run_gather(
        self,
        request: Request,
        route: Route,
        shards: Shards,
        inbox: Inbox,
        plan: GatherPlan | None = None,
    ) -> Reply:
        """Gather the query as planned, by default all here."""
        return run_gather(request, route, shards, self.fleet, inbox, plan, self.merger)

    def _part_sender(self, request: Request, route: Route) -> PartSender:
        return PartSender(
            request, peer_route(route), PEER_SERVICE, self.fleet, parse_missing_positions
        )

    def _gather_without_listings(
        self, request: Request, route: Route, shards: Shards, inbox: Inbox
    ) -> Reply:
        """Forward the whole query to a gatherer while this gateway knows no searchers yet."""
        gatherer_domains = self.fleet.searcher_domains((PEER_SERVICE,))[0]
        if not gatherer_domains:
            return self.peers.startup.refuse(StartupStep.LISTINGS)
        part = plan_whole(route, len(shards.services), gatherer_domains, request.id)
        plan = GatherPlan((), (part,), self._part_sender(request, route), NoPermits())
        return self._run_gather(request, route, shards, inbox, plan)

    def _gather_without_gatherers(
        self, request: Request, route: Route, shards: Shards, inbox: Inbox
    ) -> Reply:
        """Gather a query although this gateway is no gatherer and knows of none, or refuse it.

        The connections to the searchers have to be opened first, so that only a few queries are
        gathered in this way at the same time.
        """
        if not self.own_gatherings.acquire():
            has_seeds = bool(self.fleet.settings.seeds)
            return self.peers.startup.refuse_for_lack_of_gatherers(has_seeds=has_seeds)
        try:
            return self._run_gather(request, route, shards, inbox)
        finally:
            self.own_gatherings.release()

    def _record_result(
        self, request: Request, view: GatewayView, route: Route | Refused, reply: Reply
    ) -> None:
        """Record the request in the metrics, and log it.

        Only a sample of the ordinary requests is logged.
        """
        duration = Millis(self.fleet.now() - request.arrived_at)
        outcome, detail = _describe_reply(reply)
        if outcome == "whole":
            self.peers.startup.record(StartupStep.FIRST_ANSWER)
        kind = "none" if isinstance(route, Refused) else f"rank{route.rank}"
        self.metrics.record_request(kind, outcome, duration)
        late = not isinstance(route, Refused) and duration > route.objective
        if outcome == "whole" and not late and _is_regular(reply):
            self.ordinary_reply_count += 1
            if self.ordinary_reply_count % LOG_SAMPLE_INTERVAL:
                return
        event = LogEvent.REQUEST if outcome in ("whole", "partial") else LogEvent.REQUEST_FAILED
        version = view.table.version if view.table is not None else 0
        self.log.write(
            event,
            request=request.id,
            route="" if isinstance(route, Refused) else route.id,
            outcome=outcome,
            detail=detail,
            took_ms=round(duration, 1),
            patience_ms=request.caller_timeout,
            network_ms=round(request.network_time),
            version=version,
            beliefs_age_ms=round(view.age),
            **_describe_wait(route, reply),
        )


def _describe_wait(route: Route | Refused, reply: Reply) -> dict[str, object]:
    """Return the fields of the log line that say how a request waited, or why it was refused."""
    fields: dict[str, object] = {} if isinstance(route, Refused) else {"rank": route.rank}
    match reply:
        case Relayed(waited=waited) | Merged(waited=waited) | Refused(waited=waited) if waited:
            fields["waited_ms"] = round(waited, 1)
    match reply:
        case Refused(failure=failure, retry_after=retry_after, room=room):
            fields["why"] = failure.reason.value
            if retry_after is not None:
                fields["retry_after_ms"] = round(retry_after)
            if room is not None:
                age = None if room.report_age is None else round(room.report_age)
                fields["room"] = {
                    "free": room.free,
                    "running": room.running,
                    "waiting": room.waiting,
                    "report_age_ms": age,
                }
    return fields


def _is_regular(reply: Reply) -> bool:
    """Return whether all answers in the reply are regular; ``True`` if it has none."""
    match reply:
        case Relayed(answer=answer):
            return answer.receive_info.is_regular
        case Merged(irregular_parts=irregular_parts):
            return not irregular_parts
        case _:
            return True


def _describe_reply(reply: Reply) -> tuple[str, str]:
    """Return the name of the reply's outcome, and its details for the log."""
    match reply:
        case Merged(missing=0, gatherers=gatherers, irregular_parts=irregular_parts):
            return "whole", "; ".join((*gatherers, *irregular_parts))
        case Merged(
            missing=missing,
            stamps=stamps,
            gatherers=gatherers,
            missing_causes=missing_causes,
            irregular_parts=irregular_parts,
        ):
            counts = f"{missing} of {missing + len(stamps)} shards missing"
            return "partial", "; ".join((counts, *gatherers, *missing_causes, *irregular_parts))
        case Relayed(answer=answer, attempts_summary=attempts_summary) if answer.is_success:
            detail = (
                f"answer of {answer.searcher}, {answer.receive_info}, stamp {answer.stamp}, "
                f"{attempts_summary}"
            )
            return "whole", detail
        case Relayed(answer=answer, attempts_summary=attempts_summary):
            return (
                "searcher_failure",
                f"status {answer.status} of {answer.searcher}, {attempts_summary}",
            )
        case Refused(status=status, failure=failure, missing_causes=missing_causes):
            return f"refused_{status}", "; ".join((describe_failure(failure), *missing_causes))
        case Failed(status=status, failure=failure, missing_causes=missing_causes):
            return f"failed_{status}", "; ".join((describe_failure(failure), *missing_causes))
        case Abandoned():
            return "caller_left", ""
        case _:
            return "page", ""
