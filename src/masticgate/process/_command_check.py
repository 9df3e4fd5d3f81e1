"""``masticgate check``: validates the operators' text or a configuration of gateways."""

from pathlib import Path

import click

from .._ids import Revision
from ..version import Accepted, Configuration, Refused, accept_text, compare_configurations
from ._exit_codes import ExitCode
from ._gateway_check import is_gateway_configuration, read_file, report_configuration


@click.command()
@click.argument("text", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option(
    "--against",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="The text or configuration in force, to show what TEXT would change.",
)
@click.option(
    "--json", "as_json", is_flag=True, help="Print the findings as a list; for a configuration."
)
def check(text: Path, against: Path | None, as_json: bool) -> None:
    """Validate the operators' TEXT, or a configuration of gateways, by the rules of a host.

    Exit status of a text 0: hosts accept it; 5: hosts refuse it or the text given by --against.
    Exit status of a configuration 0: no faults; 1: faults; 2: a file cannot be read.
    """
    data = read_file(text)
    if is_gateway_configuration(data):
        report_configuration(text, data, against, as_json)
    if as_json:
        raise click.UsageError("--json is only for a configuration of gateways")
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
