"""``masticgate check``: validates the operators' text, which configures a deployment."""

from pathlib import Path

import click

from .._ids import Revision
from ..version import Accepted, Configuration, Refused, accept_text, compare_configurations
from ._exit_codes import ExitCode


@click.command()
@click.argument("text", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option(
    "--against",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="The text in force, to show what TEXT would change.",
)
def check(text: Path, against: Path | None) -> None:
    """Validate the operators' TEXT by the same rules as a host.

    Exit status 0: hosts accept it; 5: hosts refuse it or the text given by --against.
    """
    configuration = _accept(text)
    services = sum(bool(s.searchers) for s in configuration.services.values())
    searchers = sum(len(s.searchers) for s in configuration.services.values())
    click.echo(
        f"{text}: accepted: {len(configuration.departments)} departments, {services} services, "
        f"{searchers} searchers"
    )
    for department in sorted(configuration.leaving):
        click.echo(f"leaving: {department}")
    if against is not None:
        changes = compare_configurations(_accept(against), configuration)
        for change in changes:
            click.echo(change)
        if not changes:
            click.echo("nothing would change")


def _accept(path: Path) -> Configuration:
    outcome = accept_text(path.read_text(encoding="utf-8", errors="replace"), Revision(1))
    match outcome:
        case Accepted(configuration=configuration):
            return configuration
        case Refused(problems=problems):
            for problem in problems:
                click.echo(f"{path}: refused: {problem}", err=True)
            raise SystemExit(ExitCode.REFUSED_TEXT)
