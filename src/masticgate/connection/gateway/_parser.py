"""A parser for HTTP/1.1 requests, based on httptools, that bounds the size of a request."""

from dataclasses import dataclass

import httptools

from ...request.gateway._exchange import Header

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

MAX_NUMBER_DIGITS = 18
"""The maximum number of digits that a number in a header may have, so that it fits in 63 bits."""


@dataclass(slots=True)
class ParsedRequest:
    """One complete request as received."""

    method: bytes
    target: bytes
    http_version: str
    headers: list[Header]
    body: bytes
    keep_alive: bool


@dataclass(frozen=True, slots=True)
class TooLarge:
    """The request is larger than allowed; ``status`` is the HTTP status of the response."""

    status: int


@dataclass(frozen=True, slots=True)
class Malformed:
    """The received bytes are not an HTTP message that the parser accepts."""

    detail: str


@dataclass(frozen=True, slots=True)
class Oversized(Malformed):
    """The received bytes exceed a limit of the message or of the process."""


def find_header(headers: list[Header] | tuple[Header, ...], name: bytes) -> bytes | None:
    """Return the value of the first header called ``name``, which is given in lower case.

    The result is ``None`` if there is no such header.
    """
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def parse_number(text: bytes) -> int | None:
    """Return the number in ``text``, or ``None`` if it is not all digits or has too many."""
    digits = text.strip()
    return int(digits) if len(digits) <= MAX_NUMBER_DIGITS and digits.isdigit() else None


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
    ``header_bytes`` and ``body_bytes`` are the maximum sizes of a request's head and body.
    """

    def __init__(self, header_bytes: int, body_bytes: int) -> None:
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.parser = httptools.HttpRequestParser(self)
        self.ready: list[ParsedRequest] = []
        self.expects_continue = False
        self._reset()

    def feed(self, data: bytes | memoryview) -> TooLarge | Malformed | None:
        """Parse received bytes; return an error if they are invalid or exceed a limit."""
        if not self.in_body:
            self.header_size += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            return Malformed("protocol upgrades are not supported")
        except httptools.HttpParserError as error:
            if self.size_error is not None:
                return self.size_error
            return Malformed(str(error))
        if self.in_message and not self.in_body and self.header_size > self.header_bytes:
            return TooLarge(431)
        return self.size_error

    @property
    def idle(self) -> bool:
        """Return whether no part of the next request has been received."""
        return not self.in_message

    def _reset(self) -> None:
        self.in_message = False
        self.in_body = False
        self.header_size = 0
        self.body_size = 0
        self.target = b""
        self.headers: list[Header] = []
        self.chunks: list[bytes] = []
        self.size_error: TooLarge | None = None

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
        size = sum(len(name) + len(value) + 4 for name, value in self.headers)
        if size + len(self.target) > self.header_bytes:
            self.size_error = TooLarge(431)
        length = find_header(self.headers, b"content-length")
        if length is not None and length.isdigit() and int(length) > self.body_bytes:
            self.size_error = TooLarge(413)
        expect = find_header(self.headers, b"expect")
        self.expects_continue = expect is not None and expect.lower() == b"100-continue"

    def on_body(self, body: bytes) -> None:
        """Append a part of the body, unless the body is larger than allowed."""
        self.body_size += len(body)
        if self.body_size > self.body_bytes:
            self.size_error = TooLarge(413)
            return
        self.chunks.append(body)

    def on_message_complete(self) -> None:
        """Add the request to ``ready`` unless it has to be refused, and begin the next one."""
        request = ParsedRequest(
            self.parser.get_method(),
            self.target,
            self.parser.get_http_version(),
            self.headers,
            b"".join(self.chunks),
            self.parser.should_keep_alive(),
        )
        size_error = self.size_error
        if size_error is None and not self.parser.should_upgrade():
            self.ready.append(request)
        self._reset()
        self.size_error = size_error
