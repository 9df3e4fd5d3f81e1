"""What a request of a caller states, and the refusals of one that is not accepted."""

import random

from ..._failures import NotRun, Reason, Step
from ..._ids import Millis, RequestId
from ...request.gateway import Refused, Request
from ...request.gateway._exchange import Header
from ._header_names import NETWORK_TIME_HEADER, PART_HEADER, HeaderNames
from ._parser import ParsedRequest, end_to_end_headers, find_header, parse_number
from ._part_codec import decode_part

NO_MEMORY_RETRY_AFTER = Millis(250.0)
"""The time after which other requests have usually ended, and their memory is free again."""

MAX_RETURN_SPREAD = 1.5
"""Refused callers are told to return after up to this many times that, not all together."""

PEER_HEADERS = (NETWORK_TIME_HEADER, PART_HEADER)
"""The headers that only a gateway adds; they are not forwarded."""


def decode_request(
    parsed: ParsedRequest, header_names: HeaderNames, arrived_at: Millis
) -> Request | Refused:
    """Return the request for the handler, or a refusal if its target or Host header is invalid."""
    hosts = [value for name, value in parsed.headers if name.lower() == b"host"]
    if len(hosts) > 1 or (not hosts and parsed.http_version != "1.0"):
        return refuse_unread(400, Reason.BAD_REQUEST, "exactly one Host header is required")
    if not parsed.target.startswith(b"/"):
        return refuse_unread(400, Reason.BAD_REQUEST, "the request target must be a path")
    network_time = _parse_millis(find_header(parsed.headers, NETWORK_TIME_HEADER))
    internal = (header_names.expected_searcher, *PEER_HEADERS)
    host = hosts[0].decode("latin-1").partition(":")[0] if hosts else ""
    return Request(
        find_request_id(parsed.headers, header_names),
        parsed.method,
        parsed.target,
        host,
        tuple(h for h in end_to_end_headers(parsed.headers) if h[0].lower() not in internal),
        parsed.body,
        _parse_millis(find_header(parsed.headers, header_names.caller_timeout)),
        arrived_at,
        network_time=network_time or Millis(0.0),
        part=decode_part(find_header(parsed.headers, PART_HEADER) or b""),
    )


def find_request_id(headers: list[Header], header_names: HeaderNames) -> RequestId:
    """Return the id that the headers of a request state, or an empty one."""
    return RequestId((find_header(headers, header_names.request_id) or b"").decode("latin-1"))


def refuse_for_memory(detail: str = "no memory for the request") -> Refused:
    """Return the refusal of a request that the process has no room for at present."""
    failure = NotRun(Reason.OVERLOAD, Step.READ, detail=detail)
    wait = Millis(NO_MEMORY_RETRY_AFTER * random.uniform(1.0, MAX_RETURN_SPREAD))
    return Refused(503, failure, wait)


def _parse_millis(value: bytes | None) -> Millis | None:
    number = None if value is None else parse_number(value)
    return None if number is None else Millis(float(number))


def refuse_unread(status: int, reason: Reason, detail: str) -> Refused:
    """Return the refusal of a request that was not accepted from its caller."""
    return Refused(status, NotRun(reason, Step.READ, detail=detail))
