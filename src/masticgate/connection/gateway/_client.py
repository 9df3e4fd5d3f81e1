"""One HTTP/1.1 connection to a server: one request at a time."""

import select
import socket
from collections.abc import Mapping
from contextlib import suppress
from dataclasses import dataclass
from threading import Lock
from urllib.parse import urlencode

from ..._clock import MILLIS_PER_SECOND, Clock
from ..._ids import Address, Millis
from .._address import split_address
from ._parser import Malformed, parse_number
from ._response_parser import ResponseParser

RECEIVE_BUFFER_BYTES = 16_384
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2
"""A peer that vanished is noticed within about three seconds, also on an idle connection."""

UNACKNOWLEDGED_TIMEOUT = Millis(2_000.0)
"""Sent bytes without an acknowledgement for so long end the connection."""


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A whole response."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class NoResponse:
    """The connection failed or time ran out; ``sent`` tells whether a byte may have left."""

    sent: bool
    detail: str


@dataclass(frozen=True, slots=True)
class InvalidResponse:
    """What came is no response."""

    detail: str


@dataclass(frozen=True, slots=True)
class GetTimeouts:
    """How long one GET may take to connect, and from then on to be answered."""

    connect: Millis
    response: Millis


class HttpClient:
    """One connection; its own task uses it, any task may :meth:`abort` it.

    The lock keeps a task from using the descriptor after another has closed it, when its number
    may belong to another connection already.
    """

    def __init__(self, address: Address, clock: Clock) -> None:
        self.address = address
        self.clock = clock
        self.lock = Lock()
        self.socket: socket.socket | None = None
        self.aborted = False
        self.reusable = False

    def get(
        self, host: str, path: str, query: Mapping[str, object], timeouts: GetTimeouts
    ) -> HttpResponse | NoResponse | InvalidResponse:
        """Exchange one GET; the connection is opened where it is not, or no longer, usable."""
        if self.is_stale():
            self.close()
        failure = self.connect(timeouts.connect)
        if failure is not None:
            return failure
        deadline = Millis(self.clock.now() + timeouts.response)
        head = f"GET {path}?{urlencode(query)} HTTP/1.1\r\nHost: {host}\r\n\r\n"
        return self.send(head.encode(), deadline) or self.receive(deadline)

    def connect(self, timeout: Millis) -> NoResponse | None:
        """Open the connection, unless it is open."""
        if self.socket is not None:
            return None
        self.aborted = False
        try:
            connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            connection.settimeout(max(0.001, timeout / MILLIS_PER_SECOND))
            _configure_socket(connection)
            self.socket = connection
            connection.connect(split_address(self.address))
        except OSError as error:
            self.close()
            return NoResponse(False, f"connect: {error}")
        self.reusable = True
        return None

    def is_stale(self) -> bool:
        """Tell whether the idle connection was closed or holds bytes that nobody asked for."""
        if self.socket is None or not self.reusable:
            return True
        poller = select.poll()
        poller.register(self.socket, select.POLLIN)
        return bool(poller.poll(0))

    def send(self, data: bytes, deadline: Millis) -> NoResponse | None:
        """Send one request."""
        assert self.socket is not None
        try:
            self.socket.settimeout(self._seconds_until(deadline))
            self.socket.sendall(data)
        except OSError as error:
            self.close()
            return NoResponse(True, f"send: {error}")
        return None

    def receive(self, deadline: Millis) -> HttpResponse | NoResponse | InvalidResponse:
        """Receive the response."""
        parser = ResponseParser()
        buffer = memoryview(bytearray(RECEIVE_BUFFER_BYTES))
        while True:
            problem = self._receive_into(parser, buffer, deadline)
            if parser.ready:
                response, *others = parser.ready
                if problem is not None or others or parser.in_message or not response.keep_alive:
                    self.close()
                return HttpResponse(response.status, response.body)
            if problem is not None:
                self.close()
                return problem

    def send_nowait(self, data: memoryview) -> int:
        """Send what the connection takes without waiting; any task may call this.

        The kernel reports a reset once: a receive after a send that failed looks like an orderly
        end, so the failure is noted under the lock.

        :raises OSError: the connection is closed, or takes nothing now.
        """
        with self.lock:
            if self.socket is None:
                raise ConnectionError("closed")
            try:
                return self.socket.send(data, socket.MSG_DONTWAIT)
            except BlockingIOError:
                raise
            except OSError:
                self.aborted = True
                raise

    def closed_cleanly(self) -> bool:
        """Tell whether an end that was received is the other side's and no reset."""
        with self.lock:
            return not self.aborted

    def abort(self) -> None:
        """Cut the connection from another task; a receive in progress fails at once."""
        with self.lock:
            self.aborted = True
            if self.socket is not None:
                with suppress(OSError):
                    self.socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection."""
        with self.lock:
            self.reusable = False
            if self.socket is not None:
                with suppress(OSError):
                    self.socket.close()
                self.socket = None

    def _receive_into(
        self, parser: ResponseParser, buffer: memoryview, deadline: Millis
    ) -> NoResponse | InvalidResponse | None:
        assert self.socket is not None
        if self.clock.now() >= deadline:
            return NoResponse(True, "receive: no whole response in time")
        try:
            self.socket.settimeout(self._seconds_until(deadline))
            count = self.socket.recv_into(buffer)
        except OSError as error:
            return NoResponse(True, f"receive: {error}")
        if not count:
            if self.closed_cleanly():
                parser.feed_eof()
            return NoResponse(True, "closed before the end of a response")
        problem = parser.feed(buffer[:count])
        return InvalidResponse(problem.detail) if isinstance(problem, Malformed) else None

    def _seconds_until(self, deadline: Millis) -> float:
        return max(0.001, (deadline - self.clock.now()) / MILLIS_PER_SECOND)


def parse_keep_alive_timeout(headers_by_name: Mapping[bytes, bytes]) -> Millis | None:
    """Return the idle time that a server states, ``None`` where it states none."""
    for token in headers_by_name.get(b"keep-alive", b"").split(b","):
        name, _, number = token.strip().partition(b"=")
        seconds = parse_number(number)
        if name.lower() == b"timeout" and seconds is not None:
            return Millis(seconds * MILLIS_PER_SECOND)
    return None


def _configure_socket(connection: socket.socket) -> None:
    """Let the kernel end a connection whose peer vanished."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    with suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
        connection.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(UNACKNOWLEDGED_TIMEOUT)
        )
