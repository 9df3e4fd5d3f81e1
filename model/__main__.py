"""Checks every specification and prints the results: ``python -m model``."""

import sys
import time

import click

from model._spec import Specification, Verdict, find_goal, find_violation, prove
from model.specifications import SPECIFICATIONS

EXPECTED = frozenset({Verdict.PROVED, Verdict.VIOLATED, Verdict.REACHED})


def check_specification(specification: Specification) -> bool:
    """Print the results of one specification and return whether all are as expected."""
    click.echo(f"\n{specification.name}: {specification.bounds}")
    proved = prove(specification)
    found = list(proved.values())
    for item in specification.properties:
        click.echo(f"  {item.name}: {proved[item.name].value}")
        click.echo(f"    requirement: {item.requirement}")
        for fault in item.faults:
            found.append(find_violation(specification, item, fault))
            click.echo(f"    seeded fault '{fault}': {found[-1].value}")
    for goal in specification.goals:
        found.append(find_goal(specification, goal))
        click.echo(f"  goal '{goal}': {found[-1].value}, at most {specification.max_steps} steps")
    return EXPECTED.issuperset(found)


def main() -> None:
    started = time.monotonic()
    good = [check_specification(specification) for specification in SPECIFICATIONS]
    click.echo(f"\n{sum(good)} of {len(good)} specifications hold", nl=False)
    click.echo(f", {time.monotonic() - started:.0f} s")
    sys.exit(0 if all(good) else 1)


if __name__ == "__main__":
    main()
