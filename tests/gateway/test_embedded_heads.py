"""Tests for how the head of a response is found within the body of another one."""

from time import process_time

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from masticgate.connection.gateway._embedded_heads import (
    FRAMING_HEADERS,
    STATUS_LINE,
    contains_head,
)
from masticgate.connection.gateway._response_parser import MAX_BODY_BYTES, ResponseParser

NAMES = {b"a", b"bc", b"connection"}
PIECES = [b"HTTP/1.1 200", b" ", b"\r\n", b"\r", b"\n", b"a: 1", b"A:", b"bc: ", b"b",
          b"connection", b"Connection: x", b"d: 4", b"HTTP/1."]  # fmt: skip

MAX_SEARCH_S = 3.0
"""The time limit for a body of the largest size; a search that is not linear takes minutes."""


def matches(text: bytes) -> bool:
    """Return whether ``text`` begins with a head like one with ``NAMES``, or with a part of one."""
    head, separator, _ = text.partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")[1:]
    if not separator and lines:
        lines[-1] = lines[-1].removesuffix(b"\r")
    names = [line.partition(b":")[0].lower() for line in lines]
    if separator:
        return set(names) >= NAMES - FRAMING_HEADERS
    known = NAMES | FRAMING_HEADERS
    return (
        bool(names)
        and known.issuperset(names[:-1])
        and any(name.startswith(names[-1]) for name in known)
    )


class TestContainsHead:
    @given(st.lists(st.sampled_from(PIECES), max_size=30).map(b"".join), st.integers(12, 90))
    @example(b"HTTP/1.1 200\r\na: 1\r\nconnection\r\nHTTP/1.1 200\r\na: 1\r\nconnection\r\n", 32)
    def test_finds_what_a_search_at_each_status_line_finds(self, body, max_length):
        expected = any(
            matches(body[found.start() : found.start() + max_length])
            for found in STATUS_LINE.finditer(body)
        )
        assert contains_head(body, NAMES, max_length) == expected

    @pytest.mark.parametrize(
        "unit",
        [
            b"HTTP/1.1 200",
            b"HTTP/1.1 200\r\n",
            b"HTTP/1.1 200\r\nd: 4\r\n\r\n",
            b"a: HTTP/1.1 200\r\n",
            b"HTTP/1.1 200" * 9 + b"\r\na: 1\r\n",
            b"a: HTTP/1.1 200\r\n" * 5_000 + b"d: 4\r\n",
        ],
    )
    @pytest.mark.parametrize("max_length", [600, 131_000])
    def test_search_of_largest_body_ends_soon(self, unit, max_length):
        """Guard against one answer of a searcher that keeps the processor busy for minutes."""
        body = unit * (MAX_BODY_BYTES // len(unit)) + b"d: 4\r\n"
        started_at = process_time()
        contains_head(body, NAMES, max_length)
        assert process_time() - started_at < MAX_SEARCH_S


class TestResponseParser:
    def test_answer_full_of_status_lines_is_parsed_soon(self):
        """Guard against one answer of a searcher that keeps the processor busy for minutes."""
        body = b"HTTP/1.1 200\r\n" * 20_000
        headers = b"".join(b"X-%04d: 0\r\n" % number for number in range(3_000))
        head = b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n" % (headers, len(body))
        parser = ResponseParser()
        started_at = process_time()
        parser.feed(head + body)
        assert process_time() - started_at < MAX_SEARCH_S
