"""The links to peers, and how a message finds its way to a host."""

from collections.abc import Callable
from threading import Lock

from .._clock import Clock
from .._failures import NotRun, Reason, Step
from .._ids import Address, HostId, Millis
from ..connection import LinkState, Message, PeerHandler, PeerLink

SILENCE = Millis(60.0)
"""A host that has sent nothing for this long, though asked, counts as silent."""


class Links:
    """One link to each known peer, opened when the peer is first heard of."""

    def __init__(
        self, handler: PeerHandler, clock: Clock, start: Callable[[Callable[[], None]], None]
    ) -> None:
        self.handler = handler
        self.clock = clock
        self.start = start
        self.lock = Lock()
        self.links: dict[HostId, PeerLink] = {}
        self.stopping = False

    def ensure(self, host: HostId, address: Address) -> None:
        """Open a link to ``host`` at ``address`` unless there is one."""
        with self.lock:
            known = self.links.get(host)
            if self.stopping or (known is not None and known.address == address):
                return
            if known is not None:
                known.stop()
            link = PeerLink(host, address, self.handler, self.clock)
            self.links[host] = link
        self.start(link.run)

    def drop(self, host: HostId) -> None:
        """Close the link to a host that is gone."""
        with self.lock:
            link = self.links.pop(host, None)
        if link is not None:
            link.stop()

    def is_open(self, host: HostId) -> bool:
        """Tell whether messages can be sent to ``host``."""
        link = self.links.get(host)
        return link is not None and link.state is LinkState.OPEN

    def is_lost(self, host: HostId) -> bool:
        """Tell whether there is a link to ``host`` and it is closed."""
        link = self.links.get(host)
        return link is not None and link.state is LinkState.CLOSED

    def is_silent(self, host: HostId) -> bool:
        """Tell whether ``host`` has sent nothing for a while."""
        link = self.links.get(host)
        return link is None or self.clock.now() - link.last_received > SILENCE

    def send(self, host: HostId, message: Message) -> NotRun | None:
        """Send ``message``; ``NotRun`` means that the host did not receive it."""
        link = self.links.get(host)
        if link is None or not link.send(message):
            return NotRun(Reason.OWNER_LOST, Step.FORWARD, peer=host)
        return None

    def broadcast(self, message: Message) -> None:
        """Send ``message`` over every open link."""
        for link in self.list_links():
            link.send(message)

    def list_links(self) -> list[PeerLink]:
        """Return all links."""
        with self.lock:
            return list(self.links.values())

    def stop(self) -> None:
        """Close all links."""
        with self.lock:
            self.stopping = True
            links = list(self.links.values())
        for link in links:
            link.stop()
