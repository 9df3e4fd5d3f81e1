"""The bench: ``python -m bench.process.bench`` runs trials (``--help`` lists the choices)."""

import json
import time
from dataclasses import asdict
from pathlib import Path

import click
from tests.standins.fleet import ROOT

from bench.version import DEPLOYMENTS

from ._comparison import compare
from ._plots import draw
from ._scenario import QUICK, SCENARIOS
from ._table import COMPARISON_HEAD, HEAD, comparison_lines, trial_lines
from ._trial import Trial, run_trial

OUT = ROOT / "out" / "bench"
ROUTINGS = ("owner", "naive")


def write_json(path: Path, trials: list[Trial]) -> None:
    """Write all trials and their comparison to a file as JSON."""
    path.parent.mkdir(parents=True, exist_ok=True)
    comparison = [asdict(row) for row in compare(trials)]
    value = {"trials": [trial.as_json() for trial in trials], "comparison": comparison}
    path.write_text(json.dumps(value, indent=1))


@click.command()
@click.option("--deployment", "deployments", multiple=True, type=click.Choice(list(DEPLOYMENTS)))
@click.option("--scenario", "scenarios", multiple=True, type=click.Choice(list(SCENARIOS)))
@click.option("--routing", "routings", multiple=True, type=click.Choice(ROUTINGS))
@click.option("--seconds", default=6.0, help="Measured seconds of each trial.")
@click.option("--rest", default=0.0, help="Seconds of rest before each trial.")
@click.option("--quick", is_flag=True, help="Only a few scenarios, on one deployment.")
def bench(
    deployments: tuple[str, ...],
    scenarios: tuple[str, ...],
    routings: tuple[str, ...],
    seconds: float,
    rest: float,
    quick: bool,
) -> None:
    """Run each chosen scenario on each chosen deployment with each chosen routing.

    Without a choice, all are run. ``owner`` is the ordinary routing, called new in the comparison,
    and ``naive`` the baseline. A rest before each trial helps on a virtual machine that is slowed
    down after a busy time. The slowdown is shown as the stolen cores of a trial.
    """
    trials: list[Trial] = []
    click.echo(HEAD)
    for deployment in deployments or (["kerala"] if quick else DEPLOYMENTS):
        for scenario in scenarios or (QUICK if quick else SCENARIOS):
            for routing in routings or ROUTINGS:
                time.sleep(rest)
                trial = run_trial(DEPLOYMENTS[deployment], SCENARIOS[scenario], routing, seconds)
                trials.append(trial)
                click.echo("\n".join(trial_lines(trial)))
                write_json(OUT / "bench.json", trials)
    rows = compare(trials)
    click.echo("\n".join(["", COMPARISON_HEAD, *comparison_lines(rows)]))
    for path in draw(rows, OUT):
        click.echo(f"wrote {path.relative_to(ROOT)}")


if __name__ == "__main__":
    bench()
