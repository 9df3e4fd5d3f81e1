"""A parser for HTTP/1.1 responses, based on httptools, that rejects truncated responses.

If a server stops within a response and then sends another, the bytes of the second would complete
the first. The parser detects this by the head of the second response within the first one.
"""

from dataclasses import dataclass

import httptools

from ...request.gateway._exchange import BodyFraming, Header
from ._body_buffer import BodyBuffer
from ._buffers import MAX_UNSENT_BYTES
from ._embedded_heads import STATUS_LINE, contains_head
from ._holding import Holding
from ._parser import Malformed, Oversized

MAX_HEAD_BYTES = 65_536
"""The maximum number of bytes of all response heads received for one request.

It is several times the size of the largest head that one gateway sends to another.
"""

MAX_BODY_BYTES = 8_000_000
"""The maximum number of bytes of all response bodies received for one request."""

ORDINARY_BYTES = 16_384
"""The received bytes of one answer that are part of the memory of its connection."""

MIN_STATUS_LINE_BYTES = 9
"""The length of ``HTTP/1.1`` and a space.

A shorter part of a status line at the end of a body may belong to the body.
"""

STATUSES = frozenset(range(100, 600)) - {101}
"""The statuses that a response may have; 101 answers only a request for another protocol."""

HTTP_VERSIONS = (b"HTTP/1.0", b"HTTP/1.1")
CUT_ENDINGS = tuple(version[:size] for version in HTTP_VERSIONS for size in range(1, 9))
"""The beginnings of a status line that are too short to be recognized by themselves."""

SUSPECT_ENDINGS = tuple(ending for ending in CUT_ENDINGS if len(ending) > 1)
"""Those at the end of a body after which more bytes are waited for.

One byte is too often the end of a body.
"""

EXTRA_HEAD_BYTES = 256
"""Added to twice the size of a response's headers to bound the bytes that are compared with them.

The compared bytes begin at a status line in the body, and may be the head of another response.
"""

MAX_CHUNK_OVERHEAD = 0.5
"""The maximum number of bytes of chunk framing for each byte of content.

A chunk of 16 bytes needs 6 bytes of framing.
"""


@dataclass(slots=True)
class ParsedResponse:
    """One complete response as received.

    ``headers_by_name`` maps each header name, in lower case, to its last value. ``repeated_names``
    are the names of headers that occur more than once. ``may_be_cut`` says that the body ends with
    what could be the beginning of another response; if more bytes follow at once, it is.
    """

    status: int
    headers: list[Header]
    headers_by_name: dict[bytes, bytes]
    body: bytes
    keep_alive: bool
    framing: BodyFraming
    repeated_names: frozenset[bytes]
    may_be_cut: bool


class TruncatedResponseError(Exception):
    """A response begins within another one that is incomplete."""


class InvalidStatusError(Exception):
    """A response has a status that HTTP does not have."""


class ResponseParser:
    """Collects complete responses in ``ready`` from the bytes that one server sends.

    The bytes received between two accepted responses are bounded. Responses that are not accepted,
    such as interim and late ones, count together with the one that is awaited. Those beyond
    ``ORDINARY_BYTES`` are also taken from ``holding``, if there is one, until
    :meth:`reset_byte_counts` is called.
    """

    def __init__(self, holding: Holding | None = None) -> None:
        self.holding = holding
        self.parser = httptools.HttpResponseParser(self)
        self.ready: list[ParsedResponse] = []
        self.received_bytes = 0
        self.body_size = 0
        self._reset()

    def feed(self, data: bytes | memoryview) -> Malformed | None:
        """Parse received bytes; return an error if they are invalid or exceed a limit."""
        self.received_bytes += len(data)
        if self.received_bytes > ORDINARY_BYTES and not self._hold_received():
            return Oversized("no memory for more bytes of answers", lacked_memory=True)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            return Malformed("protocol upgrades are not supported")
        except httptools.HttpParserError as error:
            self._drop_truncated()
            return Malformed(str(error.__context__ or error))
        if self.body_size > MAX_BODY_BYTES:
            return Oversized("the body is too large")
        if (
            self.received_bytes - self.body_size
            > MAX_HEAD_BYTES + self.body_size * MAX_CHUNK_OVERHEAD
        ):
            return Oversized("too many bytes of heads and framing")
        return None

    def reset_byte_counts(self) -> None:
        """Count the received bytes from zero again; to be called after a response was accepted."""
        self.received_bytes = 0
        self.body_size = 0
        if self.holding is not None and self.holding.size:
            self.holding.shrink(self.holding.size)

    def discard(self) -> None:
        """Drop everything that was received and return its bytes; nothing may be fed any more.

        The parser is part of a cycle of references, and may be kept for long after its connection.
        """
        self.ready.clear()
        self._reset()
        self.reset_byte_counts()

    def feed_eof(self) -> None:
        """Complete a response that states no length, which ends with its connection.

        To be called only if the server closed the connection normally. A response whose body
        contains the head of another one is not completed.
        """
        if (
            self.in_message
            and self.in_body
            and not self.has_framing_header
            and not self._contains_head()
        ):
            self._queue_response(BodyFraming.CLOSE, keep_alive=False)

    def _hold_received(self) -> bool:
        """Hold the received bytes beyond the ordinary ones; return ``False`` on failure.

        What the socket of the caller will keep of them counts, too.
        """
        if self.holding is None:
            return True
        excess = self.received_bytes - ORDINARY_BYTES
        return self.holding.grow(excess + min(excess, MAX_UNSENT_BYTES) - self.holding.size)

    def _reset(self) -> None:
        self.in_message = False
        self.in_body = False
        self.has_framing_header = False
        self.reason_phrase = b""
        self.headers: list[Header] = []
        self.headers_by_name: dict[bytes, bytes] = {}
        self.repeated_names: frozenset[bytes] = frozenset()
        self.body = BodyBuffer()

    def on_message_begin(self) -> None:
        """Record that a part of a response has been received."""
        self.in_message = True

    def on_status(self, reason_phrase: bytes) -> None:
        """Append a part of the reason phrase, and check it for another response."""
        self.reason_phrase += reason_phrase
        _reject_status_line(self.reason_phrase)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header and check it for another response; ignore a trailer."""
        if self.in_body:
            return
        _reject_status_line(value)
        self.headers.append((name, value))
        key = name.lower()
        if key in self.headers_by_name:
            self.repeated_names |= {key}
        self.headers_by_name[key] = value

    def on_headers_complete(self) -> None:
        """Check the status, and record whether the headers state where the response ends.

        :raises InvalidStatusError: the status is none of ``STATUSES``.
        """
        status = self.parser.get_status_code()
        if status not in STATUSES:
            raise InvalidStatusError(f"invalid status {status:03}")
        self.in_body = True
        self.has_framing_header = (
            b"content-length" in self.headers_by_name
            or b"transfer-encoding" in self.headers_by_name
        )

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self.body_size += len(body)
        self.body.append(body)

    def on_message_complete(self) -> None:
        """Add the response to ``ready`` unless it is an interim one.

        :raises TruncatedResponseError: the body contains the head of another response.
        """
        if self._contains_head():
            raise TruncatedResponseError("the body contains the head of another response")
        framing = (
            BodyFraming.CHUNKS
            if b"transfer-encoding" in self.headers_by_name
            else BodyFraming.LENGTH
        )
        self._queue_response(framing, keep_alive=self.parser.should_keep_alive())

    def _contains_head(self) -> bool:
        """Return whether the body contains the head of another response or the beginning of one."""
        body = self.body.join()
        if b"HTTP/" not in body:
            return False
        max_length = (
            2 * sum(len(name) + len(value) for name, value in self.headers) + EXTRA_HEAD_BYTES
        )
        return self._ends_in_status_line(body) or contains_head(
            body, self.headers_by_name.keys(), max_length
        )

    def _ends_in_status_line(self, body: bytes) -> bool:
        """Return whether the body ends with the beginning of a status line like this response's."""
        version = self.parser.get_http_version().encode()
        line = b"HTTP/%s %d %s\r" % (version, self.parser.get_status_code(), self.reason_phrase)
        return body.endswith(
            tuple(line[:size] for size in range(MIN_STATUS_LINE_BYTES, len(line) + 1))
        )

    def _drop_truncated(self) -> None:
        """Remove the last response if its body ends with the first bytes of another response.

        To be called when the bytes that follow it are invalid, since they may be the rest of that
        other response.
        """
        if self.ready and self.ready[-1].body.endswith(CUT_ENDINGS):
            self.ready.pop()

    def _queue_response(self, framing: BodyFraming, *, keep_alive: bool) -> None:
        status = self.parser.get_status_code()
        if status >= 200:
            body = self.body.join()
            response = ParsedResponse(
                status,
                self.headers,
                self.headers_by_name,
                body,
                keep_alive,
                framing,
                self.repeated_names,
                body.endswith(SUSPECT_ENDINGS),
            )
            self.ready.append(response)
        self._reset()


def _reject_status_line(value: bytes) -> None:
    """Check that a header value or reason phrase does not contain the start of a response.

    :raises TruncatedResponseError: it contains the beginning of a status line.
    """
    if b"HTTP/" in value and STATUS_LINE.search(value):
        raise TruncatedResponseError("a response begins within the head of another")
