"""``masticgate book``: runs a booking at most once."""

import json
from typing import Any

import click

from .._clock import SystemClock
from .._ids import Address, Millis
from .._ranks import Rank
from ..connection import CallerClient, CallerReply, HttpFailure
from ._command_query import RANKS
from ._exit_codes import ExitCode

EXIT_CODES = {
    "ran": ExitCode.DONE,
    "not_run": ExitCode.NOT_RUN,
    "unknown": ExitCode.UNKNOWN,
}


@click.command()
@click.argument("hosts", nargs=-1, required=True, metavar="HOST...")
@click.option("--service", required=True, help="The service to book at.")
@click.option("--payload", default="{}", show_default=True, help="The booking, a JSON object.")
@click.option("--ticket", help="The ticket of an earlier call, to get its outcome or finish it.")
@click.option("--rank", type=RANKS, default=Rank.STANDARD.label, show_default=True)
@click.option("--remaining-ms", type=float, default=2000.0, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print the outcome as JSON.")
def book(
    hosts: tuple[str, ...],
    service: str,
    payload: str,
    ticket: str | None,
    rank: str,
    remaining_ms: float,
    as_json: bool,
) -> None:
    """Run a booking at most once, through the entry HOSTs (address:port) in turn.

    Keep the ticket that is printed: a later call with it never books a second time.
    Exit status 0: it ran; 1: it did not run; 3: unknown, call again with the ticket.
    """
    try:
        content = json.loads(payload)
    except ValueError as error:
        raise click.BadParameter(f"not JSON: {error}", param_hint="--payload") from error
    ticket = ticket or _mint_ticket(hosts)
    body = {
        "ticket": ticket,
        "service": service,
        "payload": content,
        "rank": rank,
        "remaining_ms": remaining_ms,
    }
    outcome = _submit(hosts, body)
    click.echo(json.dumps(outcome) if as_json else _describe(outcome))
    raise SystemExit(EXIT_CODES.get(str(outcome["outcome"]), ExitCode.UNKNOWN))


def _mint_ticket(hosts: tuple[str, ...]) -> str:
    problem = "no host answered"
    for host in hosts:
        client = CallerClient(Address(host))
        reply = client.mint_ticket()
        client.close()
        match reply:
            case CallerReply(body={"ticket": str(ticket)}):
                return ticket
            case CallerReply(body=body):
                problem = str(body.get("message", body))
            case HttpFailure(message=message):
                problem = message
    click.echo(f"masticgate book: no ticket: {problem}", err=True)
    raise SystemExit(ExitCode.NOT_RUN)


def _submit(hosts: tuple[str, ...], body: dict[str, Any]) -> dict[str, Any]:
    """Submit the booking to one host after another until its outcome is certain.

    Stop when the caller's time is up. Repeating the request is safe, since the hosts run a
    booking at most once for each ticket.
    """
    clock = SystemClock()
    deadline = Millis(clock.now() + body["remaining_ms"])
    last_reply: dict[str, Any] = {}
    for host in hosts:
        remaining = deadline - clock.now()
        if remaining <= 0:
            break
        client = CallerClient(Address(host))
        reply = client.book({**body, "remaining_ms": remaining})
        client.close()
        match reply:
            case CallerReply(body={"outcome": "ran" | "not_run"}):
                return {"ticket": body["ticket"], **reply.body}
            case CallerReply():
                last_reply = reply.body
            case HttpFailure(message=message):
                last_reply = last_reply or {"message": f"unknown: {message}"}
    return {"ticket": body["ticket"], **last_reply, "outcome": "unknown"}


def _describe(outcome: dict[str, Any]) -> str:
    lines = [f"ticket {outcome['ticket']}"]
    if outcome["outcome"] == "ran":
        lines.append(f"ran: {json.dumps(outcome['result'])}")
    else:
        lines.append(str(outcome.get("message", outcome["outcome"])))
    return "\n".join(lines)
