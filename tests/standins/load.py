"""Callers that search without a pause during a test, and the outcome of each request."""

import http.client
import json
import time
from dataclasses import dataclass
from threading import Event, Lock, Thread
from typing import Any

from tests.standins.fleet import CALL_TIMEOUT_SECONDS, Fleet

UNREACHABLE_WAIT_SECONDS = 0.05
"""How long a caller waits after a failed connect before it tries the next host."""


@dataclass(frozen=True)
class Outcome:
    """The outcome of one request: when it was sent, to which host, and the body of the response.

    ``sent_at`` is a time of the monotonic clock, and ``host`` an index into the fleet's hosts.
    ``kind`` is "whole" or "partial" for an answer, "unreachable" when the connect failed,
    "connection_lost" when no response arrived, and otherwise the reason in an error response.
    """

    sent_at: float
    host: int
    kind: str
    body: Any = None


class Load:
    """Threads that search without a pause, ``callers`` of them starting at each host.

    A caller goes to the next host when its host is unreachable, when the connection is lost, or
    when the host refuses a request because it is shutting down.
    """

    def __init__(self, fleet: Fleet, services: list[str], callers: int = 2) -> None:
        self.fleet = fleet
        self.services = services
        self.lock = Lock()
        self.outcomes: list[Outcome] = []
        self.stopped = Event()
        first_hosts = [index for index in range(len(fleet.hosts)) for _ in range(callers)]
        self.threads = [Thread(target=self.run, args=(index,)) for index in first_hosts]

    def __enter__(self) -> "Load":
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stopped.set()
        for thread in self.threads:
            thread.join()

    def run(self, host: int) -> None:
        """Search until the load is stopped, at ``host`` first."""
        while not self.stopped.is_set():
            host = self.search_repeatedly(host)

    def search_repeatedly(self, host: int) -> int:
        """Search on one connection until the caller has to leave its host; return the next host.

        The next host is the same one when the load was stopped.
        """
        connection = http.client.HTTPConnection(
            self.fleet.caller_addresses[host], timeout=CALL_TIMEOUT_SECONDS
        )
        try:
            connection.connect()
        except OSError:
            self.record_outcome(Outcome(time.monotonic(), host, "unreachable"))
            self.stopped.wait(UNREACHABLE_WAIT_SECONDS)
            return (host + 1) % len(self.fleet.hosts)
        while not self.stopped.is_set():
            outcome = self.search(connection, host)
            self.record_outcome(outcome)
            if outcome.kind in ("connection_lost", "shutting_down"):
                connection.close()
                return (host + 1) % len(self.fleet.hosts)
        connection.close()
        return host

    def search(self, connection: http.client.HTTPConnection, host: int) -> Outcome:
        """Send one search, and return its outcome."""
        fields = {"services": self.services, "text": "lamp", "remaining_ms": 1000.0}
        sent_at = time.monotonic()
        try:
            connection.request("POST", "/v1/search", json.dumps(fields))
            response = connection.getresponse()
            body = json.loads(response.read())
        except (OSError, http.client.HTTPException):
            return Outcome(sent_at, host, "connection_lost")
        if response.status == 200:
            return Outcome(sent_at, host, "whole" if body["whole"] else "partial", body)
        return Outcome(sent_at, host, body["reason"], body)

    def record_outcome(self, outcome: Outcome) -> None:
        with self.lock:
            self.outcomes.append(outcome)

    def missing_services(self) -> set[tuple[str, str, str, str]]:
        """Return the services that partial answers lack, each with reason, step and peer."""
        partial = [outcome for outcome in self.outcomes if outcome.kind == "partial"]
        missing = [entry for outcome in partial for entry in outcome.body["missing"]]
        return {(m["service"], m["reason"], m["step"], m["peer"]) for m in missing}

    def count_kinds(self, since: float = 0.0) -> dict[str, int]:
        """Return how often each kind occurred among requests sent at ``since`` or later."""
        with self.lock:
            kinds = [o.kind for o in self.outcomes if o.sent_at >= since]
        return {kind: kinds.count(kind) for kind in set(kinds)}
