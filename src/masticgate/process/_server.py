"""An entry host: builds the parts of its process, starts its tasks and stops them."""

import time
from collections.abc import Callable, Sequence
from concurrent.futures import Future, ThreadPoolExecutor, wait
from threading import Event

from .._clock import MILLIS_PER_SECOND, Clock, SystemClock, remaining_seconds
from .._ids import Address, FailureDomainId, HostId, Incarnation, Millis
from .._ranks import Rank
from ..connection import (
    CallerApp,
    CallerServer,
    PeerServer,
    run_searcher_connection,
)
from ..request import Forward, ForwardReply
from ..version import Configuration, Searcher
from ._admission import AdmissionControl
from ._allocator import limit_arenas
from ._caller_service import CallerService
from ._detector import FailureDetector
from ._distribution import Distribution
from ._heartbeats import Heartbeats
from ._host_runtime import HostRuntime
from ._links import Links
from ._logs import log_event
from ._members import Members
from ._messages import Hello, Member, MemberState
from ._metrics import FLUSH_INTERVAL, Metrics
from ._owner import Owner
from ._peer_service import PeerService, member_from_hello
from ._policy import NAIVE_POLICY, OWNER_POLICY, Policy
from ._pools import ServicePools
from ._pressure import PRESSURE_INTERVAL, PressureReporter
from ._reply_router import ReplyRouter
from ._service_pool import ServicePool
from ._settings import Settings
from ._tickets import TicketTable
from ._timeline import EventKind, Timeline
from ._versions import VersionStore

OLDEST_PROTOCOL = 1
NEWEST_PROTOCOL = 1
MAX_TASKS = 4096
"""The most tasks at once, each on a thread; each connection, link and watch has its own task."""

SHUTDOWN_REFUSAL_TIME = Millis(1000.0)
"""How long a stopping host still accepts callers, and answers "not run", before it stops listening.

At most a quarter of the shutdown time in the settings is spent on it.
"""


class Host:
    """One entry host: all the parts that live as long as its process.

    The incarnation identifies this run of the process and rises from run to run.
    """

    def __init__(self, settings: Settings, clock: Clock | None = None) -> None:
        limit_arenas()
        self.settings = settings
        self.clock = clock or SystemClock()
        self.policy = choose_policy(settings)
        self.id = HostId(settings.host)
        self.incarnation = Incarnation(time.time_ns())
        self.stopping = Event()
        self.tasks = ThreadPoolExecutor(MAX_TASKS, thread_name_prefix="task")
        self.timeline = Timeline(self.id, self.clock, log_event)
        self.metrics = Metrics(settings)
        self.tickets = TicketTable(self.id, self.incarnation, self.clock)
        self.reply_router = ReplyRouter(self.tickets.record_late_outcome)
        self.versions = VersionStore(self.timeline, self._handle_configuration, starting=True)
        own_hello = self._build_hello()
        self.members = Members(
            member_from_hello(own_hello), self.clock, self.timeline, self._handle_member_changes
        )
        self.peer_service = PeerService(
            own_hello, self.members, self.versions, self.timeline, self.reply_router
        )
        self.links = Links(self.peer_service, self.clock, self.start_task)
        self.distribution = Distribution(
            settings, self.versions, self.members, self.links, self.timeline, self.clock
        )
        self.pools = ServicePools(self.policy, self.clock, self.timeline, self._start_connection)
        self.owner = Owner(self.pools, self.versions, self.clock, self._count_hosts)
        self.admission = AdmissionControl(self.clock)
        self.pressure = PressureReporter(
            self.id, self.pools, self.admission, self.timeline, self.clock
        )
        self.runtime = self._build_runtime()
        self.caller_service = self._build_caller_service()
        self._set_peer_dependencies()
        listen_address = Address(settings.peer_listen_address or settings.peer_address)
        self.peer_server = PeerServer(listen_address, self.peer_service, self.tasks)
        self.caller_server = self._build_caller_server()
        self.heartbeats = self._build_heartbeats()
        self.connections: set[Future[None]] = set()

    def start(self) -> None:
        """Start every task; callers are refused until a configuration is in force."""
        self.timeline.add(EventKind.STARTED, self.id, f"incarnation {self.incarnation}")
        self.start_task(self.peer_server.run)
        for seed in self.heartbeats.seeds:
            self.links.ensure(seed.host, seed.address)
        self.distribution.start(self.start_task)
        self.start_task(lambda: self.heartbeats.run(self.stopping))
        self.start_task(self._run_pressure)
        self.start_task(self._run_metrics)
        self.start_task(self.caller_server.run)

    def stop(self) -> None:
        """Stop gracefully: announce that this host leaves, refuse new work, finish the rest.

        Once the callers' requests have ended, or the shutdown time in the settings is over, work
        that is still queued is answered without another attempt.
        """
        deadline = Millis(self.clock.now() + self.settings.shutdown_ms)
        self.timeline.add(EventKind.STOPPING, self.id)
        self.members.leave()
        self.heartbeats.announce()
        self.owner.stopping = True
        self.caller_server.close_after_response()
        self.stopping.wait(
            min(SHUTDOWN_REFUSAL_TIME, self.settings.shutdown_ms / 4) / MILLIS_PER_SECOND
        )
        self.caller_server.stop()
        self.caller_server.await_closed(Millis(max(0.0, deadline - self.clock.now())))
        self.pools.stop()
        wait(list(self.connections), remaining_seconds(deadline, self.clock))
        self.stopping.set()
        self.distribution.stop()
        self.links.stop()
        self.peer_server.stop()
        self.caller_server.abort()
        self.tasks.shutdown(wait=True)
        self.timeline.add(EventKind.STOPPED, self.id)

    def start_task(self, run: Callable[[], None]) -> None:
        """Call ``run`` in a task of its own."""
        self.tasks.submit(run)

    def _build_runtime(self) -> HostRuntime:
        return HostRuntime(
            self.id,
            self.incarnation,
            self.policy,
            self.clock,
            self.versions,
            self.members,
            self.links,
            self.reply_router,
            self.owner,
            self.admission,
        )

    def _build_caller_service(self) -> CallerService:
        return CallerService(
            self.id,
            self.runtime,
            self.tickets,
            self.timeline,
            self.clock,
            self.distribution.role,
            self.metrics,
        )

    def _set_peer_dependencies(self) -> None:
        """Set the parts that the peer service needs and that were built after it."""
        self.peer_service.owner = self.owner
        self.peer_service.links = self.links
        self.peer_service.pressure = self.pressure
        self.peer_service.distribution = self.distribution
        self.peer_service.run_forward = self._run_forward

    def _build_caller_server(self) -> CallerServer:
        return CallerServer(
            Address(self.settings.caller_address),
            CallerApp(self.caller_service, self.settings.max_body_bytes),
            self.tasks,
            self.settings.max_callers,
            Millis(float(self.settings.caller_timeout_ms)),
        )

    def _build_heartbeats(self) -> Heartbeats:
        return Heartbeats(
            self.members,
            self.links,
            self.versions,
            FailureDetector(self.members, self.links.last_received_at, self.clock, self.timeline),
            seed_members(self.settings),
            self.timeline,
            self.after_heartbeat,
        )

    def _build_hello(self) -> Hello:
        settings = self.settings
        return Hello(
            self.id,
            Address(settings.peer_address),
            FailureDomainId(settings.failure_domain),
            self.incarnation,
            OLDEST_PROTOCOL,
            NEWEST_PROTOCOL,
        )

    def after_heartbeat(self) -> None:
        """Decide again whether to watch the platform, and close the pools that are unused."""
        self.distribution.update_role()
        configuration = self.versions.configuration
        if configuration is not None:
            self.pools.close_unused(configuration, self.runtime.owned_services())

    def _run_metrics(self) -> None:
        while not self.stopping.wait(FLUSH_INTERVAL / MILLIS_PER_SECOND):
            for rank in Rank:
                queued = sum(pool.pending.depth(rank) for pool in self.pools.list_pools())
                self.metrics.set_gauge(f"queue.{rank.label}", queued)
            self.metrics.set_gauge("callers", self.caller_server.places.count())
            self.metrics.set_gauge("pools", len(self.pools.list_pools()))
            self.metrics.set_gauge("revision", self.versions.versions().revision)
            self.metrics.set_gauge("snapshot", self.versions.versions().catalogue)
            self.metrics.flush()

    def _run_pressure(self) -> None:
        while not self.stopping.wait(PRESSURE_INTERVAL / MILLIS_PER_SECOND):
            self.pressure.run_once(self.links.send)

    def _handle_configuration(self, configuration: Configuration) -> None:
        self.runtime.refresh_owner_table()
        self.pools.close_unused(configuration, set())

    def _handle_member_changes(self, members: Sequence[Member]) -> None:
        for member in members:
            if member.state is MemberState.DEAD and not self.links.is_responsive(member.host):
                self.links.close(member.host)
        self.runtime.refresh_if_hosts_changed()

    def _count_hosts(self) -> int:
        return len(self.members.list_members())

    def _start_connection(self, pool: ServicePool, searcher: Searcher) -> None:
        task = self.tasks.submit(run_searcher_connection, pool, searcher, self.clock)
        self.connections.add(task)
        task.add_done_callback(self.connections.discard)

    def _run_forward(self, forward: Forward, send_reply: Callable[[ForwardReply], object]) -> None:
        def run() -> None:
            send_reply(ForwardReply(forward.query, self.caller_service.run_forwarded(forward)))

        self.start_task(run)


def seed_members(settings: Settings) -> list[Member]:
    """Return an entry for each seed but this host, with 0 for the unknown incarnation."""
    return [
        Member(
            HostId(seed.host),
            Address(seed.address),
            FailureDomainId(seed.failure_domain),
            Incarnation(0),
            MemberState.ALIVE,
        )
        for seed in settings.other_seeds()
    ]


def choose_policy(settings: Settings) -> Policy:
    """Return the policy that the settings name."""
    return NAIVE_POLICY if settings.routing == "naive" else OWNER_POLICY
