"""A tier without sockets, threads or real time: waits move a manual clock from event to event."""

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
    def __init__(self, runtime: "ScriptedRuntime") -> None:
        self.runtime = runtime
        self.arrived: deque[Delivery] = deque()

    def put(self, item: Delivery) -> None:
        self.arrived.append(item)

    def get(self, block: bool = True, timeout: float | None = None) -> Delivery:
        end = self.runtime.clock.now() + (timeout or 0.0) * 1000
        while not self.arrived and self.runtime.run_next(end):
            pass
        if not self.arrived:
            self.runtime.clock.current = Millis(max(end, self.runtime.clock.now()))
            raise Empty
        return self.arrived.popleft()


class ScriptedRuntime:
    """``react(host, message, deliver)`` plays the owners; ``deliver(delay, reply)`` answers."""

    def __init__(self, text: str, react: Callable[[HostId, Any, Any], None]) -> None:
        accepted = accept_text(text, Revision(1))
        assert isinstance(accepted, Accepted)
        self.accepted = accepted.configuration
        self.react = react
        self.clock = ManualClock()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.catalogue = SnapshotCatalogue()
        self.gone: dict[Any, frozenset[Any]] = {}
        self.hosts = [HostId(f"h{n}") for n in range(3)]
        self.closed: set[HostId] = set()
        self.silent: set[HostId] = set()
        self.forgotten: set[str] = set()
        self.sent: list[tuple[HostId, Any]] = []
        self.minted: set[str] = set()
        self.learn: Callable[[Any, Any], None] = lambda query, outcome: None

    def run_next(self, end: float) -> bool:
        if not self.events or self.events[0][0] > end:
            return False
        when, _, action = heapq.heappop(self.events)
        self.clock.current = Millis(max(when, self.clock.now()))
        action()
        return True

    def at(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.clock.now() + delay, next(self.order), action))

    def configuration(self):
        return self.accepted

    def pin_snapshot(self, services, tried):
        return self.catalogue.choose_snapshot(services, self.gone, tried)

    def record_version_gone(self, service, snapshot, held):
        published = {s.version for s in self.catalogue.snapshots}
        self.gone[service] = frozenset((published - set(held)) | {snapshot})

    def admit(self, rank, number, scope):
        return None

    def owners(self, service):
        return [host for host in self.hosts if host not in self.closed]

    def open_inbox(self):
        return ScriptedInbox(self)

    def send(self, host, message, inbox):
        if host in self.closed:
            return NotRun(Reason.OWNER_LOST, Step.FORWARD, peer=host)
        self.sent.append((host, message))

        def deliver(delay: float, reply: Any) -> None:
            def put() -> None:
                if inbox is not None and reply.query not in self.forgotten:
                    inbox.put(Delivery(host, reply))
                elif isinstance(reply, BookReply):
                    self.learn(reply.query, reply.outcome)

            self.at(delay, put)

        self.react(host, message, deliver)
        return None

    def discard_replies(self, query):
        self.forgotten.add(query)

    def is_silent(self, host):
        return host in self.silent

    def allow_repeats(self, parts):
        return True

    def probe(self, host):
        return None

    def is_own_ticket(self, ticket):
        return ticket in self.minted
