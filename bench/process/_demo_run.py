"""The demo on one deployment: requests, a lost searcher and a leaving department.

Each answer is printed and checked against the searchers' own logs.
"""

import time
from dataclasses import dataclass, field
from typing import Any

import click
from tests.standins.fleet import Fleet

from bench.request import LoggedSearch, audit_answer
from bench.version import Deployment

from ._events import Depart, EventRunner, LoseSearcher

HOSTS = 3
DEADLINE_MS = 230.0
IN_FORCE_SECONDS = 5.0
"""The timeout for an edited configuration text to come into force on every host."""

MS_PER_SECOND = 1000
SHOWN_SERVICES = 2
"""The number of missing services that a line names; more are only counted."""


@dataclass
class DemoRun:
    """Runs requests against one fleet, prints each answer and collects the problems found."""

    fleet: Fleet
    deployment: Deployment
    problems: list[str] = field(default_factory=list)

    def run(self) -> list[str]:
        """Run all steps and return the problems that were found."""
        events = EventRunner(self.fleet, self.deployment)
        self.search_each_rank()
        self.book_once()
        click.echo("  -- one searcher is lost")
        events.run(LoseSearcher())
        self.search_each_rank()
        click.echo(f"  -- the text is edited: {self.deployment.leaving_department} leaves")
        events.run(Depart())
        self.wait_until_in_force()
        self.search_each_rank()
        self.search_departed(events)
        return self.problems

    def search_each_rank(self) -> None:
        """Search once with each rank, the priority of a search, through a different host each."""
        self.search(0, "urgent", self.deployment.wide_service)
        self.search(1, "standard", self.deployment.history_service)
        self.search(2, "bulk", self.deployment.history_service)

    def search(self, host: int, rank: str, service: str) -> None:
        """Search once, print the answer and check it."""
        begin = time.monotonic()
        reply = self.fleet.search(host, [service], rank=rank, remaining_ms=DEADLINE_MS)
        latency = (time.monotonic() - begin) * MS_PER_SECOND
        prefix = f"  {rank:8} {service:15} via h{host + 1} {latency:6.1f} ms  "
        if reply.body["outcome"] != "ran":
            click.echo(prefix + describe_refusal(reply.body))
            self.report_problems(rank, [f"not answered: {reply.body['outcome']}"])
            return
        click.echo(prefix + describe_answer(reply.body))
        self.report_problems(
            rank, audit_answer(reply.body, self.needed_shards(service), self.logged_searches())
        )

    def search_departed(self, events: EventRunner) -> None:
        """Check that a search of the department that left is refused and reaches no searcher."""
        received_before = events.count("received", self.deployment.leaving_department)
        reply = self.fleet.search(0, [self.deployment.leaving_department], remaining_ms=DEADLINE_MS)
        click.echo(
            f"  standard {self.deployment.leaving_department:15} via h1  "
            f"{describe_refusal(reply.body)}"
        )
        if reply.body["outcome"] != "not_run":
            self.report_problems("departure", ["a department that left was searched"])
        if events.count("received", self.deployment.leaving_department) != received_before:
            self.report_problems("departure", ["a department that left received new work"])

    def book_once(self) -> None:
        """Check that a booking that is retried through another host runs once.

        Both attempts use the same ticket, which identifies the booking.
        """
        service = self.deployment.booking_service
        ticket = self.fleet.mint(0)
        for host in (0, 1):
            begin = time.monotonic()
            reply = self.fleet.book(host, ticket, service, rank="urgent")
            latency = (time.monotonic() - begin) * MS_PER_SECOND
            label = "first try" if host == 0 else "retry of the same ticket"
            click.echo(
                f"  booking  {service:15} via h{host + 1} {latency:6.1f} ms  {label}: "
                + (describe_booking(reply.body))
            )
            if reply.body["outcome"] != "ran":
                self.report_problems("booking", [f"{label} answered {reply.body['outcome']}"])
        ran = [b for s in self.fleet.searcher_reports().values() for b in s["bookings"]]
        if [booking["ticket"] for booking in ran] != [ticket]:
            self.report_problems("booking", [f"the booking ran {len(ran)} times"])

    def wait_until_in_force(self) -> None:
        """Wait until every host applies the text that marks the department as leaving."""
        department = self.deployment.leaving_department
        self.fleet.wait_until(
            lambda: all(department in self.fleet.status(n)["leaving"] for n in range(HOSTS)),
            IN_FORCE_SECONDS,
            "the edited text is not in force on every host",
        )

    def needed_shards(self, service: str) -> dict[str, float]:
        """Return the weight of each shard that a search of ``service`` needs.

        These are the shards of the service and of all services that it depends on.
        """
        services = self.fleet.configuration.services
        shards: dict[str, dict[str, float]] = self.fleet.snapshots[0]["shards"]
        pending, seen = [service], {service}
        for name in pending:
            new = [needed for needed in services[name].depends_on if needed not in seen]
            seen.update(new)
            pending.extend(new)
        return {shard: weight for name in seen for shard, weight in shards.get(name, {}).items()}

    def logged_searches(self) -> list[LoggedSearch]:
        """Return the searches in the logs of all searchers."""
        return [
            LoggedSearch(entry["query"], entry["snapshot"], tuple(entry["shards"]))
            for searcher in self.fleet.searcher_reports().values()
            for entry in searcher["search_log"]
        ]

    def report_problems(self, step: str, problems: list[str]) -> None:
        """Print ``problems`` of one step and add them to the list."""
        for problem in problems:
            self.problems.append(f"{step}: {problem}")
            click.echo(f"    INCORRECT: {problem}")


def describe_answer(body: dict[str, Any]) -> str:
    """Return a line of text with an answer's snapshot, its coverage and what was missing.

    The coverage is the share of the needed shards that were searched, by weight.
    """
    text = f"snapshot {body['snapshot']}  coverage {body['coverage']:7.2%}  "
    if body["whole"]:
        return text + f"whole, {len(body['hits'])} best hits"
    services: dict[str, list[str]] = {}
    for item in body["missing"]:
        names = services.setdefault(item["reason"], [])
        if item["service"] not in names:
            names.append(item["service"])
    return text + "missing: " + "; ".join(map(describe_missing, services, services.values()))


def describe_missing(reason: str, services: list[str]) -> str:
    """Return a text that names the first services missing for ``reason`` and counts the others."""
    more = len(services) - SHOWN_SERVICES
    named = ", ".join(services[:SHOWN_SERVICES]) + (f" and {more} more" if more > 0 else "")
    return f"{named} ({reason})"


def describe_refusal(body: dict[str, Any]) -> str:
    """Return the message of a response whose outcome is not "ran"."""
    return str(body["message"])


def describe_booking(body: dict[str, Any]) -> str:
    """Return a text with the outcome of a booking."""
    if body["outcome"] == "ran":
        return f"ran, at {body['result']['searcher']}"
    return describe_refusal(body)
