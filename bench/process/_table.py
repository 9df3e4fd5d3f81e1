"""Formats trials as a table with one line for each rank, and the comparison as another."""

from ._comparison import Row
from ._trial import Trial

HEAD = (
    f"{'deployment':10} {'scenario':14} {'routing':7} {'rank':8} {'offered/s':>9} {'p50':>6} "
    f"{'p99':>6} {'p99.9':>6} {'cap p99':>7} {'whole':>6} {'cover':>6} {'refus':>6} {'lost':>6} "
    f"{'whole/s':>7} {'done/s':>6} {'extra':>6} {'spare%':>6} {'lag99':>6}"
)
COMPARISON_HEAD = (
    f"{'deployment':10} {'scenario':14} {'rank':8} {'p99 new':>8} {'naive':>8} "
    f"{'whole new':>9} {'naive':>9} {'work kept':>9} {'naive':>9}"
)


def trial_lines(trial: Trial) -> list[str]:
    """Return one line for each rank of a trial, and one that says how busy the machine was."""
    return [*(_rank_line(trial, index) for index in range(len(trial.ranks))), _machine_line(trial)]


def comparison_lines(rows: list[Row]) -> list[str]:
    """Return one line for each row, with a ``-`` for each figure that was not measured."""
    return [
        f"{row.deployment:10} {row.scenario:14} {row.rank:8} {_ms(row.p99_new)} "
        f"{_ms(row.p99_naive)} {_share(row.whole_new)} {_share(row.whole_naive)} "
        f"{_share(row.kept_new)} {_share(row.kept_naive)}"
        for row in rows
    ]


def _rank_line(trial: Trial, index: int) -> str:
    rank = trial.ranks[index]
    of_spare = f"{trial.flooded_of_spare:6.1%}" if rank.rank == trial.flooded else " " * 6
    return (
        f"{trial.deployment:10} {trial.scenario:14} {trial.routing:7} {rank.rank:8} "
        f"{rank.offered:9.1f} {rank.p50:6.1f} {rank.p99:6.1f} {rank.p999:6.1f} "
        f"{rank.capped_p99:7.1f} {rank.whole:6.1%} {rank.coverage:6.1%} {rank.refused:6.1%} "
        f"{rank.lost:6.1%} {rank.whole_rate:7.1f} {rank.finished_rate:6.1f} "
        f"{trial.extra_load:6.1%} {of_spare} {trial.lag_p99_ms:6.1f}"
    )


def _machine_line(trial: Trial) -> str:
    cores = ", ".join(f"{kind} {used:.2f}" for kind, used in trial.cores.items())
    started = trial.work_after_leaving
    return (
        f"  saturation {trial.saturation}/s, finished {trial.finished_rate}/s, "
        f"spare {trial.spare}/s; busiest process in cores: {cores}"
        + ("" if started is None else f"; searches started after leaving: {started}")
    )


def _ms(value: float | None) -> str:
    return f"{'-':>8}" if value is None else f"{value:8.1f}"


def _share(value: float | None) -> str:
    return f"{'-':>9}" if value is None else f"{value:9.1%}"
