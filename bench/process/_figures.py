"""Computes the figures of each rank from the results of a run's arrivals.

An arrival is one search that a load process sends at a time drawn before the run. The rank of a
search is its priority: urgent, standard or bulk.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from bench.request import Result

MAX_LATENCY_US = 10_000_000
"""The longest latency that the histogram distinguishes; longer ones count as this."""

SIGNIFICANT_FIGURES = 3
PERCENTILES = (50.0, 99.0, 99.9)
US_PER_MS = 1000
RAN = "ran"
NOT_RUN = "not_run"
DEPARTED_REASONS = {"department_left"}
"""If only these reasons explain the missing shards, an answer counts as whole."""


@dataclass(frozen=True)
class RankFigures:
    """The figures of one rank, with times in milliseconds.

    ``p50`` to ``p999`` are percentiles of the latency of the searches that ran. ``capped_p99`` is
    the 99th percentile over all arrivals; one without a whole answer in time counts as the
    deadline.

    ``whole``, ``refused``, ``lost`` and ``late`` are shares of the arrivals: those with a whole
    answer in time, those that were refused, those that neither ran nor were refused, and those that
    were answered after the deadline. ``coverage`` is the mean share of the needed shards that were
    searched, with 0 for an arrival without an answer. ``offered``, ``whole_rate`` and
    ``finished_rate`` are the arrivals, the whole answers in time and all answers per second; the
    last counts each answer by its coverage. ``reasons`` counts why searches did not run or shards
    were missing.
    """

    rank: str
    offered: float
    p50: float
    p99: float
    p999: float
    capped_p99: float
    whole: float
    coverage: float
    refused: float
    lost: float
    late: float
    whole_rate: float
    finished_rate: float
    reasons: dict[str, int]


def percentiles_ms(latencies: Iterable[float]) -> list[float]:
    """Return the 50th, 99th and 99.9th percentile of ``latencies`` in milliseconds."""
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_FIGURES)
    for latency in latencies:
        histogram.record_value(min(MAX_LATENCY_US, max(1, int(latency * US_PER_MS))))
    return [
        round(histogram.get_value_at_percentile(percentile) / US_PER_MS, 1)
        for percentile in PERCENTILES
    ]


def is_whole(result: Result) -> bool:
    """Return whether an answer lacks nothing, or only shards of departments that left."""
    return result.whole or (result.outcome == RAN and set(result.missing) == DEPARTED_REASONS)


def rank_figures(
    rank: str, results: list[Result], seconds: float, deadline_ms: float
) -> RankFigures:
    """Return the figures of one rank from its results in a window of ``seconds``."""
    count = max(1, len(results))
    ran = [r for r in results if r.outcome == RAN]
    whole = [r for r in ran if is_whole(r) and r.latency_ms <= deadline_ms]
    in_time = {id(r) for r in whole}
    capped = [r.latency_ms if id(r) in in_time else deadline_ms for r in results]
    p50, p99, p999 = percentiles_ms(r.latency_ms for r in ran)
    total_coverage = sum(r.coverage for r in ran)
    return RankFigures(
        rank=rank,
        offered=round(len(results) / seconds, 1),
        p50=p50,
        p99=p99,
        p999=p999,
        capped_p99=percentiles_ms(capped)[1],
        whole=len(whole) / count,
        coverage=total_coverage / count,
        refused=sum(r.outcome == NOT_RUN for r in results) / count,
        lost=sum(r.outcome not in (RAN, NOT_RUN) for r in results) / count,
        late=sum(r.latency_ms > deadline_ms for r in ran) / count,
        whole_rate=round(len(whole) / seconds, 1),
        finished_rate=round(total_coverage / seconds, 1),
        reasons=dict(
            Counter(reason for r in results for reason in (r.reason, *r.missing) if reason)
        ),
    )


def lag_p99_ms(results: list[Result]) -> float:
    """Return the 99th percentile of the delay with which the load processes sent their requests.

    A large one means that the load processes, and not the fleet, were slow.
    """
    return percentiles_ms(r.lag_ms for r in results)[1]
