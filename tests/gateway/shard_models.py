"""A seeded model of queries over many shards: a real ``Fleet``, simulated searchers and time.

Each shard has three searchers, one in each of three failure domains; the gateway is a gatherer in
the first one. Queries follow each other, and late answers arrive during later queries.
"""

import heapq
import random
from dataclasses import dataclass, field, replace

from masticgate import Address, ManualClock, Millis, NotRun, Reason, SearcherId, ServiceId
from masticgate._ids import FailureDomainId, RequestId
from masticgate.connection.gateway import Load
from masticgate.process.gateway import SearcherEntry, SearcherPhase
from masticgate.process.gateway._fleet import Fleet
from masticgate.process.gateway._shares import GatewayShares
from masticgate.request.gateway import Call, Declined, Lost, Merged, Reply, run_gather
from masticgate.version.gateway import Idempotency, Route, RouteTable, Shards

from .fakes import answered, make_fleet, make_request, make_route, make_table

DOMAINS = tuple(FailureDomainId(name) for name in ("z1", "z2", "z3"))
TRANSIT = 9.0
"""How long before its arrival at the gatherer a part counts as received, in milliseconds."""

NETWORK = 8.0
CROSS_DOMAIN = 4.0
START = 20_000.0


@dataclass(frozen=True)
class Kind:
    """A kind of query; the figures are those of the deployments that the work plan describes."""

    name: str
    work: float
    objective: float
    timeout: float
    min_share: float

    def route(self, services: tuple[ServiceId, ...], attempts: int) -> Route:
        route = make_route(Shards(services, 3, self.min_share), attempts=attempts, prefix=self.name)
        return replace(
            route, objective=Millis(self.objective), timeout=Millis(self.timeout), rank=0
        )


LONG = Kind("/long/", 30.0, 236.0, 1_515.0, 0.95)
SHORT = Kind("/short/", 10.0, 63.0, 619.0, 0.85)


@dataclass(frozen=True)
class Trouble:
    """What is wrong with the searchers, from 4 to 12 s after the start of the run.

    ``slow`` is the share of all searchers that are slow by ``factor``. All searchers of
    ``slow_shards`` are slow as well, and those of ``refusing_shards`` refuse. Each searcher pauses
    for ``pause`` every ``pause_every`` ms, for the whole run.
    """

    slow: float = 0.0
    factor: float = 8.0
    slow_shards: int = 0
    refusing_shards: int = 0
    pause: float = 0.0
    pause_every: float = 4_500.0
    seconds: tuple[float, float] = (4.0, 12.0)


@dataclass
class Result:
    """``whole`` is the share of the queries with a whole answer in time, ``benefit`` the mean one.

    ``repeat_ratio`` is the number of repeats for each first attempt, ``most_repeats`` the most
    repeats at one shard, and ``denied`` the repeats that the budgets did not allow.
    """

    queries: int = 0
    whole: float = 0.0
    benefit: float = 0.0
    repeat_ratio: float = 0.0
    most_repeats: int = 0
    denied: int = 0
    replies: list[tuple[float, Reply]] = field(default_factory=list)


class Searchers:
    """The latencies of all searchers, by their numbers: three for each shard."""

    def __init__(self, shards: int, trouble: Trouble, rng: random.Random) -> None:
        self.trouble = trouble
        self.rng = rng
        count = 3 * shards
        self.slow = set(rng.sample(range(count), round(trouble.slow * count)))
        self.slow |= set(range(3 * trouble.slow_shards))
        self.refusing = set(range(3 * trouble.refusing_shards))
        self.offsets = [rng.uniform(0.0, trouble.pause_every) for _ in range(count)]

    def is_troubled(self, now: float) -> bool:
        first, last = self.trouble.seconds
        return first <= (now - START) / 1_000.0 < last

    def refuses(self, number: int, now: float) -> bool:
        return number in self.refusing and self.is_troubled(now)

    def latency(self, number: int, work: float, now: float) -> float:
        trouble = self.trouble
        taken = 2.0 + work * self.rng.lognormvariate(0.0, 0.18)
        taken += CROSS_DOMAIN if number % 3 else 0.0
        if number in self.slow and self.is_troubled(now):
            taken *= trouble.factor
        if trouble.pause:
            taken += max(0.0, trouble.pause - (now + self.offsets[number]) % trouble.pause_every)
        return taken


class ModelCall:
    """A call in flight at a simulated searcher."""

    def __init__(self, call, dispatched, fleet: Fleet) -> None:
        self.call = call
        self.searcher = dispatched.searcher
        self.task = dispatched.task
        self.fleet = fleet
        self.ended = False

    def end(self, outcome) -> None:
        self.ended = True
        self.call.outcome = outcome
        self.fleet.handle_outcome(self.task, self.call, Load(1, 0, 2), reusable=True)

    def cancel(self) -> None:
        if not self.ended:
            self.call.cancelled = True
            self.end(Lost(self.searcher, True, "cancelled"))

    def withdraw(self) -> bool:
        return False


class ModelInbox:
    """The inbox of one query, which wakes its task as ``RequestInbox`` does."""

    def __init__(self, world: "World") -> None:
        self.world = world
        self.batch_size = 1
        self.ready: list[Call] = []
        self.failed = False

    def set_batch_size(self, number: int) -> None:
        self.batch_size = number

    def put(self, call: Call) -> None:
        self.ready.append(call)
        self.failed = self.failed or isinstance(call.outcome, (Declined, Lost))

    def wait(self, deadline):
        if not self.ready:
            self.failed = False
            self.world.run(deadline, self)
        return self.ready.pop(0) if self.ready else None


class World:
    """A gateway and its searchers; it is the upstream client of the queries."""

    def __init__(self, shards: int, trouble: Trouble, seed: int, slack: float = 184.0) -> None:
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.fleet = make_fleet(self.clock, slack=slack)
        self.services = tuple(ServiceId(f"s{n}") for n in range(shards))
        self.searchers = Searchers(shards, trouble, self.rng)
        self.numbers: dict[SearcherId, int] = {}
        for number in range(3 * shards):
            name = SearcherId(f"{number // 3}-{number % 3}")
            self.numbers[name] = number
            service = self.services[number // 3]
            address = Address(f"127.0.0.1:{1_000 + number}")
            domain = DOMAINS[number % 3]
            phase = SearcherPhase.READY
            entry = SearcherEntry(name, service, address, domain, 2, phase, Millis(0.0), 1)
            self.fleet.apply_listing(entry)
        self.clock.advance(Millis(START))
        self.events: list[tuple[float, int, ModelCall, object]] = []
        self.count = self.first_attempts = self.denied = 0
        self.repeats: dict[ServiceId, int] = dict.fromkeys(self.services, 0)

    def __getattr__(self, name: str):
        """Return what the gateway's client provides beyond the methods below."""
        return getattr(self.fleet, name)

    def apply_table(self, table: RouteTable) -> None:
        self.fleet.apply_table(table)
        self.fleet.apply_shares(GatewayShares(12, (*DOMAINS, DOMAINS[0]), DOMAINS[0], False))

    def now(self):
        return self.clock.now()

    def send(self, call, tried):
        dispatched = self.fleet.send(call, tried)
        if isinstance(dispatched, NotRun):
            return dispatched
        self.first_attempts += call.repeat is None
        self.repeats[call.service] += call.repeat is not None
        call.started = True
        sent = ModelCall(call, dispatched, self.fleet)
        number, now = self.numbers[sent.searcher], self.now()
        if self.searchers.refuses(number, now):
            latency, outcome = 3.0, Declined(sent.searcher, Reason.SEARCHER_SHED)
        else:
            work = next(k.work for k in (LONG, SHORT) if k.name == call.route.prefix)
            latency = self.searchers.latency(number, work, now)
            outcome = answered(sent.searcher, latency=latency)
        self.count += 1
        heapq.heappush(self.events, (now + latency, self.count, sent, outcome))
        return sent

    def allow_hedge(self, *arguments):
        allowed = self.fleet.allow_hedge(*arguments)
        self.denied += not allowed
        return allowed

    def run(self, until: float, inbox: ModelInbox | None = None) -> None:
        """Let time pass until ``until``, or until the task of ``inbox`` would be woken."""
        while self.events and self.events[0][0] <= until:
            at, _, sent, outcome = heapq.heappop(self.events)
            self.clock.current = Millis(max(at, self.now()))
            if sent.ended:
                continue
            sent.end(outcome)
            sent.call.inbox.put(sent.call)
            if inbox is not None and (len(inbox.ready) >= inbox.batch_size or inbox.failed):
                return
        self.clock.current = Millis(max(until, self.now()))


class OneHedge(World):
    """The rule before: each shard is hedged once, at an age that ignores the time that is left."""

    def second_answer_time(self, route):
        return None

    def allow_hedge(self, service, urgency=None):
        return (urgency is None or urgency.name != "SECOND") and super().allow_hedge(service)


def run_model(
    kinds: tuple[Kind, ...],
    trouble: Trouble,
    *,
    seed: int,
    world_type: type[World] = World,
    shards: int = 90,
    attempts: int = 3,
    duration: float = 14_000.0,
    interval: float = 120.0,
    slack: float = 184.0,
) -> Result:
    """Run queries of ``kinds`` in turn, at random times, and return how they fared."""
    world = world_type(shards, trouble, seed, slack)
    routes = [kind.route(world.services, attempts) for kind in kinds]
    assert all(route.kind is Idempotency.IDEMPOTENT for route in routes)
    world.apply_table(make_table(*routes))
    result = Result()
    while world.now() < START + duration:
        world.run(world.now() + world.rng.expovariate(1.0 / interval))
        arrived_at = Millis(world.now() - TRANSIT)
        index = result.queries % len(kinds)
        request = replace(
            make_request(caller_timeout=kinds[index].timeout),
            id=RequestId(f"q{result.queries}"),
            arrived_at=arrived_at,
            network_time=Millis(NETWORK),
        )
        target = routes[index].target
        reply = run_gather(request, routes[index], target, world, ModelInbox(world))
        in_time = world.now() - arrived_at <= kinds[index].objective - NETWORK
        result.queries += 1
        result.replies.append((world.now() - arrived_at, reply))
        if isinstance(reply, Merged):
            share = 1.0 - reply.missing / shards
            result.whole += in_time and not reply.missing
            result.benefit += share * share * (1.0 if in_time else 0.05)
    result.whole /= result.queries
    result.benefit /= result.queries
    result.repeat_ratio = sum(world.repeats.values()) / world.first_attempts
    result.most_repeats = max(world.repeats.values())
    result.denied = world.denied
    return result
