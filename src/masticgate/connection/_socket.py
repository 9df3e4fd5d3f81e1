"""The exchange of messages over a TCP connection between two hosts, in length-prefixed frames."""

import select
import socket
import struct
from collections.abc import Iterator
from threading import Lock
from time import monotonic

from .._clock import MILLIS_PER_SECOND
from .._ids import Millis
from ._frame_memory import FrameMemory
from ._frames import BadFrameError, Message, decode_message, encode_message

LENGTH_PREFIX = struct.Struct("!I")
MAX_FRAME_BYTES = 4_000_000
SEND_TIMEOUT = Millis(50.0)
"""How long a send waits for space in the send buffer before the connection is closed.

A peer that reads nothing for this long counts as unresponsive.
"""

SEND_BUFFER_BYTES = 1_000_000
RECEIVE_BUFFER_BYTES = 65_536


class FrameSocket:
    """Sends and reads messages over one connection.

    Any task may send; only one task may read. ``memory`` counts the bytes of a frame from their
    arrival until its message has been handled.
    """

    def __init__(self, connection: socket.socket, memory: FrameMemory | None = None) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        connection.settimeout(None)
        self.connection = connection
        self.memory = memory or FrameMemory()
        self.unread = bytearray()
        self.timeout: Millis | None = None
        self.lock = Lock()
        self.closed = False

    def set_timeout(self, timeout: Millis) -> None:
        """Make a read fail if the next message is not complete within ``timeout``."""
        self.timeout = timeout

    def send(self, message: Message) -> bool:
        """Send ``message``; if that fails, close the connection and return ``False``.

        The peer cannot have received the complete message if the result is ``False``.
        """
        data = encode_message(message)
        with self.lock:
            if self.closed:
                return False
            if self._send_all(LENGTH_PREFIX.pack(len(data)) + data):
                return True
        self.close()
        return False

    def read_messages(self) -> Iterator[Message]:
        """Yield messages until the peer closes the connection.

        :raises BadFrameError: a frame is truncated, too large or cannot be decoded.
        :raises OSError: the connection failed or timed out.
        """
        while True:
            deadline_s = (
                None if self.timeout is None else monotonic() + self.timeout / MILLIS_PER_SECOND
            )
            prefix = self._read(LENGTH_PREFIX.size, deadline_s)
            if not prefix:
                return
            if len(prefix) < LENGTH_PREFIX.size:
                raise BadFrameError("truncated length prefix")
            (length,) = LENGTH_PREFIX.unpack(prefix)
            if length > MAX_FRAME_BYTES:
                raise BadFrameError(f"a frame of {length} bytes is too large")
            data = self._read(length, deadline_s)
            if len(data) < length:
                raise BadFrameError("truncated frame")
            yield decode_message(data)
            self.memory.release(self)

    def close(self) -> None:
        """Shut the connection down, so that a read in progress ends; any task may call this."""
        self.closed = True
        try:
            self.connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def drop(self) -> None:
        """Drop what has been received of a frame, and close the connection; any task may call this.

        The bytes are dropped here, since the task that reads may not run for a while.
        """
        self.close()
        self.unread = bytearray()

    def release(self) -> None:
        """Close the file descriptor; only the task that reads may call this, when it ends."""
        self.close()
        self.memory.release(self)
        self.connection.close()

    def _read(self, size: int, deadline_s: float | None) -> bytes:
        """Return ``size`` bytes, or fewer if the connection ends before.

        :raises OSError: the connection failed, timed out or was closed for its memory.
        """
        while len(self.unread) < size and (chunk := self._receive(deadline_s)):
            self.unread += chunk
            if not self.memory.hold(self, len(self.unread)) or self.closed:
                raise ConnectionAbortedError("the link was closed")
        with memoryview(self.unread) as view, view[:size] as part:
            data = bytes(part)
        del self.unread[:size]
        return data

    def _receive(self, deadline_s: float | None) -> bytes:
        """Return the next bytes that arrive before the deadline.

        The wait is a poll and not a timeout of the socket, since that would apply to sends too.

        :raises TimeoutError: no bytes arrived before the deadline.
        """
        remaining = None if deadline_s is None else (deadline_s - monotonic()) * MILLIS_PER_SECOND
        poller = select.poll()
        poller.register(self.connection, select.POLLIN)
        if (remaining is not None and remaining <= 0) or not poller.poll(remaining):
            raise TimeoutError("no complete message in time")
        return self.connection.recv(RECEIVE_BUFFER_BYTES)

    def _send_all(self, data: bytes) -> bool:
        view = memoryview(data)
        try:
            while view:
                try:
                    sent = self.connection.send(view, socket.MSG_DONTWAIT)
                    view = view[sent:]
                except BlockingIOError:
                    if not self._wait_writable():
                        return False
        except OSError:
            return False
        return True

    def _wait_writable(self) -> bool:
        poller = select.poll()
        poller.register(self.connection, select.POLLOUT)
        return bool(poller.poll(SEND_TIMEOUT))
