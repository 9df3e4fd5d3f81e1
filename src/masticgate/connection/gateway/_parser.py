"""A parser for HTTP/1.1 requests, based on httptools, that bounds the size of a request."""

from dataclasses import dataclass

import httptools

from ...request.gateway._exchange import Header
from ._body_buffer import BodyBuffer
from ._buffers import MAX_UNSENT_BYTES
from ._holding import UNLIMITED_MEMORY, Holding, MemoryUse

HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
"""Headers that are not forwarded.

They concern one connection only, or the gateway sets them anew in the message that it sends.
"""

HEADER_OBJECT_BYTES = 150
"""The memory of one header, in addition to its bytes: a tuple and two byte strings."""

REQUEST_OBJECT_BYTES = 800
"""The memory of one request, in addition to its headers and its body."""

HELD_STEP_BYTES = 1_024
"""The bytes of a body in chunks are held in steps of this size, ahead of their arrival.

All connections share one budget. With one call to it for each chunk of one byte, they were
waiting for its lock most of the time. The step is small, so that a small body stays within what
its connection accounts for.
"""

MANY_PIECES = 512
LARGE_BODY_BYTES = 16_384
"""The rest of a body of more pieces, such as chunks, or of more bytes is received in turn.

A piece of one byte costs as much processor time as one that fills the receive buffer.
"""

MAX_NUMBER_DIGITS = 18
"""The maximum number of digits of a size or a time in a header, so that it fits in 63 bits."""


@dataclass(slots=True)
class ParsedRequest:
    """One complete request as received; ``cost`` is the number of bytes that are held for it."""

    method: bytes
    target: bytes
    http_version: str
    headers: list[Header]
    body: bytes
    keep_alive: bool
    cost: int


@dataclass(frozen=True, slots=True)
class TooLarge:
    """The request is larger than allowed; ``status`` is the HTTP status of the response."""

    status: int


@dataclass(frozen=True, slots=True)
class NoMemory:
    """The process has no memory for the request, which is whole or in part not yet received."""


@dataclass(frozen=True, slots=True)
class Malformed:
    """The received bytes are not an HTTP message that the parser accepts."""

    detail: str


@dataclass(frozen=True, slots=True)
class Oversized(Malformed):
    """The received bytes exceed a limit of the message, or of the process if it lacks memory."""

    lacked_memory: bool = False


def find_header(headers: list[Header] | tuple[Header, ...], name: bytes) -> bytes | None:
    """Return the value of the first header called ``name``, which is given in lower case.

    The result is ``None`` if there is no such header.
    """
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def parse_number(text: bytes, max_digits: int = MAX_NUMBER_DIGITS) -> int | None:
    """Return the number in ``text``, or ``None`` if it is not all digits or has too many."""
    digits = text.strip()
    return int(digits) if len(digits) <= max_digits and digits.isdigit() else None


def end_to_end_headers(headers: list[Header] | tuple[Header, ...]) -> tuple[Header, ...]:
    """Return the headers to forward.

    Left out are :data:`HOP_BY_HOP_HEADERS` and the headers that a ``Connection`` header names.
    """
    dropped = set(HOP_BY_HOP_HEADERS)
    for key, value in headers:
        if key.lower() == b"connection":
            dropped.update(token.strip().lower() for token in value.split(b","))
    return tuple(header for header in headers if header[0].lower() not in dropped)


class RequestParser:
    """Collects complete requests in ``ready`` from the bytes that one caller sends.

    More than one may be ready, since a caller may send requests without waiting for the response.
    ``header_bytes`` and ``body_bytes`` are the maximum sizes of the present request's head and
    body, and ``header_bytes`` also that of what stands between the pieces of a body or follows it.
    ``further_sizes`` are both sizes for the requests after it. The bytes of each request are taken
    from ``holding``: those of a body that states its length once its head is complete.
    ``refused_headers`` are those of a request with an error in its size. ``pieces`` counts the
    pieces in which the present body arrived, such as chunks.
    """

    def __init__(self, header_bytes: int, body_bytes: int, holding: Holding | None = None) -> None:
        self.header_bytes, self.body_bytes = header_bytes, body_bytes
        self.further_sizes = header_bytes, body_bytes
        self.holding = holding or Holding(UNLIMITED_MEMORY, MemoryUse.REQUESTS, 0)
        self.refused_headers: list[Header] = []
        self.parser = httptools.HttpRequestParser(self)
        self.ready: list[ParsedRequest] = []
        self.expects_continue = False
        self._reset()

    def limit_sizes(self, header_bytes: int, body_bytes: int) -> None:
        """Set the maximum sizes of the requests that begin from now on.

        The present one, if any, may have what either the former or the new ones allow.
        """
        self.further_sizes = header_bytes, body_bytes
        if self.in_message:
            header_bytes = max(header_bytes, self.header_bytes)
            body_bytes = max(body_bytes, self.body_bytes)
        self.header_bytes, self.body_bytes = header_bytes, body_bytes

    def feed(self, data: bytes | memoryview) -> TooLarge | NoMemory | Malformed | None:
        """Parse received bytes; return an error if they are invalid or exceed a limit."""
        if self.in_body:
            self.framing_size += len(data)
        else:
            self.header_size += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            return Malformed("protocol upgrades are not supported")
        except httptools.HttpParserError as error:
            if self.size_error is not None:
                return self.size_error
            return Malformed(str(error))
        if self.framing_size > self.header_bytes:
            self._refuse(TooLarge(431))
        if self.in_message and not self.in_body:
            if self.header_size > self.header_bytes:
                return TooLarge(431)
            self._hold(_head_cost(self.header_size, len(self.headers)))
        return self.size_error

    @property
    def idle(self) -> bool:
        """Return whether no part of the next request has been received."""
        return not self.in_message

    @property
    def is_costly(self) -> bool:
        """Return whether much processor time went into the present body already."""
        return self.pieces > MANY_PIECES or self.body.size > LARGE_BODY_BYTES

    def discard(self) -> None:
        """Drop everything that was received and return its bytes; nothing may be fed any more."""
        self.ready.clear()
        self.refused_headers = []
        self._reset()
        self.holding.close()

    def _reset(self) -> None:
        self.header_bytes, self.body_bytes = self.further_sizes
        self.in_message = False
        self.in_body = False
        self.header_size = 0
        self.framing_size = 0
        self.pieces = 0
        self.cost = 0
        self.held_body = 0
        self.target = b""
        self.headers: list[Header] = []
        self.body = BodyBuffer()
        self.size_error: TooLarge | NoMemory | None = None

    def _hold(self, cost: int) -> None:
        """Hold ``cost`` bytes for the present request, or refuse it."""
        if self.size_error is not None or cost <= self.cost:
            return
        if self.holding.grow(cost - self.cost):
            self.cost = cost
        else:
            self._refuse(NoMemory())

    def _refuse(self, error: TooLarge | NoMemory) -> None:
        self.size_error = error
        self.refused_headers = self.headers

    def on_message_begin(self) -> None:
        """Record that a part of a request has been received."""
        self.in_message = True

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header; a trailer, which follows the body, is ignored."""
        if not self.in_body:
            self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the size of the head and the size of the body that it announces.

        Also record whether the caller waits for a ``100 Continue`` before it sends the body.
        """
        self.in_body = True
        size = sum(len(name) + len(value) + 4 for name, value in self.headers) + len(self.target)
        # The received bytes show it if lines have no space after the colon.
        if size > self.header_bytes and not 0 < self.header_size <= self.header_bytes:
            self._refuse(TooLarge(431))
        cost = _head_cost(size, len(self.headers))
        stated = find_header(self.headers, b"content-length")
        if stated is not None and stated.isdigit():
            length = int(stated)
            if length > self.body_bytes:
                self._refuse(TooLarge(413))
            cost += _body_cost(length)
            self.held_body = length
        self._hold(cost)
        expect = find_header(self.headers, b"expect")
        self.expects_continue = expect is not None and expect.lower() == b"100-continue"

    def on_body(self, body: bytes) -> None:
        """Append a part of the body, unless the request is refused or larger than allowed."""
        self.framing_size = 0
        self.pieces += 1
        size = self.body.size + len(body)
        if size > self.body_bytes:
            self._refuse(TooLarge(413))
        elif size > self.held_body:
            held = size + HELD_STEP_BYTES - 1
            self._hold(self.cost + _body_cost(held) - _body_cost(self.held_body))
            self.held_body = held
        if self.size_error is None:
            self.body.append(body)

    def on_message_complete(self) -> None:
        """Add the request to ``ready`` unless it has to be refused, and begin the next one."""
        request = ParsedRequest(
            self.parser.get_method(),
            self.target,
            self.parser.get_http_version(),
            self.headers,
            self.body.join(),
            self.parser.should_keep_alive(),
            self.cost,
        )
        size_error = self.size_error
        if size_error is None and not self.parser.should_upgrade():
            self.ready.append(request)
        self._reset()
        self.size_error = size_error


def _head_cost(size: int, header_count: int) -> int:
    """Return the bytes held for a head of ``size`` bytes."""
    return REQUEST_OBJECT_BYTES + size + header_count * HEADER_OBJECT_BYTES


def _body_cost(length: int) -> int:
    """Return the bytes held for a body: itself, and what the socket holds while it is passed on."""
    return length + min(length, MAX_UNSENT_BYTES)
