"""The encoding of HTTP messages: a gateway's replies, and its requests to searchers.

A searcher is a server that runs requests of one service.
"""

from http import HTTPStatus

from ..._clock import MILLIS_PER_SECOND
from ..._failures import NotRun, Reason, Step, describe_failure
from ..._ids import Millis, RequestId, SearcherId
from ...request.gateway import (
    Answered,
    Failed,
    LocalPage,
    Merged,
    Refused,
    Relayed,
    Reply,
    Request,
)
from ...request.gateway._exchange import Header
from ._header_names import (
    LEAVING_SEARCHERS_HEADER,
    MISSING_POSITIONS_HEADER,
    NETWORK_TIME_HEADER,
    PART_HEADER,
    HeaderNames,
)
from ._parser import end_to_end_headers, find_header
from ._part_codec import encode_part
from ._positions import decode_positions, encode_positions
from ._searcher_notices import NO_ROOM, encode_leaving_searchers

SMALL_BODY_BYTES = 16_384
"""A body up to this size is copied behind its head, so that both are sent at once."""

STATUS_LINES = {
    status.value: b"HTTP/1.1 %d %s\r\n" % (status.value, status.phrase.encode())
    for status in HTTPStatus
}


def encode_peer_reply(
    reply: Reply, header_names: HeaderNames, request_id: RequestId, *, close: bool
) -> tuple[bytes, ...]:
    """Return the bytes of ``reply`` to another gateway, in the blocks in which they are sent.

    Compared with a reply to a caller, a header with the id of the request is added, which shows
    the other gateway to which request the reply belongs. If the request was refused, another
    header marks it as not run.
    """
    extra_headers = [(header_names.request_id, request_id.encode("latin-1"))]
    match reply:
        case Refused(failure=NotRun(reason=Reason.OVERLOAD, step=Step.ADMISSION)):
            extra_headers.append((header_names.not_run, NO_ROOM))
        case Refused():
            extra_headers.append((header_names.not_run, b"1"))
        case Merged(missing_positions=missing, leaving=leaving):
            extra_headers.append((MISSING_POSITIONS_HEADER, encode_positions(missing)))
            if leaving:
                names = encode_leaving_searchers(leaving)
                extra_headers.append((LEAVING_SEARCHERS_HEADER, names))
    return encode_reply(reply, header_names, close=close, extra_headers=tuple(extra_headers))


def encode_reply(
    reply: Reply,
    header_names: HeaderNames,
    *,
    close: bool,
    extra_headers: tuple[Header, ...] = (),
) -> tuple[bytes, ...]:
    """Return the bytes of ``reply`` to a caller, in the blocks in which they are sent.

    If ``close`` is set, a ``Connection: close`` header announces the end of the connection. The
    ``extra_headers`` come before those of the reply.
    """
    match reply:
        case Relayed(answer=answer):
            headers = extra_headers + end_to_end_headers(answer.headers)
            return _encode_message(answer.status, headers, answer.body, close)
        case Merged(stamps=stamps, missing=missing, records=records):
            headers = (
                *extra_headers,
                (header_names.included_stamps, ", ".join(stamps).encode("latin-1")),
                (header_names.missing_shards, b"%d" % missing),
            )
            return _encode_message(200, headers, records, close)
        case Refused(status=status, failure=failure, retry_after=retry_after):
            body = describe_failure(failure).encode()
            if retry_after is not None:
                seconds = b"%.3f" % (retry_after / MILLIS_PER_SECOND)
                extra_headers = (*extra_headers, (b"Retry-After", seconds))
            return _encode_message(status, extra_headers, body, close)
        case Failed(status=status, failure=failure):
            body = describe_failure(failure).encode()
            return _encode_message(status, extra_headers, body, close)
        case LocalPage(status=status, body=body):
            return _encode_message(status, extra_headers, body, close)
        case _:
            return ()


def parse_missing_positions(answer: Answered) -> tuple[int, ...] | None:
    """Return the positions of the shards that are missing from the answer of a gatherer.

    A gatherer is another gateway that sends a query to shards, which each hold a part of the data,
    and merges their answers for this gateway. The result is ``None`` if the answer does not state
    them.
    """
    return decode_positions(find_header(answer.headers, MISSING_POSITIONS_HEADER) or b"")


def encode_request(
    request: Request, header_names: HeaderNames, searcher: SearcherId, remaining: Millis
) -> tuple[bytes, ...]:
    """Return the bytes of ``request`` for one searcher, in the blocks in which they are sent.

    ``remaining`` is how long the gateway waits for the answer; a header states it.
    """
    replaced = (header_names.caller_timeout, header_names.expected_searcher)
    lines = [b"%s %s HTTP/1.1\r\n" % (request.method, request.target)]
    for name, value in request.headers:
        if name.lower() not in replaced:
            lines.append(b"%s: %s\r\n" % (name, value))
    lines.append(b"%s: %d\r\n" % (header_names.caller_timeout, max(1, int(remaining))))
    lines.append(b"%s: %s\r\n" % (header_names.expected_searcher, searcher.encode("latin-1")))
    if request.part is not None:
        lines.append(b"%s: %d\r\n" % (NETWORK_TIME_HEADER, request.network_time))
        lines.append(b"%s: %s\r\n" % (PART_HEADER, encode_part(request.part)))
    if request.body or request.method not in (b"GET", b"HEAD"):
        lines.append(b"Content-Length: %d\r\n" % len(request.body))
    lines.append(b"\r\n")
    return _join_blocks(lines, request.body)


def _encode_message(
    status: int, headers: tuple[Header, ...], body: bytes, close: bool
) -> tuple[bytes, ...]:
    lines = [STATUS_LINES.get(status) or b"HTTP/1.1 %d Unknown\r\n" % status]
    for name, value in headers:
        lines.append(b"%s: %s\r\n" % (name, value))
    if close:
        lines.append(b"Connection: close\r\n")
    lines.append(b"Content-Length: %d\r\n\r\n" % len(body))
    return _join_blocks(lines, body)


def _join_blocks(lines: list[bytes], body: bytes) -> tuple[bytes, ...]:
    """Return the head and the body as one block, or as two without a copy of a larger body."""
    if len(body) > SMALL_BODY_BYTES:
        return b"".join(lines), body
    lines.append(body)
    return (b"".join(lines),)
