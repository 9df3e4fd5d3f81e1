"""The server side of a caller's connection: HTTP/1.1 with keep-alive and pipelining.

Each connection has a task of its own, which serves the requests one after another: it passes a
request to the handler and sends the reply before it serves the next one.
"""

import socket
from contextlib import suppress
from dataclasses import replace

from ..._clock import MILLIS_PER_SECOND
from ..._failures import NotRun, Reason, Step
from ..._ids import Millis, RequestId
from ...request.gateway import Abandoned, LocalPage, Refused, Reply
from ._buffers import CALLER_UNREAD_BYTES, KERNEL_STACK_BYTES, MAX_UNSENT_BYTES
from ._caller_settings import CallerSettings as CallerSettings
from ._caller_settings import Handler as Handler
from ._closing_order import CallerState, Closing, Occupant
from ._encoding import encode_peer_reply, encode_reply
from ._holding import Holding, MemoryUse
from ._inbox import ORDINARY_ANSWER_BYTES, RequestInbox, WakeableSocket
from ._parser import (
    Malformed,
    NoMemory,
    ParsedRequest,
    RequestParser,
    TooLarge,
)
from ._request_decoding import (
    decode_request,
    find_request_id,
    refuse_for_memory,
    refuse_unread,
)

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

LINGER_TIME = Millis(2_000.0)
MAX_LINGER_BYTES = 2_000_000
"""After a refusal, the rest of a request is read and dropped for this long, up to this size.

Closing a connection with unread bytes resets it, and the caller may then lose the reply.
"""

FIRST_REQUEST_TIME = Millis(1_000.0)
"""The time in which the first request of a new connection may be on its way."""

DROPPED_BYTES = bytearray(32_768)
"""The buffer for bytes that are dropped; all connections write into it, and nobody reads it."""

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class CallerConnection:
    """The connection of one caller, whose requests are served one after another.

    ``limits`` are those of the request that is received: where they changed since its first bytes,
    the more generous value of each.
    """

    def __init__(self, connection: socket.socket, settings: CallerSettings) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.settings = settings
        self.clock = settings.clock
        self.connection = connection
        self.state = CallerState.IDLE
        self.is_first_request = True
        self.opened_at = settings.clock.now()
        self.state_changed_at = self.opened_at
        self.limits = settings.limits()
        self.memory = settings.memory
        holding = Holding(self.memory, MemoryUse.REQUESTS, ORDINARY_REQUEST_BYTES)
        self.parser = RequestParser(self.limits.header_bytes, self.limits.body_bytes, holding)
        self.parse_error: TooLarge | NoMemory | Malformed | None = None
        self.buffer = memoryview(bytearray(RECEIVE_BUFFER_BYTES))
        self.wakeable_socket = WakeableSocket(connection, settings.clock)
        self.answers: Holding | None = None
        self.memory.add(MemoryUse.CALLERS, CALLER_CONNECTION_BYTES)
        self.memory.add(MemoryUse.KERNEL, CALLER_KERNEL_BYTES)

    def run(self) -> None:
        """Serve requests until either side closes the connection."""
        try:
            while (parsed := self._read_request()) is not None:
                self._set_state(CallerState.SERVING)
                cost = parsed.cost
                goes_on = self._serve(parsed)
                # Otherwise the body would be kept until the next request.
                del parsed
                if not goes_on:
                    break
                self.parser.holding.shrink(cost)
                self._set_state(CallerState.IDLE)
            if self.state is CallerState.REFUSED:
                self._drop_input()
        finally:
            self.close()

    def close(self) -> None:
        """Close the connection and return its memory; to be called once."""
        self.wakeable_socket.close()
        self.parser.discard()
        self.memory.release(MemoryUse.CALLERS, CALLER_CONNECTION_BYTES)
        self.memory.release(MemoryUse.KERNEL, CALLER_KERNEL_BYTES)

    def describe(self) -> "Occupant[CallerConnection]":
        """Return what decides whether the connection gives way to others; any task may call it."""
        now = self.clock.now()
        state, changed_at = self.state, self.state_changed_at
        is_new = changed_at == self.opened_at and now - changed_at < FIRST_REQUEST_TIME
        in_progress = state in (CallerState.SERVING, CallerState.SENDING)
        further = in_progress and self.has_further_input()
        lasting = Millis(now - changed_at)
        return Occupant(self, state, lasting, is_new, further, self.held_bytes)

    @property
    def held_bytes(self) -> int:
        """Return the bytes that are held for the present request and its answers."""
        answers = self.answers
        return self.parser.holding.held + (0 if answers is None else answers.held)

    def has_further_input(self) -> bool:
        """Return whether more than the present request has arrived; any task may call this."""
        return bool(self.parser.ready) or self.wakeable_socket.has_input()

    @property
    def is_ending(self) -> bool:
        """Return whether the connection ends once its present request is served."""
        return self.wakeable_socket.reading_stopped

    def end(self, closing: Closing) -> None:
        """End the connection, so that its task ends; any task may call this."""
        match closing:
            case Closing.INPUT | Closing.AFTER_REPLY:
                self.wakeable_socket.stop_reading()
            case Closing.ABORT:
                self.wakeable_socket.abort()

    def turn_away(self) -> None:
        """Refuse the caller without waiting for its request; to be called instead of :meth:`run`.

        What it has sent is read after that, since the reply might be lost otherwise. A gateway gets
        no reply, since it would take one without the id of its request for that of another one.
        """
        if not self.settings.callers_are_gateways:
            refusal = refuse_for_memory("no room for more connections")
            blocks = self._encode(refusal, RequestId(""), close=True)
            with suppress(OSError):
                self.connection.setblocking(False)
                self.connection.send(b"".join(blocks))
                self.connection.shutdown(socket.SHUT_WR)
                self.connection.recv_into(self.buffer)
        self.close()

    def _set_state(self, state: CallerState) -> None:
        self.state = state
        self.state_changed_at = self.clock.now()

    def _serve(self, parsed: ParsedRequest) -> bool:
        """Reply to one request; return ``False`` if the connection has to be closed."""
        arrived_at = Millis(self.clock.now() - self.settings.transit_time)
        request = decode_request(parsed, self.settings.header_names, arrived_at)
        if isinstance(request, Refused):
            self._refuse(request, find_request_id(parsed.headers, self.settings.header_names))
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
        self.answers = inbox.answers
        try:
            reply = self.settings.handler(request, inbox)
            if isinstance(reply, Abandoned):
                return False
            if isinstance(reply, LocalPage) and not inbox.answers.grow(len(reply.body)):
                reply = refuse_for_memory()
            close = not parsed.keep_alive or self.settings.is_closing() or self.is_ending
            further = (close or _is_overload(reply)) and self.has_further_input()
            close = close or further
            blocks = self._encode(reply, request.id, close=close)
            size = sum(map(len, blocks))
            if size > ORDINARY_ANSWER_BYTES:
                # What the socket holds of a larger reply until the caller accepts it.
                inbox.answers.add(min(size, MAX_UNSENT_BYTES))
            self._set_state(CallerState.SENDING)
            sent = self._send(blocks)
            if sent and further:
                self._drop_further_input()
            return sent and not close
        finally:
            self.answers = None
            inbox.close()

    def _encode(self, reply: Reply, request_id: RequestId, *, close: bool) -> tuple[bytes, ...]:
        header_names = self.settings.header_names
        if self.settings.callers_are_gateways:
            return encode_peer_reply(reply, header_names, request_id, close=close)
        return encode_reply(reply, header_names, close=close)

    def _refuse(self, refusal: Refused, request_id: RequestId) -> None:
        """Refuse a request, of which more bytes may arrive; its connection is to end.

        What was received of it is dropped first: many refused callers may send on for seconds.
        """
        self.parser.discard()
        if self._send(self._encode(refusal, request_id, close=True)):
            self._set_state(CallerState.REFUSED)

    def _drop_further_input(self) -> None:
        """Drop the requests behind the present one, so that their caller gets the last reply.

        The caller did not wait for the reply, which refuses a request or ends the connection.
        """
        self.parser.discard()
        self._set_state(CallerState.REFUSED)

    def _drop_input(self) -> None:
        """Read and drop what the caller still sends, until it closes its side."""
        deadline = self.state_changed_at + LINGER_TIME
        dropped = 0
        try:
            self.connection.shutdown(socket.SHUT_WR)
            while dropped < MAX_LINGER_BYTES and (remaining := deadline - self.clock.now()) > 0:
                self.connection.settimeout(remaining / MILLIS_PER_SECOND)
                count = self.connection.recv_into(DROPPED_BYTES)
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
                self.limits = self.limits.widen(self.settings.limits())
                deadline = Millis(self.state_changed_at + self.limits.header_timeout)
            remaining = deadline - self.clock.now()
            if remaining <= 0:
                self._handle_timeout()
                return None
            if not self._receive_in_turn(Millis(remaining)):
                return None
        return self.parser.ready.pop(0)

    def _receive_in_turn(self, wait: Millis) -> bool:
        """Receive and parse the next bytes; return ``False`` if nothing more can be received."""
        if not self.parser.is_costly:
            return self._receive_part(wait)
        if not self.wakeable_socket.wait_for_input(wait):
            return True
        with self.settings.receiving_turn:
            return self._receive_part(wait)

    def _receive_part(self, wait: Millis) -> bool:
        data = self._receive(wait)
        if data is None:
            return True
        if not data:
            self._handle_end_of_input()
            return False
        return self._parse(data)

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

        The limits are those in force now, not those at the start of the wait for the bytes. An
        error is kept in ``parse_error``, because the complete requests before the invalid bytes are
        served first.
        """
        current = self.settings.limits()
        self.limits = current if self.parser.idle else self.limits.widen(current)
        self.parser.limit_sizes(current.header_bytes, current.body_bytes)
        self.parse_error = self.parser.feed(data)
        return self.parse_error is not None or self._send_continue()

    def _send_parse_error(self, parse_error: TooLarge | NoMemory | Malformed) -> None:
        match parse_error:
            case TooLarge(status=status):
                refusal = refuse_unread(status, Reason.TOO_LARGE, "")
            case NoMemory():
                refusal = refuse_for_memory()
            case Malformed(detail=detail):
                refusal = refuse_unread(400, Reason.BAD_REQUEST, detail)
        self._refuse(refusal, self._find_partial_id())

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
        refusal = refuse_for_memory("no room for more connections")
        if self.settings.is_closing():
            refusal = replace(refusal, failure=NotRun(Reason.SHUTTING_DOWN, Step.READ))
        self._refuse(refusal, self._find_partial_id())

    def _handle_timeout(self) -> None:
        if not self.parser.idle:
            refusal = refuse_unread(408, Reason.DEADLINE, "the request was not complete in time")
            self._refuse(refusal, self._find_partial_id())

    def _find_partial_id(self) -> RequestId:
        """Return the id of the request that is received in part, if its headers state it."""
        headers = self.parser.refused_headers or self.parser.headers
        return find_request_id(headers, self.settings.header_names)


def _is_overload(reply: Reply) -> bool:
    """Return whether the reply tells the caller to wait before its next request."""
    return isinstance(reply, Refused) and reply.retry_after is not None
