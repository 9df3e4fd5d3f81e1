"""Prints trials as lines of one table, a line a rank."""

from ._trial import Trial

HEAD = (
    f"{'deployment':10} {'scenario':14} {'routing':7} {'rank':8} {'offered/s':>9} {'p50':>6} "
    f"{'p99':>6} {'p99.9':>6} {'cap p99':>7} {'whole':>6} {'cover':>6} {'refus':>6} {'lost':>6} "
    f"{'whole/s':>7} {'done/s':>6} {'extra':>6} {'spare%':>6} {'lag99':>6}"
)


def lines_of(trial: Trial) -> list[str]:
    """Return one line for each rank."""
    lines = []
    for rank in trial.ranks:
        of_spare = f"{trial.flooded_of_spare:6.1%}" if rank.rank == trial.flooded else " " * 6
        lines.append(
            f"{trial.deployment:10} {trial.scenario:14} {trial.routing:7} {rank.rank:8} "
            f"{rank.offered:9.1f} {rank.p50:6.1f} {rank.p99:6.1f} {rank.p999:6.1f} "
            f"{rank.capped_p99:7.1f} {rank.whole:6.1%} {rank.coverage:6.1%} {rank.refused:6.1%} "
            f"{rank.lost:6.1%} {rank.whole_rate:7.1f} {rank.finished_rate:6.1f} "
            f"{trial.extra_load:6.1%} {of_spare} {trial.lag_p99_ms:6.1f}"
        )
    return lines


def describe_machine(trial: Trial) -> str:
    """Return a line that says how busy the machine was, for the reader to judge."""
    cores = ", ".join(f"{kind} {used:.2f}" for kind, used in trial.cores.items())
    return (
        f"  saturation {trial.saturation}/s, finished {trial.finished_rate}/s, "
        f"spare {trial.spare}/s; busiest process in cores: {cores}"
    )
