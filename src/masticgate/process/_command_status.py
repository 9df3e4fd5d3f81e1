"""``masticgate status``: shows the state of each host."""

import json
from typing import Any

import click

from .._ids import Address
from ..connection import CallerClient, CallerReply, HttpFailure
from ._exit_codes import ExitCode


@click.command()
@click.argument("hosts", nargs=-1, required=True, metavar="HOST...")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object per host.")
def status(hosts: tuple[str, ...], as_json: bool) -> None:
    """Show the state of each entry HOST (address:port): versions, peers, owned services, queues.

    Exit status 6: a host did not answer.
    """
    unreachable = False
    for host in hosts:
        client = CallerClient(Address(host))
        reply = client.status()
        client.close()
        match reply:
            case CallerReply(body=body):
                click.echo(json.dumps(body) if as_json else _describe(host, body))
            case HttpFailure(message=message):
                unreachable = True
                click.echo(f"{host}: no answer: {message}", err=True)
    raise SystemExit(ExitCode.UNREACHABLE if unreachable else ExitCode.DONE)


def _describe(address: str, body: dict[str, Any]) -> str:
    snapshots = ", ".join(map(str, body["snapshots"])) or "none"
    lines = [
        f"{body['host']} at {address}{'  stopping' if body['stopping'] else ''}",
        f"  text       revision {body['revision']} in force",
        f"  snapshots  {snapshots}",
        f"  leaving    {', '.join(body['leaving']) or 'no department'}",
        f"  owns       {', '.join(body['owned']) or 'no service'}",
    ]
    for problem in body["problems"]:
        lines.append(f"  refused    revision {body['refused_revision']}: {problem}")
    for peer in body["peers"]:
        reach = "reachable" if peer["reachable"] else "not reachable"
        lines.append(
            f"  peer       {peer['host']} ({peer['failure_domain']}) {peer['state']}, {reach}"
        )
    for pool in body["pools"]:
        lines.append(f"  queue      {pool['service']}: {_describe_pool(pool)}")
    return "\n".join(lines)


def _describe_pool(pool: dict[str, Any]) -> str:
    queued = ", ".join(f"{rank} {count}" for rank, count in pool["queued"].items())
    searchers = ", ".join(
        f"{name} {searcher['state']} {searcher['in_flight']} in flight"
        for name, searcher in pool["searchers"].items()
    )
    return f"{queued}; {searchers}"
