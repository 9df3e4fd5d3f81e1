"""Interfaces through which a request uses the process that runs it.

They keep sockets, codecs and threads out of the code that runs searches and bookings.
"""

from collections.abc import Sequence
from typing import Protocol

from .._clock import Clock
from .._failures import NotRun
from .._ids import HostId, QueryId, ServiceId, SnapshotVersion, TicketId
from .._ranks import Rank
from ..version import Configuration, Scope, Snapshot
from ._messages import Ask, Book, Cancel, Delivery, Forward


class Inbox(Protocol):
    """Queue of the replies to one request; any task may add to it."""

    def put(self, item: Delivery) -> None:
        """Add a delivery."""
        ...

    def get(self, block: bool = True, timeout: float | None = None) -> Delivery:
        """Wait up to ``timeout`` seconds for the next delivery and return it.

        :raises queue.Empty: no delivery arrived within ``timeout``.
        """
        ...


class Runtime(Protocol):
    """What the process provides to a request: state, messages to other hosts, and budgets."""

    clock: Clock

    def configuration(self) -> Configuration | None:
        """Return the configuration in force, or ``None`` if there is none yet."""
        ...

    def choose_snapshot(
        self, services: Sequence[ServiceId], tried: frozenset[SnapshotVersion]
    ) -> Snapshot | None:
        """Return the snapshot of the index in which to search ``services``.

        Snapshots in ``tried`` are not returned again. Return ``None`` if there is no other one.
        """
        ...

    def record_version_gone(
        self, service: ServiceId, snapshot: SnapshotVersion, held: Sequence[SnapshotVersion]
    ) -> None:
        """Record that the searchers of ``service`` hold ``held`` and do not hold ``snapshot``."""
        ...

    def admit(self, rank: Rank, admission_number: float, scope: Scope) -> NotRun | None:
        """Return why a query is refused, or ``None`` to admit it.

        A query is refused if this host is stopping or a service of ``scope`` lacks the capacity.
        ``admission_number`` is the random number of the query, as in :class:`Ask`.
        """
        ...

    def owners(self, service: ServiceId) -> Sequence[HostId]:
        """Return the reachable hosts that may serve ``service``, in the order to try them."""
        ...

    def open_inbox(self) -> Inbox:
        """Return a new inbox for the replies to one request."""
        ...

    def send(
        self, host: HostId, message: Ask | Book | Cancel | Forward, inbox: Inbox | None
    ) -> NotRun | None:
        """Send ``message`` to ``host`` and deliver the replies to ``inbox``.

        Return ``NotRun`` if the message was not sent.
        """
        ...

    def discard_replies(self, query: QueryId) -> None:
        """Stop delivering replies to ``query``.

        The outcome of a booking that arrives later is still recorded under its ticket.
        """
        ...

    def is_silent(self, host: HostId) -> bool:
        """Return whether ``host`` has no link, or has left a heartbeat unanswered for too long.

        A link that is being opened again after it closed counts as a link. This host itself is
        never silent.
        """
        ...

    def allow_resends(self, parts: int) -> bool:
        """Spend one resend for each of ``parts`` parts; return ``False`` if too few are left.

        A resend sends a part of a search to another owner while a silent one may still answer.
        """
        ...

    def probe(self, host: HostId) -> None:
        """Request a reply from ``host``, to distinguish a slow host from a lost one."""
        ...

    def is_own_ticket(self, ticket: TicketId) -> bool:
        """Return whether this run of the host minted ``ticket``."""
        ...
