"""Figures of one run, by rank, from the results of its arrivals."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from bench.request import Result

MAX_LATENCY_US = 10_000_000
SIGNIFICANT_FIGURES = 3
PERCENTILES = (50.0, 99.0, 99.9)
US_PER_MS = 1000
RAN = "ran"
NOT_RUN = "not_run"
DEPARTED_REASONS = {"department_left"}


@dataclass(frozen=True)
class RankFigures:
    """One rank's figures; times in milliseconds, rates a second, shares of its arrivals.

    ``p50`` to ``p999`` are of answers that ran. ``capped_p99`` is of all arrivals, where all that
    is not a whole answer counts as the deadline.
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
    """Return the p50, p99 and p99.9 of ``latencies``."""
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_FIGURES)
    for latency in latencies:
        histogram.record_value(min(MAX_LATENCY_US, max(1, int(latency * US_PER_MS))))
    return [round(histogram.get_value_at_percentile(share) / US_PER_MS, 1) for share in PERCENTILES]


def is_whole(result: Result) -> bool:
    """Tell whether an answer lacks nothing but what departments took with them."""
    return result.whole or (result.outcome == RAN and set(result.missing) == DEPARTED_REASONS)


def rank_figures(
    rank: str, results: list[Result], seconds: float, deadline_ms: float
) -> RankFigures:
    """Return the figures of one rank over a window of ``seconds``."""
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
    """Return the 99th percentile of how late the load processes themselves sent."""
    return percentiles_ms(r.lag_ms for r in results)[1]
