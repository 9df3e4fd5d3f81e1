"""The server side of a caller's connection: HTTP/1.1 with keep-alive and pipelining.

Each connection has a task of its own, which serves the requests one after another: it passes a
request to the handler and sends the reply before it serves the next one.
"""

import random
import socket
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum

from ..._clock import MILLIS_PER_SECOND, Clock
from ..._failures import NotRun, Reason, Step
from ..._ids import Millis, RequestId
from ...request.gateway import Abandoned, Inbox, LocalPage, Refused, Reply, Request
from ...request.gateway._exchange import Header
from ...version.gateway import Limits
from ._buffers import CALLER_UNREAD_BYTES, KERNEL_STACK_BYTES, MAX_UNSENT_BYTES
from ._encoding import encode_peer_reply, encode_reply
from ._header_names import (
    NETWORK_TIME_HEADER,
    PART_HEADER,
    HeaderNames,
)
from ._holding import UNLIMITED_MEMORY, Holding, MemoryBudget, MemoryUse
from ._inbox import ORDINARY_ANSWER_BYTES, RequestInbox, WakeableSocket
from ._parser import (
    Malformed,
    NoMemory,
    ParsedRequest,
    RequestParser,
    TooLarge,
    end_to_end_headers,
    find_header,
    parse_number,
)
from ._part_codec import decode_part

RECEIVE_BUFFER_BYTES = 4_096
"""The size of the receive buffer of one connection; most requests fit into it."""

WRITE_TIMEOUT = Millis(5_000.0)
"""A connection is closed if the caller does not accept the whole reply within this time."""

STALL_TIMEOUT = Millis(1_000.0)
"""It is closed if the caller accepts no byte for this long while memory is short."""

ORDINARY_REQUEST_BYTES = 8_192
"""The bytes of the requests of one connection that are part of the memory of the connection."""

CALLER_CONNECTION_BYTES = 28_000 + ORDINARY_REQUEST_BYTES + ORDINARY_ANSWER_BYTES
"""The memory of one connection, with its task and the ordinary part of a request and a reply."""

CALLER_KERNEL_BYTES = CALLER_UNREAD_BYTES + KERNEL_STACK_BYTES

NO_MEMORY_RETRY_AFTER = Millis(250.0)
"""The time after which other requests have usually ended, and their memory is free again."""

MAX_RETURN_SPREAD = 1.5
"""Refused callers are told to return after up to this many times that, not all together."""

LINGER_TIME = Millis(2_000.0)
MAX_LINGER_BYTES = 2_000_000
"""After a refusal, the rest of a request is read and dropped for this long, up to this size.

Closing a connection with unread bytes resets it, and the caller may then lose the reply.
"""

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"

PEER_HEADERS = (NETWORK_TIME_HEADER, PART_HEADER)
"""The headers that only a gateway adds; they are not forwarded."""

Handler = Callable[[Request, Inbox], Reply]
"""Serves one request and returns the reply.

The inbox reports which calls to searchers have finished, and whether the caller has closed its
connection.
"""


@dataclass(frozen=True, slots=True)
class CallerSettings:
    """The settings that all connections of one listener share.

    ``limits`` returns the size limits and timeouts in force. If ``is_closing`` returns ``True``,
    each reply announces the end of its connection. ``callers_are_gateways`` is set if the callers
    are other gateways. A request counts as received ``transit_time`` before it arrived, to allow
    for the time that the request and its reply spend between two gateways. The bytes that the
    connections hold are taken from ``memory``.
    """

    handler: Handler
    header_names: HeaderNames
    clock: Clock
    limits: Callable[[], Limits]
    is_closing: Callable[[], bool]
    callers_are_gateways: bool = False
    transit_time: Millis = Millis(0.0)
    memory: MemoryBudget = UNLIMITED_MEMORY


class CallerState(Enum):
    """The activity of a caller's connection.

    In state ``IDLE`` the connection waits for a request, in ``READING`` it has received a part of a
    request, and in ``SERVING`` its task runs the handler or sends the reply. In ``REFUSED`` it
    drops the rest of a request that was refused.
    """

    IDLE = "idle"
    READING = "reading"
    SERVING = "serving"
    REFUSED = "refused"


class CallerConnection:
    """The connection of one caller, whose requests are served one after another."""

    def __init__(self, connection: socket.socket, settings: CallerSettings) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.settings = settings
        self.clock = settings.clock
        self.connection = connection
        self.state = CallerState.IDLE
        self.is_first_request = True
        self.state_changed_at = settings.clock.now()
        limits = settings.limits()
        self.memory = settings.memory
        holding = Holding(self.memory, MemoryUse.REQUESTS, ORDINARY_REQUEST_BYTES)
        self.parser = RequestParser(limits.header_bytes, limits.body_bytes, holding)
        self.parse_error: TooLarge | NoMemory | Malformed | None = None
        self.buffer = memoryview(bytearray(RECEIVE_BUFFER_BYTES))
        self.wakeable_socket = WakeableSocket(connection, settings.clock)
        self.memory.add(MemoryUse.CALLERS, CALLER_CONNECTION_BYTES)
        self.memory.add(MemoryUse.KERNEL, CALLER_KERNEL_BYTES)

    def run(self) -> None:
        """Serve requests until either side closes the connection."""
        try:
            while (parsed := self._read_request()) is not None:
                self._set_state(CallerState.SERVING)
                cost = parsed.cost
                if not self._serve(parsed):
                    break
                # Otherwise the body would be kept until the next request.
                del parsed
                self.parser.holding.shrink(cost)
                self._set_state(CallerState.IDLE)
        finally:
            self.close()

    def close(self) -> None:
        """Close the connection and return its memory; to be called once."""
        self.wakeable_socket.close()
        self.parser.discard()
        self.memory.release(MemoryUse.CALLERS, CALLER_CONNECTION_BYTES)
        self.memory.release(MemoryUse.KERNEL, CALLER_KERNEL_BYTES)

    @property
    def is_ending(self) -> bool:
        """Return whether the connection ends once its present request is served."""
        return self.wakeable_socket.reading_stopped

    def stop_reading(self) -> None:
        """End the input of the connection, so that its task ends; any task may call this.

        A request that has already arrived is still served.
        """
        self.wakeable_socket.stop_reading()

    def _set_state(self, state: CallerState) -> None:
        self.state = state
        self.state_changed_at = self.clock.now()

    def _serve(self, parsed: ParsedRequest) -> bool:
        """Reply to one request; return ``False`` if the connection has to be closed."""
        arrived_at = Millis(self.clock.now() - self.settings.transit_time)
        request = decode_request(parsed, self.settings.header_names, arrived_at)
        if isinstance(request, Refused):
            self._refuse(request, parsed.headers)
            return False
        if not self.settings.callers_are_gateways:
            # The network time and the part count only if the caller is a gateway.
            request = replace(
                request,
                is_first_on_connection=self.is_first_request,
                network_time=Millis(0.0),
                part=None,
            )
            self.is_first_request = False
        inbox = RequestInbox(self.wakeable_socket, self.memory)
        try:
            reply = self.settings.handler(request, inbox)
            if isinstance(reply, Abandoned):
                return False
            if isinstance(reply, LocalPage) and not inbox.answers.grow(len(reply.body)):
                reply = _refuse_for_memory()
            close = not parsed.keep_alive or self.settings.is_closing()
            blocks = self._encode(reply, request.id, close=close)
            size = sum(map(len, blocks))
            if size > ORDINARY_ANSWER_BYTES:
                # What the socket holds of a larger reply until the caller accepts it.
                inbox.answers.add(min(size, MAX_UNSENT_BYTES))
            return self._send(blocks) and not close
        finally:
            inbox.close()

    def _encode(self, reply: Reply, request_id: RequestId, *, close: bool) -> tuple[bytes, ...]:
        header_names = self.settings.header_names
        if self.settings.callers_are_gateways:
            return encode_peer_reply(reply, header_names, request_id, close=close)
        return encode_reply(reply, header_names, close=close)

    def _refuse(self, refusal: Refused, headers: list[Header]) -> None:
        """Refuse the request with ``headers``, of which more bytes may arrive, and end."""
        request_id = _find_request_id(headers, self.settings.header_names)
        self.parser.discard()
        if self._send(self._encode(refusal, request_id, close=True)):
            self._drop_input()

    def _drop_input(self) -> None:
        """Read and drop what the caller still sends, until it closes its side."""
        self._set_state(CallerState.REFUSED)
        deadline = self.state_changed_at + LINGER_TIME
        dropped = 0
        try:
            self.connection.shutdown(socket.SHUT_WR)
            while dropped < MAX_LINGER_BYTES and (remaining := deadline - self.clock.now()) > 0:
                self.connection.settimeout(remaining / MILLIS_PER_SECOND)
                count = self.connection.recv_into(self.buffer)
                if not count:
                    return
                dropped += count
        except OSError:
            return

    def _send(self, blocks: tuple[bytes, ...]) -> bool:
        """Send a reply; return ``False`` if the caller does not accept it.

        It has :data:`WRITE_TIMEOUT` for all of it, but only :data:`STALL_TIMEOUT` without accepting
        any byte if the memory of the process is short.
        """
        deadline = Millis(self.clock.now() + WRITE_TIMEOUT)
        try:
            self.connection.settimeout(STALL_TIMEOUT / MILLIS_PER_SECOND)
            for block in blocks:
                data = memoryview(block)
                while data := data[self._send_some(data, deadline) :]:
                    if self.clock.now() >= deadline:
                        return False
        except OSError:
            return False
        return True

    def _send_some(self, data: memoryview, deadline: Millis) -> int:
        """Send as many bytes as the caller accepts and return their number.

        :raises TimeoutError: it accepted none for too long.
        """
        try:
            return self.connection.send(data)
        except TimeoutError:
            if self.clock.now() >= deadline or self.memory.is_short():
                raise
            return 0

    def _read_request(self) -> ParsedRequest | None:
        """Return the next request, or ``None`` if the connection has to be closed.

        If the idle timeout changes during the wait, the longest value counts.
        """
        idle_limit = self.settings.limits().idle_timeout
        while not self.parser.ready:
            if self.parse_error is not None:
                self._send_parse_error(self.parse_error)
                return None
            if self.parser.idle:
                idle_limit = max(idle_limit, self.settings.limits().idle_timeout)
                deadline = Millis(self.state_changed_at + idle_limit)
            else:
                if self.state is CallerState.IDLE:
                    self._set_state(CallerState.READING)
                deadline = Millis(self.state_changed_at + self.settings.limits().header_timeout)
            remaining = deadline - self.clock.now()
            if remaining <= 0:
                self._handle_timeout()
                return None
            data = self._receive(Millis(remaining))
            if data is not None and not data:
                self._handle_end_of_input()
                return None
            if data is not None and not self._parse(data):
                return None
        return self.parser.ready.pop(0)

    def _receive(self, wait: Millis) -> memoryview | None:
        """Return the next bytes that arrive, or ``None`` if none arrive within ``wait``.

        The result is empty if the connection has ended.
        """
        try:
            self.connection.settimeout(wait / MILLIS_PER_SECOND)
            return self.buffer[: self.connection.recv_into(self.buffer)]
        except TimeoutError:
            return None
        except OSError:
            return self.buffer[:0]

    def _parse(self, data: memoryview) -> bool:
        """Parse received bytes; return ``False`` if nothing more can be sent to the caller.

        An error is kept in ``parse_error``, because the complete requests before the invalid bytes
        are served first.
        """
        self.parse_error = self.parser.feed(data)
        return self.parse_error is not None or self._send_continue()

    def _send_parse_error(self, parse_error: TooLarge | NoMemory | Malformed) -> None:
        match parse_error:
            case TooLarge(status=status):
                refusal = _refusal(status, Reason.TOO_LARGE, "")
            case NoMemory():
                refusal = _refuse_for_memory()
            case Malformed(detail=detail):
                refusal = _refusal(400, Reason.BAD_REQUEST, detail)
        self._refuse(refusal, self.parser.refused_headers or self.parser.headers)

    def _send_continue(self) -> bool:
        if not self.parser.expects_continue or not self.parser.in_body:
            return True
        self.parser.expects_continue = False
        try:
            self.connection.sendall(CONTINUE_RESPONSE)
        except OSError:
            return False
        return True

    def _handle_end_of_input(self) -> None:
        """Refuse an incomplete request if this gateway ended the input, to make room or to stop."""
        if not self.is_ending or self.parser.idle:
            return
        refusal = _refuse_for_memory("no room for more connections")
        if self.settings.is_closing():
            refusal = replace(refusal, failure=NotRun(Reason.SHUTTING_DOWN, Step.READ))
        self._refuse(refusal, self.parser.headers)

    def _handle_timeout(self) -> None:
        if not self.parser.idle:
            refusal = _refusal(408, Reason.DEADLINE, "the request was not complete in time")
            self._refuse(refusal, self.parser.headers)


def decode_request(
    parsed: ParsedRequest, header_names: HeaderNames, arrived_at: Millis
) -> Request | Refused:
    """Return the request for the handler, or a refusal if its target or Host header is invalid."""
    hosts = [value for name, value in parsed.headers if name.lower() == b"host"]
    if len(hosts) > 1 or (not hosts and parsed.http_version != "1.0"):
        return _refusal(400, Reason.BAD_REQUEST, "exactly one Host header is required")
    if not parsed.target.startswith(b"/"):
        return _refusal(400, Reason.BAD_REQUEST, "the request target must be a path")
    network_time = _parse_millis(find_header(parsed.headers, NETWORK_TIME_HEADER))
    internal = (header_names.expected_searcher, *PEER_HEADERS)
    host = hosts[0].decode("latin-1").partition(":")[0] if hosts else ""
    return Request(
        _find_request_id(parsed.headers, header_names),
        parsed.method,
        parsed.target,
        host,
        tuple(h for h in end_to_end_headers(parsed.headers) if h[0].lower() not in internal),
        parsed.body,
        _parse_millis(find_header(parsed.headers, header_names.caller_timeout)),
        arrived_at,
        network_time=network_time or Millis(0.0),
        part=decode_part(find_header(parsed.headers, PART_HEADER) or b""),
    )


def _find_request_id(headers: list[Header], header_names: HeaderNames) -> RequestId:
    return RequestId((find_header(headers, header_names.request_id) or b"").decode("latin-1"))


def _refuse_for_memory(detail: str = "no memory for the request") -> Refused:
    failure = NotRun(Reason.OVERLOAD, Step.READ, detail=detail)
    wait = Millis(NO_MEMORY_RETRY_AFTER * random.uniform(1.0, MAX_RETURN_SPREAD))
    return Refused(503, failure, wait)


def _parse_millis(value: bytes | None) -> Millis | None:
    number = None if value is None else parse_number(value)
    return None if number is None else Millis(float(number))


def _refusal(status: int, reason: Reason, detail: str) -> Refused:
    return Refused(status, NotRun(reason, Step.READ, detail=detail))
