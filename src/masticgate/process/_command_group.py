"""The ``masticgate`` command and its subcommands."""

import click

from .._version import VERSION
from ._command_serve import serve


@click.group()
@click.version_option(VERSION, prog_name="masticgate")
def main() -> None:
    """Query many sharded searchers as one."""


main.add_command(serve)
