"""The connections to searchers and gatherers: how they open, stay idle and are closed."""

from collections.abc import Callable, Iterable, Set
from itertools import count

from ..._clock import Clock
from ..._ids import ConnectionNumber, Millis, ServiceId
from ...connection.gateway import (
    HeaderNames,
    MemoryBudget,
    SearcherTask,
    SearcherTaskHandler,
    TaskStarter,
    peer_header_names,
)
from ...request.gateway import Call
from ...version.gateway import PEER_SERVICE
from ._log import EventLog, LogEvent
from ._replica import Replica, ReplicaState

DEFAULT_IDLE_TIMEOUT = Millis(4_000.0)
"""The idle timeout of a connection whose searcher does not state one."""

MAX_IDLE_TIMEOUT = Millis(10_000.0)
"""The upper bound on the idle timeout that a searcher states."""

IDLE_TIMEOUT_MARGIN = Millis(1_000.0)
"""An idle connection is closed this long before the searcher would close it.

The margin covers two intervals between calls of :meth:`Fleet.maintain`.
"""

STUCK_CALL_MARGIN = Millis(100.0)
"""A connection is closed once its call is past its deadline by more than this."""


class Connections:
    """All connections of a gateway to searchers and gatherers; the fleet's lock guards them.

    ``tasks`` maps the task of each connection to its searcher. The tasks report to ``handler``.
    To the searchers of ``unkept_services``, this gateway's share is below one connection: each is
    opened for one call and closed after it. ``released`` holds the tasks of such connections that
    no longer count for their searchers, although they have not ended yet.
    """

    def __init__(
        self,
        header_names: HeaderNames,
        handler: SearcherTaskHandler,
        clock: Clock,
        starter: TaskStarter,
        log: EventLog,
        memory: MemoryBudget,
    ) -> None:
        self.header_names = header_names
        self.peer_header_names = peer_header_names(header_names)
        self.handler = handler
        self.clock = clock
        self.starter = starter
        self.log = log
        self.tasks: dict[SearcherTask, Replica] = {}
        self.unkept_services: Set[ServiceId] = frozenset()
        self.released: set[SearcherTask] = set()
        self.numbers = count(1)
        self.memory = memory

    def open(self, replica: Replica, initial_call: Call | None = None) -> SearcherTask | None:
        """Start the task of a new connection; return ``None`` if no task can be started."""
        entry = replica.entry
        header_names = (
            self.peer_header_names if entry.service == PEER_SERVICE else self.header_names
        )
        number = ConnectionNumber(next(self.numbers))
        task = SearcherTask(
            entry.id,
            entry.address,
            self.handler,
            header_names,
            self.clock,
            initial_call,
            number,
            self.memory,
        )
        replica.connection_count += 1
        self.tasks[task] = replica
        refusal = self.starter.start(task.run)
        if refusal is None:
            return task
        self.tasks.pop(task).connection_count -= 1
        self.log.write(LogEvent.TASK_REFUSED, searcher=entry.id, detail=refusal.detail)
        return None

    def keep_idle(self, replica: Replica, task: SearcherTask) -> None:
        """Keep an idle connection, or close it if none is kept to its searcher.

        That is so if the searcher is gone or evacuated, or if this gateway's share is too small.
        """
        if replica.state is ReplicaState.GONE or replica.is_evacuated():
            task.close()
            return
        if replica.entry.service in self.unkept_services:
            self._release(replica, task)
            return
        task.idle_since = self.clock.now()
        replica.idle.append(task)

    def apply_unkept(self, services: Set[ServiceId], replicas: Iterable[Replica]) -> None:
        """Keep no idle connections to the searchers of ``services``, and close the present ones."""
        self.unkept_services = services
        for replica in replicas:
            if replica.entry.service in services:
                while replica.idle:
                    self._release(replica, replica.idle.pop())

    def remove(self, task: SearcherTask) -> Replica:
        """Remove a connection that has ended, and return its searcher."""
        replica = self.tasks.pop(task)
        if task in self.released:
            self.released.remove(task)
        else:
            replica.connection_count -= 1
        if task in replica.idle:
            replica.idle.remove(task)
        return replica

    def _release(self, replica: Replica, task: SearcherTask) -> None:
        """Close an idle connection, so that another one may be opened at once.

        Otherwise the only permitted connection would count as in use while it closes.
        """
        self.released.add(task)
        replica.connection_count -= 1
        task.close()

    def expire_idle(
        self, replica: Replica, now: Millis, is_in_use: Callable[[Replica, Millis], bool]
    ) -> None:
        """Close idle connections before their searcher does.

        Replace one if the searcher is active and ``is_in_use``, and has at most two connections.
        """
        for task in list(replica.idle):
            idle_timeout = (
                DEFAULT_IDLE_TIMEOUT
                if task.keep_alive_timeout is None
                else min(MAX_IDLE_TIMEOUT, task.keep_alive_timeout)
            )
            if now - task.idle_since < idle_timeout - IDLE_TIMEOUT_MARGIN:
                continue
            is_active = replica.state is ReplicaState.ACTIVE and not replica.is_withheld(now)
            if is_active and replica.connection_count <= 2 and is_in_use(replica, now):
                self.open(replica)
            replica.idle.remove(task)
            task.close()

    def close_stuck(self, now: Millis) -> None:
        """Close connections whose call is past its deadline."""
        for task in self.tasks:
            call = task.current_call
            if call is not None and call.started and now > call.deadline + STUCK_CALL_MARGIN:
                task.close()
