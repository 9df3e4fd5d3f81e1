"""What the process provides to the requests that it runs: state, messages and budgets."""

from collections.abc import Sequence
from queue import SimpleQueue

from .._clock import Clock
from .._failures import NotRun, Reason, Step
from .._ids import HostId, Incarnation, QueryId, ServiceId, SnapshotVersion, TicketId
from .._ranks import Rank
from ..request import Ask, Book, BookReply, Cancel, Forward, Inbox, Reply
from ..version import Configuration, Scope, Snapshot, owner_table, rank_hosts
from ._admission import AdmissionControl
from ._links import Links
from ._members import Members
from ._owner import Owner
from ._policy import AdmitAll, AdmitByCapacity, LocalRouting, OwnerRouting, Policy
from ._reply_router import ReplyRouter
from ._resend_budget import ResendBudget
from ._tickets import parse_ticket
from ._versions import VersionStore

LINKED_OWNERS_PER_SERVICE = 2
"""A request for a service opens links to this many of the hosts that rank first for the service."""


class HostRuntime:
    """Implements :class:`~masticgate.request.Runtime` for the requests that this host runs.

    The owner of a service is the host that queues its work; it may be this host. ``owner_table``
    maps each service to its owner, followed by the hosts that replace it in turn. It was computed
    from ``table_hosts``, the usable hosts at that time.
    """

    def __init__(
        self,
        own_host: HostId,
        incarnation: Incarnation,
        policy: Policy,
        clock: Clock,
        versions: VersionStore,
        members: Members,
        links: Links,
        reply_router: ReplyRouter,
        owner: Owner,
        admission: AdmissionControl,
    ) -> None:
        self.own_host = own_host
        self.incarnation = incarnation
        self.policy = policy
        self.clock = clock
        self.versions = versions
        self.members = members
        self.links = links
        self.reply_router = reply_router
        self.owner = owner
        self.admission = admission
        self.resend_budget = ResendBudget()
        self.owner_table: dict[ServiceId, list[HostId]] = {}
        self.table_hosts: list[HostId] = []

    def refresh_owner_table(self) -> None:
        """Compute the owners of all services from the current configuration and usable hosts."""
        configuration = self.versions.configuration
        if configuration is not None:
            self.table_hosts = self.members.list_usable()
            self.owner_table = owner_table(configuration, self.table_hosts)

    def refresh_if_hosts_changed(self) -> None:
        """Compute the owners of all services again if the usable hosts changed.

        The list of usable hosts is a new object after each change.
        """
        if self.members.list_usable() is not self.table_hosts:
            self.refresh_owner_table()

    def owned_services(self) -> set[ServiceId]:
        """Return the services whose owner is this host according to its own owner table."""
        return {
            service for service, hosts in self.owner_table.items() if hosts[:1] == [self.own_host]
        }

    def configuration(self) -> Configuration | None:
        """Return the configuration in force, ``None`` if there is none."""
        return self.versions.configuration

    def choose_snapshot(
        self, services: Sequence[ServiceId], tried: frozenset[SnapshotVersion]
    ) -> Snapshot | None:
        """Return the snapshot in which to search ``services``, ``None`` if all were tried.

        It is the newest one not in ``tried`` that none of ``services`` is known to lack, or else
        the newest one not in ``tried``.
        """
        return self.versions.choose_snapshot(services, tried)

    def record_version_gone(
        self, service: ServiceId, snapshot: SnapshotVersion, held: Sequence[SnapshotVersion]
    ) -> None:
        """Record that the searchers of ``service`` hold ``held`` and do not hold ``snapshot``."""
        self.versions.record_version_gone(service, snapshot, held)

    def admit(self, rank: Rank, admission_number: float, scope: Scope) -> NotRun | None:
        """Return why a query is refused, or ``None`` to admit it.

        It is refused if this host is stopping. If admission depends on the capacity, it is also
        refused if ``admission_number``, the random number of the query, is not below the share of
        the queries of ``rank`` that a service of ``scope`` can admit.
        """
        if self.owner.stopping:
            return NotRun(Reason.SHUTTING_DOWN, Step.ADMISSION, peer=self.own_host)
        match self.policy.admission:
            case AdmitAll():
                return None
            case AdmitByCapacity():
                return self.admission.admit(rank, admission_number, scope.remaining)

    def owners(self, service: ServiceId) -> Sequence[HostId]:
        """Return the reachable hosts that may serve ``service``, in the order to try them."""
        match self.policy.routing:
            case LocalRouting():
                return [self.own_host]
            case OwnerRouting():
                return self._reachable_owners(service)

    def open_inbox(self) -> Inbox:
        """Return a new inbox for the replies to one request."""
        return SimpleQueue()

    def send(
        self, host: HostId, message: Ask | Book | Cancel | Forward, inbox: Inbox | None
    ) -> NotRun | None:
        """Send ``message`` to ``host``, which may be this host; replies go to ``inbox``.

        Return ``NotRun`` if the host cannot have received all of it.
        """
        if host == self.own_host and isinstance(message, Forward):
            # An earlier incarnation of this host minted the ticket, and its records are lost.
            return NotRun(Reason.MINTER_LOST, Step.FORWARD, peer=host)
        if isinstance(message, Ask):
            self.resend_budget.earn(len(message.parts))
        if inbox is not None and not isinstance(message, Cancel):
            self.reply_router.register(host, message, inbox)
        if host == self.own_host:
            self._send_to_self(message)
            return None
        refusal = self.links.send(host, message)
        if refusal is not None:
            self.reply_router.unregister(host, message.query)
        return refusal

    def discard_replies(self, query: QueryId) -> None:
        """Discard replies to ``query`` that arrive from now on.

        The outcome of a booking is still recorded under its ticket.
        """
        self.reply_router.unregister_query(query)

    def is_silent(self, host: HostId) -> bool:
        """Return whether ``host`` has no link, or has left a heartbeat unanswered for too long.

        This host itself is never silent.
        """
        return host != self.own_host and self.links.is_silent(host)

    def allow_resends(self, parts: int) -> bool:
        """Spend one resend for each of ``parts`` parts; return ``False`` if too few are left.

        A resend sends a part of a search to another owner while a silent one may still answer. Each
        part that is sent to an owner adds to the budget for resends.
        """
        return self.resend_budget.spend(parts)

    def probe(self, host: HostId) -> None:
        """Request a reply from ``host``, to distinguish a slow host from a lost one."""
        if host != self.own_host:
            self.links.probe(host)

    def is_own_ticket(self, ticket: TicketId) -> bool:
        """Return whether this incarnation (run of the process) of this host minted ``ticket``."""
        parts = parse_ticket(ticket)
        return (
            parts is not None
            and parts.host == self.own_host
            and parts.incarnation == self.incarnation
        )

    def _send_to_self(self, message: Ask | Book | Cancel | Forward) -> None:
        match message:
            case Ask():
                self.owner.submit_search(message, self._deliver_own)
            case Book():
                self.owner.submit_booking(message, self._deliver_own)
            case Cancel():
                self.owner.cancel(message)
            case Forward():
                return

    def _deliver_own(self, reply: Reply | BookReply) -> None:
        self.reply_router.deliver(self.own_host, reply)

    def _reachable_owners(self, service: ServiceId) -> list[HostId]:
        """Return the reachable hosts that ``owner_table`` names for ``service``, silent ones last.

        If there are none, fall back to other hosts. Also open links to the hosts named first.
        """
        ranked = self.owner_table.get(service, [])
        self._open_links(ranked[:LINKED_OWNERS_PER_SERVICE])
        reachable = [host for host in ranked if self._is_reachable(host)]
        return sorted(reachable, key=self.is_silent) or self._rank_reachable_hosts(service)

    def _open_links(self, hosts: Sequence[HostId]) -> None:
        for host in hosts:
            member = self.members.get(host)
            if member is not None and host != self.own_host and not self.links.is_open(host):
                self.links.ensure(host, member.address)

    def _is_reachable(self, host: HostId) -> bool:
        return host == self.own_host or self.links.is_open(host)

    def _rank_reachable_hosts(self, service: ServiceId) -> list[HostId]:
        """Return all reachable usable hosts, ranked; if there are none, this host.

        Return no host if there are none and this host is stopping.
        """
        hosts = [host for host in self.members.list_usable() if self._is_reachable(host)]
        ranked = rank_hosts(f"service:{service}", hosts)
        if ranked or self.owner.stopping:
            return ranked
        return [self.own_host]
