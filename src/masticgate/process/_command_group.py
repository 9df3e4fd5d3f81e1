"""The ``masticgate`` command and its subcommands."""

import click

from .._version import VERSION
from ._command_book import book
from ._command_check import check
from ._command_explain import explain
from ._command_query import query
from ._command_serve import serve
from ._command_status import status
from ._command_timeline import timeline


@click.group()
@click.version_option(VERSION, prog_name="masticgate")
def main() -> None:
    """Query many sharded searchers as one."""


for command in (serve, check, query, book, status, timeline, explain):
    main.add_command(command)
