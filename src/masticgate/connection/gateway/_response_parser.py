"""Reads HTTP/1.1 responses with httptools, and takes none that another one may be mixed with."""

import re
from dataclasses import dataclass

import httptools

from ...request.gateway._exchange import BodyFraming, Header
from ._parser import Malformed

MAX_HEAD_BYTES = 65_536
"""Bytes of all heads that come for one request: several times the largest between gateways."""

MAX_BODY_BYTES = 8_000_000
"""Bytes of all bodies that come for one request."""

STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")
"""The beginning of a response; within a head it tells that an earlier one was cut short."""

FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding", b"connection"})
"""Headers in which two answers of one server may differ."""

MIN_STATUS_LINE_BYTES = 9
"""The bytes of ``HTTP/1.1`` and a space: fewer at the end of a body may be its own."""

EXTRA_HEAD_BYTES = 256
"""Bytes that the head of another response may have beyond twice those of this one's headers."""

MAX_CHUNK_OVERHEAD = 0.5
"""Bytes around chunks for each byte in them; a chunk of 16 bytes has 6 around it."""


@dataclass(slots=True)
class ParsedResponse:
    """One whole response as received.

    ``fields`` are its headers by name in lower case; of those in ``repeated`` the last.
    """

    status: int
    headers: list[Header]
    headers_by_name: dict[bytes, bytes]
    body: bytes
    keep_alive: bool
    framing: BodyFraming
    repeated_names: frozenset[bytes]


class TruncatedResponseError(Exception):
    """A response begins within another that did not end."""


class ResponseParser:
    """Collects whole responses from one server's bytes.

    What is taken between two accepted responses is bounded: responses that nobody accepts, such as
    interim and late ones, count together with the one that is waited for.
    """

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.ready: list[ParsedResponse] = []
        self.received_bytes = 0
        self.body_size = 0
        self._reset()

    def feed(self, data: bytes | memoryview) -> Malformed | None:
        """Take received bytes; return what is wrong with them, if anything."""
        self.received_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            return Malformed("upgrade")
        except httptools.HttpParserError as error:
            self._drop_truncated()
            return Malformed(str(error.__context__ or error))
        if self.body_size > MAX_BODY_BYTES:
            return Malformed("body too large")
        if (
            self.received_bytes - self.body_size
            > MAX_HEAD_BYTES + self.body_size * MAX_CHUNK_OVERHEAD
        ):
            return Malformed("too many bytes around the body")
        return None

    def reset_byte_counts(self) -> None:
        """Begin to count anew: a response was taken for the one that was waited for."""
        self.received_bytes = 0
        self.body_size = 0

    def feed_eof(self) -> None:
        """Complete a response without a length, whose connection ended in order."""
        if (
            self.in_message
            and self.in_body
            and not self.has_framing_header
            and not self._contains_head()
        ):
            self._queue_response(BodyFraming.CLOSE, keep_alive=False)

    def _reset(self) -> None:
        self.in_message = False
        self.in_body = False
        self.has_framing_header = False
        self.reason_phrase = b""
        self.headers: list[Header] = []
        self.headers_by_name: dict[bytes, bytes] = {}
        self.repeated_names: frozenset[bytes] = frozenset()
        self.chunks: list[bytes] = []

    def on_message_begin(self) -> None:
        """Note the first byte of a response."""
        self.in_message = True

    def on_status(self, reason_phrase: bytes) -> None:
        """Check the next part of the reason phrase."""
        self.reason_phrase += reason_phrase
        _reject_status_line(self.reason_phrase)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header; trailers are none."""
        if self.in_body:
            return
        _reject_status_line(value)
        self.headers.append((name, value))
        key = name.lower()
        if key in self.headers_by_name:
            self.repeated_names |= {key}
        self.headers_by_name[key] = value

    def on_headers_complete(self) -> None:
        """Note whether the response says where it ends."""
        self.in_body = True
        self.has_framing_header = (
            b"content-length" in self.headers_by_name
            or b"transfer-encoding" in self.headers_by_name
        )

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self.body_size += len(body)
        self.chunks.append(body)

    def on_message_complete(self) -> None:
        """Queue the response, unless it is an interim one."""
        if self._contains_head():
            raise TruncatedResponseError("a response is filled up by the bytes of another")
        framing = (
            BodyFraming.CHUNKS
            if b"transfer-encoding" in self.headers_by_name
            else BodyFraming.LENGTH
        )
        self._queue_response(framing, keep_alive=self.parser.should_keep_alive())

    def _contains_head(self) -> bool:
        """Tell whether the body holds the head of another response, or ends within one."""
        body = b"".join(self.chunks)
        if b"HTTP/" not in body:
            return False
        max_length = (
            2 * sum(len(name) + len(value) for name, value in self.headers) + EXTRA_HEAD_BYTES
        )
        return self._ends_in_status_line(body) or any(
            self._matches_head(body[found.start() : found.start() + max_length])
            for found in STATUS_LINE.finditer(body)
        )

    def _matches_head(self, text: bytes) -> bool:
        """Tell whether ``text`` begins with a head like this one, or is the beginning of one.

        The same server's heads have the same header names but for the framing.
        """
        head, separator, _ = text.partition(b"\r\n\r\n")
        names = [line.partition(b":")[0].lower() for line in head.split(b"\r\n")[1:]]
        if separator:
            return self.headers_by_name.keys() - FRAMING_HEADERS <= set(names)
        if not names:
            return False
        *complete_names, last_name = names
        known = self.headers_by_name.keys() | FRAMING_HEADERS
        return known.issuperset(complete_names) and any(
            name.startswith(last_name) for name in known
        )

    def _ends_in_status_line(self, body: bytes) -> bool:
        """Tell whether the body ends like this response began."""
        version = self.parser.get_http_version().encode()
        line = b"HTTP/%s %d %s\r" % (version, self.parser.get_status_code(), self.reason_phrase)
        return body.endswith(
            tuple(line[:size] for size in range(MIN_STATUS_LINE_BYTES, len(line) + 1))
        )

    def _drop_truncated(self) -> None:
        """Drop a response that ends like the beginning of another, of which the rest follows."""
        starts = tuple(b"HTTP/1."[:size] for size in range(1, MIN_STATUS_LINE_BYTES))
        if self.ready and self.ready[-1].body.endswith(starts):
            self.ready.pop()

    def _queue_response(self, framing: BodyFraming, *, keep_alive: bool) -> None:
        status = self.parser.get_status_code()
        if status >= 200:
            body = b"".join(self.chunks)
            response = ParsedResponse(
                status,
                self.headers,
                self.headers_by_name,
                body,
                keep_alive,
                framing,
                self.repeated_names,
            )
            self.ready.append(response)
        self._reset()


def _reject_status_line(value: bytes) -> None:
    """Raise where a part of a head holds the beginning of another response."""
    if b"HTTP/" in value and STATUS_LINE.search(value):
        raise TruncatedResponseError("a response begins within a head")
