"""One trial: a scenario run against one deployment with one routing."""

import time
from dataclasses import asdict, dataclass
from typing import Any

from tests.standins.fleet import Fleet

from bench.request import Result
from bench.version import SEARCHER_BEHAVIOUR, Deployment

from ._cpu import busiest, cpu_by_process
from ._events import EventRunner
from ._figures import NOT_RUN, RankFigures, lag_p99_ms, rank_figures
from ._load import DEADLINE_MS, Load
from ._scenario import Scenario

WARM_UP_SECONDS = 2.0
"""Load before the measured window, in which connections open and estimates settle."""

EVENT_AFTER_SECONDS = 1.0
"""The time from the end of the warm-up to the event."""

SEARCHER_PROCESSES = 3


@dataclass(frozen=True)
class Trial:
    """The figures of one trial.

    ``saturation`` is the rate of wide searches per second that the searchers can finish. The rank
    ``flooded`` is the one whose load exceeds it, or empty; ``spare`` is what the other ranks leave
    of it, counted by the searches that they finished. ``flooded_of_spare`` is the rate of whole
    answers of the flooded rank divided by ``spare``. ``extra_load`` is the number of sub-queries
    that the searchers started divided by the number needed, minus one. ``work_after_leaving`` is
    the number of sub-queries that the searchers of a leaving department started after the time from
    which they must receive no new work, or ``None`` if no department left. ``cores`` gives the use
    of the busiest process of each kind, and what the trial and all other programs used of the
    machine.
    """

    deployment: str
    scenario: str
    routing: str
    seconds: float
    saturation: float
    ranks: list[RankFigures]
    finished_rate: float
    extra_load: float
    flooded: str
    spare: float
    flooded_of_spare: float
    work_after_leaving: int | None
    lag_p99_ms: float
    cores: dict[str, float]

    def as_json(self) -> dict[str, Any]:
        """Return all figures as JSON values."""
        return asdict(self)


@dataclass(frozen=True)
class Observed:
    """The measurements of one run of load.

    ``results`` has the result of every arrival, which is one search sent by a load process.
    ``started`` is the number of sub-queries started by the searchers that the wide search needs.
    The other fields are those of :class:`Trial`.
    """

    results: list[Result]
    started: int
    work_after_leaving: int | None
    cores: dict[str, float]


def run_trial(deployment: Deployment, scenario: Scenario, routing: str, seconds: float) -> Trial:
    """Start a fleet of the deployment's real size, load it, and return the figures.

    The figures of the ranks cover the ``seconds`` after the warm-up.
    """
    fleet = Fleet(
        deployment.text,
        deployment.hosts,
        routing=routing,
        searcher_processes=SEARCHER_PROCESSES,
        behaviour=SEARCHER_BEHAVIOUR,
    )
    with fleet:
        if scenario.behaviour:
            fleet.set_behaviour([], **scenario.behaviour)
        observed = observe(fleet, deployment, scenario, seconds)
    return evaluate(deployment, scenario, routing, seconds, observed)


def observe(fleet: Fleet, deployment: Deployment, scenario: Scenario, seconds: float) -> Observed:
    """Load a running fleet, make the event of the scenario happen and return what was measured."""
    rates = {rank: share * deployment.saturation for rank, share in scenario.rates.items()}
    services = [deployment.history_service if scenario.departs else deployment.wide_service]
    load = Load(fleet, services, rates, WARM_UP_SECONDS + seconds)
    events = EventRunner(fleet, deployment)
    started_before = events.count("started", deployment.wide_service)
    begin = load.start()
    try:
        sleep_until(begin)
        cpu_before = cpu_by_process(fleet, load)
        if scenario.event is not None:
            sleep_until(begin + WARM_UP_SECONDS + EVENT_AFTER_SECONDS)
            events.run(scenario.event)
        sleep_until(begin + load.seconds)
        cores = busiest(cpu_before, cpu_by_process(fleet, load), load.seconds)
        results = load.finish()
    finally:
        load.stop()
    if scenario.event is not None:
        events.finish(scenario.event)
    started = events.count("started", deployment.wide_service) - started_before
    return Observed(results, started, events.work_after_leaving, cores)


def evaluate(
    deployment: Deployment, scenario: Scenario, routing: str, seconds: float, observed: Observed
) -> Trial:
    """Compute the figures of a trial from its measurements."""
    window = [r for r in observed.results if r.at >= WARM_UP_SECONDS]
    ranks = [
        rank_figures(rank, [r for r in window if r.rank == rank], seconds, DEADLINE_MS)
        for rank in scenario.rates
    ]
    needed = deployment.fan_out * sum(r.outcome != NOT_RUN for r in observed.results)
    others = sum(r.finished_rate for r in ranks if r.rank != scenario.flooded)
    spare = max(0.0, deployment.saturation - others)
    whole = sum(r.whole_rate for r in ranks if r.rank == scenario.flooded)
    return Trial(
        deployment=deployment.name,
        scenario=scenario.name,
        routing=routing,
        seconds=seconds,
        saturation=round(deployment.saturation, 1),
        ranks=ranks,
        finished_rate=round(sum(r.finished_rate for r in ranks), 1),
        extra_load=observed.started / max(1, needed) - 1,
        flooded=scenario.flooded,
        spare=round(spare, 1),
        flooded_of_spare=whole / spare if spare else 0.0,
        work_after_leaving=observed.work_after_leaving,
        lag_p99_ms=lag_p99_ms(window),
        cores=observed.cores,
    )


def sleep_until(moment: float) -> None:
    """Sleep until a point on the monotonic clock."""
    time.sleep(max(0.0, moment - time.monotonic()))
