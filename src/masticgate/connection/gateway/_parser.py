"""Reads HTTP/1.1 requests with httptools, and bounds what a request may hold."""

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
"""What concerns one connection only, or is set anew for the next one."""

MAX_NUMBER_DIGITS = 18
"""Digits of a number in a header, which has 63 bits then."""


@dataclass(slots=True)
class ParsedRequest:
    """One whole request as received."""

    method: bytes
    target: bytes
    version: str
    headers: list[Header]
    body: bytes
    keep_alive: bool


@dataclass(frozen=True, slots=True)
class TooLarge:
    """A message is larger than allowed; ``status`` is what to answer."""

    status: int


@dataclass(frozen=True, slots=True)
class Malformed:
    """The bytes are no HTTP message."""

    detail: str


def find_header(headers: list[Header] | tuple[Header, ...], name: bytes) -> bytes | None:
    """Return the value of the first header ``name``, which is in lower case."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def parse_number(text: bytes) -> int | None:
    """Return the whole number that ``text`` is, ``None`` where it is none or too long."""
    digits = text.strip()
    return int(digits) if len(digits) <= MAX_NUMBER_DIGITS and digits.isdigit() else None


def end_to_end_headers(headers: list[Header] | tuple[Header, ...]) -> tuple[Header, ...]:
    """Return the headers that are passed on, without those that concern one connection."""
    dropped = set(HOP_BY_HOP_HEADERS)
    for key, value in headers:
        if key.lower() == b"connection":
            dropped.update(token.strip().lower() for token in value.split(b","))
    return tuple(header for header in headers if header[0].lower() not in dropped)


class RequestParser:
    """Collects whole requests from one caller's bytes; pipelined ones queue up."""

    def __init__(self, header_bytes: int, body_bytes: int) -> None:
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.parser = httptools.HttpRequestParser(self)
        self.ready: list[ParsedRequest] = []
        self.expects_continue = False
        self._reset()

    def feed(self, data: bytes | memoryview) -> TooLarge | Malformed | None:
        """Take received bytes; return what is wrong with them, if anything."""
        if not self.in_body:
            self.header_size += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            return Malformed("upgrade")
        except httptools.HttpParserError as error:
            if self.size_error is not None:
                return self.size_error
            return Malformed(str(error))
        if self.in_message and not self.in_body and self.header_size > self.header_bytes:
            return TooLarge(431)
        return self.size_error

    @property
    def idle(self) -> bool:
        """Tell whether no byte of a next request has come."""
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
        """Note the first byte of a request."""
        self.in_message = True

    def on_url(self, url: bytes) -> None:
        """Collect a part of the target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header; trailers are dropped."""
        if not self.in_body:
            self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the size of the headers and the announced size of the body."""
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
        """Collect a part of the body, up to the limit."""
        self.body_size += len(body)
        if self.body_size > self.body_bytes:
            self.size_error = TooLarge(413)
            return
        self.chunks.append(body)

    def on_message_complete(self) -> None:
        """Queue the request unless it is to be refused, and expect the next one."""
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
