"""One deployment's part of the demo: requests, a departure, a lost searcher, all audited."""

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
MS_PER_SECOND = 1000
SHOWN_SERVICES = 2


@dataclass
class DemoRun:
    """Runs requests against one fleet, prints each answer and keeps what was untrue."""

    fleet: Fleet
    deployment: Deployment
    problems: list[str] = field(default_factory=list)

    def run(self) -> list[str]:
        """Run all steps; return what was untrue."""
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
        """Search with each rank, each through another host."""
        self.search(0, "urgent", self.deployment.wide_service)
        self.search(1, "standard", self.deployment.history_service)
        self.search(2, "bulk", self.deployment.history_service)

    def search(self, host: int, rank: str, service: str) -> None:
        """Search once, print the answer and audit it."""
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
        """Search the department that left: it must be refused, and must truly not run."""
        before = events.count("received", self.deployment.leaving_department)
        reply = self.fleet.search(0, [self.deployment.leaving_department], remaining_ms=DEADLINE_MS)
        click.echo(
            f"  standard {self.deployment.leaving_department:15} via h1  "
            f"{describe_refusal(reply.body)}"
        )
        if reply.body["outcome"] != "not_run":
            self.report_problems("departure", ["a department that left was searched"])
        if events.count("received", self.deployment.leaving_department) != before:
            self.report_problems("departure", ["a department that left received new work"])

    def book_once(self) -> None:
        """Book with one ticket, and retry through another host: it must run once."""
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
        ran = [b for s in self.fleet.searchers().values() for b in s["bookings"]]
        if [booking["ticket"] for booking in ran] != [ticket]:
            self.report_problems("booking", [f"the booking ran {len(ran)} times"])

    def wait_until_in_force(self) -> None:
        """Wait until every host knows that the department leaves."""
        department = self.deployment.leaving_department
        self.fleet.wait_until(
            lambda: all(department in self.fleet.status(n)["leaving"] for n in range(HOSTS)),
            IN_FORCE_SECONDS,
            "the edited text is not in force on every host",
        )

    def needed_shards(self, service: str) -> dict[str, float]:
        """Return the weight of each shard that a search of ``service`` needs."""
        services = self.fleet.configuration.services
        shards: dict[str, dict[str, float]] = self.fleet.snapshots[0]["shards"]
        pending, seen = [service], {service}
        for name in pending:
            new = [needed for needed in services[name].depends_on if needed not in seen]
            seen.update(new)
            pending.extend(new)
        return {shard: weight for name in seen for shard, weight in shards.get(name, {}).items()}

    def logged_searches(self) -> list[LoggedSearch]:
        """Return all that the searchers say they searched."""
        return [
            LoggedSearch(entry["query"], entry["snapshot"], tuple(entry["shards"]))
            for searcher in self.fleet.searchers().values()
            for entry in searcher["log"]
        ]

    def report_problems(self, step: str, problems: list[str]) -> None:
        """Keep and print what was untrue."""
        for problem in problems:
            self.problems.append(f"{step}: {problem}")
            click.echo(f"    UNTRUE: {problem}")


def describe_answer(body: dict[str, Any]) -> str:
    """Return an answer's snapshot and coverage, and what was missing, for a person."""
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
    """Return the services that are missing for one reason, the first ones by name."""
    more = len(services) - SHOWN_SERVICES
    named = ", ".join(services[:SHOWN_SERVICES]) + (f" and {more} more" if more > 0 else "")
    return f"{named} ({reason})"


def describe_refusal(body: dict[str, Any]) -> str:
    """Return what did not happen, and why."""
    return str(body["message"])


def describe_booking(body: dict[str, Any]) -> str:
    """Return what became of a booking."""
    if body["outcome"] == "ran":
        return f"ran, at {body['result']['searcher']}"
    return describe_refusal(body)
