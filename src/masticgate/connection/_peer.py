"""One task for each peer: the links that a host opens, and those that it accepts."""

import socket
from collections.abc import Callable
from concurrent.futures import Executor
from contextlib import suppress
from enum import Enum
from threading import Event, Lock
from typing import Protocol

from .._clock import MILLIS_PER_SECOND, Clock
from .._ids import Address, HostId, Incarnation, Millis
from ..process import Heartbeat, Hello
from ._address import accept_connections, listen_on, open_socket
from ._frames import BadFrameError, Message
from ._socket import FrameSocket

CONNECT_TIMEOUT = Millis(500.0)
READ_TIMEOUT = Millis(3000.0)
"""A link on which nothing arrives for this long is closed; heartbeats come more often."""

RECONNECT_FIRST = Millis(100.0)
RECONNECT_LONGEST = Millis(2000.0)


class LinkState(Enum):
    """Whether messages can be sent over a link."""

    CONNECTING = "connecting"
    OPEN = "open"
    CLOSED = "closed"


class PeerHandler(Protocol):
    """What the process does with peers and their messages."""

    def hello(self) -> Hello:
        """Return this host's own hello."""
        ...

    def probe_heartbeat(self) -> Heartbeat:
        """Return a heartbeat that only asks for an answer."""
        ...

    def receive(self, peer: Hello, message: Message, answer: Callable[[Message], bool]) -> None:
        """Handle one message from ``peer``; ``answer`` sends on the same connection."""
        ...

    def link_opened(self, peer: Hello) -> None:
        """Note that the link to ``peer`` is open."""
        ...

    def link_lost(self, host: HostId) -> None:
        """Note that the link to ``host`` is closed and replies over it will not come."""
        ...


def speaks_with(own: Hello, peer: Hello) -> bool:
    """Tell whether two releases share a protocol version."""
    return (
        own.oldest_protocol <= peer.newest_protocol and peer.oldest_protocol <= own.newest_protocol
    )


class PeerLink:
    """The link that this host opened to one peer; requests go out, replies come back."""

    def __init__(self, host: HostId, address: Address, handler: PeerHandler, clock: Clock) -> None:
        self.host = host
        self.address = address
        self.handler = handler
        self.clock = clock
        self.state = LinkState.CONNECTING
        self.incarnation = Incarnation(0)
        self.frames: FrameSocket | None = None
        self.last_received = clock.now()
        self.last_used = clock.now()
        self.unanswered_since: Millis | None = None
        self.stopping = Event()

    def run(self) -> None:
        """Connect, read replies until the link breaks, wait and connect again."""
        delay = RECONNECT_FIRST
        while not self.stopping.is_set():
            if self._run_once():
                delay = RECONNECT_FIRST
            self.stopping.wait(delay / MILLIS_PER_SECOND)
            delay = min(RECONNECT_LONGEST, Millis(delay * 2))

    def send(self, message: Message) -> bool:
        """Send ``message``; ``False`` means that the peer did not receive it whole."""
        frames = self.frames
        if self.state is not LinkState.OPEN or frames is None:
            return False
        if isinstance(message, Heartbeat) and self.unanswered_since is None:
            self.unanswered_since = self.clock.now()
        return frames.send(message)

    def stop(self) -> None:
        """Close the link for good."""
        self.stopping.set()
        frames = self.frames
        if frames is not None:
            frames.close()

    def _run_once(self) -> bool:
        try:
            frames = FrameSocket(open_socket(self.address, CONNECT_TIMEOUT))
        except OSError:
            self.state = LinkState.CLOSED
            return False
        opened = False
        try:
            frames.set_timeout(READ_TIMEOUT)
            frames.send(self.handler.hello())
            messages = frames.read_messages()
            peer = next(messages, None)
            if not isinstance(peer, Hello) or not self._is_expected(peer):
                return False
            opened = True
            self._open(frames, peer)
            for message in messages:
                self._note_received()
                self.handler.receive(peer, message, frames.send)
        except (OSError, BadFrameError):
            pass
        finally:
            self.state = LinkState.CLOSED
            frames.release()
            if opened:
                self.handler.link_lost(self.host)
        return opened

    def _is_expected(self, peer: Hello) -> bool:
        return peer.host == self.host and speaks_with(self.handler.hello(), peer)

    def _note_received(self) -> None:
        self.last_received = self.clock.now()
        self.unanswered_since = None

    def _open(self, frames: FrameSocket, peer: Hello) -> None:
        self.frames = frames
        self.incarnation = peer.incarnation
        self._note_received()
        self.state = LinkState.OPEN
        self.handler.link_opened(peer)
        if self.stopping.is_set():
            frames.close()


class PeerServer:
    """Accepts the links of other hosts; each is served by a task of its own."""

    def __init__(self, address: Address, handler: PeerHandler, tasks: Executor) -> None:
        self.listener = listen_on(address)
        self.handler = handler
        self.tasks = tasks
        self.lock = Lock()
        self.open: set[FrameSocket] = set()
        self.stopping = False

    def run(self) -> None:
        """Accept links until stopped."""
        accepted = accept_connections(lambda: self.listener.accept(), lambda: self.stopping)
        for connection, _ in accepted:
            try:
                self.tasks.submit(self.serve, connection)
            except RuntimeError:
                connection.close()

    def serve(self, connection: socket.socket) -> None:
        """Serve one link until it closes; a bad frame closes this link only."""
        frames = FrameSocket(connection)
        with self.lock:
            self.open.add(frames)
        try:
            frames.set_timeout(READ_TIMEOUT)
            messages = frames.read_messages()
            peer = next(messages, None)
            if not isinstance(peer, Hello) or not frames.send(self.handler.hello()):
                return
            if not speaks_with(self.handler.hello(), peer):
                return
            for message in messages:
                self.handler.receive(peer, message, frames.send)
        except (OSError, BadFrameError):
            return
        finally:
            with self.lock:
                self.open.discard(frames)
            frames.release()

    def stop(self) -> None:
        """Stop accepting and close every accepted link."""
        self.stopping = True
        with suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        with self.lock:
            accepted = list(self.open)
        for frames in accepted:
            frames.close()
