"""Runs trials: ``python -m bench.process.bench`` (``--help`` lists the choices)."""

import json
from pathlib import Path

import click
from tests.standins.fleet import ROOT

from bench.version import DEPLOYMENTS

from ._scenario import SCENARIOS
from ._table import HEAD, describe_machine, lines_of
from ._trial import Trial, run_trial

OUT = ROOT / "out" / "bench"


def write_json(path: Path, trials: list[Trial]) -> None:
    """Write trials as JSON."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps([trial.as_json() for trial in trials], indent=1))


@click.command()
@click.option("--deployment", "deployments", multiple=True, type=click.Choice(list(DEPLOYMENTS)))
@click.option("--scenario", "scenarios", multiple=True, type=click.Choice(list(SCENARIOS)))
@click.option("--routing", "routings", multiple=True, type=click.Choice(["owner", "naive"]))
@click.option("--seconds", default=7.0, help="Measured seconds of each trial.")
def bench(
    deployments: tuple[str, ...],
    scenarios: tuple[str, ...],
    routings: tuple[str, ...],
    seconds: float,
) -> None:
    """Run each chosen scenario on each deployment with each routing; all where none is chosen."""
    trials: list[Trial] = []
    click.echo(HEAD)
    for deployment in deployments or DEPLOYMENTS:
        for scenario in scenarios or SCENARIOS:
            for routing in routings or ("owner", "naive"):
                trial = run_trial(DEPLOYMENTS[deployment], SCENARIOS[scenario], routing, seconds)
                trials.append(trial)
                click.echo("\n".join([*lines_of(trial), describe_machine(trial)]))
                write_json(OUT / "bench.json", trials)


if __name__ == "__main__":
    bench()
