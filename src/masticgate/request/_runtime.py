"""What a request needs of the process that runs it."""

from collections.abc import Sequence
from typing import Protocol

from .._clock import Clock
from .._failures import NotRun
from .._ids import HostId, QueryId, ServiceId, SnapshotVersion, TicketId
from .._ranks import Rank
from ..version import Configuration, Scope, Snapshot
from ._messages import Ask, Book, Cancel, Delivery, Forward


class Inbox(Protocol):
    """Where the replies to one request arrive, from any task."""

    def put(self, item: Delivery) -> None:
        """Add a delivery."""
        ...

    def get(self, block: bool = True, timeout: float | None = None) -> Delivery:
        """Wait up to ``timeout`` seconds for the next delivery.

        :raises queue.Empty: none came in time.
        """
        ...


class Runtime(Protocol):
    """The process around a request; it hides sockets, codecs and threads."""

    clock: Clock

    def configuration(self) -> Configuration | None:
        """Return the configuration in force, ``None`` before the first."""
        ...

    def pin_snapshot(
        self, services: Sequence[ServiceId], tried: frozenset[SnapshotVersion]
    ) -> Snapshot | None:
        """Return the snapshot to search, none of ``tried``; ``None`` where there is no other."""
        ...

    def record_version_gone(
        self, service: ServiceId, snapshot: SnapshotVersion, held: Sequence[SnapshotVersion]
    ) -> None:
        """Remember that ``service`` holds ``held`` and not ``snapshot``."""
        ...

    def admit(self, rank: Rank, admission_number: float, scope: Scope) -> NotRun | None:
        """Refuse a query that would not finish, or return ``None``."""
        ...

    def owners(self, service: ServiceId) -> Sequence[HostId]:
        """Return the hosts to ask for ``service``, the owner first."""
        ...

    def open_inbox(self) -> Inbox:
        """Return a new inbox for the replies to one request."""
        ...

    def send(
        self, host: HostId, message: Ask | Book | Cancel | Forward, inbox: Inbox | None
    ) -> NotRun | None:
        """Send to ``host``; replies go to ``inbox``. ``NotRun`` means that nothing was sent."""
        ...

    def discard_replies(self, query: QueryId) -> None:
        """Drop replies to ``query`` from now on."""
        ...

    def is_silent(self, host: HostId) -> bool:
        """Tell whether ``host`` has sent nothing for longer than a live host would."""
        ...

    def allow_repeats(self, parts: int) -> bool:
        """Take ``parts`` from the budget of work that is asked of a second owner meanwhile."""
        ...

    def probe(self, host: HostId) -> None:
        """Ask ``host`` for a reply, which tells a slow host from a lost one."""
        ...

    def is_own_ticket(self, ticket: TicketId) -> bool:
        """Tell whether this incarnation minted ``ticket``."""
        ...
