"""Finds the head of a response within the body of another one, in time linear in the body."""

import re
from collections.abc import Set

STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")
"""The beginning of a response; within a head it shows that an earlier response is incomplete."""

FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding", b"connection"})
"""The headers that one response of a server may have and another may lack."""

LINE_END = b"\r\n"
HEAD_END = b"\r\n\r\n"


def contains_head(body: bytes, names: Set[bytes], max_length: int) -> bool:
    """Return whether ``body`` contains a head like one with the header ``names``, or its beginning.

    The responses of one server have the same header names, in lower case here, except for the
    framing headers. A head that is complete within ``max_length`` bytes has to have all of them,
    and may have more; one that is not may have no others in these bytes.
    """
    required, known = names - FRAMING_HEADERS, names | FRAMING_HEADERS
    head_end = line_end = unlike_line = -1
    examined_end = -1
    for found in STATUS_LINE.finditer(body):
        start = found.start()
        if head_end < start:
            head_end = _find(body, HEAD_END, start)
        if line_end < start:
            line_end = _find(body, LINE_END, start)
        limit = min(len(body), start + max_length)
        if head_end + len(HEAD_END) <= limit:
            # Those that begin later and end here have no names that this one lacks.
            if head_end != examined_end and required <= _names(body[start:head_end]):
                return True
            examined_end = head_end
        elif unlike_line < line_end + len(LINE_END) <= limit:
            # The one before was found unlike this one by a line that this one has as well.
            unlike_line = _find_unlike_line(body, line_end, limit, known)
            if unlike_line == limit:
                return True
    return False


def _find(body: bytes, separator: bytes, start: int) -> int:
    """Return the position of ``separator``, or the end of ``body`` if there is none."""
    position = body.find(separator, start)
    return position if position >= 0 else len(body)


def _names(head: bytes) -> set[bytes]:
    return {_name(line) for line in head.split(LINE_END)[1:]}


def _name(line: bytes) -> bytes:
    return line.partition(b":")[0].lower()


def _find_unlike_line(body: bytes, line_end: int, limit: int, known: Set[bytes]) -> int:
    """Return where the first line after ``line_end`` begins whose name is not ``known``.

    Return ``limit`` if there is none before it. The last line before ``limit`` may be cut.
    """
    while line_end < limit:
        start = line_end + len(LINE_END)
        line_end = body.find(LINE_END, start, limit)
        if line_end < 0:
            last = _name(body[start:limit].removesuffix(b"\r"))
            return limit if any(name.startswith(last) for name in known) else start
        if _name(body[start:line_end]) not in known:
            return start
    return limit
