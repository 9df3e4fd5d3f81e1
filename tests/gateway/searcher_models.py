"""Seeded models of the searchers of one shard, and the policies that choose among them."""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from masticgate import Millis
from masticgate.process.gateway._choice import CROSS_DOMAIN_COST
from masticgate.process.gateway._replica import Replica
from masticgate.process.gateway.searchers import AnswerTime

from .fakes import make_entry

USUAL = 12.0
"""The usual latency in milliseconds, and the objective for one answer, as on deployment A."""

OBJECTIVE = 50.0

Latency = Callable[[float, random.Random], float]


def steady(factor: float = 1.0) -> Latency:
    return lambda now, rng: USUAL * factor * rng.uniform(0.8, 1.3)


def slow_between(*spans: tuple[float, float], factor: float = 9.0) -> Latency:
    """Return the latency of a searcher that is slow within ``spans``."""
    usual = steady()

    def latency(now: float, rng: random.Random) -> float:
        return usual(now, rng) * (factor if any(a <= now < b for a, b in spans) else 1.0)

    return latency


def pausing(every: float = 6_000.0, duration: float = 250.0, offset: float = 0.0) -> Latency:
    """Return the latency of a searcher that pauses; its answers wait for the end of the pause."""
    usual = steady()

    def latency(now: float, rng: random.Random) -> float:
        return max(0.0, duration - (now + offset) % every) + usual(now, rng)

    return latency


def noisy(now: float, rng: random.Random) -> float:
    """Return a latency that is 2.5 times as high for 15 % of the time, in steps of 600 ms."""
    is_high = random.Random(int(now / 600.0)).random() < 0.15
    return steady(2.5 if is_high else 1.0)(now, rng)


class FixedWeights:
    """Sends each call to the nearest searcher."""

    def choose(self, now: float, replicas: list[Replica]) -> list[int]:
        return [0]

    def record(self, index: int, replica: Replica, evidence: AnswerTime, now: float) -> None: ...


@dataclass
class SmoothedRatio(FixedWeights):
    """The estimate before the package: smoothed ratios, forgotten 2 s after the last answer."""

    ratios: dict[int, tuple[float, float]] = field(default_factory=dict)

    def choose(self, now: float, replicas: list[Replica]) -> list[int]:
        def cost(index: int) -> float:
            ratio, updated_at = self.ratios.get(index, (1.0, 0.0))
            ratio = ratio if now - updated_at <= 2_000.0 else min(ratio, 1.0)
            load = replicas[index].in_flight / replicas[index].entry.slots
            return ratio * (1.0 + load) + (CROSS_DOMAIN_COST if index else 0.0)

        return [min(range(len(replicas)), key=cost)]

    def record(self, index: int, replica: Replica, evidence: AnswerTime, now: float) -> None:
        ratio = self.ratios.get(index, (1.0, 0.0))[0]
        weight = 0.4 if evidence.ratio > ratio > 1.3 else 0.15
        self.ratios[index] = (ratio + weight * (min(evidence.ratio, 4.0) - ratio), now)


class Estimated(FixedWeights):
    """The cost by ``Speed``; a call to a doubtful searcher is also sent to the next best one."""

    def choose(self, now: float, replicas: list[Replica]) -> list[int]:
        order = sorted(
            range(len(replicas)),
            key=lambda i: replicas[i].cost(Millis(now)) + (CROSS_DOMAIN_COST if i else 0.0),
        )
        is_doubtful = replicas[order[0]].speed.is_doubtful(Millis(now))
        return order[:2] if is_doubtful else order[:1]

    def record(self, index: int, replica: Replica, evidence: AnswerTime, now: float) -> None:
        replica.speed.record(evidence, Millis(now))


@dataclass
class Result:
    """``in_time`` is the share of calls within the objective; ``away`` that of other domains."""

    in_time: float
    away: float
    hedges: int


def run_model(
    policy: FixedWeights,
    searchers: list[Latency],
    *,
    seed: int,
    duration: float = 40_000.0,
    interval: float = 600.0,
) -> Result:
    """Send calls at random times to one shard and return how they fared."""
    rng = random.Random(seed)
    replicas = [Replica(make_entry(f"s{i}"), 4, Millis(0.0)) for i in range(len(searchers))]
    answers: list[tuple[float, int, float]] = []
    now, in_time, away, hedges, calls = 0.0, 0, 0, 0, 0
    while now < duration:
        now += rng.expovariate(1.0 / interval)
        while answers and answers[0][0] <= now:
            at, index, sent_at = heapq.heappop(answers)
            replicas[index].in_flight -= 1
            latency = Millis(at - sent_at)
            evidence = AnswerTime(latency / USUAL, latency, Millis(sent_at))
            policy.record(index, replicas[index], evidence, at)
        chosen = policy.choose(now, replicas)
        latencies = []
        for index in chosen:
            latencies.append(searchers[index](now, rng))
            replicas[index].in_flight += 1
            replicas[index].speed.record_call(Millis(now))
            heapq.heappush(answers, (now + latencies[-1], index, now))
        calls += 1
        in_time += min(latencies) <= OBJECTIVE
        away += chosen[0] != 0
        hedges += len(chosen) - 1
    return Result(in_time / calls, away / calls, hedges)
