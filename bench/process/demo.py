"""The demo: ``python -m bench.process.demo`` runs requests against both deployments.

The exit status is 0 only if each request got the expected outcome, and each answer was whole or
said correctly what was missing.
"""

import sys

import click
from tests.standins.fleet import Fleet

from bench.version import DEPLOYMENTS, Deployment

from ._demo_run import HOSTS, DemoRun

SERVICE_MS = 12.0


def run_deployment(deployment: Deployment) -> list[str]:
    """Start a fleet of one deployment, run the demo on it and return the problems found."""
    fleet = Fleet(
        deployment.text, HOSTS, searcher_processes=2, behaviour={"service_ms": SERVICE_MS}
    )
    with fleet:
        services = [s for s in fleet.configuration.services.values() if s.searchers]
        searchers = sum(len(service.searchers) for service in services)
        click.echo(
            f"\n{deployment.name}: {len(services)} services, {searchers} searchers, "
            f"{HOSTS} entry hosts"
        )
        return DemoRun(fleet, deployment).run()


def main() -> int:
    """Run the demo and return the exit status."""
    problems = [p for deployment in DEPLOYMENTS.values() for p in run_deployment(deployment)]
    if problems:
        click.echo(f"\n{len(problems)} incorrect or failed answers")
        return 1
    click.echo("\nEvery answer was whole or said what was missing, as the searchers' logs confirm.")
    return 0


if __name__ == "__main__":
    sys.exit(main())
