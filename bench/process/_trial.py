"""One trial: a scenario run against one deployment with one routing."""

import time
from dataclasses import asdict, dataclass
from typing import Any

from tests.standins.fleet import Fleet

from bench.version import SERVICE_MS, Deployment

from ._cpu import cpu_seconds
from ._figures import NOT_RUN, RankFigures, lag_p99_ms, rank_figures
from ._load import DEADLINE_MS, Load
from ._scenario import Scenario

WARM_UP_SECONDS = 2.0
"""Load before the window that is measured: connections open, estimates settle."""

SEARCHER_PROCESSES = 3


@dataclass(frozen=True)
class Trial:
    """What one trial measured.

    ``extra_load`` is searches started over searches needed, less one. ``spare`` is the saturation
    less what the ranks that are not flooded finished. ``cores`` gives the busiest process of each
    kind, in cores.
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
    lag_p99_ms: float
    cores: dict[str, float]

    def as_json(self) -> dict[str, Any]:
        """Return all figures as plain values."""
        return asdict(self)


def start_fleet(deployment: Deployment, routing: str) -> Fleet:
    """Return a fleet of the deployment's real size, not started yet."""
    return Fleet(
        deployment.text,
        deployment.hosts,
        routing=routing,
        searcher_processes=SEARCHER_PROCESSES,
        knobs={"service_ms": SERVICE_MS},
    )


def run_trial(deployment: Deployment, scenario: Scenario, routing: str, seconds: float) -> Trial:
    """Start a fleet, load it for ``seconds`` after the warm-up, and measure."""
    with start_fleet(deployment, routing) as fleet:
        if scenario.knobs:
            fleet.turn([], **scenario.knobs)
        rates = {r: share * deployment.saturation for r, share in scenario.rates.items()}
        load = Load(fleet, [deployment.wide], rates, WARM_UP_SECONDS + seconds)
        started = count_started(fleet, deployment)
        begin = load.start()
        try:
            time.sleep(max(0.0, begin - time.monotonic()))
            used = cpu_by_process(fleet, load)
            time.sleep(WARM_UP_SECONDS + seconds)
            cores = busiest(used, cpu_by_process(fleet, load), WARM_UP_SECONDS + seconds)
            results = load.finish()
        finally:
            load.stop()
        started = count_started(fleet, deployment) - started
    window = [r for r in results if r.at >= WARM_UP_SECONDS]
    ranks = [
        rank_figures(rank, [r for r in window if r.rank == rank], seconds, DEADLINE_MS)
        for rank in scenario.rates
    ]
    needed = deployment.fan_out * sum(r.outcome != NOT_RUN for r in results)
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
        extra_load=started / max(1, needed) - 1,
        flooded=scenario.flooded,
        spare=round(spare, 1),
        flooded_of_spare=whole / spare if spare else 0.0,
        lag_p99_ms=lag_p99_ms(window),
        cores=cores,
    )


def count_started(fleet: Fleet, deployment: Deployment) -> int:
    """Return how many searches the wide group's searchers have started."""
    return sum(
        searcher["counts"].get("started", 0)
        for searcher in fleet.searchers(logs=False).values()
        if searcher["service"].startswith(deployment.wide)
    )


def cpu_by_process(fleet: Fleet, load: Load) -> dict[str, float]:
    """Return the processor seconds of each process so far."""
    used = {name: cpu_seconds(process.pid) for name, process in fleet.processes.items()}
    for number, process in enumerate(load.processes):
        used[f"load-{number}"] = cpu_seconds(process.pid)
    return used


def busiest(before: dict[str, float], after: dict[str, float], seconds: float) -> dict[str, float]:
    """Return the largest use of each kind of process, in cores."""
    kinds = {"host": "h", "searchers": "searchers", "platform": "platform", "load": "load"}
    return {
        kind: round(
            max((after[n] - before[n]) / seconds for n in before if n.startswith(prefix)), 2
        )
        for kind, prefix in kinds.items()
    }
