"""Compares the results of the two routings in one run of the bench.

The routings are ``owner``, called new here, and the baseline ``naive``.
"""

from dataclasses import dataclass

from ._scenario import SATURATED
from ._trial import Trial


@dataclass(frozen=True)
class Row:
    """The figures of one rank in one scenario on one deployment, for both routings.

    ``p99`` and ``whole`` are ``capped_p99`` (in milliseconds) and ``whole`` of ``RankFigures``.
    ``kept`` is the finished work of all ranks in a flood, divided by what the same routing finished
    at saturation.

    A figure is ``None`` if that routing was not run. ``kept`` is also ``None`` in scenarios without
    a flood, and if the scenario at saturation was not run.
    """

    deployment: str
    scenario: str
    rank: str
    p99_new: float | None
    p99_naive: float | None
    whole_new: float | None
    whole_naive: float | None
    kept_new: float | None
    kept_naive: float | None


def compare(trials: list[Trial]) -> list[Row]:
    """Return one row for each deployment, scenario and rank in ``trials``."""
    trials_by_key = {(t.deployment, t.scenario, t.routing): t for t in trials}
    rows: list[Row] = []
    for deployment, scenario in dict.fromkeys((t.deployment, t.scenario) for t in trials):
        new = trials_by_key.get((deployment, scenario, "owner"))
        naive = trials_by_key.get((deployment, scenario, "naive"))
        for figures in (new or naive).ranks:
            rows.append(
                Row(
                    deployment,
                    scenario,
                    figures.rank,
                    *_both_routings(new, naive, figures.rank, "capped_p99"),
                    *_both_routings(new, naive, figures.rank, "whole"),
                    _work_kept(trials_by_key, new),
                    _work_kept(trials_by_key, naive),
                )
            )
    return rows


def _both_routings(
    new: Trial | None, naive: Trial | None, rank: str, name: str
) -> list[float | None]:
    return [_figure(new, rank, name), _figure(naive, rank, name)]


def _figure(trial: Trial | None, rank: str, name: str) -> float | None:
    if trial is None:
        return None
    return float(next(getattr(figures, name) for figures in trial.ranks if figures.rank == rank))


def _work_kept(
    trials_by_key: dict[tuple[str, str, str], Trial], trial: Trial | None
) -> float | None:
    if trial is None or not trial.flooded:
        return None
    saturated = trials_by_key.get((trial.deployment, SATURATED, trial.routing))
    return trial.finished_rate / saturated.finished_rate if saturated else None
