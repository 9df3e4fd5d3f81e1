"""The links between hosts: those that this host opens and those that it accepts.

A link is a TCP connection to another host of the deployment, the peer. For each link, one task
reads the messages that arrive. A host sends searches and bookings only over links that it opened,
and gets each reply over the same link. It also sends heartbeats over these links, to detect that a
peer is unresponsive.
"""

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
from ._frame_memory import FrameMemory
from ._frames import BadFrameError, Message
from ._socket import FrameSocket

CONNECT_TIMEOUT = Millis(500.0)
READ_TIMEOUT = Millis(3000.0)
"""A link is closed if no complete message arrives within this time.

While the peer responds, heartbeats arrive more often than this.
"""

MIN_RECONNECT_DELAY = Millis(100.0)
"""The pause before a closed link is opened again.

The pause doubles with each failed attempt, up to ``MAX_RECONNECT_DELAY``.
"""

MAX_RECONNECT_DELAY = Millis(2000.0)


class LinkState(Enum):
    """Whether messages can be sent over a link."""

    CONNECTING = "connecting"
    OPEN = "open"
    CLOSED = "closed"


class PeerHandler(Protocol):
    """Handles the messages of peers and the opening and closing of links."""

    def hello(self) -> Hello:
        """Return the message by which this host introduces itself on a new link."""
        ...

    def probe_heartbeat(self) -> Heartbeat:
        """Return a heartbeat to check whether a peer replies."""
        ...

    def handle_message(
        self, peer: Hello, message: Message, send_reply: Callable[[Message], bool]
    ) -> None:
        """Handle one message from ``peer``; ``send_reply`` sends on the same link."""
        ...

    def handle_link_opened(self, peer: Hello) -> None:
        """Handle the opening of the link to ``peer``."""
        ...

    def handle_link_lost(self, host: HostId) -> None:
        """Handle the closing of the link to ``host``, over which no more replies will arrive."""
        ...


def shares_protocol_version(own: Hello, peer: Hello) -> bool:
    """Return whether the releases of two hosts have a protocol version in common."""
    return (
        own.oldest_protocol <= peer.newest_protocol and peer.oldest_protocol <= own.newest_protocol
    )


class PeerLink:
    """The link that this host opens to one peer, to send requests and receive their replies.

    ``incarnation`` identifies the run of the peer's process that accepted the link.
    ``last_received_at`` is when the last message arrived, and ``last_used_at`` when the last
    request was sent; both begin with the time at which this object was created.
    ``unanswered_since`` is when the first heartbeat after the last received message was sent, or
    ``None`` if none was sent since.
    """

    def __init__(self, host: HostId, address: Address, handler: PeerHandler, clock: Clock) -> None:
        self.host = host
        self.address = address
        self.handler = handler
        self.clock = clock
        self.state = LinkState.CONNECTING
        self.incarnation = Incarnation(0)
        self.frame_socket: FrameSocket | None = None
        self.last_received_at = clock.now()
        self.last_used_at = clock.now()
        self.unanswered_since: Millis | None = None
        self.stopping = Event()

    def run(self) -> None:
        """Open the link, read messages until it closes, and open it again after a pause."""
        delay = MIN_RECONNECT_DELAY
        while not self.stopping.is_set():
            if self._connect_and_read():
                delay = MIN_RECONNECT_DELAY
            self.stopping.wait(delay / MILLIS_PER_SECOND)
            delay = min(MAX_RECONNECT_DELAY, Millis(delay * 2))

    def send(self, message: Message) -> bool:
        """Send ``message``; return ``False`` if the peer cannot have received all of it."""
        frame_socket = self.frame_socket
        if self.state is not LinkState.OPEN or frame_socket is None:
            return False
        if isinstance(message, Heartbeat) and self.unanswered_since is None:
            self.unanswered_since = self.clock.now()
        return frame_socket.send(message)

    def stop(self) -> None:
        """Close the link and do not open it again."""
        self.stopping.set()
        frame_socket = self.frame_socket
        if frame_socket is not None:
            frame_socket.close()

    def _connect_and_read(self) -> bool:
        try:
            frame_socket = FrameSocket(open_socket(self.address, CONNECT_TIMEOUT))
        except OSError:
            self.state = LinkState.CLOSED
            return False
        opened = False
        try:
            frame_socket.set_timeout(READ_TIMEOUT)
            frame_socket.send(self.handler.hello())
            messages = frame_socket.read_messages()
            peer = next(messages, None)
            if not isinstance(peer, Hello) or not self._is_expected(peer):
                return False
            opened = True
            self._set_open(frame_socket, peer)
            for message in messages:
                self._record_received()
                self.handler.handle_message(peer, message, frame_socket.send)
        except (OSError, BadFrameError):
            pass
        finally:
            self.state = LinkState.CLOSED
            frame_socket.release()
            if opened:
                self.handler.handle_link_lost(self.host)
        return opened

    def _is_expected(self, peer: Hello) -> bool:
        return peer.host == self.host and shares_protocol_version(self.handler.hello(), peer)

    def _record_received(self) -> None:
        self.last_received_at = self.clock.now()
        self.unanswered_since = None

    def _set_open(self, frame_socket: FrameSocket, peer: Hello) -> None:
        self.frame_socket = frame_socket
        self.incarnation = peer.incarnation
        self._record_received()
        self.state = LinkState.OPEN
        self.handler.handle_link_opened(peer)
        if self.stopping.is_set():
            frame_socket.close()


class PeerServer:
    """Accepts the links that other hosts open, and handles each in a separate task.

    The links share the ``memory`` for incomplete frames, since any client can open one.
    """

    def __init__(self, address: Address, handler: PeerHandler, tasks: Executor) -> None:
        self.listener = listen_on(address)
        self.handler = handler
        self.tasks = tasks
        self.lock = Lock()
        self.links: set[FrameSocket] = set()
        self.memory = FrameMemory()
        self.stopping = False

    def run(self) -> None:
        """Accept links until :meth:`stop` is called."""
        accepted = accept_connections(lambda: self.listener.accept(), lambda: self.stopping)
        for connection, _ in accepted:
            try:
                self.tasks.submit(self.serve, connection)
            except RuntimeError:  # No thread can be started, or the process is stopping.
                connection.close()

    def serve(self, connection: socket.socket) -> None:
        """Handle the messages of one link until it closes; an invalid frame closes the link."""
        frame_socket = FrameSocket(connection, self.memory)
        with self.lock:
            self.links.add(frame_socket)
        try:
            frame_socket.set_timeout(READ_TIMEOUT)
            messages = frame_socket.read_messages()
            peer = next(messages, None)
            if not isinstance(peer, Hello) or not frame_socket.send(self.handler.hello()):
                return
            if not shares_protocol_version(self.handler.hello(), peer):
                return
            for message in messages:
                self.handler.handle_message(peer, message, frame_socket.send)
        except (OSError, BadFrameError):
            return
        finally:
            with self.lock:
                self.links.discard(frame_socket)
            frame_socket.release()

    def stop(self) -> None:
        """Stop accepting links and close those that are open."""
        self.stopping = True
        with suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        with self.lock:
            accepted = list(self.links)
        for frame_socket in accepted:
            frame_socket.close()
