"""Applies admission control to the calls for which no searcher has room.

The fleet's lock guards the gate. The state is that of one gateway and lives as long as its process;
no other gateway knows it.
"""

import random
from collections.abc import Callable, Collection, Sequence

from ...._clock import MILLIS_PER_SECOND, Clock
from ...._ids import Millis, ServiceId
from ....request.gateway import (
    Answered,
    Call,
    Decision,
    Lost,
    Refuse,
    Repeat,
    Request,
    RoomGranted,
    RoomState,
    Send,
)
from ....version.gateway import PEER_SERVICE, Route, RouteTable
from .._hedge_delays import HedgeDelays
from .._metrics import Metrics
from .._replica import Replica, ReplicaState
from ._decision import MAX_JITTER, Demand, Queue, decide, expected_wait, limit_retry_after
from ._rate import FreeingRate
from ._room import Room

DECLINED_WAIT_SHARE = 0.5
"""The share of the usual latency after which searchers that declined a request may have room.

If they are full, one of their requests ends after about half the running time of a request.
"""

MAX_DECLINED_WAIT = Millis(50.0)
"""The upper bound on that time, since one of many searchers has room much sooner."""

INITIAL_LATENCY_SHARE = 0.25
"""The usual latency as a share of the route's objective while no latencies are known."""

MIN_BLOCKED_TIME = Millis(50.0)
"""A service counts as blocked if no call of it could be sent for this long."""


class ServiceQueue:
    """The queue of one service and the rate at which it moves."""

    def __init__(self, now: Millis) -> None:
        self.room = Room()
        self.rate = FreeingRate(now)


class Gate:
    """Lets requests wait for room at searchers, in the order of their ranks.

    It is ``enabled`` while the configuration has more than one rank. Otherwise no request waits.
    ``queues`` has the services at which a request has waited under the present configuration, and
    ``waiting`` is the number of requests that wait now. ``of_service`` returns the searchers of a
    service.
    """

    def __init__(
        self,
        of_service: Callable[[ServiceId], Collection[Replica]],
        hedge_delays: HedgeDelays,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.of_service = of_service
        self.hedge_delays = hedge_delays
        self.clock = clock
        self.metrics = metrics
        self.random = random.Random()
        self.enabled = False
        self.queues: dict[ServiceId, ServiceQueue] = {}
        self.waiting = 0

    def apply_table(self, table: RouteTable) -> None:
        """Enable the gate if the configuration ``table`` has more than one rank."""
        self.enabled = len({route.rank for route in table.routes}) > 1
        self.queues = {
            service: queue for service, queue in self.queues.items() if queue.room.is_in_use
        }

    def limits(self, call: Call) -> bool:
        """Return whether ``call`` goes only to searchers with room.

        A retry goes to any that accepts it: its request has had its turn before.
        """
        return self.enabled and call.service != PEER_SERVICE and call.repeat is not Repeat.RETRY

    def has_room(self, service: ServiceId, replicas: Collection[Replica]) -> bool:
        """Return whether one of ``replicas`` of ``service`` has room that nobody waits for."""
        if not self.enabled or service == PEER_SERVICE:
            return True
        queue = self.queues.get(service)
        if queue is not None and queue.room.is_in_use:
            return False
        now = self.clock.now()
        return any(replica.is_usable(now) and replica.has_room(now) for replica in replicas)

    def may_send(self, call: Call) -> bool:
        """Return whether it is the turn of ``call``, ending its reservation if it has one."""
        queue = self.queues.get(call.service)
        if queue is None or call.repeat is Repeat.RETRY:
            return True
        room = queue.room
        if room.take_reservation(call):
            return True
        if not room.is_in_use:
            return True
        self._grant(call.service, queue)
        if room.take_reservation(call):
            return True
        return not room.queue and self._free_places(call.service) > len(room.reserved)

    def admit(self, call: Call) -> Decision:
        """Decide about a call for which no searcher had room; it waits if the result says so."""
        if not self.limits(call):
            self.leave(call)
            return Refuse(None, "all connections are busy")
        now = self.clock.now()
        if not self._find_candidates(call.service, now):
            self.leave(call)
            return Refuse(None, "no searcher accepts requests")
        queue = self.queues.setdefault(call.service, ServiceQueue(now))
        demand = self._demand(call.request, call.route, call.deadline)
        self._enqueue(call, queue, demand, now)
        self._grant(call.service, queue, waker=call)
        if id(call) in queue.room.reserved:
            return Send()
        ahead = queue.room.count_ahead(call, now)
        decision = decide(
            demand,
            self._describe(call.service, queue, ahead, call.route, now),
            now,
            self._jitter(),
        )
        match decision:
            case Refuse():
                self.metrics.count("admission_refused")
                self._remove(call, queue)
        return decision

    def leave(self, call: Call) -> None:
        """Stop waiting for room for ``call``; another request gets what it was granted."""
        queue = self.queues.get(call.service)
        if queue is not None and self._remove(call, queue):
            self._grant(call.service, queue)

    def record_outcome(self, call: Call) -> None:
        """Grant the room that comes free as ``call`` has its outcome.

        A searcher that declined a request, or that never received it, has not worked on it, so that
        such an outcome does not count as capacity.
        """
        queue = self.queues.get(call.service)
        if queue is None:
            return
        match call.outcome:
            case Answered() | Lost(sent=True):
                queue.rate.record_completion(self.clock.now())
        self._grant(call.service, queue)

    def admit_query(
        self, request: Request, route: Route, services: Sequence[ServiceId], needed: int
    ) -> Refuse | None:
        """Refuse a query at once if fewer than ``needed`` of ``services`` can serve it in time."""
        if not self.waiting:
            return None
        now = self.clock.now()
        deadline = request.deadline(route)
        demand = self._demand(request, route, deadline)
        refusals: list[Refuse] = []
        for service in services:
            queue = self.queues.get(service)
            if queue is None or not queue.room.queue:
                continue
            ahead = queue.room.count_ahead_of_new(route.rank, deadline, now)
            description = self._describe(service, queue, ahead, route, now)
            match decide(demand, description, now, self._jitter()):
                case Refuse() as refusal:
                    refusals.append(refusal)
        if len(services) - len(refusals) >= needed or not refusals:
            return None
        self.metrics.count("admission_refused")
        refusals.sort(key=lambda refusal: refusal.retry_after or 0.0)
        decisive = refusals[min(len(refusals), needed - (len(services) - len(refusals))) - 1]
        why = f"{len(refusals)} of {len(services)} shards have no room in time"
        return Refuse(decisive.retry_after, why, decisive.room)

    def retry_after(self, route: Route, service: ServiceId, deadline: Millis) -> Millis | None:
        """Return when a caller for which there was no room should return, if that is known."""
        now = self.clock.now()
        if not self.enabled:
            blocked = self._blocked_time(service, now)
            return limit_retry_after(blocked, deadline, now, self._jitter()) if blocked else None
        queue = self.queues.get(service)
        wait = None
        if queue is not None and queue.room.queue:
            wait = expected_wait(len(queue.room.queue), self._rate(service, queue, route, now))
        if wait is None:
            latency = self._usual_latency(route)
            wait = Millis(min(MAX_DECLINED_WAIT, latency * DECLINED_WAIT_SHARE))
        return limit_retry_after(wait, deadline, now, self._jitter())

    def _blocked_time(self, service: ServiceId, now: Millis) -> Millis:
        """Return for how long all connections to the searchers of a service have been busy.

        While this lasts, it is expected to last as long again. The result is 0 if there is room.
        """
        usable = [replica for replica in self.of_service(service) if replica.is_usable(now)]
        if not usable or any(replica.has_capacity() for replica in usable):
            return Millis(0.0)
        blocked = now - max(replica.last_used_at for replica in usable)
        return Millis(blocked) if blocked >= MIN_BLOCKED_TIME else Millis(0.0)

    def _enqueue(self, call: Call, queue: ServiceQueue, demand: Demand, now: Millis) -> None:
        before = len(queue.room.queue)
        queue.room.enqueue(call, Millis(demand.objective_at - demand.latency))
        self._update_waiting(queue, before, now)

    def _remove(self, call: Call, queue: ServiceQueue) -> bool:
        before = len(queue.room.queue)
        removed = queue.room.remove(call)
        self._update_waiting(queue, before, self.clock.now())
        return removed

    def _update_waiting(self, queue: ServiceQueue, before: int, now: Millis) -> None:
        after = len(queue.room.queue)
        if after == before:
            return
        self.waiting += after - before
        self.metrics.set_gauge("admission_waiting", self.waiting)
        queue.rate.set_busy(after > 0, now)

    def _grant(self, service: ServiceId, queue: ServiceQueue, waker: Call | None = None) -> None:
        """Grant the free places to waiting requests, and wake all of these but ``waker``."""
        room = queue.room
        if not room.queue:
            return
        before = len(room.queue)
        places = self._free_places(service) - len(room.reserved)
        for _ in range(min(places, before)):
            call = room.grant(self.clock.now())
            self.metrics.count("admission_granted")
            if call is not waker:
                call.inbox.grant(RoomGranted(call))
        self._update_waiting(queue, before, self.clock.now())

    def _free_places(self, service: ServiceId) -> int:
        now = self.clock.now()
        candidates = self._find_candidates(service, now)
        return sum(_places_of(replica, now) for replica in candidates)

    def _find_candidates(self, service: ServiceId, now: Millis) -> list[Replica]:
        """Return the searchers that may be sent a call: the ejected ones if there is no other."""
        known = self.of_service(service)
        usable = [replica for replica in known if replica.is_usable(now)]
        return usable or [replica for replica in known if replica.is_last_resort(now)]

    def _demand(self, request: Request, route: Route, deadline: Millis) -> Demand:
        objective_at = Millis(request.arrived_at + route.objective - request.network_time)
        return Demand(deadline, objective_at, self._usual_latency(route))

    def _usual_latency(self, route: Route) -> Millis:
        latency = self.hedge_delays.usual_latency(route.id)
        return Millis(route.objective * INITIAL_LATENCY_SHARE) if latency is None else latency

    def _describe(
        self, service: ServiceId, queue: ServiceQueue, ahead: int, route: Route, now: Millis
    ) -> Queue:
        replicas = self.of_service(service)
        reported_at = max((r.load_reported_at for r in replicas), default=Millis(0.0))
        state = RoomState(
            max(0, self._free_places(service) - len(queue.room.reserved) - len(queue.room.queue)),
            sum(replica.in_flight for replica in replicas),
            len(queue.room.queue),
            Millis(now - reported_at) if reported_at else None,
        )
        return Queue(ahead, self._rate(service, queue, route, now), state)

    def _rate(self, service: ServiceId, queue: ServiceQueue, route: Route, now: Millis) -> float:
        """Return the rate at which room comes free; each running call is assumed to end as usual.

        It is 0 if no call of this gateway is running and none has completed while others waited.
        """
        running = sum(replica.in_flight for replica in self.of_service(service))
        expected = running / max(1.0, self._usual_latency(route)) * MILLIS_PER_SECOND
        return queue.rate.per_second(expected, now)

    def _jitter(self) -> float:
        return self.random.uniform(1.0, MAX_JITTER)


def _places_of(replica: Replica, now: Millis) -> int:
    """Return the free places of a searcher; one that is due for a probe has one."""
    places = replica.free_places(now)
    is_probe = replica.state is ReplicaState.EJECTED and replica.is_usable(now)
    return min(1, places) if is_probe else places
