"""The links to peers (other hosts), and the sending of messages over them."""

from collections.abc import Callable, Collection
from threading import Lock

from .._clock import Clock
from .._failures import NotRun, Reason, Step
from .._ids import Address, HostId, Millis
from ..connection import LinkState, Message, PeerHandler, PeerLink
from ..request import Ask, Book, Forward

SILENCE_TIMEOUT = Millis(60.0)
"""A host that has left a heartbeat unanswered for longer than this counts as silent."""

PROBE_DELAY = Millis(20.0)
"""A host that has sent nothing for longer than this is sent a heartbeat before the next request.

The same is done while a search waits for its reply. The reply to the heartbeat distinguishes a slow
host from a lost one.
"""

RESPONSIVE_WINDOW = Millis(1000.0)
"""A host that has sent something within this time keeps its link even if it is declared dead.

Over the link it can refute that it is dead.
"""

LINK_IDLE_TIMEOUT = Millis(30_000.0)
"""A link to a host that is not a neighbour is closed after this long without a request."""


class Links:
    """The links that this host opens, at most one to each host.

    They lead to its neighbours (the hosts that it monitors), to hosts that it sends requests to, to
    seeds, and to dead hosts that may respond again. ``handler`` handles the messages that arrive
    over the links, and ``start_task`` starts the task of a new link.
    """

    def __init__(
        self, handler: PeerHandler, clock: Clock, start_task: Callable[[Callable[[], None]], None]
    ) -> None:
        self.handler = handler
        self.clock = clock
        self.start_task = start_task
        self.lock = Lock()
        self.links: dict[HostId, PeerLink] = {}
        self.stopping = False

    def ensure(self, host: HostId, address: Address) -> None:
        """Open a link to ``host`` at ``address`` unless there is one to that address.

        A link to another address is closed. After :meth:`stop`, nothing is opened.
        """
        with self.lock:
            known = self.links.get(host)
            if self.stopping or (known is not None and known.address == address):
                return
            if known is not None:
                known.stop()
            link = PeerLink(host, address, self.handler, self.clock)
            self.links[host] = link
        self.start_task(link.run)

    def close(self, host: HostId) -> None:
        """Close the link to ``host``, if there is one."""
        with self.lock:
            link = self.links.pop(host, None)
        if link is not None:
            link.stop()

    def close_idle(self, neighbours: Collection[HostId]) -> None:
        """Close links unused for ``LINK_IDLE_TIMEOUT``, except those to ``neighbours``."""
        limit = self.clock.now() - LINK_IDLE_TIMEOUT
        for link in self.list_links():
            if link.host not in neighbours and link.last_used_at < limit:
                self.close(link.host)

    def is_open(self, host: HostId) -> bool:
        """Return whether messages can be sent to ``host``."""
        link = self.links.get(host)
        return link is not None and link.state is LinkState.OPEN

    def is_closed(self, host: HostId) -> bool:
        """Return whether a link to ``host`` failed to open or has closed, and is not open again."""
        link = self.links.get(host)
        return link is not None and link.state is LinkState.CLOSED

    def is_silent(self, host: HostId) -> bool:
        """Return whether ``host`` has no link, or has left a heartbeat unanswered for too long.

        A link that is being opened again after it closed counts as a link.
        """
        link = self.links.get(host)
        return link is None or self._unanswered_time(link) > SILENCE_TIMEOUT

    def probe(self, host: HostId) -> None:
        """Send ``host`` a heartbeat if it sent nothing recently and none is unanswered."""
        link = self.links.get(host)
        if link is None or link.unanswered_since is not None:
            return
        if self.clock.now() - link.last_received_at > PROBE_DELAY:
            link.send(self.handler.probe_heartbeat())

    def is_responsive(self, host: HostId) -> bool:
        """Return whether ``host`` sent something recently, whatever its member state is."""
        link = self.links.get(host)
        return link is not None and self.clock.now() - link.last_received_at < RESPONSIVE_WINDOW

    def last_received_at(self, host: HostId) -> Millis | None:
        """Return when ``host`` last sent something over its link, ``None`` without a link.

        If it sent nothing yet, return when the link was created.
        """
        link = self.links.get(host)
        return link.last_received_at if link is not None else None

    def send(self, host: HostId, message: Message) -> NotRun | None:
        """Send ``message``; return ``NotRun`` if the host cannot have received all of it."""
        link = self.links.get(host)
        if link is None:
            return NotRun(Reason.OWNER_LOST, Step.FORWARD, peer=host)
        if isinstance(message, Ask | Book | Forward):
            link.last_used_at = self.clock.now()
            self.probe(host)
        if not link.send(message):
            return NotRun(Reason.OWNER_LOST, Step.FORWARD, peer=host)
        return None

    def broadcast(self, message: Message) -> None:
        """Send ``message`` over every open link."""
        for link in self.list_links():
            link.send(message)

    def open_hosts(self) -> list[HostId]:
        """Return the hosts that messages can be sent to."""
        return [link.host for link in self.list_links() if link.state is LinkState.OPEN]

    def list_links(self) -> list[PeerLink]:
        """Return all links."""
        with self.lock:
            return list(self.links.values())

    def stop(self) -> None:
        """Close all links, and open no more."""
        with self.lock:
            self.stopping = True
            links = list(self.links.values())
        for link in links:
            link.stop()

    def _unanswered_time(self, link: PeerLink) -> Millis:
        since = link.unanswered_since
        return Millis(0.0) if since is None else Millis(self.clock.now() - since)
