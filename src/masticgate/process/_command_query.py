"""``masticgate query``: runs a search."""

import json
from typing import Any

import click

from .._ids import Address
from .._ranks import Rank
from ..connection import CallerClient, CallerReply, HttpFailure
from ._exit_codes import ExitCode

RANKS = click.Choice([rank.label for rank in Rank])


@click.command()
@click.argument("hosts", nargs=-1, required=True, metavar="HOST...")
@click.option("--service", "services", multiple=True, required=True, help="A service to search.")
@click.option("--text", default="", help="The text to search for.")
@click.option("--rank", type=RANKS, default=Rank.STANDARD.label, show_default=True)
@click.option("--remaining-ms", type=float, default=1000.0, show_default=True)
@click.option("--minimum-coverage", type=click.FloatRange(0, 1), default=0.0, show_default=True)
@click.option("--limit", type=click.IntRange(1, 1000), default=10, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print the answer as JSON.")
def query(
    hosts: tuple[str, ...],
    services: tuple[str, ...],
    text: str,
    rank: str,
    remaining_ms: float,
    minimum_coverage: float,
    limit: int,
    as_json: bool,
) -> None:
    """Send a search to the entry HOSTs (address:port) in turn until one answers.

    Exit status 0: whole answer; 4: partial answer, which lists what is missing; 1: not run;
    6: no host answered.
    """
    body = {
        "services": list(services),
        "text": text,
        "rank": rank,
        "remaining_ms": remaining_ms,
        "minimum_coverage": minimum_coverage,
        "limit": limit,
    }
    reply = _search_first(hosts, body)
    if isinstance(reply, HttpFailure):
        click.echo(f"masticgate query: no host answered: {reply.message}", err=True)
        raise SystemExit(ExitCode.UNREACHABLE)
    click.echo(json.dumps(reply.body) if as_json else _describe(reply.body))
    raise SystemExit(_exit_code(reply))


def _search_first(hosts: tuple[str, ...], body: dict[str, Any]) -> CallerReply | HttpFailure:
    reply: CallerReply | HttpFailure = HttpFailure(False, "no host")
    for host in hosts:
        client = CallerClient(Address(host))
        reply = client.search(body)
        client.close()
        if isinstance(reply, CallerReply):
            return reply
    return reply


def _exit_code(reply: CallerReply) -> ExitCode:
    match reply.body:
        case {"outcome": "ran", "whole": True}:
            return ExitCode.DONE
        case {"outcome": "ran"}:
            return ExitCode.PARTIAL
        case _:
            return ExitCode.NOT_RUN


def _describe(body: dict[str, Any]) -> str:
    if body["outcome"] != "ran":
        return str(body.get("message", body))
    lines = [
        f"snapshot {body['snapshot']}  rank {body['rank']}  coverage {body['coverage']:.4f}"
        f"  {'whole' if body['whole'] else 'not whole'}"
    ]
    for hit in body["hits"]:
        lines.append(f"  {hit['score']:8.3f}  {hit['id']}  {json.dumps(hit['document'])}")
    for missing in body["missing"]:
        lines.append(f"  missing {missing['shard']}: {missing['message']}")
    return "\n".join(lines)
