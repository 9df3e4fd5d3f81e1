"""A stand-in for the process in which requests run, without sockets, threads or real time.

A wait for replies moves a manual clock from one scheduled event to the next.
"""

import heapq
import itertools
from collections import deque
from collections.abc import Callable
from queue import Empty
from typing import Any

from masticgate import HostId, ManualClock, Millis, NotRun, Reason, Revision, Step
from masticgate.request import BookReply, Delivery
from masticgate.version import Accepted, SnapshotCatalogue, accept_text


class ScriptedInbox:
    """An inbox whose wait runs the events of ``runtime`` until a delivery arrives."""

    def __init__(self, runtime: "ScriptedRuntime") -> None:
        self.runtime = runtime
        self.deliveries: deque[Delivery] = deque()

    def put(self, item: Delivery) -> None:
        self.deliveries.append(item)

    def get(self, block: bool = True, timeout: float | None = None) -> Delivery:
        deadline = self.runtime.clock.now() + (timeout or 0.0) * 1000
        while not self.deliveries and self.runtime.run_next_event(deadline):
            pass
        if not self.deliveries:
            self.runtime.clock.current = Millis(max(deadline, self.runtime.clock.now()))
            raise Empty
        return self.deliveries.popleft()


class ScriptedRuntime:
    """A runtime for requests in which a function of the test replies for the owners of services.

    The owner of a service is the host that queues its requests and sends them to searchers.

    ``respond(host, message, deliver)`` is called for every message that is sent to ``host``, and
    ``deliver(delay, reply)`` sends a reply after ``delay`` milliseconds. A message to a host in
    ``unreachable`` is not sent. A reply to a booking that nobody waits for any more goes to
    ``record_late_outcome``. ``gone`` maps each service to the snapshots that its searchers lack.
    """

    def __init__(self, text: str, respond: Callable[[HostId, Any, Any], None]) -> None:
        outcome = accept_text(text, Revision(1))
        assert isinstance(outcome, Accepted)
        self.accepted_configuration = outcome.configuration
        self.respond = respond
        self.clock = ManualClock()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_numbers = itertools.count()
        self.catalogue = SnapshotCatalogue()
        self.gone: dict[Any, frozenset[Any]] = {}
        self.hosts = [HostId(f"h{n}") for n in range(3)]
        self.unreachable: set[HostId] = set()
        self.silent: set[HostId] = set()
        self.discarded_queries: set[str] = set()
        self.sent: list[tuple[HostId, Any]] = []
        self.own_tickets: set[str] = set()
        self.record_late_outcome: Callable[[Any, Any], None] = lambda query, outcome: None

    def run_next_event(self, deadline: float) -> bool:
        """Run the next event that is due by ``deadline``, and return whether there was one."""
        if not self.events or self.events[0][0] > deadline:
            return False
        due, _, action = heapq.heappop(self.events)
        self.clock.current = Millis(max(due, self.clock.now()))
        action()
        return True

    def schedule(self, delay: float, action: Callable[[], None]) -> None:
        """Run ``action`` after ``delay`` milliseconds of the manual clock."""
        heapq.heappush(self.events, (self.clock.now() + delay, next(self.event_numbers), action))

    def configuration(self):
        return self.accepted_configuration

    def choose_snapshot(self, services, tried):
        return self.catalogue.choose_snapshot(services, self.gone, tried)

    def record_version_gone(self, service, snapshot, held):
        published = {s.version for s in self.catalogue.snapshots}
        self.gone[service] = frozenset((published - set(held)) | {snapshot})

    def admit(self, rank, admission_number, scope):
        return None

    def owners(self, service):
        return [host for host in self.hosts if host not in self.unreachable]

    def open_inbox(self):
        return ScriptedInbox(self)

    def send(self, host, message, inbox):
        if host in self.unreachable:
            return NotRun(Reason.OWNER_LOST, Step.FORWARD, peer=host)
        self.sent.append((host, message))

        def deliver(delay: float, reply: Any) -> None:
            def put() -> None:
                if inbox is not None and reply.query not in self.discarded_queries:
                    inbox.put(Delivery(host, reply))
                elif isinstance(reply, BookReply):
                    self.record_late_outcome(reply.query, reply.outcome)

            self.schedule(delay, put)

        self.respond(host, message, deliver)
        return None

    def discard_replies(self, query):
        self.discarded_queries.add(query)

    def is_silent(self, host):
        return host in self.silent

    def allow_resends(self, parts):
        return True

    def probe(self, host):
        return None

    def is_own_ticket(self, ticket):
        return ticket in self.own_tickets
