"""The gateway process: how it starts, reloads its settings and stops."""

import os
import threading
from collections import deque
from collections.abc import Callable
from threading import Event, Lock

from ..._clock import MILLIS_PER_SECOND, SystemClock
from ..._ids import Address, Millis
from ...connection.gateway import CallerSettings, Handler, HeaderNames, Listener, peer_header_names
from ...connection.gateway._closing_order import CallerState
from ...request.gateway import Inbox, LocalPage, Reply, Request
from ...version.gateway import Limits, PlatformSource, PublishedConfiguration
from .._allocator import limit_arenas
from ._catalogue_log import MAX_PLATFORM_AGE
from ._fleet import Fleet
from ._follower import Follower
from ._log import EventLog, LogEvent
from ._memory_budget import ProcessMemory
from ._memory_holders import MemoryHolders
from ._memory_keeper import MemoryKeeper
from ._memory_plan import plan_connections, plan_memory
from ._metrics import Metrics
from ._peers import Peers
from ._process_files import read_descriptor_limit
from ._process_reports import ProcessReport
from ._process_watch import ProcessWatch
from ._relay import RelayedSource
from ._service import GatewayService, GatewayView
from ._settings import GatewaySettings, HostCapacity
from ._stop_shares import ACCEPT_GRACE_SHARE, FINISH_GRACE_SHARE, REPLY_GRACE_SHARE
from ._supervisor import Supervisor
from ._task_pool import TaskPool
from ._uncaught import UncaughtErrors

MAX_PAGE_CONNECTIONS = 32
"""The maximum number of open connections to the readiness page, and to the metrics page."""

PEER_TRANSIT_TIME = Millis(9.0)
"""A query that another gateway forwards counts as received this long before it arrived.

This allows for the time that the query and its reply spend between the gateways, and for merging
twice.
"""

STACK_BYTES = 256 * 1024
"""The stack size of each thread."""

MAINTENANCE_INTERVAL = Millis(500.0)
"""The interval between two rounds of maintenance."""

PAUSE_THRESHOLD = Millis(1_500.0)
"""If two rounds of maintenance start further apart than this, the process was paused."""

ANSWERING_STATES = (CallerState.SERVING, CallerState.SENDING)
"""The states of a connection whose caller waits for an answer."""

STOP_POLL_INTERVAL_S = 0.05
"""The interval at which a stopping gateway checks for requests in progress."""


class Gateway:
    """One gateway process.

    A gateway accepts requests from callers and sends them to searchers, according to the
    configuration that the platform publishes. It is not ready before all of
    ``required_listeners`` listen. ``listen_failures`` has the failures of listeners that were
    logged. ``requested`` holds the settings that were last applied, with those that wait for a
    restart, and ``waiting_tasks`` the tasks that were not started yet. ``wait_for_stop`` is that of
    the :class:`Supervisor`.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        header_names: HeaderNames,
        source: PlatformSource,
        wait_for_stop: Callable[[float], bool] | None = None,
    ) -> None:
        limit_arenas()
        threading.stack_size(STACK_BYTES)
        self.settings = settings
        self.requested = settings
        self.clock = SystemClock()
        self.started_wall = round(self.clock.wall())
        self.log = EventLog(settings.host, self.clock)
        self.metrics = Metrics()
        self.process = ProcessWatch(settings.capacity, self.log, self.metrics, self._count_work)
        self.memory = ProcessMemory(plan_memory(settings.capacity, 0), self.log, self.metrics)
        self.memory_keeper = MemoryKeeper(self.memory, settings.capacity, self.metrics)
        self.receiving_turn = Lock()
        limits = plan_connections(settings.capacity, read_descriptor_limit())
        self.pool = TaskPool(limits.tasks, self.log, self.metrics)
        self.fleet = Fleet(
            settings, header_names, self.clock, self.pool, self.log, self.metrics, self.memory
        )
        self.platform = source
        self.source = RelayedSource(
            source,
            lambda: self.peers.find_relays(),
            self.clock,
            self.log,
            Event().wait,
            lambda: self.settings.is_seed,
            self._handle_early_table,
        )
        self.follower = Follower(
            self.source,
            self.fleet,
            self.clock,
            self.log,
            self.metrics,
            lambda: self.peers.handle_catalogue(),
            self.source.platform_age,
        )
        self.stopping = Event()
        self.stop_started_at: Millis | None = None
        self.finish_at: Millis | None = None
        self.peers = Peers(
            settings,
            self.fleet,
            self.clock,
            self.log,
            lambda: self.follower.table,
            self._has_listings,
            self._is_platform_reachable,
            self._report_process,
            self.follower.age,
        )
        self.service = GatewayService(
            self.fleet,
            self._view,
            self.log,
            self.metrics,
            self.peers,
            self.follower.catalogue,
        )
        self.ended = Event()
        self.supervisor = Supervisor(self.log, self.metrics, self.ended, wait_for_stop)
        self.was_ready = False
        self.readiness = self._listen(settings.readiness_address, header_names, self._ready_page)
        self.callers = self._listen(
            settings.caller_address,
            header_names,
            self.service.handle,
            max_connections=limits.callers,
        )
        self.listeners = [self.readiness, self.callers]
        self.peer_listener: Listener | None = None
        if settings.peer_address is not None:
            self.peer_listener = self._listen_to_peers(
                settings.peer_address, header_names, limits.peers
            )
            self.listeners.append(self.peer_listener)
        self.memory.holders = MemoryHolders(self.listeners, self.log, self.metrics)
        self.required_listeners = tuple(self.listeners)
        if settings.metrics_address is not None:
            self.listeners.append(
                self._listen(settings.metrics_address, header_names, self._metrics_page)
            )
        self.listen_failures: dict[Address, str] = {}
        self.waiting_tasks = deque([self.log.run, self.follower.run, self._run_maintenance])
        self.waiting_tasks.extend(listener.run for listener in self.listeners)

    def start(self) -> None:
        """Start the tasks that run until the process ends.

        Return without some of them if the process is told to stop meanwhile. If it raises an error,
        it can be called again.
        """
        UncaughtErrors(self.log, self.metrics).install()
        self.log.write(
            LogEvent.STARTED,
            domain=self.settings.domain,
            callers=self.settings.caller_address,
            **self._read_process(),
        )
        while self.waiting_tasks:
            self.supervisor.start(self.waiting_tasks[0])
            self.waiting_tasks.popleft()
        self.peers.start(self.supervisor)

    def reload(self, changed: GatewaySettings) -> None:
        """Apply changed settings, but for those that stay as they were at the start.

        The log and a gauge name the changes that wait for a restart. If it raises an error, it can
        be called again.
        """
        waiting = self.settings.find_fixed_changes(changed)
        settings = self.settings.apply(changed)
        if settings.store_address != self.settings.store_address:
            self.platform.change_address(settings.store_address)
        self.settings = settings
        self.fleet.apply_settings(settings)
        self.peers.apply_settings(settings, self.supervisor)
        self._apply_capacity(settings.capacity)
        self.metrics.set_gauge("settings_waiting", len(waiting))
        self.log.write(
            LogEvent.RELOADED,
            grace_ms=settings.grace,
            drain_ms=settings.drain,
            store=settings.store_address,
            seeds=settings.seeds,
            waits_for_restart=waiting,
        )
        self.requested = changed
        self.log.wake()

    def _apply_capacity(self, capacity: HostCapacity) -> None:
        """Limit memory, connections and tasks by the capacity of the host."""
        limits = plan_connections(capacity, read_descriptor_limit())
        self.memory_keeper.apply(capacity)
        self.pool.max_tasks = limits.tasks
        self.callers.limit_connections(limits.callers)
        if self.peer_listener is not None:
            self.peer_listener.limit_connections(limits.peers)

    def record_unusable_settings(self, detail: str) -> None:
        """Count and log changed settings that cannot be used; the present ones stay in force."""
        self.metrics.count("settings_unusable")
        self.log.write(LogEvent.SETTINGS_UNUSABLE, detail=detail)
        self.log.wake()

    def stop(self) -> None:
        """Finish the callers' requests in progress, then exit the process within the grace time.

        New connections are accepted for a part of that time, although the readiness page already
        reports that the gateway is not ready. Requests that cannot be finished are refused at once;
        those without an answer at ``finish_at`` are answered that their outcome is unknown. It does
        not wait for queries of other gateways. If it raises an error, it can be called again.
        """
        if self.stop_started_at is None:
            self.stop_started_at = self.clock.now()
        started_at = self.stop_started_at
        grace = self.settings.grace
        self.finish_at = Millis(started_at + grace * FINISH_GRACE_SHARE)
        self.stopping.set()
        self.peers.hurry()
        serving = self.callers.count(*ANSWERING_STATES)
        self.log.write(LogEvent.STOPPING, serving=serving, **self._read_process())
        self.log.wake()
        self._wait_until(Millis(started_at + grace * ACCEPT_GRACE_SHARE))
        self.callers.stop()
        self.callers.close_idle()
        self._wait_for_requests(self.finish_at)
        self.callers.end_requests()
        self._wait_for_requests(Millis(started_at + grace * REPLY_GRACE_SHARE))
        unfinished = self.callers.count(*ANSWERING_STATES)
        took_ms = round(self.clock.now() - started_at)
        self.log.write(LogEvent.STOPPED, cut=unfinished, took_ms=took_ms, **self._read_process())
        self.log.stop()
        # The log task needs a moment to write the last lines.
        self._wait_until(Millis(self.clock.now() + 100.0))
        os._exit(0)

    def _wait_for_requests(self, deadline: Millis) -> None:
        """Close idle connections and wait for the others until ``deadline``.

        A connection that was just accepted may have a request that its task has not read yet; it is
        served before its task ends.
        """
        while self.callers.count(*CallerState) and self.clock.now() < deadline:
            self.callers.close_idle()
            self._wait_until(Millis(self.clock.now() + STOP_POLL_INTERVAL_S * MILLIS_PER_SECOND))

    def _wait_until(self, deadline: Millis) -> None:
        Event().wait(max(0.0, deadline - self.clock.now()) / MILLIS_PER_SECOND)

    def _listen(
        self,
        address: Address,
        header_names: HeaderNames,
        handler: Handler,
        max_connections: int = MAX_PAGE_CONNECTIONS,
    ) -> Listener:
        settings = CallerSettings(
            handler,
            header_names,
            self.clock,
            self._limits,
            self.stopping.is_set,
            memory=self.memory,
            receiving_turn=self.receiving_turn,
        )
        return Listener(address, settings, self.pool, max_connections)

    def _listen_to_peers(
        self, address: Address, header_names: HeaderNames, max_connections: int
    ) -> Listener:
        settings = CallerSettings(
            self.service.handle_peer,
            peer_header_names(header_names),
            self.clock,
            Limits,
            self.stopping.is_set,
            callers_are_gateways=True,
            transit_time=PEER_TRANSIT_TIME,
            memory=self.memory,
            receiving_turn=self.receiving_turn,
        )
        return Listener(address, settings, self.pool, max_connections)

    def _handle_early_table(self, published: PublishedConfiguration) -> None:
        """Serve by a configuration whose listings are not read yet."""
        self.follower.apply_early(published)
        self.peers.update_gathering()

    def _is_platform_reachable(self) -> bool:
        return self.source.platform_age() <= MAX_PLATFORM_AGE

    def _limits(self) -> Limits:
        table = self.follower.table
        return table.limits if table is not None else Limits()

    def _view(self) -> GatewayView:
        return GatewayView(self.follower.table, self.follower.age(), self.finish_at)

    def _is_ready(self) -> bool:
        """Return whether this gateway accepts the requests of callers and other gateways."""
        listening = not any(listener.failure for listener in self.required_listeners)
        return self.follower.table is not None and listening and not self.stopping.is_set()

    def _has_listings(self) -> bool:
        """Return whether it also knows the searchers, without which it only forwards queries."""
        return self._is_ready() and self.follower.has_contents

    def _ready_page(self, request: Request, inbox: Inbox) -> Reply:
        return (
            LocalPage(200, b"ready\n") if self._has_listings() else LocalPage(503, b"not ready\n")
        )

    def _metrics_page(self, request: Request, inbox: Inbox) -> Reply:
        return LocalPage(200, self.metrics.render())

    def _read_process(self) -> dict[str, int]:
        return self.process.read_numbers(self.settings.capacity)

    def _report_process(self) -> ProcessReport:
        return ProcessReport(self.started_wall, self.stopping.is_set(), self.process.use)

    def _count_work(self) -> dict[str, int]:
        """Return the numbers of connections by what they do, and of their tasks, for log lines."""
        callers = {f"callers_{state.value}": self.callers.count(state) for state in CallerState}
        gateways = sum(
            listener.count(CallerState.READING, *ANSWERING_STATES)
            for listener in self.listeners
            if listener.settings.callers_are_gateways
        )
        return callers | {"gateways_busy": gateways, "tasks": self.pool.running}

    def _log_listen_failures(self) -> None:
        """Log each listener that cannot listen, and when it does at last."""
        for listener in self.listeners:
            known = self.listen_failures.get(listener.address, "")
            if listener.failure == known:
                continue
            if listener.failure:
                self.listen_failures[listener.address] = listener.failure
                self.log.write(
                    LogEvent.LISTEN_FAILED, address=listener.address, detail=listener.failure
                )
            else:
                del self.listen_failures[listener.address]
                self.log.write(LogEvent.LISTENING, address=listener.address)

    def _run_maintenance(self) -> None:
        """Do the regular maintenance until the process ends.

        Choose whether this gateway or a peer gathers queries (sends each to all its shards and
        merges the answers). Remove searchers that left, close expired connections, open those that
        are needed, update the gauges, and log a change of readiness, a listener that cannot listen
        or a pause of the process.
        """
        last_run_at = self.clock.now()
        while not self.ended.wait(MAINTENANCE_INTERVAL / MILLIS_PER_SECOND):
            now = self.clock.now()
            if now - last_run_at > PAUSE_THRESHOLD:
                self.log.write(LogEvent.PAUSED, for_ms=round(now - last_run_at))
            last_run_at = now
            self.process.update(self.settings.capacity)
            self.peers.log_previous_end()
            self.peers.update_gathering()
            self.fleet.maintain()
            self.memory_keeper.maintain()
            self._log_listen_failures()
            if self._has_listings() != self.was_ready:
                self.was_ready = self._has_listings()
                self.log.write(LogEvent.READY, ready=self.was_ready)
            self.metrics.set_gauge("beliefs_age_ms", self.follower.age())
            self.metrics.set_gauge("connections_limit", self.callers.max_connections)
            self.metrics.set_gauge("callers", self.callers.count(*CallerState))
            self.metrics.set_gauge("callers_turned_away", self.callers.rejected)
            self.metrics.set_gauge("listeners_failed", len(self.listen_failures))
            self.metrics.set_gauge("tasks", threading.active_count())
            self.log.wake()
