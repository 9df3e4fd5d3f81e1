"""Reads HTTP/1.1 messages with httptools, and bounds what a message may hold."""

import re
from dataclasses import dataclass

import httptools

from ...request.gateway._exchange import Ending, Header

CONNECTION_HEADERS = frozenset(
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

LARGEST_HEAD = 65_536
"""Bytes of all heads that come for one request: several times the largest between gateways."""

LARGEST_BODY = 8_000_000
"""Bytes of all bodies that come for one request."""

STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")
"""The beginning of a response; within a head it tells that an earlier one was cut short."""

FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding", b"connection"})
SHORTEST_HEAD = 9
"""The bytes of ``HTTP/1.1`` and a space: fewer at the end of a body may be its own."""

HEAD_ROOM = 256
"""Bytes that the head of another response may have beyond twice those of this one's headers."""

CHUNK_SHARE = 0.5
"""Bytes around chunks for each byte in them; a chunk of 16 bytes has 6 around it."""

MOST_DIGITS = 18
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


def read_number(text: bytes) -> int | None:
    """Return the whole number that ``text`` is, ``None`` where it is none or too long."""
    digits = text.strip()
    return int(digits) if len(digits) <= MOST_DIGITS and digits.isdigit() else None


def end_to_end(headers: list[Header] | tuple[Header, ...]) -> tuple[Header, ...]:
    """Return the headers that are passed on, without those that concern one connection."""
    dropped = set(CONNECTION_HEADERS)
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
        self._begin()

    def feed(self, data: bytes | memoryview) -> TooLarge | Malformed | None:
        """Take received bytes; return what is wrong with them, if anything."""
        if not self.in_body:
            self.header_size += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            return Malformed("upgrade")
        except httptools.HttpParserError as error:
            if self.excess is not None:
                return self.excess
            return Malformed(str(error))
        if self.begun and not self.in_body and self.header_size > self.header_bytes:
            return TooLarge(431)
        return self.excess

    @property
    def idle(self) -> bool:
        """Tell whether no byte of a next request has come."""
        return not self.begun

    def _begin(self) -> None:
        self.begun = False
        self.in_body = False
        self.header_size = 0
        self.body_size = 0
        self.target = b""
        self.headers: list[Header] = []
        self.chunks: list[bytes] = []
        self.excess: TooLarge | None = None

    def on_message_begin(self) -> None:
        """Note the first byte of a request."""
        self.begun = True

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
            self.excess = TooLarge(431)
        length = find_header(self.headers, b"content-length")
        if length is not None and length.isdigit() and int(length) > self.body_bytes:
            self.excess = TooLarge(413)
        expect = find_header(self.headers, b"expect")
        self.expects_continue = expect is not None and expect.lower() == b"100-continue"

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body, up to the limit."""
        self.body_size += len(body)
        if self.body_size > self.body_bytes:
            self.excess = TooLarge(413)
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
        excess = self.excess
        if excess is None and not self.parser.should_upgrade():
            self.ready.append(request)
        self._begin()
        self.excess = excess


@dataclass(slots=True)
class ParsedResponse:
    """One whole response as received.

    ``fields`` are its headers by name in lower case; of those in ``repeated`` the last.
    """

    status: int
    headers: list[Header]
    fields: dict[bytes, bytes]
    body: bytes
    keep_alive: bool
    ending: Ending
    repeated: frozenset[bytes]


class CutResponseError(Exception):
    """A response begins within another that did not end."""


class ResponseParser:
    """Collects whole responses from one server's bytes.

    What is taken between two accepted responses is bounded: responses that nobody accepts, such as
    interim and late ones, count together with the one that is waited for.
    """

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.ready: list[ParsedResponse] = []
        self.taken = 0
        self.body_size = 0
        self._begin()

    def feed(self, data: bytes | memoryview) -> Malformed | None:
        """Take received bytes; return what is wrong with them, if anything."""
        self.taken += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            return Malformed("upgrade")
        except httptools.HttpParserError as error:
            self._drop_filled_up()
            return Malformed(str(error.__context__ or error))
        if self.body_size > LARGEST_BODY:
            return Malformed("body too large")
        if self.taken - self.body_size > LARGEST_HEAD + self.body_size * CHUNK_SHARE:
            return Malformed("too many bytes around the body")
        return None

    def accept(self) -> None:
        """Begin to count anew: a response was taken for the one that was waited for."""
        self.taken = 0
        self.body_size = 0

    def end(self) -> None:
        """Complete a response without a length, whose connection ended in order."""
        if self.begun and self.in_body and not self.framed and not self._holds_head():
            self._complete(Ending.CLOSE, keep_alive=False)

    def _begin(self) -> None:
        self.begun = False
        self.in_body = False
        self.framed = False
        self.reason = b""
        self.headers: list[Header] = []
        self.fields: dict[bytes, bytes] = {}
        self.repeated: frozenset[bytes] = frozenset()
        self.chunks: list[bytes] = []

    def on_message_begin(self) -> None:
        """Note the first byte of a response."""
        self.begun = True

    def on_status(self, reason: bytes) -> None:
        """Check the next part of the reason phrase."""
        self.reason += reason
        _check_field(self.reason)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header; trailers are none."""
        if self.in_body:
            return
        _check_field(value)
        self.headers.append((name, value))
        key = name.lower()
        if key in self.fields:
            self.repeated |= {key}
        self.fields[key] = value

    def on_headers_complete(self) -> None:
        """Note whether the response says where it ends."""
        self.in_body = True
        self.framed = b"content-length" in self.fields or b"transfer-encoding" in self.fields

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self.body_size += len(body)
        self.chunks.append(body)

    def on_message_complete(self) -> None:
        """Queue the response, unless it is an interim one."""
        if self._holds_head():
            raise CutResponseError("a response is filled up by the bytes of another")
        ending = Ending.CHUNKS if b"transfer-encoding" in self.fields else Ending.LENGTH
        self._complete(ending, keep_alive=self.parser.should_keep_alive())

    def _holds_head(self) -> bool:
        """Tell whether the body holds the head of another response, or ends within one."""
        body = b"".join(self.chunks)
        if b"HTTP/" not in body:
            return False
        longest = 2 * sum(len(name) + len(value) for name, value in self.headers) + HEAD_ROOM
        return self._ends_in_status_line(body) or any(
            self._is_head(body[found.start() : found.start() + longest])
            for found in STATUS_LINE.finditer(body)
        )

    def _is_head(self, text: bytes) -> bool:
        """Tell whether ``text`` begins with a head like this one, or is the beginning of one.

        The same server's heads have the same header names but for the framing.
        """
        head, blank, _ = text.partition(b"\r\n\r\n")
        names = [line.partition(b":")[0].lower() for line in head.split(b"\r\n")[1:]]
        if blank:
            return self.fields.keys() - FRAMING_HEADERS <= set(names)
        if not names:
            return False
        *whole, last = names
        known = self.fields.keys() | FRAMING_HEADERS
        return known.issuperset(whole) and any(name.startswith(last) for name in known)

    def _ends_in_status_line(self, body: bytes) -> bool:
        """Tell whether the body ends like this response began."""
        version = self.parser.get_http_version().encode()
        line = b"HTTP/%s %d %s\r" % (version, self.parser.get_status_code(), self.reason)
        return body.endswith(tuple(line[:size] for size in range(SHORTEST_HEAD, len(line) + 1)))

    def _drop_filled_up(self) -> None:
        """Drop a response that ends like the beginning of another, of which the rest follows."""
        starts = tuple(b"HTTP/1."[:size] for size in range(1, SHORTEST_HEAD))
        if self.ready and self.ready[-1].body.endswith(starts):
            self.ready.pop()

    def _complete(self, ending: Ending, *, keep_alive: bool) -> None:
        status = self.parser.get_status_code()
        if status >= 200:
            body = b"".join(self.chunks)
            response = ParsedResponse(
                status, self.headers, self.fields, body, keep_alive, ending, self.repeated
            )
            self.ready.append(response)
        self._begin()


def _check_field(value: bytes) -> None:
    """Raise where a part of a head holds the beginning of another response."""
    if b"HTTP/" in value and STATUS_LINE.search(value):
        raise CutResponseError("a response begins within a head")
