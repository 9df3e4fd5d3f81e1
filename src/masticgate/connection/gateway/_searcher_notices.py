"""What a searcher's answer says about the searcher itself, apart from the request.

A searcher may say that it leaves, or that it wants no requests for some time. A gatherer, a gateway
that sends queries to searchers for another one, passes on which of them have said that they leave.
"""

import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from itertools import islice
from urllib.parse import quote, unquote

from ..._clock import MILLIS_PER_SECOND
from ..._fields import is_header_text
from ..._ids import Millis, SearcherId
from ...version.gateway import MAX_COLD_TIME
from ._header_names import HeaderNames

UNAVAILABLE = 503
"""The status of an answer whose ``Retry-After`` header asks for a pause."""

DECIMAL = re.compile(rb"\d{1,9}(\.\d{1,9})?")
"""Matches a time in a header, in seconds or milliseconds."""

MAX_PAUSE = Millis(3_600_000.0)
"""The longest pause; a searcher that asks for a longer one gets this."""

NO_ROOM = b"no-room"
"""Between gateways: the value that marks a part as not run because its searchers have no room.

Any other value of the same header marks it as not run for another reason.
"""

MAX_LEAVING_SEARCHERS = 32
"""The number of searchers that one reply of a gatherer may say to leave."""


@dataclass(frozen=True, slots=True)
class Leaving:
    """The searcher says that it leaves; it is to be sent no more requests."""


@dataclass(frozen=True, slots=True)
class PauseRequested:
    """The searcher wants no requests from this gateway for ``duration`` milliseconds."""

    duration: Millis


@dataclass(frozen=True, slots=True)
class OthersLeaving:
    """A gatherer passes on that ``searchers`` have said that they leave."""

    searchers: tuple[SearcherId, ...]


@dataclass(frozen=True, slots=True)
class ColdReported:
    """The searcher says for how many milliseconds it stays cold; 0 means that it is not."""

    remaining: Millis


SearcherNotice = Leaving | PauseRequested | OthersLeaving | ColdReported


def decode_notices(
    status: int, headers_by_name: Mapping[bytes, bytes], names: HeaderNames
) -> list[SearcherNotice]:
    """Return what an answer says about its searcher."""
    notices: list[SearcherNotice] = []
    if headers_by_name.get(names.leaving, b"").strip() == b"1":
        notices.append(Leaving())
    pause = decode_pause(headers_by_name.get(names.pause, b""))
    if status == UNAVAILABLE and pause is not None:
        notices.append(PauseRequested(pause))
    searchers = decode_leaving_searchers(headers_by_name.get(names.leaving_searchers, b""))
    if searchers:
        notices.append(OthersLeaving(searchers))
    cold = decode_cold(headers_by_name.get(names.cold, b"") if names.cold else b"")
    if cold is not None:
        notices.append(ColdReported(cold))
    return notices


def decode_cold(value: bytes) -> Millis | None:
    """Return the time in milliseconds that a searcher says it stays cold, or ``None``."""
    remaining = _decode_decimal(value)
    return None if remaining is None else min(MAX_COLD_TIME, Millis(remaining))


def decode_pause(value: bytes) -> Millis | None:
    """Return the pause that the value of a ``Retry-After`` header asks for, in milliseconds.

    It is a number of seconds, which may have a fraction; a pause is at most ``MAX_PAUSE`` long. The
    result is ``None`` for anything else, such as a date, since the time of day may be wrong.
    """
    seconds = _decode_decimal(value)
    return None if seconds is None else Millis(min(MAX_PAUSE, seconds * MILLIS_PER_SECOND))


def _decode_decimal(value: bytes) -> float | None:
    text = value.strip()
    return float(text) if DECIMAL.fullmatch(text) else None


def decode_retry_after(headers_by_name: Mapping[bytes, bytes], names: HeaderNames) -> Millis | None:
    """Return when a gatherer that refused a part for lack of room wants it again, if it did."""
    if headers_by_name.get(names.not_run) != NO_ROOM:
        return None
    return decode_pause(headers_by_name.get(b"retry-after", b""))


def encode_leaving_searchers(searchers: Iterable[SearcherId]) -> bytes:
    """Return the value of the header by which a gatherer passes on which searchers leave."""
    passed_on = islice(searchers, MAX_LEAVING_SEARCHERS)
    return ",".join(quote(searcher, safe="") for searcher in passed_on).encode()


def decode_leaving_searchers(value: bytes) -> tuple[SearcherId, ...]:
    """Return the searchers that the header of a gatherer names; invalid ids are left out."""
    if not value:
        return ()
    ids = [unquote(part) for part in value.decode("latin-1").split(",")[:MAX_LEAVING_SEARCHERS]]
    return tuple(SearcherId(searcher) for searcher in ids if is_header_text(searcher))
