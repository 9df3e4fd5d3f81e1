"""``masticgate serve``: runs an entry host, which answers callers and owns services."""

import signal
from pathlib import Path
from threading import Event
from typing import Any

import click

from ._exit_codes import ExitCode
from ._logs import start_logs
from ._server import Host
from ._settings import InvalidSettings, read_settings


@click.command()
@click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(path_type=Path),
    help="The settings file, JSON with comments.",
)
def serve(path: Path) -> None:
    """Run an entry host until SIGTERM or SIGINT, then stop it gracefully."""
    settings = read_settings(path)
    if isinstance(settings, InvalidSettings):
        for problem in settings.problems:
            click.echo(f"masticgate serve: {problem}", err=True)
        raise SystemExit(ExitCode.USAGE)
    stop_requested = Event()

    def request_stop(*_: Any) -> None:
        stop_requested.set()

    signal.signal(signal.SIGTERM, request_stop)
    signal.signal(signal.SIGINT, request_stop)
    start_logs(settings)
    try:
        host = Host(settings)
    except OSError as error:
        click.echo(f"masticgate serve: cannot listen: {error}", err=True)
        raise SystemExit(ExitCode.NOT_RUN) from error
    host.start()
    stop_requested.wait()
    host.stop()
