"""The client side of an HTTP/1.1 connection that carries one request at a time."""

import fcntl
import select
import socket
import termios
from collections.abc import Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from threading import Lock
from urllib.parse import urlencode

from ..._clock import MILLIS_PER_SECOND, Clock
from ..._ids import Address, Millis
from .._address import split_address
from ._buffers import SEARCHER_UNREAD_BYTES, bound_buffers
from ._parser import Malformed, parse_number
from ._response_parser import ResponseParser

RECEIVE_BUFFER_BYTES = 16_384

NO_BYTES = bytes(4)
"""The number 0 as the kernel returns it."""

KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2
"""The TCP keep-alive probes without a reply after which the kernel ends the connection.

With the idle time and the interval above, an unreachable server is detected within about three
seconds, even on an idle connection.
"""

UNACKNOWLEDGED_TIMEOUT = Millis(2_000.0)
"""The kernel ends the connection if sent bytes stay unacknowledged for this long."""


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response; the names of ``headers`` are in lower case."""

    status: int
    body: bytes
    headers: Mapping[bytes, bytes] = field(default_factory=dict, compare=False)


@dataclass(frozen=True, slots=True)
class NoResponse:
    """The connection failed or the time ran out before the response was complete.

    ``sent`` says whether a part of the request may have been sent, and ``closed_by_server``
    whether the server closed or reset the connection instead of answering.
    """

    sent: bool
    detail: str
    closed_by_server: bool = False


@dataclass(frozen=True, slots=True)
class InvalidResponse:
    """The received bytes are not a valid HTTP response, or exceed a limit."""

    detail: str


@dataclass(frozen=True, slots=True)
class GetTimeouts:
    """The time limits of one GET request.

    ``connect`` bounds the opening of the connection, ``response`` the time from then until the
    response is complete.
    """

    connect: Millis
    response: Millis


class HttpClient:
    """One connection to a server.

    One task uses it, but any task may call :meth:`send_nowait` and :meth:`abort`.

    Once a file descriptor is closed, its number may belong to another connection. The lock keeps
    a task from using the descriptor after another task has closed it.
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
        """Send one GET request and return the response.

        A new connection is opened first if there is none or the present one is not usable.
        """
        if self.is_stale():
            self.close()
        failure = self.connect(timeouts.connect)
        if failure is not None:
            return failure
        deadline = Millis(self.clock.now() + timeouts.response)
        head = f"GET {path}?{urlencode(query)} HTTP/1.1\r\nHost: {host}\r\n\r\n"
        return self.send(head.encode(), deadline) or self.receive(deadline)

    def connect(self, timeout: Millis) -> NoResponse | None:
        """Open the connection if it is not open; return a failure if that is not possible."""
        if self.socket is not None:
            return None
        try:
            connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            connection.settimeout(max(0.001, timeout / MILLIS_PER_SECOND))
            _configure_socket(connection)
            with self.lock:
                if self.aborted:
                    connection.close()
                    return NoResponse(False, "connect: aborted")
                self.socket = connection
            connection.connect(split_address(self.address))
        except OSError as error:
            self.close()
            return NoResponse(False, f"connect: {error}")
        self.reusable = True
        return None

    def is_stale(self) -> bool:
        """Return whether the connection cannot carry another request.

        That is the case if it is not open, if the server closed it while it was idle, or if bytes
        arrived that belong to no request.
        """
        if self.socket is None or not self.reusable:
            return True
        poller = select.poll()
        poller.register(self.socket, select.POLLIN)
        return bool(poller.poll(0))

    def send(self, data: bytes, deadline: Millis) -> NoResponse | None:
        """Send one request; return a failure if it was not sent completely."""
        assert self.socket is not None
        try:
            self.socket.settimeout(self._seconds_until(deadline))
            self.socket.sendall(data)
        except OSError as error:
            self.close()
            return NoResponse(True, f"send: {error}")
        return None

    def receive(self, deadline: Millis) -> HttpResponse | NoResponse | InvalidResponse:
        """Return the response, or why no valid one arrived before ``deadline``.

        The connection is closed unless it can carry another request.
        """
        parser = ResponseParser()
        buffer = memoryview(bytearray(RECEIVE_BUFFER_BYTES))
        while True:
            problem = self._receive_into(parser, buffer, deadline)
            if parser.ready:
                response, *others = parser.ready
                if problem is not None or others or parser.in_message or not response.keep_alive:
                    self.close()
                parser.discard()
                return HttpResponse(response.status, response.body, response.headers_by_name)
            if problem is not None:
                self.close()
                parser.discard()
                return problem

    def send_nowait(self, data: memoryview) -> int:
        """Send as many bytes as possible without waiting, and return their number.

        Any task may call this. The kernel reports a reset of the connection only once: if a send
        has failed, the next receive returns no bytes, as if the server had closed the connection
        normally. The failure of a send is therefore recorded in ``aborted``, under the lock.

        :raises BlockingIOError: the send buffer of the socket is full.
        :raises OSError: the connection is closed or has failed.
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

    def fileno(self) -> int:
        """Return the descriptor of the connection, or -1 if it is not open; any task may call this.

        It may be closed, and its number be used again, as soon as this returns.
        """
        with self.lock:
            return -1 if self.socket is None else self.socket.fileno()

    def is_acknowledged(self) -> bool:
        """Return whether the server's host has received all bytes that were sent.

        The result is ``False`` if that is not known. Any task may call this.
        """
        with self.lock:
            if self.socket is None:
                return False
            try:
                return fcntl.ioctl(self.socket, termios.TIOCOUTQ, NO_BYTES) == NO_BYTES
            except OSError:
                return False

    def closed_normally(self) -> bool:
        """Return whether the server closed the connection normally.

        To be called after a receive returned no bytes. The result is ``False`` after
        :meth:`abort`, or if a send has failed, for example because of a reset.
        """
        with self.lock:
            return not self.aborted

    def abort(self) -> None:
        """Shut the connection down; any task may call this.

        A receive in progress on it ends at once.
        """
        with self.lock:
            self.aborted = True
            if self.socket is not None:
                with suppress(OSError):
                    self.socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection; it may be opened again, even after :meth:`abort`."""
        with self.lock:
            self.reusable = False
            self.aborted = False
            if self.socket is not None:
                with suppress(OSError):
                    self.socket.close()
                self.socket = None

    def _receive_into(
        self, parser: ResponseParser, buffer: memoryview, deadline: Millis
    ) -> NoResponse | InvalidResponse | None:
        assert self.socket is not None
        if self.clock.now() >= deadline:
            return NoResponse(True, "receive: no complete response in time")
        try:
            self.socket.settimeout(self._seconds_until(deadline))
            count = self.socket.recv_into(buffer)
        except OSError as error:
            was_reset = isinstance(error, ConnectionResetError)
            return NoResponse(True, f"receive: {error}", closed_by_server=was_reset)
        if not count:
            if self.closed_normally():
                parser.feed_eof()
            detail = "closed before the end of the response"
            return NoResponse(True, detail, closed_by_server=True)
        problem = parser.feed(buffer[:count])
        return InvalidResponse(problem.detail) if isinstance(problem, Malformed) else None

    def _seconds_until(self, deadline: Millis) -> float:
        return max(0.001, (deadline - self.clock.now()) / MILLIS_PER_SECOND)


def parse_keep_alive_timeout(headers_by_name: Mapping[bytes, bytes]) -> Millis | None:
    """Return the idle timeout in the ``Keep-Alive`` header, or ``None`` if it states none."""
    for token in headers_by_name.get(b"keep-alive", b"").split(b","):
        name, _, number = token.strip().partition(b"=")
        seconds = parse_number(number)
        if name.lower() == b"timeout" and seconds is not None:
            return Millis(seconds * MILLIS_PER_SECOND)
    return None


def _configure_socket(connection: socket.socket) -> None:
    """Make the kernel send small messages at once and detect an unreachable server."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    bound_buffers(connection, SEARCHER_UNREAD_BYTES)
    with suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
        connection.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(UNACKNOWLEDGED_TIMEOUT)
        )
